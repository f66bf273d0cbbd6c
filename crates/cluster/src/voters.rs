//! The set of nodes that vote under a version.

use crate::NodeId;
use std::collections::BTreeSet;

/// Bits of one word of the set.
const WORD_BITS: u8 = 64;
/// Words that hold a bit for each possible [`NodeId`].
const WORDS: usize = 4;

/// The nodes that vote under a version: a quorum of them commits its successor and grants leases of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterSet([u64; WORDS]);

impl VoterSet {
    /// The nodes numbered from 0 up to, not including, `count`.
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

    /// How many nodes vote.
    pub fn count(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Whether these nodes are a majority of the voters; nodes that do not vote do not count.
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
