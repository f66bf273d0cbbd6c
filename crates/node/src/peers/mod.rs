//! The other nodes of the cluster: links to them, the log's file, and the version that this node may act on.
//!
//! All decisions are those of `gaugestand_cluster`; this module carries them out on sockets and on the worker that writes
//! the log. Guarantees: records are written in order, one at a time; a message is either sent whole or dropped whole.
//! It does not guarantee delivery: what a slow node has no room for is dropped, and a link that breaks proves nothing about
//! its node. The raft library and the lease rules repeat what they need.
//!
//! - `startup`: this node's number and the checks of its configuration.
//! - `connection`, `links`: frames over one connection for each pair of nodes.
//! - `log_writer`: records on their way to the disk.
//! - `active_version`: the version in effect, and what requests get under it.
//! - `open_attempts`: open requests by gateway and version.
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

/// Connections that this node makes, at most: one to each other node.
const MAX_OUTGOING: usize = MAX_MEMBERS - 1;
/// Connections that have not identified themselves: enough for nodes that start together, few enough that strangers cannot
/// take up descriptors.
const MAX_UNIDENTIFIED: usize = 8;
/// Connections that come in, at most: one from each other node, and those that have not identified themselves.
const MAX_INCOMING: usize = MAX_UNIDENTIFIED + MAX_OUTGOING;
/// Poller keys of connections.
pub const CONNECTION_KEYS: usize = MAX_OUTGOING + MAX_INCOMING;
/// Descriptors of the log: its file, journal, index, lock and the worker's sockets, rounded up.
const LOG_DESCRIPTORS: usize = 8;
/// Descriptors that this module needs: connections, the listener, the log.
pub const RESERVED_DESCRIPTORS: usize = CONNECTION_KEYS + 1 + LOG_DESCRIPTORS;

/// Poller keys for the parts of this module.
#[derive(Clone, Copy, Debug)]
pub struct PollKeys {
    /// Of the listener.
    pub listener: usize,
    /// Of the worker that writes the log.
    pub log_writer: usize,
    /// Of the first connection; [`CONNECTION_KEYS`] are used from here on.
    pub first_connection: usize,
}

/// What the node has to do for the cluster.
#[derive(Debug)]
pub enum Task {
    /// Check whether it could act on a content, and report that with [`Peers::on_validated`].
    Validate {
        /// Names the validation.
        validation: ValidationId,
        /// The content.
        content: Rc<[u8]>,
        /// Accept a content that starves a keyed class.
        force: bool,
    },
    /// Answer an operator's call.
    Answer {
        /// Number of the caller.
        ticket: u64,
        /// The version that the proposal was committed as.
        result: Result<Version, ProposalError>,
    },
}

/// The cluster, as far as this node reaches it.
#[derive(Debug)]
pub struct Peers<S: System> {
    system: S,
    consensus: Consensus,
    codec: FrameCodec,
    /// Nodes of version 0 and where this node reaches them, as its configuration has them.
    configured: Vec<(String, SocketAddr)>,
    /// Where this node listens, as others are told.
    own_address: SocketAddr,
    peers: BTreeMap<NodeId, Peer>,
    /// A version by which this node was removed, at the latest.
    removed_by: Option<Version>,
    enabled_lists: EnabledLists,
    lease_duration: Micros,
    listener: S::Listener,
    first_key: usize,
    /// By poller key: [`MAX_OUTGOING`] that this node makes, then those that came in.
    connections: Vec<Option<Connection<S>>>,
    log_writer: LogWriter<S::Worker>,
    /// Commands of the consensus that are not carried out yet.
    commands: VecDeque<Command>,
    rng: fastrand::Rng,
    applied: AppliedVersion,
    attempts: OpenAttempts,
    /// When the last rejected message was logged.
    last_warning: Option<Timestamp>,
    /// Something has happened since the last flush.
    has_work: bool,
    /// When to look again if nothing happens before.
    next_timer: Timestamp,
}

impl<S: System> Peers<S> {
    /// Where it listens for other nodes.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address()
    }

    /// Whether there is anything to do in this iteration of the event loop; in most there is not.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.has_work || now >= self.next_timer
    }

    /// When to call [`Peers::on_timer`] again although nothing came.
    pub fn next_timer(&self) -> Timestamp {
        if self.has_work { Timestamp(0) } else { self.next_timer }
    }

    /// Does what is due by now.
    pub fn on_timer(&mut self, now: Timestamp) {
        self.connect_due(now);
        self.close_timed_out(now);
        if self.consensus.next_timer(now) <= now {
            self.step(now, Event::Timer);
        }
        self.log_writer.submit_next(now);
    }

    /// The next task of the node. Once there is none, all messages and records are on their way.
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
                    tracing::info!(version, "the fleet has agreed on a version");
                    self.update_peers(now);
                }
                Command::Answer { ticket, result } => return Some(Task::Answer { ticket, result }),
            }
        }
        None
    }

    /// The worker that writes the log has reported.
    pub fn on_log_written(&mut self, now: Timestamp, counters: &mut Counters) {
        self.has_work = true;
        self.log_writer.on_ready();
        while let Some(sequence) = self.log_writer.next_persisted(now) {
            counters.consensus_log_records += 1;
            self.step(now, Event::Persisted(sequence));
        }
    }

    /// Ends an iteration of the event loop: writes what the sockets take.
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

    fn step(&mut self, now: Timestamp, event: Event) {
        self.has_work = true;
        let mut commands = Vec::new();
        self.consensus.on_event(now, event, &mut commands);
        self.commands.extend(commands);
    }
}
