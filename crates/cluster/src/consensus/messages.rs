//! Handles messages from other nodes.

use super::proposals::{Origin, Proposal};
use super::{Command, Consensus, ProposalError, Unacceptable, ValidationId};
use crate::NodeId;
use crate::lease;
use crate::log_storage::raft_id;
use crate::wire::{ForwardedProposal, Payload, ProposalResult};
use gaugestand_admission::time::Timestamp;
use protobuf::Message as _;
use raft::prelude::Message;
use std::rc::Rc;

impl Consensus {
    pub(super) fn on_message(
        &mut self,
        now: Timestamp,
        from: NodeId,
        payload: Payload,
        commands: &mut Vec<Command>,
    ) {
        match payload {
            // The caller's links handle these messages.
            Payload::Hello(_) | Payload::Removed(_) => {}
            Payload::Raft(bytes) => self.on_raft_message(from, &bytes),
            Payload::LeaseRequest(request) => {
                let event = lease::Event::LeaseRequested {
                    from,
                    version: request.version,
                    request_id: request.request_id,
                };
                self.on_lease_event(now, event, commands);
            }
            Payload::LeaseGrant(request_id) => {
                self.on_lease_event(now, lease::Event::LeaseGranted { from, request_id }, commands);
            }
            Payload::ValidationRequest(request) => commands.push(Command::Validate {
                validation: ValidationId { requested_by: from, id: request.id },
                content: Rc::from(request.content),
                force: request.force,
            }),
            Payload::ValidationResult(result) => {
                let validation = ValidationId { requested_by: self.config.node_id, id: result.id };
                let accepted =
                    if result.problem.is_empty() { Ok(()) } else { Err(Unacceptable(result.problem)) };
                self.on_validated(now, from, validation, accepted, commands);
            }
            Payload::ForwardedProposal(forwarded) => self.on_forwarded(now, from, forwarded, commands),
            Payload::ProposalResult(result) => self.on_proposal_result(result, commands),
        }
    }

    fn on_raft_message(&mut self, from: NodeId, bytes: &[u8]) {
        let mut message = Message::default();
        // A raft message that names another node as its sender is dropped: the message could count as a vote
        // of that node.
        if message.merge_from_bytes(bytes).is_ok() && message.from == raft_id(from) {
            // The library leaves its state unchanged when it rejects a message, so the error is ignored.
            let _ = self.raft.step(message);
        }
    }

    fn on_forwarded(
        &mut self,
        now: Timestamp,
        from: NodeId,
        forwarded: ForwardedProposal,
        commands: &mut Vec<Command>,
    ) {
        let change = match forwarded.membership_change.as_slice() {
            [] => None,
            bytes => match serde_json::from_slice(bytes) {
                Ok(change) => Some(change),
                // Malformed, or a change that only newer builds know. The proposal is not answered, so the
                // forwarding node reports that the result is unknown.
                Err(_) => return,
            },
        };
        let proposal = Proposal {
            content: forwarded.content,
            expected_version: forwarded.expected_version,
            force: forwarded.force,
            change,
        };
        let origin = Origin::Forwarded { from, ticket: forwarded.ticket };
        self.propose(now, origin, proposal, commands);
    }

    fn on_proposal_result(&mut self, result: ProposalResult, commands: &mut Vec<Command>) {
        let ProposalResult { ticket, version, problem } = result;
        if self.forwarded.remove(&ticket).is_some() {
            let result = if version > 0 { Ok(version) } else { Err(ProposalError::Remote(problem)) };
            commands.push(Command::Answer { ticket, result });
        }
    }
}
