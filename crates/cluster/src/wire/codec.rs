//! Encoding of messages, and the checks on those that come in.

use super::PROTOCOL_VERSION;
use super::messages::{Envelope, Hello, Payload};
use crate::NodeId;
use prost::Message as _;

/// Characters of another cluster's name that an error keeps: the name comes from outside and goes to the log.
const MAX_REPORTED_NAME_CHARS: usize = 64;

/// Why a message was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// It is not a message, or longer than [`MAX_MESSAGE_BYTES`](super::MAX_MESSAGE_BYTES).
    #[error("what it says cannot be read")]
    Malformed,
    /// It has another protocol version.
    #[error("it speaks form {0}, this program {supported}; run one program on all nodes", supported = PROTOCOL_VERSION)]
    ProtocolVersion(u32),
    /// It is of another cluster.
    #[error("it is of the fleet {0:?}")]
    OtherCluster(String),
    /// The sender has other members, another lease duration, another drift bound or other lists configured.
    #[error(
        "it was told other members, another contradict_ms or other lists; give all nodes the same fleet(...)"
    )]
    ConfigMismatch,
    /// The sender has the number of no member, or this node's own.
    #[error("it says that it is node {0}, which is none of the others")]
    UnknownSender(u32),
    /// The sender was removed from the cluster.
    #[error("it says that it is node {node}, which was removed")]
    RemovedSender {
        /// The sender.
        node: NodeId,
        /// Its incarnation, to which the removal is reported.
        incarnation: u64,
    },
    /// It is for an earlier incarnation of this node, or out of order on its link.
    #[error("it speaks to an earlier life of this node")]
    Stale,
}

/// Encodes this node's messages and decodes those of others.
#[derive(Clone, Debug)]
pub struct FrameCodec {
    /// The cluster's name.
    pub cluster: String,
    /// Fingerprint of the configuration that all nodes have to share.
    pub config_fingerprint: u64,
    /// This node.
    pub node_id: NodeId,
    /// This incarnation of it; not 0.
    pub incarnation: u64,
}

impl FrameCodec {
    /// A message for a reader of this incarnation.
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

    /// The first message on a link.
    pub fn hello(&self, program: &str) -> Vec<u8> {
        let hello = Hello { incarnation: self.incarnation, program: program.to_string() };
        self.encode(Payload::Hello(hello), 0)
    }

    /// Reads a message. A hello may come from any node of the cluster, all else only for this incarnation.
    ///
    /// # Errors
    /// The bytes are not a message of this protocol version, or it comes from another cluster, a node with
    /// another configuration, or an unknown sender. [`FrameError::Stale`] is for an earlier incarnation of
    /// this node. The message must not be acted on.
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
