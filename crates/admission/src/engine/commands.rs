//! What the engine tells the front and the link to the backend to do.

use crate::interface::RequestId;
use crate::time::Micros;
use std::rc::Rc;

/// What the front or the link to the backend is to do.
///
/// Each attempt that was admitted gets exactly one answer: `Reject`, `Fail`, `Serve` or `Replay`.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineCommand {
    /// Start its run.
    Run(RequestId),
    /// Stop its run.
    Preempt(RequestId),
    /// Make the outbound call that its run waits for; it times out after this long.
    Call(RequestId, Micros),
    /// Let its run go on without the outbound call that it waits for.
    SkipCall(RequestId),
    /// Abandon its outbound call; its reply is ignored.
    DropCall(RequestId),
    /// Answer that it never ran.
    Reject {
        /// The attempt.
        id: RequestId,
        /// How long the caller is to wait before a retry; zero gives no advice.
        retry_after: Micros,
        /// Asks the caller not to retry at another node either.
        no_retry_elsewhere: bool,
    },
    /// Answer that it failed, and may have run.
    Fail {
        /// The attempt.
        id: RequestId,
        /// How long the caller is to wait before a retry; zero gives no advice.
        retry_after: Micros,
        /// Asks the caller not to retry at another node either.
        no_retry_elsewhere: bool,
    },
    /// Answer with the result of its own run.
    Serve(RequestId, Rc<[u8]>),
    /// Answer with the result of another attempt of the same request.
    Replay(RequestId, Rc<[u8]>),
    /// No command follows for this attempt; what is kept of it can be dropped.
    Forget(RequestId),
    /// Ask the backend for its gauges.
    ReadGauges,
    /// Close connections that are idle for this long.
    SetIdleTimeout(Micros),
}

impl EngineCommand {
    /// A failure without advice on retries.
    pub(super) fn fail(id: RequestId) -> Self {
        EngineCommand::Fail { id, retry_after: Micros(0), no_retry_elsewhere: false }
    }
}

/// Why an attempt is not admitted. The engine keeps nothing of it and gives no command for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitError {
    /// An attempt with this id is known already.
    DuplicateId,
    /// Its key belongs to a request with another body.
    KeyConflict,
}
