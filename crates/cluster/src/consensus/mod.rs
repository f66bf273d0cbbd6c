//! The replicated log of versions, proposals for it, and the leases beside it: one state machine for each node.
//!
//! Guarantees: no two contents are committed under one version number; what is committed stays committed whichever nodes
//! stop, as long as the disks of a majority keep what they reported as durable; no message that depends on a write leaves
//! before the write is durable; the same events at the same times give the same commands. It does not guarantee that a
//! proposal without an answer is not committed later: [`ProposalError::Unknown`] says so.
//!
//! - `raft_log` drives the `raft` library: what it wants sent, written and applied.
//! - `proposals` takes proposals from their arrival to their answer.
//! - `membership_changes` promotes learners and hands over leadership.
//! - `messages` dispatches messages of other nodes.
//! - `leases` passes events and commands of the [`lease`] rules.

mod error;
mod event;
mod leases;
mod membership_changes;
mod messages;
mod proposals;
mod raft_log;

pub use error::{ConsensusError, ProposalError, Unacceptable};
pub use event::{Command, Event, ValidationId};

use crate::lease::{self, Activation, ActiveVersion, Lease, LeaseConfig};
use crate::log_storage::{LogStorage, raft_id};
use crate::membership::Membership;
use crate::wire::MAX_CONTENT_BYTES;
use crate::{NodeId, Version};
use gaugestand_admission::log_record::RecoveredLog;
use gaugestand_admission::time::{Micros, Timestamp};
use proposals::{Origin, PendingProposal, Proposal};
use raft::{RawNode, StateRole};
use raft_log::PendingWrite;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

/// The library's unit of time: short against the election timeout, long against an iteration of the event loop.
const RAFT_TICK: Micros = Micros::millis(50);
/// Ticks from a heartbeat of the leader to the next one: four may be lost before an election.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks without a heartbeat after which the node of the lowest number calls an election.
const ELECTION_TICKS: usize = 10;
/// Ticks that each further node waits longer. Staggered by node number, elections do not collide, and no random draw is
/// needed: the same events give the same leader.
const ELECTION_STAGGER_TICKS: usize = 3;
/// Node numbers after which the stagger begins anew, so that it stays bounded as numbers grow.
const ELECTION_STAGGER_NODES: NodeId = 32;
/// Append messages without an acknowledgement for each node: bounds what waits on a slow link.
const MAX_INFLIGHT_APPENDS: usize = 4;
/// Bytes of entries that are not committed: as much as may be in flight.
const MAX_UNCOMMITTED_BYTES: u64 = MAX_INFLIGHT_APPENDS as u64 * MAX_CONTENT_BYTES as u64;
/// Bits of a request id that count within one incarnation; the incarnation is above them, so that ids never come again.
const REQUEST_ID_BITS: u32 = 32;

/// Who a node is, and what all nodes of its cluster have configured alike.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// This node.
    pub node_id: NodeId,
    /// The membership that the cluster began with, this node in it or not.
    pub initial_membership: Membership,
    /// Duration of leases, and the drift bound.
    pub lease: LeaseConfig,
    /// This incarnation: above all earlier ones of the node, and not 0.
    pub incarnation: u64,
}

/// A node's part in the consensus.
pub struct Consensus {
    config: ConsensusConfig,
    /// The membership under the last committed version.
    membership: Membership,
    raft: RawNode<LogStorage>,
    activation: Activation,
    /// Contents of the committed versions that are kept.
    committed: BTreeMap<Version, Rc<[u8]>>,
    /// Index of the last log entry that was applied.
    applied_index: u64,
    /// Nodes to which the link is up.
    linked: BTreeSet<NodeId>,
    /// Records that are not durable yet, in order, with what waits for each.
    pending_writes: VecDeque<PendingWrite>,
    /// Sequence number of the last record.
    last_sequence: u64,
    last_validation_id: u64,
    /// The proposal that this node works on, if it leads.
    pending_proposal: Option<PendingProposal>,
    /// Deadlines of proposals that were forwarded, by ticket.
    forwarded: BTreeMap<u64, Timestamp>,
    /// The leader that they were forwarded to.
    forwarded_to: Option<NodeId>,
    last_tick: Option<Timestamp>,
    draining: bool,
}

impl fmt::Debug for Consensus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let committed = self.committed.len();
        f.debug_struct("Consensus").field("config", &self.config).field("committed", &committed).finish()
    }
}

/// The node of a number of the library.
fn node_id(raft_id: u64) -> Option<NodeId> {
    NodeId::try_from(raft_id.checked_sub(1)?).ok()
}

/// Settings of the library for this node.
fn raft_config(node_id: NodeId, applied_index: u64) -> raft::Config {
    let stagger = ELECTION_STAGGER_TICKS * usize::from(node_id % ELECTION_STAGGER_NODES);
    let election_timeout = ELECTION_TICKS + stagger;
    raft::Config {
        id: raft_id(node_id),
        election_tick: ELECTION_TICKS,
        // The library draws from this range: with one value in it there is nothing to draw.
        min_election_tick: election_timeout,
        max_election_tick: election_timeout + 1,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: applied_index,
        max_size_per_msg: MAX_CONTENT_BYTES as u64,
        max_inflight_msgs: MAX_INFLIGHT_APPENDS,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        // A leader without a majority steps down, and a node that was cut off does not depose a leader that is heard.
        check_quorum: true,
        pre_vote: true,
        ..raft::Config::default()
    }
}

impl Consensus {
    /// A node that has just started. `found` is its log on disk, of this node and this cluster.
    ///
    /// # Errors
    /// [`ConsensusError::Storage`] if the log on disk is malformed or incomplete, and
    /// [`ConsensusError::Raft`] if the raft library rejects its state. The node must not vote without its
    /// log, so it cannot take part.
    pub fn new(
        now: Timestamp,
        config: ConsensusConfig,
        found: &RecoveredLog,
        commands: &mut Vec<Command>,
    ) -> Result<Self, ConsensusError> {
        let storage = LogStorage::open(found, config.initial_membership.clone())?;
        let log_tail = storage.last_version();
        let base_version = storage.base_version().cloned();
        let membership = storage.base_membership();
        let applied_index = storage.base_index();
        let no_log = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&raft_config(config.node_id, applied_index), storage, &no_log)?;
        let first_request_id = config.incarnation << REQUEST_ID_BITS;
        let mut consensus = Consensus {
            raft,
            activation: Activation::new(config.lease, config.node_id, log_tail, first_request_id),
            committed: BTreeMap::new(),
            applied_index,
            linked: BTreeSet::new(),
            pending_writes: VecDeque::new(),
            last_sequence: 0,
            last_validation_id: first_request_id,
            pending_proposal: None,
            forwarded: BTreeMap::new(),
            forwarded_to: None,
            last_tick: None,
            draining: false,
            membership,
            config,
        };
        // What was compacted was committed; the library reports the commits of all entries after it.
        if let Some(version) = base_version {
            consensus.commit(now, version, commands);
        }
        Ok(consensus)
    }

    /// What this node may act on. `now` has to be read just before each decision.
    pub fn active_version(&self, now: Timestamp) -> ActiveVersion {
        let is_member = self.membership.get(self.config.node_id).is_some();
        match self.activation.active_version(now) {
            // A node that has not joined, or was removed, takes no part in what the members act on.
            ActiveVersion::Leased(version) if !is_member => ActiveVersion::Unleased(version),
            active => active,
        }
    }

    /// The membership under the last committed version.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The last lease of this node, expired or not.
    pub fn lease(&self) -> Option<Lease> {
        self.activation.lease()
    }

    /// The leader, as far as this node knows.
    pub fn leader(&self) -> Option<NodeId> {
        node_id(self.raft.raft.leader_id)
    }

    /// Committed versions that are kept, oldest first.
    pub fn committed_versions(&self) -> impl Iterator<Item = (Version, &Rc<[u8]>)> {
        self.committed.iter().map(|(version, content)| (*version, content))
    }

    /// The content of a committed version, if it is kept.
    pub fn content(&self, version: Version) -> Option<Rc<[u8]>> {
        self.committed.get(&version).cloned()
    }

    /// The last committed version; 0 if there is none.
    pub fn last_committed(&self) -> Version {
        self.committed.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// The last version that was activated, whether or not there is a lease of it.
    pub fn activated(&self) -> Version {
        self.activation.activated()
    }

    /// How many nodes can be reached, this one among them.
    pub fn reachable_count(&self) -> usize {
        self.linked.len() + 1
    }

    /// The raft term.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// When [`Event::Timer`] is due next.
    pub fn next_timer(&self, now: Timestamp) -> Timestamp {
        let tick = self.last_tick.map_or(now, |last| last.plus(RAFT_TICK));
        self.activation.next_timer().map_or(tick, |timer| timer.min(tick))
    }

    /// Takes in an event; appends what has to be done to `commands`.
    pub fn on_event(&mut self, now: Timestamp, event: Event, commands: &mut Vec<Command>) {
        match event {
            Event::Received { from, payload } => self.on_message(now, from, payload, commands),
            Event::LinkUp(node) => drop(self.linked.insert(node)),
            Event::LinkDown(node) => {
                self.linked.remove(&node);
                self.raft.report_unreachable(raft_id(node));
            }
            Event::Persisted(sequence) => self.on_persisted(now, sequence, commands),
            Event::Propose { ticket, content, expected_version, force } => {
                let proposal = Proposal { content, expected_version, force, change: None };
                self.propose(now, Origin::Local { ticket }, proposal, commands);
            }
            Event::ChangeMembership { ticket, change } => {
                self.propose(now, Origin::Local { ticket }, change.into(), commands);
            }
            Event::Validated { validation, result } => {
                self.on_validated(now, self.config.node_id, validation, result, commands);
            }
            Event::Draining => {
                self.draining = true;
                self.transfer_leadership();
            }
            Event::Timer => self.on_timer(now, commands),
        }
        self.process_ready(now, commands);
    }

    fn on_timer(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        // After a pause this is one tick, not as many as it lasted: the other nodes were not silent meanwhile.
        if self.last_tick.is_none_or(|last| now.since(last) >= RAFT_TICK) {
            self.last_tick = Some(now);
            self.raft.tick();
            if self.draining {
                self.transfer_leadership();
            }
        }
        self.on_lease_event(now, lease::Event::Timer, commands);
        self.expire_forwarded(now, commands);
        self.promote_learner(now, commands);
        self.expire_pending_proposal(now, commands);
    }

    fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// Whether no proposal is pending and the last version in the log is active.
    fn is_settled(&self) -> bool {
        self.pending_proposal.is_none() && self.raft.store().last_version() == self.activated()
    }

    /// Nodes that can be reached, this one among them.
    fn reachable(&self) -> BTreeSet<NodeId> {
        self.linked.iter().copied().chain([self.config.node_id]).collect()
    }
}
