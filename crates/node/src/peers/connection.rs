//! One connection with another node, and its frames: each is a message after its length, which has four bytes
//! in little-endian order.

use crate::io::System;
use crate::io::link::Link;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_cluster::NodeId;
use gaugestand_cluster::wire::{FrameError, MAX_MESSAGE_BYTES};
use std::net::SocketAddr;

/// Size of the length before each message, in bytes.
const LENGTH_BYTES: usize = 4;
/// Time after which a connection is closed if the other node has not sent its hello: such a connection takes
/// up a descriptor.
const IDENTIFICATION_TIMEOUT: Micros = Micros::millis(2_000);

/// What the other node said in its hello on one connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Identified {
    pub node: NodeId,
    /// Number of the other node's incarnation; messages to the node carry it.
    pub incarnation: u64,
}

/// A connection with another node.
#[derive(Debug)]
pub(super) struct Connection<S: System> {
    pub link: Link<S>,
    /// When the connection was established or accepted.
    pub opened_at: Timestamp,
    /// Whether this node has sent its hello.
    pub hello_sent: bool,
    /// The node that this node connected to; none if the connection was accepted.
    pub target: Option<NodeId>,
    /// The other node, once its hello has arrived.
    pub identified: Option<Identified>,
}

impl<S: System> Connection<S> {
    pub fn new(link: Link<S>, now: Timestamp, target: Option<NodeId>) -> Self {
        Connection { link, opened_at: now, hello_sent: false, target, identified: None }
    }

    /// Whether the connection was made to `node`, or the other side has identified itself as `node`.
    pub fn belongs_to(&self, node: NodeId) -> bool {
        self.target == Some(node) || self.identified.is_some_and(|identified| identified.node == node)
    }

    /// The time by which the other node has to send its hello; none once it has.
    pub fn identification_deadline(&self) -> Option<Timestamp> {
        let deadline = self.opened_at.plus(IDENTIFICATION_TIMEOUT);
        if self.identified.is_none() { Some(deadline) } else { None }
    }
}

/// Another member of the cluster, and the connection with it.
#[derive(Debug)]
pub(super) struct Peer {
    pub name: String,
    /// The address at which the node listens; none if it is not known yet.
    pub address: Option<SocketAddr>,
    /// Earliest time of the next attempt to connect to the node.
    pub reconnect_at: Timestamp,
    /// Index of the connection over which messages are sent to the node.
    pub connection: Option<usize>,
}

impl Peer {
    pub fn new(name: String) -> Self {
        Peer { name, address: None, reconnect_at: Timestamp(0), connection: None }
    }
}

/// Frames a message: puts its length before it.
pub(super) fn frame(message: &[u8]) -> Vec<u8> {
    let mut frame = (message.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(message);
    frame
}

/// The first message of the input, and the length of its frame in bytes; none if the message is not complete.
/// Fails if the message is longer than [`MAX_MESSAGE_BYTES`].
pub(super) fn first_message(input: &[u8]) -> Result<Option<(usize, &[u8])>, FrameError> {
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::Malformed);
    }
    let end = LENGTH_BYTES + length;
    Ok(input.get(LENGTH_BYTES..end).map(|message| (end, message)))
}
