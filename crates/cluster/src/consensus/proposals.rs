//! Handles proposals from their arrival to their answer.
//!
//! An operator may propose at any node. A node that is not the leader forwards the proposal to the leader,
//! and a forwarded proposal is not forwarded again. The leader processes one proposal at a time, and accepts
//! one only while the last version in its log is active. A content is validated by all nodes that can be
//! reached. It is appended to the log once all of them accept it, or once a majority does and
//! [`VALIDATION_TIMEOUT`] has passed. A membership change keeps the last committed content, so there is
//! nothing to validate.

use super::membership_changes::conf_change;
use super::{Command, Consensus, ProposalError, Unacceptable, ValidationId};
use crate::membership::{Membership, MembershipChange};
use crate::wire::{
    ForwardedProposal, MAX_CONTENT_BYTES, Payload, ProposalResult, ValidationRequest, ValidationResult,
    VersionEntry,
};
use crate::{NodeId, Version};
use gaugestand_admission::time::{Micros, Timestamp};
use prost::Message as _;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Content of a version that only changes the membership, if no version was committed before it.
const EMPTY_CONTENT: &[u8] = br#"{"settings":null,"lists":{}}"#;
/// Time for nodes to validate a content: a validation takes milliseconds, and an operator waits for the
/// result.
const VALIDATION_TIMEOUT: Micros = Micros::millis(1_000);
/// Time for a forwarded or an appended proposal to get its result. Together with the validation this is less
/// than the time that `gaugestand fleet` waits for an answer.
const RESULT_TIMEOUT: Micros = Micros::millis(2_500);
/// Maximum number of forwarded proposals that wait for a result at a time; each belongs to an open call of an
/// operator.
const MAX_FORWARDED: usize = 16;

/// The origin of a proposal, which also receives its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// An operator at this node; `ticket` is the caller's number of the proposal.
    Local { ticket: u64 },
    /// An operator at the node `from`, which forwarded the proposal; `ticket` is that node's number of it.
    Forwarded { from: NodeId, ticket: u64 },
    /// This node itself, as the leader that promotes a learner. Nobody receives the result.
    Leader,
}

/// A proposal as it was received, either of a content or, with `change`, of a membership change.
#[derive(Debug)]
pub(super) struct Proposal {
    pub content: Vec<u8>,
    pub expected_version: Option<Version>,
    pub force: bool,
    pub change: Option<MembershipChange>,
}

impl From<MembershipChange> for Proposal {
    fn from(change: MembershipChange) -> Self {
        Proposal { content: Vec::new(), expected_version: None, force: false, change: Some(change) }
    }
}

/// A membership change, and the membership that results from it.
#[derive(Debug)]
struct PlannedChange {
    change: MembershipChange,
    membership: Membership,
}

/// The proposal that the leader is processing.
#[derive(Debug)]
pub(super) struct PendingProposal {
    origin: Origin,
    content: Rc<[u8]>,
    planned_change: Option<PlannedChange>,
    validation_id: u64,
    /// Nodes that the leader asked to validate the content, including itself.
    validators: BTreeSet<NodeId>,
    accepted_by: BTreeSet<NodeId>,
    /// The version that the proposal was appended to the log as; `None` while it is validated.
    pub(super) appended_as: Option<Version>,
    deadline: Timestamp,
}

impl Consensus {
    pub(super) fn propose(
        &mut self,
        now: Timestamp,
        origin: Origin,
        proposal: Proposal,
        commands: &mut Vec<Command>,
    ) {
        let length = proposal.content.len();
        if length > MAX_CONTENT_BYTES {
            return self.answer(origin, Err(ProposalError::TooLong(length)), commands);
        }
        if !self.is_leader() {
            return self.forward(now, origin, proposal, commands);
        }
        match self.admit(&proposal) {
            Ok(planned_change) => self.start(now, origin, proposal, planned_change, commands),
            Err(error) => self.answer(origin, Err(error), commands),
        }
    }

    /// Forwards an operator's proposal to the leader, or rejects it if no leader can be reached.
    fn forward(&mut self, now: Timestamp, origin: Origin, proposal: Proposal, commands: &mut Vec<Command>) {
        let leader = self.leader().filter(|leader| self.linked.contains(leader));
        let (Origin::Local { ticket }, Some(leader)) = (origin, leader) else {
            // A forwarded proposal is not forwarded again: two nodes that each take the other for the leader
            // would send it back and forth without end.
            return self.answer(origin, Err(ProposalError::NoMajority), commands);
        };
        if self.forwarded.len() >= MAX_FORWARDED {
            return self.answer(origin, Err(ProposalError::Busy), commands);
        }
        self.forwarded.insert(ticket, now.plus(RESULT_TIMEOUT));
        self.forwarded_to = Some(leader);
        let change = proposal.change.and_then(|change| serde_json::to_vec(&change).ok());
        let forwarded = ForwardedProposal {
            ticket,
            content: proposal.content,
            expected_version: proposal.expected_version,
            force: proposal.force,
            membership_change: change.unwrap_or_default(),
        };
        commands.push(Command::Send { to: leader, payload: Payload::ForwardedProposal(forwarded) });
    }

    /// Checks whether the leader can accept a proposal now. Returns the membership change that the proposal
    /// makes, if any.
    fn admit(&mut self, proposal: &Proposal) -> Result<Option<PlannedChange>, ProposalError> {
        let last = self.last_committed();
        if proposal.expected_version.is_some_and(|expected| expected != last) {
            return Err(ProposalError::VersionConflict(last));
        }
        if !self.is_settled() || self.draining {
            return Err(ProposalError::Busy);
        }
        let view = self.cluster_view();
        if !self.membership.is_majority(&view.reachable) {
            return Err(ProposalError::NoMajority);
        }
        let Some(change) = proposal.change.clone() else { return Ok(None) };
        let membership = self.membership.after(&change, &view)?;
        if matches!(change, MembershipChange::Remove { id, .. } if id == self.config.node_id) {
            // A leader hands leadership over before it is removed. The operator has to repeat the call, which
            // then reaches the new leader.
            self.transfer_leadership();
            return Err(ProposalError::Busy);
        }
        Ok(Some(PlannedChange { change, membership }))
    }

    fn start(
        &mut self,
        now: Timestamp,
        origin: Origin,
        proposal: Proposal,
        planned_change: Option<PlannedChange>,
        commands: &mut Vec<Command>,
    ) {
        self.last_validation_id += 1;
        let validation_id = self.last_validation_id;
        let changes_membership = planned_change.is_some();
        let content = if changes_membership {
            let last = self.committed.last_key_value().map(|(_, content)| content.clone());
            last.unwrap_or_else(|| Rc::from(EMPTY_CONTENT))
        } else {
            Rc::from(proposal.content)
        };
        self.pending_proposal = Some(PendingProposal {
            origin,
            content: content.clone(),
            planned_change,
            validation_id,
            validators: self.reachable(),
            accepted_by: BTreeSet::new(),
            appended_as: None,
            deadline: now.plus(VALIDATION_TIMEOUT),
        });
        if changes_membership {
            self.append(now, commands);
        } else {
            self.request_validation(validation_id, content, proposal.force, commands);
        }
    }

    fn request_validation(&self, id: u64, content: Rc<[u8]>, force: bool, commands: &mut Vec<Command>) {
        for to in &self.linked {
            let request = ValidationRequest { id, content: content.to_vec(), force };
            commands.push(Command::Send { to: *to, payload: Payload::ValidationRequest(request) });
        }
        let validation = ValidationId { requested_by: self.config.node_id, id };
        commands.push(Command::Validate { validation, content, force });
    }

    /// Handles the result of a validation: by this node for any leader, or by another node for this leader.
    pub(super) fn on_validated(
        &mut self,
        now: Timestamp,
        validator: NodeId,
        validation: ValidationId,
        result: Result<(), Unacceptable>,
        commands: &mut Vec<Command>,
    ) {
        if validation.requested_by != self.config.node_id {
            let problem = result.err().map(|reason| reason.0).unwrap_or_default();
            let payload = Payload::ValidationResult(ValidationResult { id: validation.id, problem });
            return commands.push(Command::Send { to: validation.requested_by, payload });
        }
        let is_current = |pending: &&mut PendingProposal| {
            pending.validation_id == validation.id && pending.appended_as.is_none()
        };
        let Some(pending) = self.pending_proposal.as_mut().filter(is_current) else { return };
        match result {
            Err(reason) => {
                let node = self.membership.get(validator).map(|member| member.name.clone());
                let node = node.unwrap_or_default();
                self.finish_proposal(Err(ProposalError::Invalid { node, reason }), commands);
            }
            Ok(()) => {
                pending.accepted_by.insert(validator);
                if self.is_validated() {
                    self.append(now, commands);
                }
            }
        }
    }

    /// Whether the pending proposal is accepted by a majority of the voters, and by all nodes that were asked
    /// and can still be reached.
    fn is_validated(&self) -> bool {
        let Some(pending) = &self.pending_proposal else { return false };
        let is_reachable = |node: &&NodeId| **node == self.config.node_id || self.linked.contains(*node);
        pending.validators.iter().filter(is_reachable).all(|node| pending.accepted_by.contains(node))
            && self.membership.is_majority(&pending.accepted_by)
    }

    /// Appends the pending proposal to the log as the next version.
    fn append(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        let version = self.raft.store().last_version() + 1;
        let Some(pending) = self.pending_proposal.as_mut() else { return };
        pending.appended_as = Some(version);
        pending.deadline = now.plus(RESULT_TIMEOUT);
        let planned = pending.planned_change.as_ref();
        let membership = planned.and_then(|planned| serde_json::to_vec(&planned.membership).ok());
        let entry = VersionEntry {
            version,
            content: pending.content.to_vec(),
            membership: membership.unwrap_or_default(),
        };
        let entry = entry.encode_to_vec();
        let proposed = match planned.map(|planned| conf_change(&planned.change, &planned.membership)) {
            Some(conf_change) => self.raft.propose_conf_change(entry, conf_change),
            None => self.raft.propose(Vec::new(), entry),
        };
        if proposed.is_err() {
            self.finish_proposal(Err(ProposalError::NoMajority), commands);
        }
    }

    /// Answers forwarded proposals with an unknown result if their deadline has passed.
    pub(super) fn expire_forwarded(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        let expired = self.forwarded.iter().filter(|(_, deadline)| **deadline <= now);
        let expired: Vec<u64> = expired.map(|(ticket, _)| *ticket).collect();
        for ticket in expired {
            self.forwarded.remove(&ticket);
            commands.push(Command::unknown_result(ticket));
        }
    }

    /// Decides on the pending proposal if its deadline has passed.
    pub(super) fn expire_pending_proposal(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        let pending = self.pending_proposal.as_ref().filter(|pending| pending.deadline <= now);
        let Some(pending) = pending else { return };
        if pending.appended_as.is_some() {
            self.finish_proposal(Err(ProposalError::Unknown), commands);
        } else if self.membership.is_majority(&pending.accepted_by) {
            // Nodes that did not answer are skipped: they are probably unreachable, and each validates the
            // version again before it activates it.
            self.append(now, commands);
        } else {
            self.finish_proposal(Err(ProposalError::NoMajority), commands);
        }
    }

    pub(super) fn finish_proposal(
        &mut self,
        result: Result<Version, ProposalError>,
        commands: &mut Vec<Command>,
    ) {
        if let Some(pending) = self.pending_proposal.take() {
            self.answer(pending.origin, result, commands);
        }
    }

    fn answer(&self, origin: Origin, result: Result<Version, ProposalError>, commands: &mut Vec<Command>) {
        match origin {
            Origin::Leader => {}
            Origin::Local { ticket } => commands.push(Command::Answer { ticket, result }),
            Origin::Forwarded { from, ticket } => {
                let problem = result.as_ref().err().map(ProposalError::to_string).unwrap_or_default();
                let version = result.unwrap_or(0);
                let result = ProposalResult { ticket, version, problem };
                commands.push(Command::Send { to: from, payload: Payload::ProposalResult(result) });
            }
        }
    }
}
