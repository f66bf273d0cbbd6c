//! Operators' proposals, and this node's part in those of others. Results come as [`Task`](super::Task).

use super::Peers;
use crate::io::System;
use gaugestand_admission::time::Timestamp;
use gaugestand_cluster::consensus::{Event, Unacceptable, ValidationId};
use gaugestand_cluster::membership::MembershipChange;
use gaugestand_cluster::{NodeId, Version};
use std::rc::Rc;

impl<S: System> Peers<S> {
    /// An operator proposes a content for the next version.
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

    /// An operator requests a change of the membership.
    pub fn change_membership(&mut self, now: Timestamp, ticket: u64, change: MembershipChange) {
        self.step(now, Event::ChangeMembership { ticket, change });
    }

    /// Result of a [`Task::Validate`](super::Task::Validate).
    pub fn on_validated(
        &mut self,
        now: Timestamp,
        validation: ValidationId,
        result: Result<(), Unacceptable>,
    ) {
        self.step(now, Event::Validated { validation, result });
    }

    /// This node is about to leave service: another node has to lead.
    pub fn start_drain(&mut self, now: Timestamp) {
        self.step(now, Event::Draining);
    }

    /// The number of the node of this name.
    pub fn node_by_name(&self, name: &str) -> Option<NodeId> {
        let members = self.consensus.membership().members();
        members.iter().find(|member| member.name == name).map(|member| member.id)
    }

    /// The content of a committed version, if it is kept.
    pub fn content(&self, version: Version) -> Option<Rc<[u8]>> {
        self.consensus.content(version)
    }
}
