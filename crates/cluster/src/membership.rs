//! The nodes that belong to the cluster, version by version. The design is described in
//! `docs/design/members.md`.
//!
//! Guarantees: two consecutive memberships differ by one voter at most, so that majorities of both have a
//! node in common; a node number is assigned only once, even after its node was removed; there is always at
//! least one voter, and never more than [`MAX_VOTERS`]. This module does not know which nodes can be reached:
//! the caller that requests a change passes in a [`ClusterView`].

use crate::NodeId;
use crate::voters::VoterSet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of voters in a cluster. Seven voters tolerate the loss of three; more would make each
/// commit and each lease slower.
pub const MAX_VOTERS: usize = 7;
/// Maximum number of nodes in a cluster, voters and learners together. Each node keeps a link to each other
/// node.
pub const MAX_MEMBERS: usize = 10;
/// Longest node name, in bytes. Names are printed in status lines and passed in one-line admin commands.
pub const MAX_NAME_BYTES: usize = 64;
/// Characters that a node name may not contain: the separators of admin commands and of `NAME=ADDRESS`.
const NAME_SEPARATORS: [char; 4] = [' ', '\t', '\n', '='];

/// Role of a node in the consensus.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The node votes: it counts towards majorities, and its grants count for leases.
    Voter,
    /// The node receives the log and acts on versions under leases that voters grant, but does not vote.
    Learner,
}

/// A node of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Number of the node, never reused in this cluster.
    #[serde(rename = "number")]
    pub id: NodeId,
    /// Name of the node, as in that node's configuration; unique in the cluster.
    pub name: String,
    /// Address at which the node listens for the other nodes.
    pub address: SocketAddr,
    /// Whether the node votes.
    pub role: Role,
}

/// A change of the membership. Operators request joins and removals, the leader promotions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MembershipChange {
    /// Add a new node, as a learner.
    Join {
        /// Name of the new node, 1 to [`MAX_NAME_BYTES`] bytes.
        name: String,
        /// Address at which the new node listens for the other nodes.
        address: SocketAddr,
    },
    /// Make a learner a voter. The leader proposes this once the learner's log has caught up.
    Promote(NodeId),
    /// Remove a node.
    #[serde(rename = "leave")]
    Remove {
        /// Number of the node to remove.
        #[serde(rename = "number")]
        id: NodeId,
        /// Remove the node even if the remaining voters that can be reached are no majority.
        force: bool,
    },
}

/// Why a change of the membership was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The new node's name is empty, too long, or contains a separator.
    #[error("a name has 1 to {max} bytes, and no blank or '=' in it", max = MAX_NAME_BYTES)]
    InvalidName,
    /// A member has the name or the address of the new node. The field is that member's name.
    #[error("node {0} has that name or address")]
    Duplicate(String),
    /// The cluster has [`MAX_MEMBERS`] nodes, or all node numbers were assigned.
    #[error("there are {max} nodes, or no number is left", max = MAX_MEMBERS)]
    Full,
    /// The cluster would have more than [`MAX_VOTERS`] voters.
    #[error("{max} nodes vote already; it stays a learner", max = MAX_VOTERS)]
    TooManyVoters,
    /// The node to remove is not a member, or the node to promote is not a learner.
    #[error("there is no such node as {0} to do that with")]
    UnknownNode(NodeId),
    /// The log of the learner to promote lacks committed entries. The field is the learner's number.
    #[error("node {0} has not caught up with the log yet")]
    NotCaughtUp(NodeId),
    /// The change would leave the cluster without a voter.
    #[error("it is the last node that votes")]
    LastVoter,
    /// The removal would leave too few voters that can be reached for a majority.
    #[error(
        "without it {reachable} of {voters} voters can be heard, which is no majority; --force if that is meant"
    )]
    NoMajorityLeft {
        /// Voters after the removal that can be reached.
        reachable: usize,
        /// Voters after the removal.
        voters: usize,
    },
}

/// State of the other nodes, as the leader knows it, that a membership change is checked against.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Nodes that can be reached, including the leader.
    pub reachable: BTreeSet<NodeId>,
    /// Nodes whose logs have all committed entries.
    pub caught_up: BTreeSet<NodeId>,
}

/// The nodes of the cluster under one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    #[serde(rename = "nodes")]
    members: Vec<Member>,
    /// Number that the next new node gets; all lower numbers were assigned.
    #[serde(rename = "next")]
    next_id: NodeId,
}

impl Membership {
    /// The membership of version 0: all configured nodes vote, and are numbered in the order of the
    /// configuration. Names and order have to be the same on all nodes. Addresses may differ, as each node
    /// may reach the others in its own way.
    ///
    /// # Errors
    /// [`MembershipError::LastVoter`] if no node is configured, and [`MembershipError::TooManyVoters`] if
    /// there are more than [`MAX_VOTERS`].
    pub fn initial(configured: &[(String, SocketAddr)]) -> Result<Self, MembershipError> {
        if configured.is_empty() {
            return Err(MembershipError::LastVoter);
        }
        if configured.len() > MAX_VOTERS {
            return Err(MembershipError::TooManyVoters);
        }
        let voter = |(id, (name, address)): (NodeId, &(String, SocketAddr))| Member {
            id,
            name: name.clone(),
            address: *address,
            role: Role::Voter,
        };
        let members: Vec<Member> = (0..).zip(configured).map(voter).collect();
        let next_id = members.len() as NodeId;
        Ok(Membership { members, next_id })
    }

    /// All nodes of the cluster, in ascending order of their numbers.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The node with this number; `None` if it is not a member.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether the node with this number was a member and has been removed.
    pub fn was_removed(&self, id: NodeId) -> bool {
        id < self.next_id && self.get(id).is_none()
    }

    /// Numbers of the nodes that vote, in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members.iter().filter(|member| member.role == Role::Voter).map(|member| member.id)
    }

    /// Whether the voters among `nodes` are a majority of all voters; other nodes in `nodes` are ignored.
    pub fn is_majority(&self, nodes: &BTreeSet<NodeId>) -> bool {
        self.voter_set().is_majority(nodes)
    }

    /// The nodes that vote, as the set that the lease rules use.
    pub fn voter_set(&self) -> VoterSet {
        self.voters().collect()
    }

    /// Learners that the leader may promote once their logs have caught up; none while there are
    /// [`MAX_VOTERS`] voters.
    pub fn promotable_learners(&self) -> impl Iterator<Item = NodeId> + '_ {
        let has_room = self.voters().count() < MAX_VOTERS;
        let learners = self.members.iter().filter(move |member| has_room && member.role == Role::Learner);
        learners.map(|member| member.id)
    }

    /// The membership that results from a change. `self` is not modified.
    ///
    /// # Errors
    /// The change is not possible or not safe at present, for example [`MembershipError::NotCaughtUp`] for a
    /// learner whose log lacks committed entries, or [`MembershipError::NoMajorityLeft`] for a removal that
    /// is not forced. This membership stays in effect.
    pub fn after(
        &self,
        change: &MembershipChange,
        view: &ClusterView,
    ) -> Result<Membership, MembershipError> {
        let mut membership = self.clone();
        match change {
            MembershipChange::Join { name, address } => membership.join(name, *address)?,
            MembershipChange::Promote(id) if !view.caught_up.contains(id) => {
                return Err(MembershipError::NotCaughtUp(*id));
            }
            MembershipChange::Promote(id) => membership.promote(*id)?,
            MembershipChange::Remove { id, force } => membership.remove(*id, *force, view)?,
        }
        Ok(membership)
    }

    fn join(&mut self, name: &str, address: SocketAddr) -> Result<(), MembershipError> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains(NAME_SEPARATORS) {
            return Err(MembershipError::InvalidName);
        }
        let same = self.members.iter().find(|member| member.name == name || member.address == address);
        if let Some(same) = same {
            return Err(MembershipError::Duplicate(same.name.clone()));
        }
        let next_id = self.next_id.checked_add(1).filter(|_| self.members.len() < MAX_MEMBERS);
        let next_id = next_id.ok_or(MembershipError::Full)?;
        let id = std::mem::replace(&mut self.next_id, next_id);
        self.members.push(Member { id, name: name.to_string(), address, role: Role::Learner });
        Ok(())
    }

    fn promote(&mut self, id: NodeId) -> Result<(), MembershipError> {
        let is_full = self.voters().count() >= MAX_VOTERS;
        let learner = self.members.iter_mut().find(|member| member.id == id && member.role == Role::Learner);
        let learner = learner.ok_or(MembershipError::UnknownNode(id))?;
        if is_full {
            return Err(MembershipError::TooManyVoters);
        }
        learner.role = Role::Voter;
        Ok(())
    }

    fn remove(&mut self, id: NodeId, force: bool, view: &ClusterView) -> Result<(), MembershipError> {
        if self.get(id).is_none() {
            return Err(MembershipError::UnknownNode(id));
        }
        self.members.retain(|member| member.id != id);
        let voters = self.voters().count();
        if voters == 0 {
            return Err(MembershipError::LastVoter);
        }
        if !force && !self.is_majority(&view.reachable) {
            let reachable = self.voters().filter(|voter| view.reachable.contains(voter)).count();
            return Err(MembershipError::NoMajorityLeft { reachable, voters });
        }
        Ok(())
    }
}
