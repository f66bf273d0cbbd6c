//! Inputs and outputs of the consensus state machine of a node.

use crate::membership::MembershipChange;
use crate::wire::Payload;
use crate::{NodeId, Version};
use gaugestand_admission::log_record::LogRecord;
use std::rc::Rc;

use super::{ProposalError, Unacceptable};

/// An input of the state machine, reported by the caller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message from another node has arrived.
    Received {
        /// The sending node, as identified by the link that the message arrived on.
        from: NodeId,
        /// Payload of the message.
        payload: Payload,
    },
    /// The link to this node is up: messages can be sent to it.
    LinkUp(NodeId),
    /// The link to this node is down.
    LinkDown(NodeId),
    /// The record of the [`Command::Persist`] with this sequence number is durable.
    Persisted(u64),
    /// An operator at this node proposes a content for the next version.
    Propose {
        /// The caller's number of the proposal, repeated in the [`Command::Answer`] to it.
        ticket: u64,
        /// The proposed content, in JSON, at most [`MAX_CONTENT_BYTES`](crate::wire::MAX_CONTENT_BYTES).
        content: Vec<u8>,
        /// Reject the proposal unless this is the last committed version; `None` to skip the check.
        expected_version: Option<Version>,
        /// Accept a content that drops or starves a keyed class with load, or makes it unkeyed.
        force: bool,
    },
    /// An operator at this node requests a change of the membership.
    ChangeMembership {
        /// The caller's number of the proposal, repeated in the [`Command::Answer`] to it.
        ticket: u64,
        /// The requested change.
        change: MembershipChange,
    },
    /// This node has executed a [`Command::Validate`].
    Validated {
        /// Identifies the validation, as in the command.
        validation: ValidationId,
        /// `Ok` if this node could act on the content, otherwise why it could not.
        result: Result<(), Unacceptable>,
    },
    /// This node is about to leave service, so that another node has to become leader.
    Draining,
    /// A timer has expired, see [`Consensus::next_timer`](super::Consensus::next_timer). May be reported at
    /// any time.
    Timer,
}

/// Identifies a validation among those of all leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValidationId {
    /// The leader that requested the validation.
    pub requested_by: NodeId,
    /// Number of the validation, assigned by that leader.
    pub id: u64,
}

/// An output of the state machine. The caller has to execute commands in the order in which they were
/// appended.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a message if the receiver can be reached. The message may be lost.
    Send {
        /// The receiving node.
        to: NodeId,
        /// Payload of the message.
        payload: Payload,
    },
    /// Write a record durably, in the order of the sequence numbers, then report [`Event::Persisted`].
    Persist {
        /// Sequence number of the record, ascending within one incarnation.
        sequence: u64,
        /// The record to write.
        record: LogRecord,
    },
    /// Check whether this node could act on a content, then report [`Event::Validated`].
    Validate {
        /// Identifies the validation, to be repeated in [`Event::Validated`].
        validation: ValidationId,
        /// The content to check, in JSON.
        content: Rc<[u8]>,
        /// Accept a content that drops or starves a keyed class with load, or makes it unkeyed.
        force: bool,
    },
    /// A version is committed. [`Consensus::active_version`](super::Consensus::active_version) says whether
    /// it is also active.
    Committed {
        /// Number of the committed version.
        version: Version,
        /// Content of the committed version, in JSON.
        content: Rc<[u8]>,
    },
    /// The result of a proposal that an operator made at this node.
    Answer {
        /// The caller's number of the proposal, as in [`Event::Propose`] or [`Event::ChangeMembership`].
        ticket: u64,
        /// The version that the proposal was committed as, or why it was rejected.
        result: Result<Version, ProposalError>,
    },
}
