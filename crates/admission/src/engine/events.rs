//! What the engine is told: arrivals, and everything that happens to an attempt later.

use crate::interface::{Gauges, RequestId};
use crate::time::{Micros, Timestamp, UnixTime};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// One attempt of a request, as the front has read it.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Its id; never used before.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// The idempotency key that all attempts of one request share; ignored for classes that are not keyed.
    pub idempotency_key: Option<String>,
    /// Its body; all attempts of one request carry the same.
    pub body: &'a [u8],
    /// Time since it reached the machine.
    pub age: Micros,
    /// Unix time at which it reached the machine, as the request itself states.
    pub ingress: UnixTime,
    /// Expected work on one core.
    pub work_hint: Option<Micros>,
    /// Memory that it takes while queued, in kilobytes.
    pub queued_kb: f64,
    /// Position in the shedding order, from 0 to below 1.
    pub shed_order: f64,
    /// Number of its caller.
    pub caller: u64,
    /// How long its caller waits, counted from `ingress`, where the caller says so. The class's deadline is the upper
    /// bound. An attempt whose timeout has passed when it is read is rejected at once.
    pub caller_timeout: Option<Micros>,
    /// The caller marked it as a retry or a hedged copy.
    pub is_retry: bool,
    /// The resource that a read is about, where the caller says so.
    pub resource_key: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It succeeded with this result.
    Succeeded(Rc<[u8]>),
    /// It failed, and may have had its effect.
    Failed,
    /// It was preempted, or ended at an outbound call because no caller waits any more.
    Cancelled,
    /// It never began: it is safe to run the request elsewhere.
    NeverRan,
}

/// How an outbound call of a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The reply was handed to the run.
    #[serde(rename = "Good")]
    Succeeded,
    /// The other service rejected it: it never ran.
    #[serde(rename = "Busy")]
    Overloaded,
    /// No connection could be made: it never ran.
    Unreachable,
    /// It failed, and may have had its effect.
    Failed,
    /// It timed out, and may have had its effect.
    #[serde(rename = "Late")]
    TimedOut,
    /// The connection broke during the call, which proves neither that it ran nor that it did not.
    Broken,
}

/// Something that happened outside the engine.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// The backend has started.
    BackendStarted {
        /// Whether its caches are cold, so that it is slow at first.
        cold: bool,
        /// Time since it started.
        age: Micros,
    },
    /// The link to the backend is up or down; runs continue meanwhile.
    BackendLink(bool),
    /// A run is over.
    RunEnded(RequestId, RunOutcome),
    /// A run waits for an outbound call.
    CallRequested(RequestId),
    /// An outbound call ended, this long after it was made.
    CallEnded(RequestId, CallOutcome, Micros),
    /// The backend cannot let this run go on without its call, as [`EngineCommand::SkipCall`] asked.
    ///
    /// [`EngineCommand::SkipCall`]: super::EngineCommand::SkipCall
    CallNotSkippable(RequestId),
    /// The caller no longer waits for this attempt.
    CallerGone(RequestId),
    /// The process was asked to stop.
    Drain {
        /// Monotonic time of the notice; the grace period counts from then.
        notice: Timestamp,
        /// Monotonic time at which the process is stopped.
        stop: Timestamp,
    },
    /// The gauges that [`EngineCommand::ReadGauges`] asked for.
    ///
    /// [`EngineCommand::ReadGauges`]: super::EngineCommand::ReadGauges
    GaugesRead(Gauges),
}
