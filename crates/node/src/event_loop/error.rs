//! Why the node could not start or go on.

use crate::idempotency_store;
use crate::peers::PeersError;
use gaugestand_admission::SettingsError;
use std::io;

/// An error that ends the process; the text goes to the operator.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The operating system refused an operation, named first.
    #[error("{0}: {1}")]
    Io(&'static str, #[source] io::Error),
    /// The settings contradict each other or are out of range.
    #[error("{0}")]
    Settings(SettingsError),
    /// The idempotency store cannot be opened.
    #[error("{0}")]
    IdempotencyStore(idempotency_store::StartError),
    /// The cluster cannot be joined: its log cannot be opened, or its address cannot be listened at.
    #[error("{0}")]
    Cluster(#[from] PeersError),
}

/// Names the operation that an I/O error is of.
pub(super) fn io_error(operation: &'static str) -> impl FnOnce(io::Error) -> NodeError {
    move |error| NodeError::Io(operation, error)
}
