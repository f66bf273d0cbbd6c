//! Operators' proposals, and this node's part in the proposals of other nodes. Results are returned as a
//! [`Task`](super::Task).

use super::Peers;
use crate::io::System;
use gaugestand_admission::time::Timestamp;
use gaugestand_cluster::consensus::{Event, Unacceptable, ValidationId};
use gaugestand_cluster::membership::MembershipChange;
use gaugestand_cluster::{NodeId, Version};
use std::rc::Rc;

impl<S: System> Peers<S> {
    /// Proposes a content for the next version, for an operator's call. `ticket` is repeated in the answer.
    /// The proposal fails if `expected_version` is given and is not the last committed version; `force`
    /// accepts a content that starves a class of requests with idempotency keys.
    pub fn propose(
        &mut self,
        now: Timestamp,
        ticket: u64,
        content: Vec<u8>,
        expected_version: Option<Version>,
        force: bool,
    ) {
        self.step(now, Event::Propose { ticket, content, expected_version, force });
    }

    /// Proposes a change of the membership, for an operator's call. `ticket` is repeated in the answer.
    pub fn change_membership(&mut self, now: Timestamp, ticket: u64, change: MembershipChange) {
        self.step(now, Event::ChangeMembership { ticket, change });
    }

    /// Handles the result of a [`Task::Validate`](super::Task::Validate).
    pub fn on_validated(
        &mut self,
        now: Timestamp,
        validation: ValidationId,
        result: Result<(), Unacceptable>,
    ) {
        self.step(now, Event::Validated { validation, result });
    }

    /// Tells the consensus that this node is about to leave service, so that another node becomes the leader.
    pub fn start_drain(&mut self, now: Timestamp) {
        self.step(now, Event::Draining);
    }

    /// The number of the member with this name; none if there is no such member.
    pub fn node_by_name(&self, name: &str) -> Option<NodeId> {
        let members = self.consensus.membership().members();
        members.iter().find(|member| member.name == name).map(|member| member.id)
    }

    /// The content of a committed version; none if it is not kept any more or was never committed.
    pub fn content(&self, version: Version) -> Option<Rc<[u8]>> {
        self.consensus.content(version)
    }
}
