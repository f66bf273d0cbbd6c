//! What goes into and comes out of the state machine.

use crate::membership::MembershipChange;
use crate::wire::Payload;
use crate::{NodeId, Version};
use gaugestand_admission::log_record::LogRecord;
use std::rc::Rc;

use super::{ProposalError, Unacceptable};

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message of another node.
    Received {
        /// The sender, as the link knows it.
        from: NodeId,
        /// The message.
        payload: Payload,
    },
    /// The link to a node is up.
    LinkUp(NodeId),
    /// The link to a node is down.
    LinkDown(NodeId),
    /// The record of this sequence number is durable.
    Persisted(u64),
    /// An operator proposes a content for the next version.
    Propose {
        /// The caller's number of the proposal, repeated in its [`Command::Answer`].
        ticket: u64,
        /// The content.
        content: Vec<u8>,
        /// Propose only if this is the last committed version.
        expected_version: Option<Version>,
        /// Accept a content that starves a keyed class.
        force: bool,
    },
    /// An operator requests a change of the membership.
    ChangeMembership {
        /// The caller's number of the proposal, repeated in its [`Command::Answer`].
        ticket: u64,
        /// The change.
        change: MembershipChange,
    },
    /// Result of a [`Command::Validate`].
    Validated {
        /// Which validation.
        validation: ValidationId,
        /// Whether this node could act on the content.
        result: Result<(), Unacceptable>,
    },
    /// This node is about to leave service: another one has to lead.
    Draining,
    /// Time has passed.
    Timer,
}

/// Names a validation among those of all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValidationId {
    /// The leader that requested it.
    pub requested_by: NodeId,
    /// Its number there.
    pub id: u64,
}

/// What a node has to do, in this order.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a message, if the node can be reached; it may be lost.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        payload: Payload,
    },
    /// Make a record durable, in the order of the sequence numbers, then report [`Event::Persisted`].
    Persist {
        /// Its sequence number.
        sequence: u64,
        /// What to write.
        record: LogRecord,
    },
    /// Check whether this node could act on a content, then report [`Event::Validated`].
    Validate {
        /// Names the validation.
        validation: ValidationId,
        /// The content.
        content: Rc<[u8]>,
        /// Accept a content that starves a keyed class.
        force: bool,
    },
    /// A version is committed. [`Consensus::active_version`](super::Consensus::active_version) says whether it is active.
    Committed {
        /// Its number.
        version: Version,
        /// Its content.
        content: Rc<[u8]>,
    },
    /// The result of an operator's proposal.
    Answer {
        /// The caller's number of the proposal.
        ticket: u64,
        /// The version that it was committed as.
        result: Result<Version, ProposalError>,
    },
}
