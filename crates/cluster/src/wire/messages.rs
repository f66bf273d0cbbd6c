//! The protobuf messages. Their tags and types are fixed: nodes of earlier builds send them, and logs on disk hold them.

use crate::Version;

/// A message between two nodes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// [`PROTOCOL_VERSION`](super::PROTOCOL_VERSION).
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    /// The cluster's name.
    #[prost(string, tag = "2")]
    pub cluster: String,
    /// Fingerprint of the configuration that all nodes have to share.
    #[prost(fixed64, tag = "3")]
    pub config_fingerprint: u64,
    /// The sender's number.
    #[prost(uint32, tag = "4")]
    pub from: u32,
    /// The reader's incarnation that it is for, as its [`Hello`] had it; 0 in a hello.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
    /// The content.
    #[prost(oneof = "Payload", tags = "8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub payload: Option<Payload>,
}

/// The content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// The first message on each link, from both sides.
    #[prost(message, tag = "8")]
    Hello(Hello),
    /// A message of the raft library, in its own encoding.
    #[prost(bytes = "vec", tag = "9")]
    Raft(Vec<u8>),
    /// The sender requests a lease.
    #[prost(message, tag = "10")]
    LeaseRequest(LeaseRequest),
    /// The sender grants the lease request of this number.
    #[prost(fixed64, tag = "11")]
    LeaseGrant(u64),
    /// The sender leads, and asks whether the reader could act on a content.
    #[prost(message, tag = "12")]
    ValidationRequest(ValidationRequest),
    /// The answer to that.
    #[prost(message, tag = "13")]
    ValidationResult(ValidationResult),
    /// A proposal, forwarded to the leader.
    #[prost(message, tag = "14")]
    ForwardedProposal(ForwardedProposal),
    /// The answer to that.
    #[prost(message, tag = "15")]
    ProposalResult(ProposalResult),
    /// The reader was removed from the cluster, by this version at the latest.
    #[prost(uint64, tag = "16")]
    Removed(Version),
}

/// The first message on a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The sender's incarnation: a number that it never uses again.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The program's version, for diagnosis only.
    #[prost(string, tag = "2")]
    pub program: String,
}

/// A request of a lease.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseRequest {
    /// Of which version.
    #[prost(uint64, tag = "1")]
    pub version: Version,
    /// The sender's number of the request.
    #[prost(fixed64, tag = "2")]
    pub request_id: u64,
}

/// A content to be validated.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ValidationRequest {
    /// The sender's number of the request.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The content.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
    /// Accept a content that starves a keyed class.
    #[prost(bool, tag = "3")]
    pub force: bool,
}

/// The result of a validation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ValidationResult {
    /// The number of its request.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Why the node could not act on the content; empty if it could.
    #[prost(string, tag = "2")]
    pub problem: String,
}

/// A proposal on its way to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardedProposal {
    /// The sender's number of the proposal.
    #[prost(fixed64, tag = "1")]
    pub ticket: u64,
    /// The proposed content.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
    /// Propose only if this is the last committed version.
    #[prost(uint64, optional, tag = "3")]
    pub expected_version: Option<Version>,
    /// Accept a content that starves a keyed class.
    #[prost(bool, tag = "4")]
    pub force: bool,
    /// A [`MembershipChange`](crate::membership::MembershipChange) in JSON instead of a content; empty if there is none.
    #[prost(bytes = "vec", tag = "5")]
    pub membership_change: Vec<u8>,
}

/// What became of a forwarded proposal.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProposalResult {
    /// The number of the proposal.
    #[prost(fixed64, tag = "1")]
    pub ticket: u64,
    /// The version that it was committed as; 0 if it was rejected.
    #[prost(uint64, tag = "2")]
    pub version: Version,
    /// Why it was rejected.
    #[prost(string, tag = "3")]
    pub problem: String,
}

/// An entry of the log: one version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VersionEntry {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub version: Version,
    /// Its content, in JSON.
    #[prost(bytes = "vec", tag = "2")]
    pub content: Vec<u8>,
    /// The [`Membership`](crate::membership::Membership) from this version on, in JSON; empty if it is that of the version
    /// before.
    #[prost(bytes = "vec", tag = "3")]
    pub membership: Vec<u8>,
}

/// What stands for the compacted part of the log: all entries before the first one that is kept.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogBase {
    /// Index of the last compacted entry.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Raft term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The last compacted version; none if its number is 0.
    #[prost(message, optional, tag = "3")]
    pub last: Option<VersionEntry>,
    /// The membership of that version, in JSON; empty if it is the initial one.
    #[prost(bytes = "vec", tag = "4")]
    pub membership: Vec<u8>,
}
