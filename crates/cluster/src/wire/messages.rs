//! Protobuf messages between nodes and in the log. Their tags and types must not change: nodes of earlier
//! builds send them, and logs on disk contain them.

use crate::Version;

/// A message between two nodes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Protocol version of the sender, see [`PROTOCOL_VERSION`](super::PROTOCOL_VERSION).
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    /// Name of the sender's cluster.
    #[prost(string, tag = "2")]
    pub cluster: String,
    /// Fingerprint of the sender's copy of the configuration that all nodes have to share.
    #[prost(fixed64, tag = "3")]
    pub config_fingerprint: u64,
    /// Number of the sending node.
    #[prost(uint32, tag = "4")]
    pub from: u32,
    /// Incarnation of the receiving node that the message is addressed to, as in that node's [`Hello`]; 0 in
    /// a hello.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    /// Payload of the message. A message without one is rejected.
    #[prost(oneof = "Payload", tags = "8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub payload: Option<Payload>,
}

/// Payload of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// The first message on each link, from both sides.
    #[prost(message, tag = "8")]
    Hello(Hello),
    /// A message of the raft library, in its own encoding.
    #[prost(bytes = "vec", tag = "9")]
    Raft(Vec<u8>),
    /// A request of a lease from the receiver.
    #[prost(message, tag = "10")]
    LeaseRequest(LeaseRequest),
    /// A grant of the receiver's lease request with this request id.
    #[prost(fixed64, tag = "11")]
    LeaseGrant(u64),
    /// A question of the leader: whether the receiver could act on a content.
    #[prost(message, tag = "12")]
    ValidationRequest(ValidationRequest),
    /// The answer to a [`ValidationRequest`].
    #[prost(message, tag = "13")]
    ValidationResult(ValidationResult),
    /// A proposal, forwarded to the leader.
    #[prost(message, tag = "14")]
    ForwardedProposal(ForwardedProposal),
    /// The answer to a [`ForwardedProposal`].
    #[prost(message, tag = "15")]
    ProposalResult(ProposalResult),
    /// A notification that the receiver was removed from the cluster, by this version or an earlier one.
    #[prost(uint64, tag = "16")]
    Removed(Version),
}

/// The first message on a link, which introduces the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Number of the sender's incarnation, never used again by that node.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Version of the sender's program, for diagnosis only.
    #[prost(string, tag = "2")]
    pub program: String,
}

/// A request of a lease.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseRequest {
    /// The version that the sender wants to act on.
    #[prost(uint64, tag = "1")]
    pub version: Version,
    /// Request id, assigned by the sender.
    #[prost(fixed64, tag = "2")]
    pub request_id: u64,
}

/// A content that the receiver has to validate.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ValidationRequest {
    /// Number of the validation, assigned by the sender.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The content to validate, in JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
    /// Accept a content that drops or starves a keyed class with load, or makes it unkeyed.
    #[prost(bool, tag = "3")]
    pub force: bool,
}

/// The result of a validation, sent to the leader that requested it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ValidationResult {
    /// Number of the validation, as in the [`ValidationRequest`].
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Why the node could not act on the content; empty if it could.
    #[prost(string, tag = "2")]
    pub problem: String,
}

/// A proposal of an operator that a node forwards to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardedProposal {
    /// Number of the proposal, assigned by the sender.
    #[prost(fixed64, tag = "1")]
    pub ticket: u64,
    /// The proposed content, in JSON; ignored if `membership_change` is set.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
    /// Reject the proposal unless this is the last committed version; `None` to skip the check.
    #[prost(uint64, optional, tag = "3")]
    pub expected_version: Option<Version>,
    /// Accept a content that drops or starves a keyed class with load, or makes it unkeyed.
    #[prost(bool, tag = "4")]
    pub force: bool,
    /// A [`MembershipChange`](crate::membership::MembershipChange) in JSON, proposed instead of a content;
    /// empty if a content is proposed.
    #[prost(bytes = "vec", tag = "5")]
    pub membership_change: Vec<u8>,
}

/// The result of a forwarded proposal, sent by the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProposalResult {
    /// Number of the proposal, as in the [`ForwardedProposal`].
    #[prost(fixed64, tag = "1")]
    pub ticket: u64,
    /// The version that the proposal was committed as; 0 if it was rejected.
    #[prost(uint64, tag = "2")]
    pub version: Version,
    /// Why the proposal was rejected, as text for the operator; empty if it was committed.
    #[prost(string, tag = "3")]
    pub problem: String,
}

/// An entry of the replicated log: one version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VersionEntry {
    /// Number of the version.
    #[prost(uint64, tag = "1")]
    pub version: Version,
    /// Content of the version, in JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
    /// The [`Membership`](crate::membership::Membership) from this version on, in JSON; empty if it is that
    /// of the previous version.
    #[prost(bytes = "vec", tag = "3")]
    pub membership: Vec<u8>,
}

/// The base of the log, which replaces its compacted entries: all entries before the first retained one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogBase {
    /// Index of the last compacted entry; 0 if no entry was compacted.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Raft term of the last compacted entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The last compacted version. No version was compacted if the field is absent or the version's number is
    /// 0.
    #[prost(message, optional, tag = "3")]
    pub last: Option<VersionEntry>,
    /// The membership under the last compacted version, in JSON; empty if it is the initial one.
    #[prost(bytes = "vec", tag = "4")]
    pub membership: Vec<u8>,
}
