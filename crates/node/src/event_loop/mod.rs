//! The event loop of the node: one thread that reads input from ready sources, passes events to the admission
//! engine, executes the commands that the engine returns, and writes output.
//!
//! One iteration ([`Node::run_iteration`]) reads the clock once, dispatches every readiness event of the
//! poller, does the work that is due, and then writes the output that was queued. Each file in this directory
//! handles one concern of the loop:
//!
//! - `keys`: the poller keys under which event sources are registered
//! - `dispatch`: dispatches readiness events to their handlers
//! - `requests`: gateways' connections, from bytes to admitted attempts and from answers to bytes
//! - `attempt`: what is kept of an admitted attempt
//! - `commands`: executes the engine's commands
//! - `kernel_events`: notices of the kernel and outcomes of outbound calls
//! - `health`: gateways' health checks
//! - `memory`: the budget of memory for connections and open requests
//! - `drain`: the drain, from SIGTERM or SIGINT to the exit
//! - `reload`: reload of the configuration on SIGHUP
//! - `admin_calls`: operators' calls at the second address
//! - `handover`: hand-over of service between processes of this node
//! - `cluster`: the other nodes of the cluster, and the settings that the cluster has committed
//!
//! The loop guarantees that no iteration blocks, that no iteration is repeated at once without cause, and
//! that an error of a link or connection closes only that link or connection. The loop makes no decisions
//! about requests; `gaugestand_admission` does.

use super::admin::{self, Admin};
use super::config;
use super::config::Config;
use super::connections::{self, ConnectionId, ConnectionTable};
use super::counters::Counters;
use super::health_checks::HealthChecks;
use super::idempotency_store::{self, IdempotencyStore, Owner};
use super::io::clock::Clock;
use super::io::{Ready, System};
use super::kernel::Kernel;
use super::log::Logs;
use super::membership_reports::MembershipReports;
use super::memory_budget::MemoryBudget;
use super::peers::{self, Peers};
use super::request::RequestError;
use super::request_metrics::RequestMetrics;
use super::store::{self, EndedCall, Store};
use attempt::Attempt;
use error::io_error;
use gaugestand_admission::RequestId;
use gaugestand_admission::classes::ClassSlots;
use gaugestand_admission::engine::{CallOutcome, Engine, EngineEvent, RunOutcome};
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
mod attempt;
mod cluster;
mod commands;
mod dispatch;
mod drain;
mod error;
mod handover;
mod health;
mod kernel_events;
mod keys;
mod memory;
mod reload;
mod requests;

pub use error::NodeError;

/// Longest wait for the poller. A change of the wall clock or a missed timer is noticed within this time.
const MAX_POLL_WAIT: Micros = Micros::millis(1_000);
/// Shortest time to the next iteration when no source is ready. An overdue task on which the current
/// iteration could make no progress must not make the loop spin.
const MIN_POLL_WAIT: Micros = Micros(200);

/// The node: the components of the process, and the state that the files of the event loop share.
#[derive(Debug)]
pub struct Node<S: System> {
    system: S,
    config: Config,
    clock: Clock,
    connections: ConnectionTable<S>,
    /// Buffer for the input of one connection at a time. Records are parsed in place.
    read_buffer: Vec<u8>,
    /// Number of bytes that the present iteration reads from each connection.
    read_limit: usize,
    kernel: Kernel<S>,
    store: Store<S>,
    membership: MembershipReports<S>,
    engine: Engine<KeyTable>,
    idempotency_store: IdempotencyStore<S>,
    logs: Logs,
    counters: Counters,
    admin: Admin<S>,
    request_metrics: RequestMetrics,
    /// Slot of each class, by the class name that requests carry.
    class_slots: ClassSlots,
    /// Whether the class in each slot is keyed.
    keyed_classes: Vec<bool>,
    /// Admitted attempts, until the engine forgets them.
    attempts: BTreeMap<RequestId, Attempt>,
    /// Memory that gateways' connections and open requests may take.
    memory_budget: MemoryBudget,
    /// State of the hand-over to and from other processes of this node.
    handover: HandoverState<S>,
    health_checks: HealthChecks,
    /// Readable after SIGTERM or SIGINT has arrived.
    termination_signals: S::Signals,
    /// Readable after SIGUSR1 has arrived.
    counters_signal: S::Signals,
    /// Readable after SIGHUP has arrived.
    reload_signal: S::Signals,
    /// Latest time at which the process exits. Set when a drain begins, or when the process hands over to a
    /// successor.
    exit_deadline: Option<Timestamp>,
    draining: bool,
    /// Number of iterations within `drain::EXIT_MARGIN` of the exit deadline; the count stops at 255.
    final_polls: u8,
    /// Links to the other nodes; none if this node belongs to no cluster.
    peers: Option<Box<Peers<S>>>,
    /// Settings from the node's own configuration file, kept while the settings of a committed version are in
    /// effect.
    local_settings: serde_json::Value,
    /// Samples of the replies by class, from which the current load is computed.
    load_samples: cluster::LoadSamples,
}

/// The earliest of `times`, but not before [`MIN_POLL_WAIT`] from now, so that the loop does not spin;
/// [`MAX_POLL_WAIT`] from now if `times` has none.
fn earliest_wakeup(now: Timestamp, times: impl IntoIterator<Item = Option<Timestamp>>) -> Timestamp {
    let earliest = times.into_iter().flatten().min();
    earliest.unwrap_or(now.plus(MAX_POLL_WAIT)).max(now.plus(MIN_POLL_WAIT))
}

impl<S: System> Node<S> {
    /// Opens the stores, links and listeners that the configuration names. No connection is accepted before
    /// [`Node::run`].
    ///
    /// # Errors
    /// The system refuses a signal handler or a listener ([`NodeError::Io`]), the idempotency store or the
    /// consensus log cannot be opened, or the settings are unusable. The process cannot serve; no request was
    /// accepted.
    pub fn start(system: S, config: Config, logs: Logs) -> Result<Self, NodeError> {
        // The signal handlers are registered first: a signal that arrives during the start then waits, and
        // does not kill the process.
        let signals = |key, which: &[i32]| {
            system.signals(key, which).map_err(io_error("cannot register signal handlers"))
        };
        let termination_signals = signals(TERMINATION, &[SIGTERM, SIGINT])?;
        let counters_signal = signals(PRINT_COUNTERS, &[SIGUSR1])?;
        let reload_signal = signals(RELOAD, &[SIGHUP])?;
        let clock = Clock::new(&system);
        // The idempotency store is read before any gateway can connect.
        let owner = Owner { name: &config.name, seed: config.seed, window: longest_dedup_window(&config) };
        let store_settings = config.operators.record.as_ref();
        let (idempotency_store, mut key_table) =
            IdempotencyStore::start(store_settings, owner, IDEMPOTENCY_STORE, &system, clock.moment())
                .map_err(NodeError::IdempotencyStore)?;
        key_table.set_max_bytes(config.max_volatile_bytes);
        let peers = join_cluster(&system, &config)?;
        let admin = Admin::listen(&system, config.admin, ADMIN_LISTENER, FIRST_ADMIN_CALLER, peers.is_some())
            .map_err(io_error("cannot listen at the address of `admin_addr` or BALANCER_ADMIN_ADDR"))?;
        let store_connections = store::max_connections_within(config.max_descriptors);
        let reserved = store_connections + reserved_descriptors(&config, key_table.is_durable());
        let mut connections = ConnectionTable::new(FIRST_CONNECTION, config.max_descriptors - reserved);
        let (handover, listener) = HandoverState::discover(&system, &config)?;
        match listener {
            Some(listener) => connections.listen(listener),
            // The predecessor keeps the listening socket until it hands over.
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
                .map_err(io_error("members: cannot open a socket to the membership service"))?,
            counters: Counters::default(),
            admin,
            request_metrics: request_metrics(&config),
            class_slots: ClassSlots::new(&config.classes),
            keyed_classes: config.keyed.clone(),
            attempts: BTreeMap::new(),
            memory_budget: MemoryBudget::new(config.max_connection_bytes),
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
            read_limit: connections::read_limit(0),
            engine,
        })
    }

    /// The address that gateways connect to; none while this process has no listener.
    pub fn address(&self) -> Option<SocketAddr> {
        self.connections.address().or_else(|| self.handover.inherited_address())
    }

    /// The second address, at which the node accepts operators' calls; none if the configuration names none.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.address()
    }

    /// The address that other nodes of the cluster connect to; none if this node belongs to no cluster.
    pub fn peers_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref().and_then(|peers| peers.address())
    }

    /// The node's counters, counted since its start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The metrics that operators read: requests by class and outcome.
    pub fn request_metrics(&self) -> &RequestMetrics {
        &self.request_metrics
    }

    /// Runs the event loop until a drain has ended, or until another process has taken over and this one has
    /// nothing left to do.
    ///
    /// # Errors
    /// [`NodeError::Io`] if the poller fails. The process has to end without a drain; open requests get no
    /// answer from it.
    pub fn run(&mut self) -> Result<(), NodeError> {
        let mut ready = Vec::new();
        let mut wakeup = self.clock.now();
        loop {
            let wait = wakeup.since(self.clock.now()).min(MAX_POLL_WAIT);
            self.system.wait(wait, &mut ready).map_err(io_error("cannot wait for events of the poller"))?;
            match self.run_iteration(&ready) {
                Some(next) => wakeup = next,
                None => return Ok(()),
            }
        }
    }

    /// Runs one iteration: handles the readiness events and does the work that is due. Returns when the next
    /// iteration is due even if no source is ready by then; none if the process is to exit.
    pub fn run_iteration(&mut self, ready: &[Ready]) -> Option<Timestamp> {
        self.clock.read(&self.system);
        self.read_limit = connections::read_limit(ready.len());
        for event in ready {
            self.dispatch(*event);
        }
        let wakeup = if self.handover.machine.is_active() {
            self.run_due_work(ready.is_empty())
        } else {
            self.run_inactive()
        };
        if self.should_exit() {
            self.print_counters();
            return None;
        }
        Some(wakeup)
    }

    /// Does the work that is due, in this order: hand-over, links, timeouts of connections, cluster, engine,
    /// drain; then writes the output. `nothing_ready` says that the poller reported no event for this
    /// iteration. Returns when the next iteration is due.
    fn run_due_work(&mut self, nothing_ready: bool) -> Timestamp {
        let now = self.clock.now();
        self.tick_handover();
        // The hand-over may just have made another process the active one.
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
            self.connections.next_wakeup(),
            self.health_checks.next_wakeup(),
            self.idempotency_store.next_wakeup(),
            self.admin.next_wakeup(),
            self.handover.next_wakeup(),
            self.next_drain_step(now),
            self.peers.as_ref().map(|peers| peers.next_timer()),
        ];
        earliest_wakeup(now, wakeups)
    }

    /// Runs the timers of the links to the kernel and the store: reconnects, and ends the outbound calls and
    /// deep health checks that have timed out.
    fn run_link_timers(&mut self, now: Timestamp) {
        if let Some(change) = self.kernel.on_timer(now) {
            self.on_kernel_link_change(change);
        }
        self.fail_lost_runs();
        let ended = self.store.on_timer(now, &mut self.counters);
        self.on_calls_ended(ended);
        // A health check that was withdrawn, or whose connection was closed, no longer waits.
        self.health_checks.retain(|request| self.connections.is_open(request));
        let failed = self.health_checks.request(now, &mut self.kernel, &mut self.counters);
        self.end_deep_checks(failed, false);
    }

    /// Closes operators' and gateways' connections that have timed out, and fails requests that were not
    /// completely read in time.
    fn run_connection_timers(&mut self, now: Timestamp) {
        self.admin.on_timer(now);
        let expired = self.connections.on_timer(now, &mut self.counters);
        self.on_callers_gone(expired.gone);
        for request in expired.unfinished {
            self.fail_incomplete(request, RequestError::Incomplete);
        }
        self.enforce_memory_budget();
    }

    /// Reports to the membership service, but not before the kernel has started. Returns when the next report
    /// is due.
    fn report_membership(&mut self, now: Timestamp) -> Option<Timestamp> {
        let in_service = self.is_in_service();
        if !self.engine.is_started() {
            return None;
        }
        self.membership.on_timer(now, in_service, &mut self.counters)
    }

    /// Writes all output that the iteration has queued.
    fn flush(&mut self) {
        let now = self.clock.now();
        // When a link or connection breaks, the engine may return further commands, whose output is written
        // in this iteration too. The loop ends because each link and connection breaks only once.
        loop {
            // The successor is told of a run before the kernel is: otherwise a keyed attempt could run twice
            // if this process died between the two.
            let replicated = self.replicate_keys();
            let kernel = if replicated { self.kernel.flush(now, &mut self.counters) } else { None };
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
        self.count_memory();
        let key_table = self.engine.idempotency();
        let circuit_open = key_table.breaker_state() != BreakerState::Closed;
        self.counters.read_idempotency(key_table.metrics(), circuit_open);
        self.counters.log_lines_dropped = self.logs.dropped();
        self.logs.write(&self.counters.to_string());
    }
}

/// Opens the links to the other nodes; none if the operators' script names no cluster.
fn join_cluster<S: System>(system: &S, config: &Config) -> Result<Option<Box<Peers<S>>>, NodeError> {
    let Some(cluster) = &config.operators.fleet else { return Ok(None) };
    let keys =
        peers::PollKeys { listener: PEER_LISTENER, log_writer: CONSENSUS_LOG, first_connection: FIRST_PEER };
    let peers = Peers::start(system, cluster, &config.name, config.seed, keys)?;
    Ok(Some(Box::new(peers)))
}

/// The metrics of a node with the configured classes.
fn request_metrics(config: &Config) -> RequestMetrics {
    let mut request_metrics = RequestMetrics::default();
    request_metrics.register_classes(&config.classes);
    request_metrics
}

/// Number of the node's file descriptors that are reserved for operators' connections, the cluster and the
/// idempotency store.
fn reserved_descriptors(config: &Config, has_durable_store: bool) -> usize {
    let idempotency = if has_durable_store { idempotency_store::RESERVED_DESCRIPTORS } else { 0 };
    let admin = if config.admin.is_some() { admin::RESERVED_DESCRIPTORS } else { 0 };
    let cluster = if config.operators.fleet.is_some() { peers::RESERVED_DESCRIPTORS } else { 0 };
    idempotency + admin + cluster
}
