//! Errors: why a node cannot take part in the consensus, and why proposals are rejected.

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
    /// The raft library rejected its configuration or the stored state.
    #[error(transparent)]
    Raft(#[from] raft::Error),
}

/// Why a node could not act on a proposed content, as text for the operator. Nodes send this text to the
/// leader that requested the validation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Unacceptable(pub String);

/// Why a proposal was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// A node could not act on the proposed content.
    #[error("unsound: {node}: {reason}")]
    Invalid {
        /// Name of the node that rejected the content.
        node: String,
        /// Why that node could not act on the content.
        reason: Unacceptable,
    },
    /// The proposal expected another version to be the last committed one. The field is the last committed
    /// version.
    #[error("out of date: version {0} is the last one")]
    VersionConflict(Version),
    /// No leader is known and reachable, or the leader cannot reach a majority of the voters.
    #[error("no majority: too few nodes can be heard; see 'gaugestand fleet status'")]
    NoMajority,
    /// The leader cannot accept a proposal at the moment: another proposal is pending, the last version in
    /// its log is not active yet, or the leader is draining or handing leadership over. Also if too many
    /// forwarded proposals wait for a result.
    #[error("another version is in work or not in effect yet; try again in a moment")]
    Busy,
    /// The content is longer than [`MAX_CONTENT_BYTES`]. The field is its length in bytes.
    #[error("too long: {0} bytes, {max} at most", max = MAX_CONTENT_BYTES)]
    TooLong(usize),
    /// The requested membership change is not possible or not safe at present.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The result is not known, after a timeout or a change of the leader: the proposal may still be
    /// committed.
    #[error("no answer: it may be agreed yet; see 'gaugestand fleet status'")]
    Unknown,
    /// The leader rejected a forwarded proposal. The field is the leader's error text.
    #[error("{0}")]
    Remote(String),
}
