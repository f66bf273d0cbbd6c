//! The set of nodes that vote under a version.

use crate::NodeId;
use std::collections::BTreeSet;

/// Number of node numbers that one word of the set covers, one bit each.
const WORD_BITS: u8 = 64;
/// Number of words in the set: together they have a bit for each possible [`NodeId`].
const WORDS: usize = 4;

/// The nodes that vote under a version. A majority of them commits the next version, and grants leases of
/// this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterSet([u64; WORDS]);

impl VoterSet {
    /// The set of the nodes with the numbers from 0 up to, but not including, `count`.
    pub fn first(count: usize) -> Self {
        (0..count).filter_map(|node| NodeId::try_from(node).ok()).collect()
    }

    fn word_and_bit(node: NodeId) -> (usize, u64) {
        (usize::from(node / WORD_BITS), 1 << (node % WORD_BITS))
    }

    /// Whether this node votes.
    pub fn contains(&self, node: NodeId) -> bool {
        let (word, bit) = Self::word_and_bit(node);
        self.0[word] & bit != 0
    }

    /// Number of nodes that vote.
    pub fn count(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Whether the voters among `nodes` are a majority of all voters; other nodes in `nodes` are ignored.
    pub fn is_majority(&self, nodes: &BTreeSet<NodeId>) -> bool {
        nodes.iter().filter(|node| self.contains(**node)).count() > self.count() / 2
    }
}

impl FromIterator<NodeId> for VoterSet {
    fn from_iter<I: IntoIterator<Item = NodeId>>(nodes: I) -> Self {
        let mut set = VoterSet::default();
        for node in nodes {
            let (word, bit) = Self::word_and_bit(node);
            set.0[word] |= bit;
        }
        set
    }
}
