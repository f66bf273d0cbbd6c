//! Who belongs to the cluster, version by version (`docs/design/members.md`).
//!
//! Guarantees: two memberships in a row differ by one voter at most, so that majorities of both have a node in common; a
//! node number is assigned once, also after its node was removed; there is always a voter, and never more than
//! [`MAX_VOTERS`]. It does not know which nodes can be reached: whoever requests a change passes that in.

use crate::NodeId;
use crate::voters::VoterSet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Most nodes that vote: seven outlast the loss of three; more voters make each commit and each lease slower.
pub const MAX_VOTERS: usize = 7;
/// Most nodes, voters and learners: each keeps a link with each other one.
pub const MAX_MEMBERS: usize = 10;
/// Longest name of a node, in bytes: it is printed in status lines and passed in one-line admin commands.
pub const MAX_NAME_BYTES: usize = 64;
/// What no name may contain: the separators of admin commands and of `NAME=ADDRESS`.
const NAME_SEPARATORS: [char; 4] = [' ', '\t', '\n', '='];

/// The part of a node in the consensus.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It votes, and grants leases.
    Voter,
    /// It receives the log, and acts on versions by leases of the voters.
    Learner,
}

/// A node of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its number, never reused.
    #[serde(rename = "number")]
    pub id: NodeId,
    /// Its name, as its configuration has it.
    pub name: String,
    /// Where it listens for the other nodes.
    pub address: SocketAddr,
    /// Whether it votes.
    pub role: Role,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MembershipChange {
    /// A new node joins, as a learner.
    Join {
        /// Its name.
        name: String,
        /// Where it listens for the other nodes.
        address: SocketAddr,
    },
    /// A learner the log of which has caught up becomes a voter.
    Promote(NodeId),
    /// A node is removed.
    #[serde(rename = "leave")]
    Remove {
        /// Which node.
        #[serde(rename = "number")]
        id: NodeId,
        /// Also if too few of the remaining voters can be reached to form a majority.
        force: bool,
    },
}

/// Why a change of the membership was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The name is empty, too long, or contains a separator.
    #[error("a name has 1 to {max} bytes, and no blank or '=' in it", max = MAX_NAME_BYTES)]
    InvalidName,
    /// The member of this name has the new node's name or address.
    #[error("node {0} has that name or address")]
    Duplicate(String),
    /// There are [`MAX_MEMBERS`] nodes, or all numbers were assigned.
    #[error("there are {max} nodes, or no number is left", max = MAX_MEMBERS)]
    Full,
    /// There are [`MAX_VOTERS`] voters.
    #[error("{max} nodes vote already; it stays a learner", max = MAX_VOTERS)]
    TooManyVoters,
    /// No node has this number, or it is a voter already.
    #[error("there is no such node as {0} to do that with")]
    UnknownNode(NodeId),
    /// The log of this learner lacks committed entries.
    #[error("node {0} has not caught up with the log yet")]
    NotCaughtUp(NodeId),
    /// It is the last voter.
    #[error("it is the last node that votes")]
    LastVoter,
    /// The remaining voters that can be reached are no majority.
    #[error(
        "without it {reachable} of {voters} voters can be heard, which is no majority; --force if that is meant"
    )]
    NoMajorityLeft {
        /// Remaining voters that can be reached.
        reachable: usize,
        /// Remaining voters.
        voters: usize,
    },
}

/// What the leader knows of the other nodes when it checks a change.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Nodes that can be reached, the leader among them.
    pub reachable: BTreeSet<NodeId>,
    /// Nodes the log of which has all committed entries.
    pub caught_up: BTreeSet<NodeId>,
}

/// The nodes of the cluster under one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    #[serde(rename = "nodes")]
    members: Vec<Member>,
    /// The number that the next node gets; all lower ones were assigned.
    #[serde(rename = "next")]
    next_id: NodeId,
}

impl Membership {
    /// The membership of version 0: all nodes of the configuration vote, numbered in its order. Names and order have to be
    /// the same on all nodes; addresses need not be, as each node may reach the others in its own way.
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

    /// All nodes, in the order of their numbers.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The node of this number.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether the node of this number was a member and has been removed.
    pub fn was_removed(&self, id: NodeId) -> bool {
        id < self.next_id && self.get(id).is_none()
    }

    /// Numbers of the nodes that vote.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members.iter().filter(|member| member.role == Role::Voter).map(|member| member.id)
    }

    /// Whether these nodes are a majority of the voters; nodes that do not vote do not count.
    pub fn is_majority(&self, nodes: &BTreeSet<NodeId>) -> bool {
        self.voter_set().is_majority(nodes)
    }

    /// The nodes that vote, as leases count them.
    pub fn voter_set(&self) -> VoterSet {
        self.voters().collect()
    }

    /// Learners that become voters once their logs have caught up; none while there are [`MAX_VOTERS`].
    pub fn promotable_learners(&self) -> impl Iterator<Item = NodeId> + '_ {
        let has_room = self.voters().count() < MAX_VOTERS;
        let learners = self.members.iter().filter(move |member| has_room && member.role == Role::Learner);
        learners.map(|member| member.id)
    }

    /// The membership after a change.
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
