//! Messages between the nodes of a cluster and entries of the replicated log, both in protobuf with bounded
//! lengths.
//!
//! Guarantee: a message that [`FrameCodec::decode`] returns belongs to this cluster, protocol version and
//! configuration, and is addressed to this incarnation of the reader. Anything else is rejected with a
//! [`FrameError`] and changes no state. The codec does not authenticate the sender: the link has to do so.

mod codec;
mod messages;

pub use codec::{FrameCodec, FrameError};
pub use messages::{
    Envelope, ForwardedProposal, Hello, LeaseRequest, LogBase, Payload, ProposalResult, ValidationRequest,
    ValidationResult, VersionEntry,
};

/// Version of the protocol between nodes. Nodes reject messages of any other version.
pub const PROTOCOL_VERSION: u32 = 1;
/// Longest content of a version, in bytes. This is ample for the settings and lists of one cluster, and short
/// enough that one message does not hold up the heartbeats on its link.
pub const MAX_CONTENT_BYTES: usize = 256 * 1024;
/// Longest message between nodes, in bytes: one content, plus the membership and the envelope around it.
pub const MAX_MESSAGE_BYTES: usize = MAX_CONTENT_BYTES + 64 * 1024;
