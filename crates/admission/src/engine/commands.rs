//! The commands that the engine gives to its host: to the front, which answers callers, and to the link to
//! the backend, which executes runs.

use crate::interface::RequestId;
use crate::time::Micros;
use std::rc::Rc;

/// A command that the front or the link to the backend has to carry out, in the order in which the engine
/// appends them.
///
/// Each admitted attempt gets exactly one answer command, `Reject`, `Fail`, `Serve` or `Replay`, unless its
/// caller has gone before.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineCommand {
    /// Start the run of this attempt.
    Run(RequestId),
    /// Stop the run of this attempt.
    Preempt(RequestId),
    /// Make the outbound call that the run of this attempt waits for. The call times out after the given
    /// time, in microseconds.
    Call(RequestId, Micros),
    /// Let the run of this attempt continue without the outbound call that it waits for.
    SkipCall(RequestId),
    /// Abandon the outbound call of this attempt and ignore its reply.
    DropCall(RequestId),
    /// Answer the attempt with a rejection: it never ran.
    Reject {
        /// The attempt to answer.
        id: RequestId,
        /// How long the caller is asked to wait before a retry; zero if the answer carries no retry-after.
        retry_after: Micros,
        /// Whether the answer asks the caller not to retry at another node either.
        no_retry_elsewhere: bool,
    },
    /// Answer the attempt with a failure: it may have run.
    Fail {
        /// The attempt to answer.
        id: RequestId,
        /// How long the caller is asked to wait before a retry; zero if the answer carries no retry-after.
        retry_after: Micros,
        /// Whether the answer asks the caller not to retry at another node either.
        no_retry_elsewhere: bool,
    },
    /// Answer the attempt with the result of its own run.
    Serve(RequestId, Rc<[u8]>),
    /// Answer the attempt with the result of another attempt of the same request.
    Replay(RequestId, Rc<[u8]>),
    /// No further command follows for this attempt; the host can drop everything that it keeps for the
    /// attempt.
    Forget(RequestId),
    /// Ask the backend for its gauges; the host reports them with [`EngineEvent::GaugesRead`].
    ///
    /// [`EngineEvent::GaugesRead`]: super::EngineEvent::GaugesRead
    ReadGauges,
    /// From now on, close each gateway connection that has been idle for this long.
    SetIdleTimeout(Micros),
}

impl EngineCommand {
    /// A failure answer that carries no retry-after.
    pub(super) fn fail(id: RequestId) -> Self {
        EngineCommand::Fail { id, retry_after: Micros(0), no_retry_elsewhere: false }
    }
}

/// Why [`Engine::admit`] refuses an attempt. The engine keeps no state for the attempt and gives no command
/// for it, so the host has to answer the attempt.
///
/// [`Engine::admit`]: super::Engine::admit
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitError {
    /// The engine already knows an attempt with this id.
    DuplicateId,
    /// The attempt's idempotency key belongs to a request with another body.
    KeyConflict,
}
