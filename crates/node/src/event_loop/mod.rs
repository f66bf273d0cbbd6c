//! The event loop: one thread that reads what is ready, lets the engine decide, carries its commands out and writes.
//!
//! One iteration ([`Node::run_iteration`]) reads the clock once, dispatches every readiness event of the poller,
//! does what is due by now, and then writes what all of that has queued. Each file beside this one is the loop's part in one
//! concern:
//!
//! - `keys`: under which key each source is registered with the poller
//! - `dispatch`: from a readiness event to its handler
//! - `requests`: gateways' connections, from bytes to admitted attempts and from answers to bytes
//! - `commands`: carries out what the engine decides
//! - `kernel_events`: notices of the kernel, ends of outbound calls
//! - `health`: gateways' health checks
//! - `drain`: from SIGTERM to the exit
//! - `reload`: SIGHUP
//! - `admin_calls`: operators' calls
//! - `handover`: other processes of this node
//! - `cluster`: the other nodes
//!
//! Guarantees: nothing here blocks, no iteration is repeated at once without cause, and errors of a link or connection end that
//! one alone. It decides nothing about requests; that is `gaugestand_admission`'s.

use super::admin::{self, Admin};
use super::config;
use super::config::Config;
use super::connections::{self, ConnectionId, ConnectionTable};
use super::counters::Counters;
use super::handover_link::FrontAttempt;
use super::health_checks::HealthChecks;
use super::idempotency_store::{self, IdempotencyStore, Owner};
use super::io::clock::Clock;
use super::io::{Ready, System};
use super::kernel::Kernel;
use super::log::Logs;
use super::membership_reports::MembershipReports;
use super::peers::{self, Peers};
use super::request::RequestError;
use super::request_metrics::RequestMetrics;
use super::store::{self, EndedCall, Store};
use error::io_error;
use gaugestand_admission::RequestId;
use gaugestand_admission::classes::ClassSlots;
use gaugestand_admission::engine::{CallOutcome, Engine, EngineEvent, RunOutcome};
use gaugestand_admission::handover::Event as HandoverEvent;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_idempotency::{BreakerState, KeyTable};
use handover::HandoverState;
use keys::*;
use reload::longest_dedup_window;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::{io, mem};

mod admin_calls;
mod cluster;
mod commands;
mod dispatch;
mod drain;
mod error;
mod handover;
mod health;
mod kernel_events;
mod keys;
mod reload;
mod requests;

pub use error::NodeError;

/// Longest wait for the poller: a wall clock that was set, or a timer that was missed, is noticed within this.
const MAX_POLL_WAIT: Micros = Micros::millis(1_000);
/// Shortest time to the next iteration when nothing is ready. Something overdue that this iteration could do nothing about
/// must not make the loop spin.
const MIN_POLL_WAIT: Micros = Micros(200);

/// The node: every component of the process, and the state that the loop's parts share.
#[derive(Debug)]
pub struct Node<S: System> {
    system: S,
    config: Config,
    clock: Clock,
    connections: ConnectionTable<S>,
    /// What was read from one connection, so that its records are parsed in place.
    read_buffer: Vec<u8>,
    kernel: Kernel<S>,
    store: Store<S>,
    membership: MembershipReports<S>,
    engine: Engine<KeyTable>,
    idempotency_store: IdempotencyStore<S>,
    logs: Logs,
    counters: Counters,
    admin: Admin<S>,
    request_metrics: RequestMetrics,
    /// Slots of the classes, by the names that requests carry.
    class_slots: ClassSlots,
    /// Whether the class in each slot is keyed.
    keyed_classes: Vec<bool>,
    /// Admitted attempts, until the engine forgets them.
    attempts: BTreeMap<RequestId, FrontAttempt>,
    /// Other processes of this node.
    handover: HandoverState<S>,
    health_checks: HealthChecks,
    /// SIGTERM and SIGINT.
    termination_signals: S::Signals,
    /// SIGUSR1.
    counters_signal: S::Signals,
    /// SIGHUP.
    reload_signal: S::Signals,
    /// When the process exits at the latest: the end of a drain, or of the time that a retired process may take.
    exit_deadline: Option<Timestamp>,
    draining: bool,
    /// Iterations since the end of the drain is near.
    final_polls: u8,
    /// The other nodes, if this one is part of a cluster.
    peers: Option<Box<Peers<S>>>,
    /// The settings of the node's own file, while those of an agreed version are in effect.
    local_settings: serde_json::Value,
    /// Replies by class at two moments, from which the present load follows.
    load_samples: cluster::LoadSamples,
}

/// The earliest of these times, or the longest wait if there is none; never so soon that the loop would spin.
fn earliest_wakeup(now: Timestamp, times: impl IntoIterator<Item = Option<Timestamp>>) -> Timestamp {
    let earliest = times.into_iter().flatten().min();
    earliest.unwrap_or(now.plus(MAX_POLL_WAIT)).max(now.plus(MIN_POLL_WAIT))
}

impl<S: System> Node<S> {
    /// Opens everything that the configuration names, and listens. Nothing is accepted before [`Node::run`].
    ///
    /// # Errors
    /// The system refuses a signal handler or a listener ([`NodeError::Io`]), the idempotency store or the
    /// cluster's log cannot be opened, or the settings are unusable. The process cannot serve; no request was
    /// accepted.
    pub fn start(system: S, config: Config, logs: Logs) -> Result<Self, NodeError> {
        // Before anything can connect: a signal that comes during the start then waits, and does not kill the process.
        let signals = |key, which: &[i32]| system.signals(key, which).map_err(io_error("signals"));
        let termination_signals = signals(TERMINATION, &[SIGTERM, SIGINT])?;
        let counters_signal = signals(PRINT_COUNTERS, &[SIGUSR1])?;
        let reload_signal = signals(RELOAD, &[SIGHUP])?;
        let clock = Clock::new(&system);
        // The idempotency store is read before anybody can connect.
        let owner = Owner { name: &config.name, seed: config.seed, window: longest_dedup_window(&config) };
        let store_settings = config.operators.record.as_ref();
        let (idempotency_store, mut key_table) =
            IdempotencyStore::start(store_settings, owner, IDEMPOTENCY_STORE, &system, clock.moment())
                .map_err(NodeError::IdempotencyStore)?;
        key_table.set_max_bytes(config.max_volatile_bytes);
        let peers = join_cluster(&system, &config)?;
        let admin = Admin::listen(&system, config.admin, ADMIN_LISTENER, FIRST_ADMIN_CALLER, peers.is_some())
            .map_err(io_error("listening at the second address"))?;
        let mut request_metrics = RequestMetrics::default();
        request_metrics.register_classes(&config.classes);
        let store_connections = store::max_connections_within(config.max_descriptors);
        let reserved = store_connections + reserved_descriptors(&config, key_table.is_durable());
        let mut connections = ConnectionTable::new(FIRST_CONNECTION, config.max_descriptors - reserved);
        let (handover, listener) = HandoverState::discover(&system, &config)?;
        match listener {
            Some(listener) => connections.listen(listener),
            // The process before this one has the listener until it hands over.
            None => connections.pause(true),
        }
        let engine =
            Engine::new(config.settings.clone(), config.seed, key_table).map_err(NodeError::Settings)?;
        Ok(Node {
            clock,
            idempotency_store,
            logs,
            kernel: Kernel::new(config.kernel, KERNEL, &system, &config.gauge_names),
            store: Store::new(config.store, FIRST_STORE_CONNECTION, store_connections, &system),
            membership: MembershipReports::new(&system, config.membership, &config.name)
                .map_err(io_error("members"))?,
            counters: Counters::default(),
            admin,
            request_metrics,
            class_slots: ClassSlots::new(&config.classes),
            keyed_classes: config.keyed.clone(),
            attempts: BTreeMap::new(),
            handover,
            health_checks: HealthChecks::default(),
            termination_signals,
            counters_signal,
            reload_signal,
            exit_deadline: None,
            draining: false,
            final_polls: 0,
            peers,
            local_settings: config.file["settings"].clone(),
            load_samples: cluster::LoadSamples::default(),
            config,
            system,
            connections,
            read_buffer: connections::read_buffer(),
            engine,
        })
    }

    /// The address that gateways connect to.
    pub fn address(&self) -> Option<SocketAddr> {
        self.connections.address().or_else(|| self.handover.inherited_address())
    }

    /// The address that operators' calls come in at.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.address()
    }

    /// The address that other nodes of the cluster connect to.
    pub fn peers_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref().and_then(|peers| peers.address())
    }

    /// What it has counted so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Requests by class and outcome, as operators see them.
    pub fn request_metrics(&self) -> &RequestMetrics {
        &self.request_metrics
    }

    /// Iterates until the end of a drain, or until another process has taken over.
    ///
    /// # Errors
    /// [`NodeError::Io`] if the poller fails. The process has to end without a drain; open requests get no
    /// answer from it.
    pub fn run(&mut self) -> Result<(), NodeError> {
        let mut ready = Vec::new();
        let mut wakeup = self.clock.now();
        loop {
            let wait = wakeup.since(self.clock.now()).min(MAX_POLL_WAIT);
            self.system.wait(wait, &mut ready).map_err(io_error("poller"))?;
            match self.run_iteration(&ready) {
                Some(next) => wakeup = next,
                None => return Ok(()),
            }
        }
    }

    /// One iteration: handles what is ready and does what is due. Returns when the next one is due even if nothing is ready by
    /// then; nothing if the process is to end.
    pub fn run_iteration(&mut self, ready: &[Ready]) -> Option<Timestamp> {
        self.clock.read(&self.system);
        for event in ready {
            self.dispatch(*event);
        }
        let wakeup = if self.handover.machine.is_active() {
            self.run_due_work(ready.is_empty())
        } else {
            self.run_inactive()
        };
        if self.is_over() {
            self.print_counters();
            return None;
        }
        Some(wakeup)
    }

    /// Does what is due by now, in this order: hand-over, links, deadlines of connections, cluster, engine, drain; then writes.
    /// `nothing_ready` if the poller had nothing for this iteration. Returns when to do so again.
    fn run_due_work(&mut self, nothing_ready: bool) -> Timestamp {
        let now = self.clock.now();
        self.tick_handover();
        // The hand-over may just have made another process the node.
        if !self.handover.machine.is_active() {
            return self.run_inactive();
        }
        self.run_link_timers(now);
        self.run_connection_timers(now);
        self.run_cluster_tasks();
        let mut commands = Vec::new();
        let engine_wakeup = self.engine.on_timer(self.clock.moment(), &mut commands);
        self.execute_commands(commands);
        self.idempotency_store.pump(self.clock.moment(), self.engine.idempotency());
        self.stop_listening_if_due(now);
        let membership_wakeup = self.report_membership(now);
        self.flush();
        let final_poll = self.finish_drain(now, nothing_ready);
        let wakeups = [
            engine_wakeup,
            membership_wakeup,
            final_poll,
            self.kernel.next_wakeup(),
            self.store.next_wakeup(),
            self.health_checks.next_wakeup(),
            self.idempotency_store.wake(),
            self.admin.next_wakeup(),
            self.handover.next_wakeup(),
            self.next_drain_step(now),
            self.peers.as_ref().map(|peers| peers.next_timer()),
        ];
        earliest_wakeup(now, wakeups)
    }

    /// Keeps the links to the kernel and the store up, and ends what they were too slow for.
    fn run_link_timers(&mut self, now: Timestamp) {
        if let Some(change) = self.kernel.on_timer(now) {
            self.on_kernel_link_change(change);
        }
        let ended = self.store.on_timer(now, &mut self.counters);
        self.on_calls_ended(ended);
        let failed = self.health_checks.request(now, &mut self.kernel, &mut self.counters);
        self.end_deep_checks(failed, false);
    }

    /// Ends operators' and gateways' connections, and requests on them, that took too long.
    fn run_connection_timers(&mut self, now: Timestamp) {
        self.admin.on_timer(now);
        let expired = self.connections.on_timer(now, &mut self.counters);
        self.on_callers_gone(expired.gone);
        for request in expired.unfinished {
            self.fail_incomplete(request, RequestError::Incomplete);
        }
    }

    /// Reports to the membership service, once the kernel is up.
    fn report_membership(&mut self, now: Timestamp) -> Option<Timestamp> {
        let in_service = self.is_in_service();
        if !self.engine.is_started() {
            return None;
        }
        self.membership.on_timer(now, in_service, &mut self.counters)
    }

    /// Writes all that the iteration has queued.
    fn flush(&mut self) {
        let now = self.clock.now();
        // A link or connection that breaks makes the engine decide more, which is written with this iteration as well. It ends
        // as each breaks only once.
        loop {
            // The successor knows what runs before the kernel does: otherwise the death of this process between the two
            // would let a keyed attempt run twice.
            let replicated = self.replicate_keys();
            let kernel = if replicated { self.kernel.flush(now) } else { None };
            let ended = self.store.flush(now);
            let gone = self.connections.flush(now, &mut self.counters);
            if kernel.is_none() && ended.is_empty() && gone.is_empty() {
                break;
            }
            if let Some(change) = kernel {
                self.on_kernel_link_change(change);
            }
            self.on_calls_ended(ended);
            self.on_callers_gone(gone);
        }
        self.flush_handover();
        if let Some(peers) = &mut self.peers {
            peers.flush(now);
        }
        self.idempotency_store.flush(self.clock.moment(), self.engine.idempotency());
    }

    fn print_counters(&mut self) {
        let key_table = self.engine.idempotency();
        let circuit_open = key_table.breaker_state() != BreakerState::Closed;
        self.counters.read_idempotency(key_table.metrics(), circuit_open);
        self.counters.log_lines_dropped = self.logs.dropped();
        self.logs.write(&self.counters.to_string());
    }
}

/// The links to the other nodes, if the operators' script names a cluster.
fn join_cluster<S: System>(system: &S, config: &Config) -> Result<Option<Box<Peers<S>>>, NodeError> {
    let Some(cluster) = &config.operators.fleet else { return Ok(None) };
    let keys =
        peers::PollKeys { listener: PEER_LISTENER, log_writer: CONSENSUS_LOG, first_connection: FIRST_PEER };
    let peers = Peers::start(system, cluster, &config.name, config.seed, keys)?;
    Ok(Some(Box::new(peers)))
}

/// Descriptors that operators, the cluster and the idempotency store may take of the node's.
fn reserved_descriptors(config: &Config, has_durable_store: bool) -> usize {
    let idempotency = if has_durable_store { idempotency_store::SOCKETS } else { 0 };
    let admin = if config.admin.is_some() { admin::RESERVED_DESCRIPTORS } else { 0 };
    let cluster = if config.operators.fleet.is_some() { peers::SOCKETS } else { 0 };
    idempotency + admin + cluster
}
