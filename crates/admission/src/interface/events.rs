//! Events: what a worker reports to its [`Controller`](crate::Controller): requests, the ends of runs and of
//! outbound calls, timers together with gauges, and the drain notice.

use crate::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// Identifies one attempt of a request. The worker never uses an id for two attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

/// An attempt of a request that the worker has read and that the controller has to decide on.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the attempt.
    pub id: RequestId,
    /// Class of the request: an index into [`Settings::classes`](super::Settings::classes). An index beyond
    /// the last class stands for the last class.
    pub class: usize,
    /// Tenant of the request: an index into [`Settings::tenants`](super::Settings::tenants); 0 where there
    /// are no tenants.
    pub tenant: usize,
    /// The resource that the request concerns, where known: equal numbers stand for the same resource.
    pub resource_key: Option<u64>,
    /// Time at which the caller stops waiting, where known; otherwise the deadline of the class applies.
    pub deadline: Option<Time>,
    /// Expected work of the run, as time on one standard core, where known.
    pub work_hint: Option<Span>,
    /// Memory that the request takes while it is queued, in kilobytes.
    pub queued_kb: f64,
    /// Position of the request in the shedding order, from 0 to below 1: lower values are shed first. Callers
    /// compare it with the value of [`BackpressureSignal::Floor`](super::BackpressureSignal::Floor); the
    /// controller does not read it.
    pub shed_order: f64,
    /// Number of the caller that sent the request; 0 where callers are not distinguished.
    pub caller: u64,
    /// Whether the request is known to be a retry or a second copy of an earlier attempt.
    pub is_retry: bool,
    /// Time from the arrival of the request at the machine until the worker read it.
    pub read_delay: Span,
    /// The remembered request that this one repeats; `None` for a first attempt.
    pub original: Option<RequestId>,
}

/// How a run or an outbound call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call succeeded.
    Ok,
    /// The run or call failed; it may have had its effect.
    Error,
    /// The dependency rejected the call because of overload; the call never ran.
    Overloaded,
    /// The call was abandoned at its deadline; it may have had its effect.
    TimedOut,
    /// The dependency could not be reached; the call never ran.
    Unreachable,
    /// The connection broke during the call; the call may have had its effect.
    Reset,
    /// The run was stopped before its end.
    Cancelled,
    /// The run never started, for example because the request was already over.
    NeverStarted,
}

/// Gauges of the worker, read when a timer is due; `None` for a gauge that the worker does not have.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores that were busy recently, from 0 to about 1.
    pub cpu_busy: Option<f64>,
    /// Number of tasks that run on a core or wait for one.
    pub runnable: Option<f64>,
    /// Share of the memory in use, from 0 to 1. The controller does not read it.
    pub mem_used: Option<f64>,
    /// Number of open connections. The controller does not read it.
    pub sockets: Option<f64>,
}

/// An event at the worker. The controller processes events in batches.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The worker read a request.
    Request(Request),
    /// The caller of this request has stopped waiting for the answer.
    CallerGone(RequestId),
    /// The worker was told to drain; its process stops at the given time.
    Drain(Time),
    /// The run of this request ended or was stopped, or the coalesced request was answered.
    RunEnded(RequestId, Outcome),
    /// The run of this request waits to make an outbound call.
    CallRequested(RequestId),
    /// The outbound call of this request ended, this long after it was made.
    CallEnded(RequestId, Outcome, Span),
    /// The timer with this id is due; the gauges are those of the worker at present.
    Timer(u64, Gauges),
}
