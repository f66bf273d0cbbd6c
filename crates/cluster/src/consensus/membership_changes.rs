//! Changes of the membership, and transfers of leadership.
//!
//! A new node joins as a learner. The leader promotes it to a voter once its log has all committed entries,
//! so that a node with an empty log never counts towards a majority. A leader that is to be removed, or that
//! drains, first hands leadership over.

use super::proposals::Origin;
use super::{Command, Consensus};
use crate::NodeId;
use crate::log_storage::raft_id;
use crate::membership::{ClusterView, Membership, MembershipChange};
use gaugestand_admission::time::Timestamp;
use raft::prelude::{ConfChange, ConfChangeType};

/// Converts a membership change to the raft library's type. `after` is the membership that results from the
/// change.
pub(super) fn conf_change(change: &MembershipChange, after: &Membership) -> ConfChange {
    let (change_type, node) = match change {
        MembershipChange::Join { .. } => {
            let joined = after.members().iter().map(|member| member.id).max().unwrap_or_default();
            (ConfChangeType::AddLearnerNode, joined)
        }
        MembershipChange::Promote(id) => (ConfChangeType::AddNode, *id),
        MembershipChange::Remove { id, .. } => (ConfChangeType::RemoveNode, *id),
    };
    ConfChange { change_type, node_id: raft_id(node), ..ConfChange::default() }
}

impl Consensus {
    /// The state of the other nodes that a membership change is checked against.
    pub(super) fn cluster_view(&self) -> ClusterView {
        let committed = self.raft.raft.raft_log.committed;
        let has_all = |id: &NodeId| {
            let progress = self.raft.raft.prs().get(raft_id(*id));
            progress.is_some_and(|progress| progress.matched >= committed)
        };
        let caught_up = self.membership.promotable_learners().filter(has_all).collect();
        ClusterView { reachable: self.reachable(), caught_up }
    }

    /// Proposes to promote a learner that has caught up with the log, if this node leads and can accept a
    /// proposal.
    pub(super) fn promote_learner(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        // This check comes first: there is rarely a learner to promote, and without one the log need not be
        // read.
        if self.membership.promotable_learners().next().is_none() {
            return;
        }
        if !self.is_leader() || self.draining || !self.is_settled() {
            return;
        }
        let caught_up = self.cluster_view().caught_up.first().copied();
        if let Some(change) = caught_up.map(MembershipChange::Promote) {
            self.propose(now, Origin::Leader, change.into(), commands);
        }
    }

    /// Asks the raft library to hand leadership over to a voter that can be reached, if this node leads.
    pub(super) fn transfer_leadership(&mut self) {
        if !self.is_leader() {
            return;
        }
        // Only a voter can succeed: the library ignores a transfer to a learner, and this node would remain
        // the leader.
        let successor = self.membership.voters().find(|voter| self.linked.contains(voter));
        if let Some(successor) = successor {
            self.raft.transfer_leader(raft_id(successor));
        }
    }
}
