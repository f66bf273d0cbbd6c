//! What nodes of a cluster send each other, and what the replicated log stores: protobuf, bounded.
//!
//! Guarantee: a message that [`FrameCodec::decode`] returns is of this cluster, this protocol version, this configuration
//! and this incarnation of the reader; anything else is one [`FrameError`], and changes nothing. It does not authenticate
//! the sender: that is up to the link.

mod codec;
mod messages;

pub use codec::{FrameCodec, FrameError};
pub use messages::{
    Envelope, ForwardedProposal, Hello, LeaseRequest, LogBase, Payload, ProposalResult, ValidationRequest,
    ValidationResult, VersionEntry,
};

/// The version of the protocol; nodes of different versions do not talk to each other.
pub const PROTOCOL_VERSION: u32 = 1;
/// Longest content of a version, in bytes: settings and lists of one cluster, with room to spare, and short enough that one
/// message does not hold up heartbeats on its link.
pub const MAX_CONTENT_BYTES: usize = 256 * 1024;
/// Longest message, in bytes: one content, and room for the membership and the envelope around it.
pub const MAX_MESSAGE_BYTES: usize = MAX_CONTENT_BYTES + 64 * 1024;
