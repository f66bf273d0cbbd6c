//! Errors that end the process: the node cannot start or cannot continue.

use crate::idempotency_store;
use crate::peers::PeersError;
use gaugestand_admission::SettingsError;
use std::io;

/// An error that ends the process. Its text is printed for the operator.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// An operation of the operating system failed. The first field says what the node could not do.
    #[error("{0}: {1}")]
    Io(&'static str, #[source] io::Error),
    /// The settings contradict each other or are out of range.
    #[error("{0}")]
    Settings(SettingsError),
    /// The idempotency store cannot be opened.
    #[error("{0}")]
    IdempotencyStore(idempotency_store::StartError),
    /// The node cannot join its cluster: it cannot open the consensus log, or cannot listen at its address
    /// for other nodes.
    #[error("{0}")]
    Cluster(#[from] PeersError),
}

/// Converts an I/O error to [`NodeError::Io`]; `operation` says what the node could not do.
pub(super) fn io_error(operation: &'static str) -> impl FnOnce(io::Error) -> NodeError {
    move |error| NodeError::Io(operation, error)
}
