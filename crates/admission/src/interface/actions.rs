//! What a controller has its worker do.

use super::events::RequestId;
use crate::time::{Span, Time};

/// Something the worker is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request.
    Run(RequestId),
    /// Stop a run.
    Preempt(RequestId),
    /// Final answer: rejected; it never ran, or may safely run again.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the caller should wait before a retry; zero for no advice.
        retry_after: Span,
        /// Asks the caller not to retry at another worker.
        no_retry_elsewhere: bool,
    },
    /// Final answer: an error; the request may have run.
    Fail(RequestId),
    /// Answer a request from the run of the one that it repeats.
    Coalesce(RequestId),
    /// Remember a request for this long, so that repeats are recognised.
    Remember(RequestId, Span),
    /// Forget a remembered request.
    Forget(RequestId),
    /// Make the call that a request waits for; it is given up at this time.
    Call(RequestId, Time),
    /// Let the run go on without its call.
    SkipCall(RequestId),
    /// Set the value sent with every answer.
    AnnounceCapacity(f64),
    /// What health checks report from now on.
    Health {
        /// In service.
        good: bool,
        /// Answer from this setting alone.
        shallow: bool,
    },
    /// Close connections idle for this long.
    SetIdleTimeout(Span),
    /// Ask for a timer after this time.
    SetTimer(u64, Span),
    /// A line for the log.
    Log(String),
}
