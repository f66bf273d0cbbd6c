//! Who is in the fleet, version by version (`docs/design/members.md`).
//!
//! Guarantees: two lists in a row differ by one voter at most, so that majorities of both have a node in common; a number is
//! given once, also after its node has gone; there is always a voter, and never more than [`MOST_VOTERS`]. It does not know who can
//! be heard: whoever asks for a change says so.

use crate::lease::Voters;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// Most nodes that vote: more make each write slower and outlast no more losses than anybody has.
pub const MOST_VOTERS: usize = 7;
/// Most nodes in all: each has a link with each other one.
pub const MOST_MEMBERS: usize = 10;
/// Longest name, in bytes.
pub const MOST_NAME: usize = 64;

/// The number of a node: given once.
pub type Number = u8;

/// What a node does for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It votes, and says yes to leases.
    Voter,
    /// It has the log, and acts on versions by leases of the voters.
    Learner,
}

/// A node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Node {
    /// Given once.
    pub number: Number,
    /// As its configuration has it.
    pub name: String,
    /// Where it listens for the others.
    pub address: SocketAddr,
    /// What it does.
    pub role: Role,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// A new node, as a learner.
    Join {
        /// Its name.
        name: String,
        /// Where it listens.
        address: SocketAddr,
    },
    /// A learner that has caught up votes from now on.
    Promote(Number),
    /// A node goes.
    Leave {
        /// Which.
        number: Number,
        /// Also if the rest could not outlast its next loss.
        force: bool,
    },
}

/// Why a change was turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The name is empty, too long, or has a blank or `=` in it.
    Name,
    /// A member has this name or this address.
    Taken(String),
    /// There are [`MOST_MEMBERS`], or no number is left.
    Full,
    /// There are [`MOST_VOTERS`].
    Voters,
    /// Nobody has this number, or it votes already.
    Nobody(Number),
    /// Its log lacks what the leader's had.
    Behind(Number),
    /// It is the last one that votes.
    Last,
    /// Without it too few voters can be heard: so many of so many.
    Alone(usize, usize),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Name => write!(f, "a name has 1 to {MOST_NAME} bytes, and no blank or '=' in it"),
            Refused::Taken(by) => write!(f, "node {by} has that name or address"),
            Refused::Full => write!(f, "there are {MOST_MEMBERS} nodes, or no number is left"),
            Refused::Voters => write!(f, "{MOST_VOTERS} nodes vote already; it stays a learner"),
            Refused::Nobody(number) => write!(f, "there is no such node as {number} to do that with"),
            Refused::Behind(number) => write!(f, "node {number} has not caught up with the log yet"),
            Refused::Last => f.write_str("it is the last node that votes"),
            Refused::Alone(heard, of) => write!(
                f,
                "without it {heard} of {of} voters can be heard, which is no majority; --force if that is meant"
            ),
        }
    }
}

/// What is known of the others as a change is asked for.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Who can be heard, the one who asks among them.
    pub heard: BTreeSet<Number>,
    /// Whose log has all that the leader's had when they were let in.
    pub caught_up: BTreeSet<Number>,
}

/// The members of one version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members {
    nodes: Vec<Node>,
    next: Number,
}

impl Members {
    /// Those of version 0: all vote, numbered in the order in which every script has them.
    /// Names and addresses are as the script has them: each node may reach the others in its own way.
    pub fn first(script: &[(String, SocketAddr)]) -> Result<Self, Refused> {
        if script.is_empty() || script.len() > MOST_VOTERS {
            return Err(if script.is_empty() { Refused::Last } else { Refused::Voters });
        }
        let node = |(number, (name, address)): (Number, &(String, SocketAddr))| Node {
            number,
            name: name.clone(),
            address: *address,
            role: Role::Voter,
        };
        let nodes: Vec<Node> = (0..).zip(script).map(node).collect();
        let next = nodes.len() as Number;
        Ok(Members { nodes, next })
    }

    /// All of them, by number.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// The node of this number.
    pub fn get(&self, number: Number) -> Option<&Node> {
        self.nodes.iter().find(|n| n.number == number)
    }

    /// Whether this number was given to a node that has gone since.
    pub fn has_gone(&self, number: Number) -> bool {
        number < self.next && self.get(number).is_none()
    }

    /// Numbers of those that vote.
    pub fn voters(&self) -> impl Iterator<Item = Number> + '_ {
        self.nodes.iter().filter(|n| n.role == Role::Voter).map(|n| n.number)
    }

    /// Whether these are a majority of the voters; who does not vote does not count.
    pub fn is_majority(&self, said: &BTreeSet<Number>) -> bool {
        self.electorate().is_majority(said)
    }

    /// Who votes, as leases count them.
    pub fn electorate(&self) -> Voters {
        self.voters().collect()
    }

    /// Learners that may vote once their logs have caught up; none while there is no room.
    pub fn candidates(&self) -> impl Iterator<Item = Number> + '_ {
        let room = self.voters().count() < MOST_VOTERS;
        self.nodes.iter().filter(move |n| room && n.role == Role::Learner).map(|n| n.number)
    }

    /// The list after a change, or why not.
    pub fn after(&self, change: &Change, seen: &Seen) -> Result<Members, Refused> {
        let mut members = self.clone();
        match change {
            Change::Join { name, address } => drop(members.add(name, *address)?),
            Change::Promote(number) if !seen.caught_up.contains(number) => {
                return Err(Refused::Behind(*number));
            }
            Change::Promote(number) => members.promote(*number)?,
            Change::Leave { number, force } => {
                self.get(*number).ok_or(Refused::Nobody(*number))?;
                members.nodes.retain(|n| n.number != *number);
                let of = members.voters().count();
                if of == 0 {
                    return Err(Refused::Last);
                }
                if !force && !members.is_majority(&seen.heard) {
                    let heard = members.voters().filter(|n| seen.heard.contains(n)).count();
                    return Err(Refused::Alone(heard, of));
                }
            }
        }
        Ok(members)
    }

    fn add(&mut self, name: &str, address: SocketAddr) -> Result<Number, Refused> {
        if name.is_empty() || name.len() > MOST_NAME || name.contains([' ', '\t', '\n', '=']) {
            return Err(Refused::Name);
        }
        if let Some(by) = self.nodes.iter().find(|n| n.name == name || n.address == address) {
            return Err(Refused::Taken(by.name.clone()));
        }
        let after = self.next.checked_add(1).filter(|_| self.nodes.len() < MOST_MEMBERS);
        let (number, after) = (self.next, after.ok_or(Refused::Full)?);
        self.nodes.push(Node { number, name: name.to_string(), address, role: Role::Learner });
        self.next = after;
        Ok(number)
    }

    fn promote(&mut self, number: Number) -> Result<(), Refused> {
        let full = self.voters().count() >= MOST_VOTERS;
        let learner = self.nodes.iter_mut().find(|n| n.number == number && n.role == Role::Learner);
        let learner = learner.ok_or(Refused::Nobody(number))?;
        if full {
            return Err(Refused::Voters);
        }
        learner.role = Role::Voter;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn of(size: u16) -> Members {
        let script: Vec<_> = (0..size).map(|n| (format!("n{n}"), at(n + 1))).collect();
        Members::first(&script).expect("a fleet")
    }

    fn join(name: &str, port: u16) -> Change {
        Change::Join { name: name.into(), address: at(port) }
    }

    #[test]
    fn a_table_of_changes() {
        let (all, few) = (BTreeSet::from([0, 1, 2, 3]), BTreeSet::from([0]));
        let seen = |heard: &BTreeSet<Number>| Seen { heard: heard.clone(), caught_up: BTreeSet::from([3]) };
        let four = of(3).after(&join("n3", 9), &seen(&all)).expect("a learner");
        let leave = |number, force| Change::Leave { number, force };
        let cases = [
            (&of(3), join("n1", 9), &all, Err(Refused::Taken("n1".into()))),
            (&of(3), join("n9", 2), &all, Err(Refused::Taken("n1".into()))),
            (&of(3), join("", 9), &all, Err(Refused::Name)),
            (&of(3), join("a b", 9), &all, Err(Refused::Name)),
            (&of(3), Change::Promote(2), &all, Err(Refused::Behind(2))),
            (&four, Change::Promote(3), &all, Ok(4)),
            (&of(3), Change::Promote(3), &all, Err(Refused::Nobody(3))),
            (&of(3), leave(2, false), &all, Ok(2)),
            // Two that are left, one of which cannot be heard, would stand still at once.
            (&of(3), leave(2, false), &few, Err(Refused::Alone(1, 2))),
            (&of(3), leave(2, true), &few, Ok(2)),
            (&of(3), leave(7, true), &all, Err(Refused::Nobody(7))),
            (&of(1), leave(0, true), &all, Err(Refused::Last)),
            (&four, leave(3, false), &all, Ok(3)),
        ];
        for (i, (members, change, heard, expected)) in cases.into_iter().enumerate() {
            let voters = members.after(&change, &seen(heard)).map(|m| m.voters().count());
            assert_eq!(voters, expected, "case {i}: {change:?}");
        }
        assert_eq!(Members::first(&[]), Err(Refused::Last));
        assert!(Members::first(&(0..8).map(|n| (format!("n{n}"), at(n + 1))).collect::<Vec<_>>()).is_err());
    }

    // Guards against two majorities that know nothing of each other, and against a number that comes back.
    #[test]
    fn majorities_of_two_lists_in_a_row_have_a_node_in_common() {
        let mut rng = fastrand::Rng::with_seed(4);
        let mut changes = 0;
        for _ in 0..300 {
            let mut now = of(rng.u16(1..6));
            let mut given: BTreeSet<Number> = now.nodes().iter().map(|n| n.number).collect();
            for port in 100..160 {
                let any = |rng: &mut fastrand::Rng| now.nodes()[rng.usize(..now.nodes().len())].number;
                let change = match rng.u8(..3) {
                    0 => join(&format!("p{port}"), port),
                    1 => Change::Promote(any(&mut rng)),
                    _ => Change::Leave { number: any(&mut rng), force: rng.bool() },
                };
                let some: BTreeSet<Number> =
                    now.nodes().iter().map(|n| n.number).filter(|_| rng.bool()).collect();
                let Ok(next) = now.after(&change, &Seen { heard: some.clone(), caught_up: some }) else {
                    continue;
                };
                changes += 1;
                let new = next.nodes().iter().map(|n| n.number).find(|n| now.get(*n).is_none());
                assert!(new.is_none_or(|n| given.insert(n)), "{new:?} was given twice");
                let (a, b): (Vec<_>, Vec<_>) = (now.voters().collect(), next.voters().collect());
                assert!((1..=MOST_VOTERS).contains(&b.len()));
                // The largest sets without a majority, seen from the other side: two that are apart would need more nodes
                // than there are.
                let union: BTreeSet<_> = a.iter().chain(&b).collect();
                assert!(a.len() / 2 + 1 + b.len() / 2 + 1 > union.len(), "{a:?} and {b:?}");
                now = next;
            }
        }
        assert!(changes > 5_000, "only {changes}");
        let gone = of(3).after(&Change::Leave { number: 1, force: true }, &Seen::default()).expect("two");
        assert!(gone.has_gone(1) && !gone.has_gone(0) && !gone.has_gone(3));
    }
}
