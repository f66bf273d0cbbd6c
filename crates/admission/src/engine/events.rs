//! The engine's input: arriving attempts, and later events that concern an attempt or the process.

use crate::interface::{Gauges, RequestId};
use crate::time::{Micros, Timestamp, UnixTime};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// One attempt of a request, as read by the front.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// The id of the attempt; no two attempts share one.
    pub id: RequestId,
    /// The class slot, an index into [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// The idempotency key, which all attempts of one request share; ignored for classes that are not keyed.
    pub idempotency_key: Option<String>,
    /// The request body, which is the same in all attempts of one request.
    pub body: &'a [u8],
    /// The time since the attempt reached the machine.
    pub age: Micros,
    /// The Unix time at which the attempt reached the machine, as the request states it.
    pub ingress: UnixTime,
    /// The expected work on one core, where the request states it.
    pub work_hint: Option<Micros>,
    /// The memory that the attempt takes while it is queued, in kilobytes.
    pub queued_kb: f64,
    /// The position in the shedding order, from 0 to below 1; lower values are shed first.
    pub shed_order: f64,
    /// The number that identifies the caller.
    pub caller: u64,
    /// How long the caller waits, counted from `ingress`; `None` if the caller does not state it. The class's
    /// deadline is the upper bound. An attempt that is read after this timeout is rejected at once.
    pub caller_timeout: Option<Micros>,
    /// Whether the caller marked the attempt as a retry or a hedged copy.
    pub is_retry: bool,
    /// The resource that the request reads, where the caller states it; equal numbers stand for the same
    /// resource.
    pub resource_key: Option<u64>,
}

/// How the run of an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The run succeeded with this result.
    Succeeded(Rc<[u8]>),
    /// The run failed, and may have had its effect.
    Failed,
    /// The run was preempted, or ended at an outbound call because no caller waits any more.
    Cancelled,
    /// The run never began, so the request can safely run elsewhere.
    NeverRan,
}

/// How an outbound call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The call succeeded and its reply was handed to the run.
    #[serde(rename = "Good")]
    Succeeded,
    /// The called service rejected the call, which never ran there.
    #[serde(rename = "Busy")]
    Overloaded,
    /// No connection to the called service could be made, so the call never ran there.
    Unreachable,
    /// The call failed, and may have had its effect.
    Failed,
    /// The call timed out, and may have had its effect.
    #[serde(rename = "Late")]
    TimedOut,
    /// The connection broke during the call, so it is unknown whether the call ran.
    Broken,
}

/// An event outside the engine that the host reports with [`Engine::on_event`].
///
/// [`Engine::on_event`]: super::Engine::on_event
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// The backend has started.
    BackendStarted {
        /// Whether the backend's caches are cold, so that the backend is slow at first.
        cold: bool,
        /// The time since the backend started.
        age: Micros,
    },
    /// The link to the backend went up (`true`) or down (`false`). Runs continue while the link is down.
    BackendLink(bool),
    /// The run of this attempt ended.
    RunEnded(RequestId, RunOutcome),
    /// The run of this attempt asks for an outbound call and waits for it.
    CallRequested(RequestId),
    /// The outbound call of this attempt ended, the given time after it was made.
    CallEnded(RequestId, CallOutcome, Micros),
    /// The backend cannot let the run of this attempt continue without its outbound call, as
    /// [`EngineCommand::SkipCall`] asked.
    ///
    /// [`EngineCommand::SkipCall`]: super::EngineCommand::SkipCall
    CallNotSkippable(RequestId),
    /// The caller no longer waits for this attempt.
    CallerGone(RequestId),
    /// The process received the notice to stop.
    Drain {
        /// The monotonic time of the notice, from which the grace period counts.
        notice: Timestamp,
        /// The monotonic time at which the process is stopped.
        stop: Timestamp,
    },
    /// The backend's gauges, as requested by [`EngineCommand::ReadGauges`].
    ///
    /// [`EngineCommand::ReadGauges`]: super::EngineCommand::ReadGauges
    GaugesRead(Gauges),
}
