//! Why a node cannot act on a version of the cluster's settings.

use crate::config::ConfigError;
use gaugestand_cluster::validation::ValidationError;

/// Why this node cannot act on a version, or rejects one that is proposed; the text goes to the operator.
#[derive(Debug, thiserror::Error)]
pub enum VersionError {
    /// The content is not of the form that this program knows.
    #[error("its content cannot be read: {0}")]
    UnreadableContent(#[source] serde_json::Error),
    /// The content has a list that this node's script does not enable.
    #[error("lists.{0}: fleet(lists = ...) of this node does not name lists of that form")]
    DisabledList(String),
    /// The settings are invalid here, or cannot change while the node serves.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A class would starve, unless the operator says that it is meant.
    #[error("{0}; --force if that is meant")]
    NotForced(ValidationError),
    /// The settings would not do.
    #[error(transparent)]
    Invalid(ValidationError),
}
