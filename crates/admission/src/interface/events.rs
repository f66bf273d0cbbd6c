//! What a worker tells its controller: requests, ends of runs and calls, timers with gauges, the notice to stop.

use crate::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// Names one attempt of a request; never reused by the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

/// A request that was read and now awaits a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenants`](super::Settings::tenants); 0 where there are none.
    pub tenant: usize,
    /// What it concerns, where known: the same number for the same thing.
    pub resource_key: Option<u64>,
    /// When its caller stops waiting, where known.
    pub deadline: Option<Time>,
    /// Expected work on a standard core, where known.
    pub work_hint: Option<Span>,
    /// Memory while queued, in kilobytes.
    pub queued_kb: f64,
    /// Place in the order of shedding, from 0 to under 1; lower is shed first.
    pub shed_order: f64,
    /// The number of its caller; 0 where callers are not distinguished.
    pub caller: u64,
    /// Known to be a retry or a second copy.
    pub is_retry: bool,
    /// How long ago it arrived at the machine.
    pub read_delay: Span,
    /// The remembered request that this one repeats.
    pub original: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed, perhaps after its effect.
    Error,
    /// The dependency rejected the call; it never ran.
    Overloaded,
    /// The call was given up; it may have had its effect.
    TimedOut,
    /// The dependency was out of reach; the call never ran.
    Unreachable,
    /// The call broke off; it may have had its effect.
    Reset,
    /// The run was stopped.
    Cancelled,
    /// Nothing started, since the request was already over.
    NeverStarted,
}

/// The worker's own gauges; those it lacks are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores busy of late.
    pub cpu_busy: Option<f64>,
    /// Everything that wants a core now.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub mem_used: Option<f64>,
    /// Open connections.
    pub sockets: Option<f64>,
}

/// Something that happened to this worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was read.
    Request(Request),
    /// The caller has stopped waiting.
    CallerGone(RequestId),
    /// The worker is to drain; its process stops at the time given.
    Drain(Time),
    /// A run or a coalesced request is over, or a stop took effect.
    RunEnded(RequestId, Outcome),
    /// A running request wants to call the dependency.
    CallRequested(RequestId),
    /// A call ended after this long.
    CallEnded(RequestId, Outcome, Span),
    /// A timer set earlier is due.
    Timer(u64, Gauges),
}
