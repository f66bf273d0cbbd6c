//! State machine of one node for the replicated log of versions, for proposals of new versions, and for
//! leases.
//!
//! Guarantees: no two contents are committed under one version number; a committed version stays committed
//! whichever nodes stop, as long as the disks of a majority retain the records that they reported as durable;
//! no message that depends on a write is sent before the write is durable; the same events at the same times
//! give the same commands. The state machine does not guarantee that a proposal without an answer is not
//! committed later, which [`ProposalError::Unknown`] reports.
//!
//! - `raft_log` drives the `raft` library: sends its messages, writes its records and applies committed
//!   entries.
//! - `proposals` handles proposals from their arrival to their answer.
//! - `membership_changes` promotes learners and hands over leadership.
//! - `messages` dispatches messages from other nodes.
//! - `leases` passes events to the [`lease`] rules and executes their commands.

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

/// Duration of one tick of the raft library: short compared with the election timeout, long compared with an
/// iteration of the event loop.
const RAFT_TICK: Micros = Micros::millis(50);
/// Ticks between two heartbeats of the leader. With this and [`ELECTION_TICKS`], four heartbeats may be lost
/// before an election.
const HEARTBEAT_TICKS: usize = 2;
/// Ticks without a heartbeat after which the node with number 0 calls an election.
const ELECTION_TICKS: usize = 10;
/// Further ticks that a node waits for each node number below its own. As the timeouts are staggered by node
/// number, elections do not collide and no random number is needed: the same events give the same leader.
const ELECTION_STAGGER_TICKS: usize = 3;
/// The stagger of the election timeouts repeats after this many node numbers, so that the election timeout
/// stays bounded as node numbers grow.
const ELECTION_STAGGER_NODES: NodeId = 32;
/// Maximum number of unacknowledged append messages to one node; bounds the data that waits on a slow link.
const MAX_INFLIGHT_APPENDS: usize = 4;
/// Maximum size of the uncommitted entries in the leader's log, in bytes: as much as may be in flight to one
/// node.
const MAX_UNCOMMITTED_BYTES: u64 = MAX_INFLIGHT_APPENDS as u64 * MAX_CONTENT_BYTES as u64;
/// Number of low bits of a request id that count the requests of one incarnation. The bits above hold the
/// incarnation, so that no id is ever used twice.
const REQUEST_ID_BITS: u32 = 32;

/// Identity of a node, and the configuration that all nodes of its cluster share.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// Number of this node.
    pub node_id: NodeId,
    /// The membership of version 0, the same on all nodes. This node need not be in it.
    pub initial_membership: Membership,
    /// Lease times, the same on all nodes.
    pub lease: LeaseConfig,
    /// Number of this incarnation of the node: not 0, and above those of all earlier incarnations.
    pub incarnation: u64,
}

/// Consensus state machine of one node: takes [`Event`]s and returns [`Command`]s.
pub struct Consensus {
    config: ConsensusConfig,
    /// The membership under the last committed version.
    membership: Membership,
    raft: RawNode<LogStorage>,
    activation: Activation,
    /// Contents of the committed versions that the log retains.
    committed: BTreeMap<Version, Rc<[u8]>>,
    /// Index of the last log entry that was applied to this state.
    applied_index: u64,
    /// Other nodes to which the link is up.
    linked: BTreeSet<NodeId>,
    /// Records that may not be durable yet, or that follow such a record, in order; each with the messages
    /// that wait for it.
    pending_writes: VecDeque<PendingWrite>,
    /// Last sequence number that was assigned to a record.
    last_sequence: u64,
    last_validation_id: u64,
    /// The proposal that this node is processing as the leader.
    pending_proposal: Option<PendingProposal>,
    /// Proposals that were forwarded to the leader: the deadline for the result, by ticket.
    forwarded: BTreeMap<u64, Timestamp>,
    /// The leader that the proposals in `forwarded` were sent to.
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

/// Converts the raft library's number of a node to a [`NodeId`]; `None` for 0, which means no node.
fn node_id(raft_id: u64) -> Option<NodeId> {
    NodeId::try_from(raft_id.checked_sub(1)?).ok()
}

/// The raft library's configuration for this node.
fn raft_config(node_id: NodeId, applied_index: u64) -> raft::Config {
    let stagger = ELECTION_STAGGER_TICKS * usize::from(node_id % ELECTION_STAGGER_NODES);
    let election_timeout = ELECTION_TICKS + stagger;
    raft::Config {
        id: raft_id(node_id),
        election_tick: ELECTION_TICKS,
        // The library draws the timeout at random from this range. The range holds one value, so the timeout
        // is fixed.
        min_election_tick: election_timeout,
        max_election_tick: election_timeout + 1,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: applied_index,
        max_size_per_msg: MAX_CONTENT_BYTES as u64,
        max_inflight_msgs: MAX_INFLIGHT_APPENDS,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        // A leader that cannot reach a majority steps down, and a node that was cut off cannot depose a
        // leader that others still reach.
        check_quorum: true,
        pre_vote: true,
        ..raft::Config::default()
    }
}

impl Consensus {
    /// State machine of a node that has just started. `recovered_log` is what this node read from its own log
    /// on disk, in the same cluster.
    ///
    /// # Errors
    /// [`ConsensusError::Storage`] if the log on disk is malformed or incomplete, and
    /// [`ConsensusError::Raft`] if the raft library rejects its configuration or state. The node must not
    /// vote without its log, so it cannot take part in the consensus.
    pub fn new(
        now: Timestamp,
        config: ConsensusConfig,
        recovered_log: &RecoveredLog,
        commands: &mut Vec<Command>,
    ) -> Result<Self, ConsensusError> {
        let storage = LogStorage::open(recovered_log, config.initial_membership.clone())?;
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
        // A compacted version was committed before. The library reports the commits of all later entries
        // itself.
        if let Some(version) = base_version {
            consensus.commit(now, version, commands);
        }
        Ok(consensus)
    }

    /// The version that this node may act on at `now`, which the caller has to read just before each
    /// decision.
    pub fn active_version(&self, now: Timestamp) -> ActiveVersion {
        let is_member = self.membership.get(self.config.node_id).is_some();
        match self.activation.active_version(now) {
            // A node that has not joined yet or was removed must not act on a version under a lease.
            ActiveVersion::Leased(version) if !is_member => ActiveVersion::Unleased(version),
            active => active,
        }
    }

    /// The membership under the last committed version.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The last lease that a quorum granted to this node since its start, expired or not.
    pub fn lease(&self) -> Option<Lease> {
        self.activation.lease()
    }

    /// The current leader, as far as this node knows; `None` if it knows of none.
    pub fn leader(&self) -> Option<NodeId> {
        node_id(self.raft.raft.leader_id)
    }

    /// The committed versions that the log retains with their contents, in ascending order.
    pub fn committed_versions(&self) -> impl Iterator<Item = (Version, &Rc<[u8]>)> {
        self.committed.iter().map(|(version, content)| (*version, content))
    }

    /// The content of a committed version; `None` if the version is not committed or no longer retained.
    pub fn content(&self, version: Version) -> Option<Rc<[u8]>> {
        self.committed.get(&version).cloned()
    }

    /// The last committed version; 0 if there is none.
    pub fn last_committed(&self) -> Version {
        self.committed.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// The last version that this node has activated, with or without a valid lease; 0 if there is none since
    /// its start.
    pub fn activated(&self) -> Version {
        self.activation.activated()
    }

    /// Number of nodes that can be reached, including this one.
    pub fn reachable_count(&self) -> usize {
        self.linked.len() + 1
    }

    /// The current raft term, for status reports.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// When the caller has to report [`Event::Timer`] next.
    pub fn next_timer(&self, now: Timestamp) -> Timestamp {
        let tick = self.last_tick.map_or(now, |last| last.plus(RAFT_TICK));
        self.activation.next_timer().map_or(tick, |timer| timer.min(tick))
    }

    /// Processes an event and appends what the caller has to do to `commands`.
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
        // A pause of this process counts as one tick, however long it lasted: the other nodes may have sent
        // heartbeats during the pause that are not read yet.
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

    /// The nodes that can be reached, including this one.
    fn reachable(&self) -> BTreeSet<NodeId> {
        self.linked.iter().copied().chain([self.config.node_id]).collect()
    }
}
