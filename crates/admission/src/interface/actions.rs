//! Actions: the instructions that a [`Controller`](crate::Controller) gives to its worker.

use super::events::RequestId;
use crate::time::{Span, Time};

/// An instruction to the worker, which carries out the actions of a batch in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the run of a queued request.
    Run(RequestId),
    /// Stop the run of a request. [`Settings::preemption`](super::Settings::preemption) states what happens
    /// to a stopped run.
    Preempt(RequestId),
    /// Final answer: the request is rejected. The request never ran or may safely run again, so the caller
    /// may retry.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// How long the caller should wait before it retries; zero gives no advice.
        retry_after: Span,
        /// Whether the caller is asked not to retry at another worker.
        no_retry_elsewhere: bool,
    },
    /// Final answer: the request failed; it may have run.
    Fail(RequestId),
    /// Answer this request from the run of the request that it repeats, its
    /// [`Request::original`](super::Request::original).
    Coalesce(RequestId),
    /// Remember the request for this time, counted from now, so that repeats of it are recognised.
    Remember(RequestId, Span),
    /// Stop remembering the request: a later repeat of it counts as a first attempt.
    Forget(RequestId),
    /// Make the outbound call that the run of this request waits for; abandon the call at the given time.
    Call(RequestId, Time),
    /// Let the run of this request continue without the result of its outbound call.
    SkipCall(RequestId),
    /// Send this capacity with every answer from now on. Its meaning and range depend on
    /// [`Settings::backpressure_signal`](super::Settings::backpressure_signal).
    AnnounceCapacity(f64),
    /// Set what health checks report from now on.
    Health {
        /// Whether the worker is in service.
        good: bool,
        /// Whether checks are answered from `good` alone, without doing any work.
        shallow: bool,
    },
    /// Close connections that have been idle for this long.
    SetIdleTimeout(Span),
    /// Deliver an [`Event::Timer`](super::Event::Timer) with this id once this time has passed.
    SetTimer(u64, Span),
    /// Write this line to the log.
    Log(String),
}
