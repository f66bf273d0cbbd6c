//! The other nodes of the cluster: the links to them, the file of the consensus log, and the version that
//! this node may act on.
//!
//! All decisions are taken in `gaugestand_cluster`; this module carries them out on sockets and on the worker
//! that writes the log. Guarantees: records are written in order, one at a time; a message is either sent
//! whole or dropped whole. Delivery is not guaranteed: messages to a node that reads too slowly are dropped,
//! and a broken link does not show that the other node has failed. The raft library and the lease rules
//! repeat the messages that they need.
//!
//! - `startup`: this node's number and the checks of its configuration.
//! - `connection`, `links`: frames on one connection for each pair of nodes.
//! - `log_writer`: records that wait to be written to the disk.
//! - `active_version`: the version in effect, and how it decides on requests.
//! - `open_attempts`: open attempts by gateway and version.
//! - `proposals`: operators' calls.
//! - `status`: reports for operators.

mod active_version;
mod connection;
mod links;
mod log_writer;
mod open_attempts;
mod proposals;
mod startup;
mod status;
mod version_error;

pub use active_version::DueVersion;
pub use startup::PeersError;
pub use version_error::VersionError;

use super::counters::Counters;
use super::io::{Listener, System};
use active_version::AppliedVersion;
use connection::{Connection, Peer};
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_cluster::consensus::{Command, Consensus, Event, ProposalError, ValidationId};
use gaugestand_cluster::membership::MAX_MEMBERS;
use gaugestand_cluster::version_gate::EnabledLists;
use gaugestand_cluster::wire::FrameCodec;
use gaugestand_cluster::{NodeId, Version};
use log_writer::LogWriter;
use open_attempts::OpenAttempts;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of connections that this node makes: one to each other node.
const MAX_OUTGOING: usize = MAX_MEMBERS - 1;
/// Maximum number of accepted connections whose node is not identified yet: enough for nodes that start at
/// the same time, and few enough that clients that are no nodes cannot use up the descriptors.
const MAX_UNIDENTIFIED: usize = 8;
/// Maximum number of accepted connections: one from each other node, and those whose node is not identified
/// yet.
const MAX_INCOMING: usize = MAX_UNIDENTIFIED + MAX_OUTGOING;
/// Number of poller keys that the connections with other nodes use, from [`PollKeys::first_connection`] on.
pub const CONNECTION_KEYS: usize = MAX_OUTGOING + MAX_INCOMING;
/// Descriptors that the consensus log needs: its file, journal, index, lock and the worker's sockets, rounded
/// up.
const LOG_DESCRIPTORS: usize = 8;
/// Descriptors that are reserved for this module: its connections, the listener and the consensus log.
pub const RESERVED_DESCRIPTORS: usize = CONNECTION_KEYS + 1 + LOG_DESCRIPTORS;

/// The poller keys that the event loop assigns to the parts of this module.
#[derive(Clone, Copy, Debug)]
pub struct PollKeys {
    /// Key of the listener for other nodes.
    pub listener: usize,
    /// Key of the worker that writes the consensus log.
    pub log_writer: usize,
    /// Key of the first connection; the connections use [`CONNECTION_KEYS`] keys from here on.
    pub first_connection: usize,
}

/// A task that the event loop has to do for the cluster.
#[derive(Debug)]
pub enum Task {
    /// Check whether this node could act on a proposed content, and report the result with
    /// [`Peers::on_validated`].
    Validate {
        /// Identifies the validation in its result.
        validation: ValidationId,
        /// The proposed content, as JSON text.
        content: Rc<[u8]>,
        /// Whether to accept a content that starves a class of requests with idempotency keys; set by the
        /// operator's `force`.
        force: bool,
    },
    /// Answer an operator's proposal or change of the membership.
    Answer {
        /// Serial number of the operator's connection, as passed to [`Peers::propose`] or
        /// [`Peers::change_membership`].
        ticket: u64,
        /// The version as which the proposal was committed, or why it was not.
        result: Result<Version, ProposalError>,
    },
}

/// This node's part of the cluster: the consensus state machine, the connections with other nodes, and the
/// version in effect.
#[derive(Debug)]
pub struct Peers<S: System> {
    system: S,
    consensus: Consensus,
    codec: FrameCodec,
    /// The founding members, which form the membership of version 0, and the addresses at which this node
    /// reaches them, both as configured.
    configured: Vec<(String, SocketAddr)>,
    /// The address of this node as the others know it.
    own_address: SocketAddr,
    peers: BTreeMap<NodeId, Peer>,
    /// A version that was committed with the removal of this node from the cluster, or after it; none while
    /// this node was not removed.
    removed_by: Option<Version>,
    enabled_lists: EnabledLists,
    lease_duration: Micros,
    listener: S::Listener,
    first_key: usize,
    /// Connections by poller key: first [`MAX_OUTGOING`] slots for those that this node makes, then the slots
    /// for accepted ones.
    connections: Vec<Option<Connection<S>>>,
    log_writer: LogWriter<S::Worker>,
    /// Commands of the consensus state machine that are not carried out yet.
    commands: VecDeque<Command>,
    rng: fastrand::Rng,
    applied: AppliedVersion,
    attempts: OpenAttempts,
    /// When a rejected message was last logged.
    last_warning: Option<Timestamp>,
    /// Whether an event was handled since the last flush.
    has_work: bool,
    /// When [`Peers::on_timer`] is due if no event comes before.
    next_timer: Timestamp,
}

impl<S: System> Peers<S> {
    /// The address at which this node listens for other nodes.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address()
    }

    /// Whether this iteration of the event loop has work for the cluster; most iterations have none.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.has_work || now >= self.next_timer
    }

    /// When to call [`Peers::on_timer`] again if no event comes before; time 0 means at once.
    pub fn next_timer(&self) -> Timestamp {
        if self.has_work { Timestamp(0) } else { self.next_timer }
    }

    /// Makes connections and closes those that have timed out, passes due timers to the consensus, and
    /// submits the next record of the log.
    pub fn on_timer(&mut self, now: Timestamp) {
        self.connect_due(now);
        self.close_timed_out(now);
        if self.consensus.next_timer(now) <= now {
            self.step(now, Event::Timer);
        }
        self.log_writer.submit_next(now);
    }

    /// Carries out the pending commands of the consensus up to the next one that is a task for the event
    /// loop, and returns that task. Once it returns none, all messages and records are queued.
    pub fn next_task(&mut self, now: Timestamp, counters: &mut Counters) -> Option<Task> {
        while let Some(command) = self.commands.pop_front() {
            match command {
                Command::Send { to, payload } => self.send(to, payload, counters),
                Command::Persist { sequence, record } => {
                    self.log_writer.enqueue(sequence, record);
                    self.log_writer.submit_next(now);
                }
                Command::Validate { validation, content, force } => {
                    return Some(Task::Validate { validation, content, force });
                }
                Command::Committed { version, .. } => {
                    tracing::info!(
                        version,
                        "cluster: a version was committed; this node applies it once it holds a lease"
                    );
                    self.update_peers(now);
                }
                Command::Answer { ticket, result } => return Some(Task::Answer { ticket, result }),
            }
        }
        None
    }

    /// Handles an event of the worker that writes the consensus log.
    pub fn on_log_written(&mut self, now: Timestamp, counters: &mut Counters) {
        self.has_work = true;
        self.log_writer.on_ready();
        while let Some(sequence) = self.log_writer.next_persisted(now) {
            counters.consensus_log_records += 1;
            self.step(now, Event::Persisted(sequence));
        }
    }

    /// Writes queued messages as far as the sockets accept them; called at the end of an iteration of the
    /// event loop.
    pub fn flush(&mut self, now: Timestamp) {
        if !self.is_due(now) {
            return;
        }
        self.has_work = false;
        self.flush_connections(now);
        self.next_timer = self.earliest_timer(now);
    }

    fn earliest_timer(&self, now: Timestamp) -> Timestamp {
        let timers = self.identification_deadlines().chain(self.reconnect_times());
        let timers = timers.chain(self.log_writer.next_attempt()).chain([self.consensus.next_timer(now)]);
        timers.min().unwrap_or(now)
    }

    /// Passes an event to the consensus state machine and queues the commands that it returns.
    fn step(&mut self, now: Timestamp, event: Event) {
        self.has_work = true;
        let mut commands = Vec::new();
        self.consensus.on_event(now, event, &mut commands);
        self.commands.extend(commands);
    }
}
