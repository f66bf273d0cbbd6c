//! The error of a version of the cluster's settings that a node cannot act on.

use crate::config::ConfigError;
use gaugestand_cluster::validation::ValidationError;

/// Why this node cannot put a version into effect, or rejects a proposed one. Operators read the text, which
/// other nodes and FLEET STATUS pass on.
#[derive(Debug, thiserror::Error)]
pub enum VersionError {
    /// The content does not have the form that this program can read.
    #[error("its content cannot be read: {0}")]
    UnreadableContent(#[source] serde_json::Error),
    /// The content has the list with this name, of a kind that `fleet(lists = ...)` in this node's script
    /// does not enable.
    #[error("lists.{0}: fleet(lists = ...) of this node does not name lists of that form")]
    DisabledList(String),
    /// The settings are invalid on this node, or cannot change while the node serves.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The content would starve a class, and the operator has not forced the proposal.
    #[error("{0}; --force if that is meant")]
    NotForced(ValidationError),
    /// The settings are rejected by the cluster's validation, and cannot be forced.
    #[error(transparent)]
    Invalid(ValidationError),
}
