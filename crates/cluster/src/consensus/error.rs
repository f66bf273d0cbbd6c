//! Why the consensus cannot start, and why proposals are rejected.

use crate::Version;
use crate::log_storage::LogStorageError;
use crate::membership::MembershipError;
use crate::wire::MAX_CONTENT_BYTES;

/// Why a node cannot take part in the consensus.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    /// The log on disk cannot be used.
    #[error(transparent)]
    Storage(#[from] LogStorageError),
    /// The raft library rejects the state.
    #[error(transparent)]
    Raft(#[from] raft::Error),
}

/// Why a node could not act on a proposed content, in words for the operator; other nodes send it as text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Unacceptable(pub String);

/// Why a proposal was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// A node could not act on it.
    #[error("unsound: {node}: {reason}")]
    Invalid {
        /// The node's name.
        node: String,
        /// Why.
        reason: Unacceptable,
    },
    /// This is the last committed version, and another one was expected.
    #[error("out of date: version {0} is the last one")]
    VersionConflict(Version),
    /// There is no leader, or it cannot reach a majority.
    #[error("no majority: too few nodes can be heard; see 'gaugestand fleet status'")]
    NoMajority,
    /// Another proposal is pending, or the last committed version is not active yet.
    #[error("another version is in work or not in effect yet; try again in a moment")]
    Busy,
    /// The content has this many bytes, more than [`MAX_CONTENT_BYTES`].
    #[error("too long: {0} bytes, {max} at most", max = MAX_CONTENT_BYTES)]
    TooLong(usize),
    /// The membership may not be changed like that.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// There was no answer: it may be committed yet.
    #[error("no answer: it may be agreed yet; see 'gaugestand fleet status'")]
    Unknown,
    /// The leader rejected a forwarded proposal, for this reason.
    #[error("{0}")]
    Remote(String),
}
