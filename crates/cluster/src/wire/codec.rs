//! Encodes messages to other nodes, and decodes and checks received ones.

use super::messages::{Envelope, Hello, Payload};
use super::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION};
use crate::NodeId;
use prost::Message as _;

/// Maximum length, in characters, of another cluster's name in an error: the name comes from outside and is
/// logged.
const MAX_REPORTED_NAME_CHARS: usize = 64;

/// Why a received message was rejected. The node logs the text and closes the link.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The bytes are not a message, or are longer than [`MAX_MESSAGE_BYTES`].
    #[error("message that cannot be decoded, or that is longer than {max} bytes", max = MAX_MESSAGE_BYTES)]
    Malformed,
    /// The message has another protocol version, which the field holds.
    #[error(
        "message of protocol version {0}, expected {supported}; run the same program version on all nodes",
        supported = PROTOCOL_VERSION
    )]
    ProtocolVersion(u32),
    /// The message belongs to another cluster. The field is the start of that cluster's name.
    #[error("message of cluster {0:?}; give all nodes the same name in fleet(...)")]
    OtherCluster(String),
    /// The sender is configured with other members, another lease duration, another drift bound or other
    /// lists.
    #[error(
        "sender is configured with other members, another contradict_ms or drift_ppm, or other lists; \
         give all nodes the same fleet(...)"
    )]
    ConfigMismatch,
    /// The sender's number, which the field holds, is this node's own or that of no member.
    #[error("message from node {0}, which is not another member of this cluster")]
    UnknownSender(u32),
    /// The sender was removed from the cluster.
    #[error("message from node {node}, which was removed from the cluster")]
    RemovedSender {
        /// Number of the removed node.
        node: NodeId,
        /// Incarnation of the removed node, to which the removal is reported.
        incarnation: u64,
    },
    /// The message is for an earlier incarnation of this node, or is not allowed at this point of the
    /// connection.
    #[error(
        "message for this node before its restart, or one that is not allowed at this point of the connection"
    )]
    Stale,
}

/// Encodes this node's messages and decodes those of other nodes.
#[derive(Clone, Debug)]
pub struct FrameCodec {
    /// Name of the cluster, the same on all nodes.
    pub cluster: String,
    /// Fingerprint of the configuration that all nodes have to share.
    pub config_fingerprint: u64,
    /// Number of this node.
    pub node_id: NodeId,
    /// Number of this incarnation of the node; not 0.
    pub incarnation: u64,
}

impl FrameCodec {
    /// Encodes a message to a node whose [`Hello`] had this `incarnation`; 0 for a hello.
    pub fn encode(&self, payload: Payload, incarnation: u64) -> Vec<u8> {
        let envelope = Envelope {
            protocol_version: PROTOCOL_VERSION,
            cluster: self.cluster.clone(),
            config_fingerprint: self.config_fingerprint,
            from: u32::from(self.node_id),
            incarnation,
            payload: Some(payload),
        };
        envelope.encode_to_vec()
    }

    /// Encodes the first message on a link. `program` is the program's version, for diagnosis only.
    pub fn hello(&self, program: &str) -> Vec<u8> {
        let hello = Hello { incarnation: self.incarnation, program: program.to_string() };
        self.encode(Payload::Hello(hello), 0)
    }

    /// Decodes a message and returns its sender and payload. A hello is accepted from any other node of the
    /// cluster, any other message only if it is addressed to this incarnation.
    ///
    /// # Errors
    /// The bytes are not a message of this protocol version, or the message comes from another cluster, a
    /// node with another configuration, or an unknown sender. [`FrameError::Stale`] says that it is addressed
    /// to an earlier incarnation of this node. A rejected message must not be acted on.
    pub fn decode(&self, bytes: &[u8]) -> Result<(NodeId, Payload), FrameError> {
        let envelope = Envelope::decode(bytes).map_err(|_| FrameError::Malformed)?;
        if envelope.protocol_version != PROTOCOL_VERSION {
            return Err(FrameError::ProtocolVersion(envelope.protocol_version));
        }
        if envelope.cluster != self.cluster {
            let name = envelope.cluster.chars().take(MAX_REPORTED_NAME_CHARS).collect();
            return Err(FrameError::OtherCluster(name));
        }
        if envelope.config_fingerprint != self.config_fingerprint {
            return Err(FrameError::ConfigMismatch);
        }
        let from = NodeId::try_from(envelope.from).ok().filter(|node| *node != self.node_id);
        let from = from.ok_or(FrameError::UnknownSender(envelope.from))?;
        let payload = envelope.payload.ok_or(FrameError::Malformed)?;
        let is_current = matches!(payload, Payload::Hello(_)) || envelope.incarnation == self.incarnation;
        if is_current { Ok((from, payload)) } else { Err(FrameError::Stale) }
    }
}
