//! One connection with another node, and the frames on it: a length of four bytes, little-endian, then a message.

use crate::io::System;
use crate::io::link::Link;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_cluster::NodeId;
use gaugestand_cluster::wire::{FrameError, MAX_MESSAGE_BYTES};
use std::net::SocketAddr;

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;
/// A connection that has not identified itself by then is closed: it holds a descriptor.
const IDENTIFICATION_TIMEOUT: Micros = Micros::millis(2_000);

/// Another node's name for itself on one connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Identified {
    pub node: NodeId,
    /// What it called its incarnation: messages to it carry that number.
    pub incarnation: u64,
}

/// A connection with another node.
#[derive(Debug)]
pub(super) struct Connection<S: System> {
    pub link: Link<S>,
    /// When it was made, or accepted.
    pub opened_at: Timestamp,
    /// This node has sent its hello.
    pub hello_sent: bool,
    /// The node that this node made it to; none if it came in.
    pub target: Option<NodeId>,
    /// The other node, once its hello has come.
    pub identified: Option<Identified>,
}

impl<S: System> Connection<S> {
    pub fn new(link: Link<S>, now: Timestamp, target: Option<NodeId>) -> Self {
        Connection { link, opened_at: now, hello_sent: false, target, identified: None }
    }

    /// Whether it was made to this node, or has identified itself as it.
    pub fn belongs_to(&self, node: NodeId) -> bool {
        self.target == Some(node) || self.identified.is_some_and(|identified| identified.node == node)
    }

    /// Until when the other node has to identify itself; none once it has.
    pub fn identification_deadline(&self) -> Option<Timestamp> {
        let deadline = self.opened_at.plus(IDENTIFICATION_TIMEOUT);
        if self.identified.is_none() { Some(deadline) } else { None }
    }
}

/// Another node.
#[derive(Debug)]
pub(super) struct Peer {
    pub name: String,
    /// Where it listens, if that is known.
    pub address: Option<SocketAddr>,
    /// When a connection may be made again.
    pub reconnect_at: Timestamp,
    /// Index of the connection that it is reached over.
    pub connection: Option<usize>,
}

impl Peer {
    pub fn new(name: String) -> Self {
        Peer { name, address: None, reconnect_at: Timestamp(0), connection: None }
    }
}

/// A message with its length.
pub(super) fn frame(message: &[u8]) -> Vec<u8> {
    let mut frame = (message.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(message);
    frame
}

/// The first message of the input with the length of its frame; none if it is not complete.
pub(super) fn first_message(input: &[u8]) -> Result<Option<(usize, &[u8])>, FrameError> {
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::Malformed);
    }
    let end = LENGTH_BYTES + length;
    Ok(input.get(LENGTH_BYTES..end).map(|message| (end, message)))
}
