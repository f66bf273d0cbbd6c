//! The loop: one turn takes in what the poller has, asks the engine, carries out its verdicts and writes.

use super::admin::{self, Admin, Call, Said};
use super::config;
use super::config::Config;
use super::connections::{self, ConnId, MOST_OPEN, Open, Table};
use super::counters::Counters;
use super::fastcgi::{self, Record, kind};
use super::handover_link::Place;
use super::health_checks::Checks;
use super::idempotency_store::{self, Keeper};
use super::io::clock::Clock;
use super::io::link::Change;
use super::io::{Ready, System};
use super::kernel::{Command, Fate, Kernel, Notice};
use super::log::Logs;
use super::membership_reports::Members;
use super::peers::{self, Peers};
use super::request::{Asked, AttemptParams, Fault};
use super::request_metrics::{End, Figures};
use super::response::Response;
use super::store::{self, Ended, Store};
use gaugestand_admission::classes::ClassSlots;
use gaugestand_admission::engine::{
    AdmitError, Arrival, CallOutcome, Engine, EngineCommand, EngineEvent, RunOutcome,
};
use gaugestand_admission::idempotency::IdempotencyTable as _;
use gaugestand_admission::time::Micros;
use gaugestand_admission::{Effect, RequestId, SettingsError, handover::Event as HandoverEvent};
use gaugestand_idempotency::{Breaker, KeyTable};
use gaugestand_settings::Backend;
use handover::Kindred;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::rc::Rc;
use std::{fmt, mem};

mod cluster;
mod handover;

/// Poller keys; connections follow.
const LISTENER: usize = 0;
const KERNEL: usize = 1;
const LEAVE: usize = 2;
const PRINT: usize = 3;
const RELOAD: usize = 4;
const RECORD: usize = 5;
const ADMIN: usize = 6;
const DOOR: usize = 7;
const UP: usize = 8;
const DOWN: usize = 9;
const TURNED_AWAY: usize = 10;
const CONSENSUS_LOG: usize = 11;
const INHERITED: usize = 12;
const FIRST_CALLER: usize = 16;
const FIRST_LANE: usize = FIRST_CALLER + admin::MOST_CALLERS;
const PEER_LISTENER: usize = FIRST_LANE + store::MOST_LANES;
const FIRST_PEER: usize = PEER_LISTENER + 1;
const FIRST_CONN: usize = FIRST_PEER + peers::KEYS;

/// Longest wait for the poller, so that a clock that was set wrong is noticed.
const LONGEST_WAIT: Micros = Micros::millis(1_000);
/// Before the end of a drain: when to stop listening, and when to be gone.
const STOP_LISTENING: Micros = Micros::millis(250);
const GONE: Micros = Micros::millis(100);
/// Connections that the other side does not end are closed so long before the end of a drain.
const CLOSED: Micros = Micros::millis(30);
/// Turns that it takes at least, so that the poller was asked in between.
const LOOKS: u8 = 2;

/// Why the node could not start or go on.
#[derive(Debug)]
pub enum NodeError {
    /// The system refused something.
    Io(&'static str, io::Error),
    /// The settings make no sense.
    Settings(SettingsError),
    /// The store of record cannot be used.
    Record(String),
    /// The fleet cannot be joined.
    Fleet(String),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeError::Io(what, e) => write!(f, "{what}: {e}"),
            NodeError::Settings(e) => e.fmt(f),
            NodeError::Record(problem) | NodeError::Fleet(problem) => f.write_str(problem),
        }
    }
}

fn io_error(what: &'static str) -> impl FnOnce(io::Error) -> NodeError {
    move |e| NodeError::Io(what, e)
}

/// The node.
#[derive(Debug)]
pub struct Node<S: System> {
    system: S,
    config: Config,
    clock: Clock,
    table: Table<S>,
    /// What was read of one connection, for its records to be parsed where they lie.
    buffer: Vec<u8>,
    kernel: Kernel<S>,
    store: Store<S>,
    members: Members<S>,
    engine: Engine<KeyTable>,
    record: Keeper<S>,
    logs: Logs,
    counters: Counters,
    admin: Admin<S>,
    figures: Figures,
    /// The classes, as requests know them.
    slots: ClassSlots,
    keyed: Vec<bool>,
    attempts: BTreeMap<RequestId, Place>,
    /// Other processes of this node.
    kin: Kindred<S>,
    checks: Checks,
    leave: S::Signals,
    print: S::Signals,
    reload: S::Signals,
    /// After the notice to leave: when the process is stopped.
    stop: Option<Micros>,
    /// It drains.
    leaving: bool,
    /// Turns since the end of the drain is near.
    last_looks: u8,
    /// The nodes that agree on versions with this one, where there are any.
    peers: Option<Box<Peers<S>>>,
    /// The settings of the node's own file, while a version has others.
    local: serde_json::Value,
    /// Ends of requests by class at two moments, for the present load.
    load_samples: cluster::LoadSamples,
}

/// The earliest of these, or the longest wait. Nothing is looked at again at once: what is overdue then waits for
/// something else to happen.
fn next_turn(now: Micros, wake: impl IntoIterator<Item = Option<Micros>>) -> Micros {
    wake.into_iter().flatten().min().unwrap_or(now.plus(LONGEST_WAIT)).max(now.plus(Micros(200)))
}

fn longest_window(config: &Config) -> Micros {
    let keyed = config.settings.classes.iter().filter(|c| c.effect == Effect::Keyed);
    keyed.map(|c| c.dedup_window).max().unwrap_or_default().into()
}

impl<S: System> Node<S> {
    /// Listens, and prepares everything else.
    pub fn start(system: S, config: Config, logs: Logs) -> Result<Self, NodeError> {
        // Before anything can connect: a signal that comes while the rest is being prepared waits, and ends nothing.
        let signals = |key, which: &[i32]| system.signals(key, which).map_err(io_error("signals"));
        let (leave, print) = (signals(LEAVE, &[SIGTERM, SIGINT])?, signals(PRINT, &[SIGUSR1])?);
        let reload = signals(RELOAD, &[SIGHUP])?;
        let clock = Clock::new(&system);
        let lanes = store::lanes_within(config.sockets);
        // The store is read before anybody can connect.
        let who = (config.name.as_str(), config.seed, longest_window(&config));
        let stored = config.operators.record.as_ref();
        let (record, mut key_table) =
            Keeper::start(stored, who, RECORD, &system, clock.moment()).map_err(NodeError::Record)?;
        key_table.set_most(config.most_kept);
        let others = lanes
            + if key_table.is_durable() { idempotency_store::SOCKETS } else { 0 }
            + if config.admin.is_some() { admin::SOCKETS } else { 0 }
            + if config.operators.fleet.is_some() { peers::SOCKETS } else { 0 };
        let keys = peers::PollKeys {
            listener: PEER_LISTENER,
            log_writer: CONSENSUS_LOG,
            first_connection: FIRST_PEER,
        };
        let join = |fleet| Peers::start(&system, fleet, &config.name, config.seed, keys).map(Box::new);
        let peers = config.operators.fleet.as_ref().map(join).transpose();
        let peers = peers.map_err(|error| NodeError::Fleet(error.to_string()))?;
        let admin = Admin::listen(&system, config.admin, ADMIN, FIRST_CALLER, peers.is_some())
            .map_err(io_error("listening at the second address"))?;
        let mut figures = Figures::default();
        figures.list(&config.classes);
        let mut table = Table::new(FIRST_CONN, config.sockets - others);
        let (kin, listener) = Kindred::find(&system, &config)?;
        match listener {
            Some(listener) => table.listen(listener),
            None => table.stop(true),
        }
        let engine =
            Engine::new(config.settings.clone(), config.seed, key_table).map_err(NodeError::Settings)?;
        Ok(Node {
            clock,
            record,
            logs,
            kernel: Kernel::new(config.kernel, KERNEL, &system, &config.gauges),
            store: Store::new(config.store, FIRST_LANE, lanes, &system),
            members: Members::new(&system, config.members, &config.name).map_err(io_error("members"))?,
            counters: Counters::default(),
            admin,
            figures,
            slots: ClassSlots::new(&config.classes),
            keyed: config.keyed.clone(),
            attempts: BTreeMap::new(),
            kin,
            checks: Checks::default(),
            leave,
            print,
            reload,
            stop: None,
            leaving: false,
            last_looks: 0,
            peers,
            local: config.file["settings"].clone(),
            load_samples: cluster::LoadSamples::default(),
            config,
            system,
            table,
            buffer: connections::buffer(),
            engine,
        })
    }

    /// The address it listens at.
    pub fn address(&self) -> Option<std::net::SocketAddr> {
        self.table.address().or_else(|| self.kin.address())
    }

    /// The address at which it answers operators' calls.
    pub fn admin_address(&self) -> Option<std::net::SocketAddr> {
        self.admin.address()
    }

    /// The address at which other nodes of its fleet reach it.
    pub fn peers_address(&self) -> Option<std::net::SocketAddr> {
        self.peers.as_ref().and_then(|f| f.address())
    }

    /// Turns until the end of a drain.
    pub fn run(&mut self) -> Result<(), NodeError> {
        let mut ready = Vec::new();
        let mut wake = self.clock.now();
        loop {
            let wait = wake.since(self.clock.now()).0.min(LONGEST_WAIT.0);
            self.system.wait(Micros(wait), &mut ready).map_err(io_error("poller"))?;
            match self.turn(&ready) {
                Some(next) => wake = next,
                None => return Ok(()),
            }
        }
    }

    /// One turn: takes in what is ready and does what is due. Returns when the next one is due though nothing may be
    /// ready, or nothing at the end of a drain.
    pub fn turn(&mut self, ready: &[Ready]) -> Option<Micros> {
        self.clock.read(&self.system);
        for event in ready {
            self.take(*event);
        }
        let wake = if self.kin.machine.is_node() { self.pass(ready.is_empty()) } else { self.pass_aside() };
        if self.is_over() {
            self.print_counters();
            return None;
        }
        Some(wake)
    }

    /// What it has counted so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn is_over(&self) -> bool {
        if self.kin.over {
            return true;
        }
        let Some(stop) = self.stop else { return false };
        if !self.kin.machine.is_node() {
            return self.clock.now() >= stop;
        }
        let now = self.clock.now();
        let done = self.engine.owed() == 0 && !self.table.is_writing();
        let closed = self.table.is_empty() || now.plus(CLOSED) >= stop;
        let over = now.plus(GONE) >= stop && done && closed || now >= stop;
        over && self.last_looks >= LOOKS
    }

    /// Near the end of a drain: whether what came before now has surely been read. A wait that ran out, or that a signal
    /// interrupted, says nothing of what has come since: the poller is asked again first.
    fn has_looked(&mut self, stop: Micros, quiet: bool) -> bool {
        self.last_looks = self.last_looks.saturating_add(1);
        self.last_looks >= LOOKS && (quiet || self.clock.now().plus(CLOSED) >= stop)
    }

    /// At the end of a drain, when all is answered: what is not whole by now is refused, as it never ran, and no
    /// connection takes anything more. Each is closed once its other side has ended too.
    fn close_connections(&mut self) {
        for (conn, fcgi) in self.table.unread() {
            let Some(open) = self.table.get(conn).and_then(|c| c.open.remove(&fcgi)) else { continue };
            if matches!(open, Open::Check(_)) {
                self.answer_check(conn, fcgi, open.keeps(), false);
                continue;
            }
            self.counters.answers_refused += 1;
            let capacity = self.engine.capacity();
            self.respond(conn, fcgi, open.keeps(), &Response::plain("503 Service Unavailable", capacity));
        }
        self.flush();
        self.table.close_all(self.clock.now());
    }

    fn print_counters(&mut self) {
        let key_table = self.engine.idempotency();
        let open = key_table.breaker() != Breaker::Closed;
        self.counters.record(key_table.figures(), open);
        self.counters.log_lines_dropped = self.logs.dropped();
        self.logs.print(&self.counters.to_string());
    }

    /// What is due by now; then everything is written. `quiet` if nothing was ready. Returns when to do so again.
    fn pass(&mut self, quiet: bool) -> Micros {
        let now = self.clock.now();
        self.tick_kin();
        if !self.kin.machine.is_node() {
            return self.pass_aside();
        }
        if let Some(change) = self.kernel.tick(now) {
            self.kernel_changed(change);
        }
        let ended = self.store.tick(now, &mut self.counters);
        self.calls_ended(ended);
        for (conn, fcgi) in self.checks.post(now, &mut self.kernel, &mut self.counters) {
            self.end_check(conn, fcgi, false);
        }
        self.admin.tick(now);
        let look = self.table.tick(now, &mut self.counters);
        self.connections_gone(look.gone);
        for (conn, fcgi) in look.unfinished {
            self.fail_unread(conn, fcgi, Fault::Unfinished);
        }
        self.run_cluster_tasks();
        let mut verdicts = Vec::new();
        let mut wake = vec![self.engine.on_timer(self.clock.moment(), &mut verdicts)];
        self.carry_out(verdicts);
        self.record.pump(self.clock.moment(), self.engine.idempotency());
        if self.stop.is_some_and(|stop| now.plus(STOP_LISTENING) >= stop) {
            self.table.stop_listening(now, &mut self.counters);
        }
        let up = self.engine.healthy() && self.knows_active_version();
        if self.engine.is_up() {
            wake.push(self.members.tick(now, up, &mut self.counters));
        }
        self.flush();
        if let Some(stop) = self.stop.filter(|stop| now.plus(GONE) >= *stop) {
            if !self.has_looked(stop, quiet) {
                wake.push(Some(now));
            } else if self.engine.owed() == 0 {
                self.close_connections();
            }
        }
        let steps = [STOP_LISTENING, GONE, CLOSED];
        let step = |stop: &Micros| steps.into_iter().map(|s| stop.since(s)).find(|t| now < *t);
        let leaving = self.stop.map(|stop| step(&stop).unwrap_or(stop));
        wake.extend([
            self.kernel.wake(),
            self.store.wake(),
            self.checks.wake(),
            self.record.wake(),
            self.admin.wake(),
            self.kin.wake(),
            leaving,
            self.peers.as_ref().map(|peers| peers.next_timer()),
        ]);
        next_turn(now, wake)
    }

    fn flush(&mut self) {
        let now = self.clock.now();
        // What breaks makes the engine say more, which goes out with this turn as well; each link and
        // connection breaks only once.
        loop {
            // What runs is known to the next process before the kernel hears of it.
            let may = self.mirror();
            let kernel = if may { self.kernel.flush(now) } else { None };
            let store = self.store.flush(now);
            let gone = self.table.flush(now, &mut self.counters);
            if kernel.is_none() && store.is_empty() && gone.is_empty() {
                break;
            }
            kernel.into_iter().for_each(|change| self.kernel_changed(change));
            self.calls_ended(store);
            self.connections_gone(gone);
        }
        self.flush_kin();
        if let Some(peers) = &mut self.peers {
            peers.flush(now);
        }
        let now = self.clock.moment();
        self.record.flush(now, self.engine.idempotency());
    }

    fn take(&mut self, event: Ready) {
        let now = self.clock.now();
        match event.key {
            // What is accepted after all was handed over would be lost.
            LISTENER if self.kin.machine.is_node() => self.table.accept(now, &mut self.counters),
            LISTENER => {}
            KERNEL => self.take_kernel(event),
            DOOR => self.take_door(),
            UP => self.take_up(event),
            DOWN => self.take_down(event),
            key if (INHERITED..FIRST_CALLER).contains(&key) => self.take_inherited(event),
            LEAVE => {
                self.drain_signal(LEAVE);
                // Said again in a drain it says nothing new: above all it hands nothing over.
                if !self.leaving {
                    self.happen(HandoverEvent::Leave);
                }
            }
            PRINT => {
                self.drain_signal(PRINT);
                self.print_counters();
            }
            RELOAD => {
                self.drain_signal(RELOAD);
                self.take_configuration();
            }
            RECORD => {
                let (now, ready) = (self.clock.moment(), (event.readable, event.writable));
                self.record.ready(now, ready, self.engine.idempotency(), &mut self.counters);
            }
            ADMIN => self.admin.accept(now),
            key if self.admin.has_key(key) => {
                if let Some((place, said)) = self.admin.ready(event)
                    && let Some(answer) = self.tell(place, said)
                {
                    self.admin.answer(place, answer);
                }
            }
            key if cluster::is_key(key) => self.on_cluster_event(event),
            key if self.store.has_key(key) => {
                let ended = self.store.ready(now, event, &mut self.counters);
                self.calls_ended(ended);
            }
            key => {
                let conn = self.table.at_key(key).filter(|_| self.kin.machine.is_node());
                if let Some(conn) = conn {
                    self.take_conn(conn, event.readable);
                }
            }
        }
    }

    fn drain_signal(&mut self, key: usize) {
        let pipe = match key {
            LEAVE => &mut self.leave,
            PRINT => &mut self.print,
            _ => &mut self.reload,
        };
        // The bytes say nothing; only that they came matters.
        while matches!(pipe.read(&mut [0; 64]), Ok(n) if n > 0) {}
    }

    fn begin_drain(&mut self) {
        if mem::replace(&mut self.leaving, true) {
            return;
        }
        // The notice may have come a while ago, if another process was to take over and did not.
        let stop = *self.stop.get_or_insert(self.clock.now().plus(self.config.stop));
        let notice = Micros(stop.0.saturating_sub(self.config.stop.0));
        // All is answered some time before the end, so that it is also written by then.
        let by = Micros(stop.0.saturating_sub(STOP_LISTENING.0));
        if let Some(peers) = &mut self.peers {
            peers.start_drain(self.clock.now());
        }
        self.report(EngineEvent::Drain { notice, stop: by });
    }

    /// A new configuration takes effect whole, or the old one stays.
    fn take_configuration(&mut self) {
        let new = self.read_configuration();
        let moved = new.and_then(|new| {
            // Of all steps only these can fail: they come first, and the last one of them is the first to take effect.
            let admin = self.admin.prepare(new.admin).map_err(|e| format!("admin_addr: {e}"))?;
            self.members.move_to(new.members).map_err(|e| format!("members: {e}"))?;
            self.admin.move_to(admin);
            Ok(new)
        });
        match moved {
            Err(problem) => {
                self.counters.reloads_failed += 1;
                tracing::warn!(problem, "the old configuration stays");
            }
            Ok(new) => {
                self.counters.reloads += 1;
                if self.kernel.move_to(new.kernel) {
                    self.report(EngineEvent::BackendLink(false));
                }
                self.store.move_to(new.store);
                self.take_operators(&new);
                self.config = new;
                self.take_settings();
                tracing::info!("the new configuration is in effect");
                // After that line, so that it is told whatever the level is from now on.
                self.logs.set_level(self.config.operators.log.level);
            }
        }
    }

    /// The settings of the present configuration take effect; what is open keeps its class.
    fn take_settings(&mut self) {
        let (names, settings) = (&self.config.classes, &self.config.settings);
        let plan = self.slots.plan(self.engine.classes(), names, &settings.classes, &self.engine.used());
        self.engine.update_settings(settings.clone(), &plan);
        self.figures.list(names);
        self.kernel.set_gauges(&self.config.gauges);
        (self.slots, self.keyed) = (plan.slots, self.engine.keyed());
    }

    /// What of the operators' settings can change while the node serves; none of it can fail.
    fn take_operators(&mut self, new: &Config) {
        self.engine.idempotency().set_most(new.most_kept);
        let Some(stored) = &new.operators.record else { return };
        if let Backend::Postgres { password_file, .. } = &stored.backend
            && let Ok(password) = idempotency_store::password(password_file)
        {
            self.record.set_password(password);
        }
        self.engine.idempotency().set_limits(idempotency_store::limits(stored, longest_window(new)));
    }

    // ---- The second address --------------------------------------------------------------------------

    /// What a caller is answered, unless that comes later.
    fn tell(&mut self, place: usize, said: Said) -> Option<String> {
        Some(match said {
            Said::Whole(Call::Fleet(words)) => return self.operator_call(place, &words),
            Said::Whole(Call::Ping) => match self.takes_clients() {
                Ok(()) => "done\n".into(),
                Err(why) => format!("error {why}\n"),
            },
            Said::Whole(Call::Info) => {
                let others = [
                    ("dispatches", self.counters.runs_sent),
                    ("reload_success", self.counters.reloads),
                    ("reload_failure", self.counters.reloads_failed),
                ];
                self.figures.text(self.open_attempts(), &others) + "end\n"
            }
            Said::Wrong(why) => format!("error {why}\n"),
            Said::Part => "error no line\n".into(),
        })
    }

    /// Whether requests that come now are taken by this process, or why not.
    fn takes_clients(&mut self) -> Result<(), &'static str> {
        if self.kin.is_ready() {
            return Ok(());
        }
        let up = self.engine.is_up();
        let steps = [
            (!self.kin.machine.is_retired(), "another process has taken over"),
            (!self.kin.machine.is_heir(), "another process is the node, and its keys are not in place"),
            (self.stop.is_none(), "it leaves service"),
            (self.table.address().is_some(), "it does not listen"),
            (up, "its kernel is not up"),
            (self.engine.idempotency().is_ready(), "keys are not in place"),
            (self.knows_active_version(), "no majority has told it which version holds"),
        ];
        steps.into_iter().find(|step| !step.0).map_or(Ok(()), |(_, why)| Err(why))
    }

    /// Requests that were taken and have not ended.
    pub fn open_attempts(&self) -> usize {
        self.attempts.values().filter(|place| place.open).count()
    }

    /// What operators are told of.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// The one place where a request that was taken ends, for whatever reason; the first one counts.
    fn ended(&mut self, id: RequestId, end: End) {
        if let Some(place) = self.attempts.get_mut(&id).filter(|place| place.open) {
            place.open = false;
            self.figures.ended(self.slots.name(place.class), end);
        }
    }

    // ---- Connections of gateways ---------------------------------------------------------------------

    fn take_conn(&mut self, id: ConnId, readable: bool) {
        let now = self.clock.now();
        let mut buffer = mem::take(&mut self.buffer);
        let Some(conn) = self.table.get(id).filter(|c| !c.is_closing()) else {
            self.table.drop_input(id, &mut buffer);
            self.buffer = buffer;
            return;
        };
        let read = if conn.is_dead() { Err(io::ErrorKind::ConnectionReset.into()) } else { Ok(()) };
        let read = read.and_then(|()| if readable { conn.read(now, &mut buffer) } else { Ok(0) });
        match read {
            Ok(0) => self.table.touch(id),
            Ok(n) => self.take_input(id, &buffer[..n]),
            Err(_) => {
                let gone = self.table.close(id);
                self.connections_gone(gone);
            }
        }
        self.buffer = buffer;
    }

    fn take_input(&mut self, id: ConnId, input: &[u8]) {
        let mut at = 0;
        let framed = loop {
            match fastcgi::record(&input[at..]) {
                Ok(Some(record)) => {
                    at += record.len;
                    if !self.take_record(id, record) {
                        break false;
                    }
                    if self.table.get(id).is_none_or(|c| c.is_deaf()) {
                        break true;
                    }
                }
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        self.table.touch(id);
        let now = self.clock.now();
        let Some(conn) = self.table.get(id) else { return };
        if framed {
            return conn.keep(now, &input[at..], at > 0);
        }
        // Nothing that follows can be trusted; what came before is still answered.
        self.counters.framing_lost += 1;
        if conn.stop_reading().is_err() {
            let gone = self.table.close(id);
            self.connections_gone(gone);
        }
    }

    /// Takes in one record; false if what follows cannot be told apart from it.
    fn take_record(&mut self, conn: ConnId, record: Record<'_>) -> bool {
        let (now, id, content) = (self.clock.now(), record.id, record.content);
        let Some(c) = self.table.get(conn) else { return false };
        match (record.kind, c.open.get_mut(&id)) {
            (kind::BEGIN_REQUEST, Some(_)) => return false,
            (kind::BEGIN_REQUEST, None) => c.begin(now, id, content),
            (kind::PARAMS | kind::STDIN, Some(Open::Incoming(incoming, ..))) => {
                let whole = incoming.take(record.kind == kind::STDIN, content);
                match incoming.fault() {
                    Some(fault) => self.fail_unread(conn, id, fault),
                    None if whole => self.take_request(conn, id),
                    None => {}
                }
            }
            (kind::ABORT_REQUEST, Some(_)) => self.abort(conn, id),
            (kind::GET_VALUES, _) if id == 0 => {
                let known = [("FCGI_MAX_REQS", MOST_OPEN.to_string()), ("FCGI_MPXS_CONNS", "1".to_string())];
                c.output.push(fastcgi::values_result(content, &known));
            }
            (other, _) if id == 0 => c.output.push(fastcgi::unknown_type(other)),
            // Of a request that is over, or one that was never begun: the protocol has them ignored.
            _ => return c.note_stray(content.len()),
        }
        true
    }

    /// Fails a request that is not whole.
    fn fail_unread(&mut self, conn: ConnId, fcgi: u16, fault: Fault) {
        let open = self.table.get(conn).and_then(|c| c.open.remove(&fcgi));
        if let Some(open) = open {
            self.bad(conn, fcgi, open.keeps(), fault);
        }
    }

    /// All of a request is there.
    fn take_request(&mut self, conn: ConnId, fcgi: u16) {
        let open = self.table.get(conn).and_then(|c| c.open.remove(&fcgi));
        let Some(Open::Incoming(incoming, keeps, _)) = open else { return };
        let asked = incoming.finish(|name| self.slots.find(name), &self.keyed);
        if let (Ok(_), Some(c)) = (&asked, self.table.get(conn)) {
            c.note_asked();
        }
        match asked {
            Ok((Asked::Check(deep), _)) => self.check(conn, fcgi, keeps, deep),
            Ok((Asked::Attempt(t), body)) => self.admit(conn, fcgi, keeps, *t, body),
            Err(fault) => self.bad(conn, fcgi, keeps, fault),
        }
    }

    fn admit(&mut self, conn: ConnId, fcgi: u16, keeps: bool, t: AttemptParams, body: Vec<u8>) {
        if let Some(refusal) = self.reject_by_version(&t) {
            self.counters.answers_refused += 1;
            self.figures.turned_down(self.slots.name(t.class), End::Overload);
            return self.respond(conn, fcgi, keeps, &refusal);
        }
        let arrival = Arrival {
            id: t.id,
            class: t.class,
            repeat_key: t.repeat_key,
            body: &body,
            age: self.clock.age(t.ingress),
            ingress: t.ingress,
            work_hint: t.work_hint,
            queued_kb: t.queued_kb,
            shed_order: t.shed_order,
            caller: t.router,
            caller_timeout: t.caller_timeout,
            is_retry: t.is_retry,
            resource_key: t.row,
        };
        let untold = self.config.tells_patience && t.caller_timeout.is_none();
        let mut verdicts = Vec::new();
        if let Err(unfit) = self.engine.admit(self.clock.moment(), arrival, &mut verdicts) {
            self.figures.turned_down(self.slots.name(t.class), End::Error);
            let fault = match unfit {
                // Whatever became of the other one, this one cannot be told apart from it.
                AdmitError::DuplicateId => Fault::Malformed("X-Txn"),
                AdmitError::KeyConflict => Fault::Conflict,
            };
            return self.bad(conn, fcgi, keeps, fault);
        }
        self.figures.taken();
        self.counters.requests_read += 1;
        self.counters.patience_untold += u64::from(untold);
        if let Some(c) = self.table.get(conn) {
            c.open.insert(fcgi, Open::Owed(t.id, keeps));
        }
        let (id, class) = (t.id, t.class);
        let place = Place { id, conn, fcgi, class, body, call: Vec::new(), call_notice: 0, open: true };
        self.attempts.insert(t.id, place);
        if let Some(peers) = &mut self.peers {
            peers.attempt_started(self.clock.now(), t.id, t.router);
        }
        self.carry_out(verdicts);
    }

    fn bad(&mut self, conn: ConnId, fcgi: u16, keeps: bool, fault: Fault) {
        self.counters.requests_bad += 1;
        let capacity = self.engine.capacity();
        self.respond(conn, fcgi, keeps, &Response::plain(fault.status(), capacity));
        // Of what is too long the rest need not be taken in.
        self.table.fault(self.clock.now(), conn, fault == Fault::TooLong);
    }

    /// The gateway waits no longer. The answer ends the request, so that its number can be used again; if one
    /// was given before, there is nothing open and nothing more is sent.
    fn abort(&mut self, conn: ConnId, fcgi: u16) {
        let Some(open) = self.table.get(conn).and_then(|c| c.open.remove(&fcgi)) else { return };
        self.counters.aborts_read += 1;
        self.respond(conn, fcgi, open.keeps(), &Response::plain("500 Aborted", None));
        if let Open::Owed(id, _) = open {
            self.ended(id, End::Error);
            self.report(EngineEvent::CallerGone(id));
        }
    }

    fn connections_gone(&mut self, ids: Vec<RequestId>) {
        for id in ids {
            self.ended(id, End::Error);
            self.report(EngineEvent::CallerGone(id));
        }
    }

    /// Queues the one answer of an open request that is already off its connection's list.
    fn respond(&mut self, conn: ConnId, fcgi: u16, keeps: bool, response: &Response<'_>) {
        let Some(c) = self.table.get(conn) else {
            self.counters.answers_unsent += 1;
            return;
        };
        c.output.respond(fcgi, response);
        c.last |= !keeps;
        self.table.touch(conn);
    }

    /// Answers a try, if its connection still has it open; returns whether it was answered.
    fn answer(
        &mut self,
        id: RequestId,
        status: &str,
        retry_after: Micros,
        no_retry_elsewhere: bool,
        body: Rc<[u8]>,
    ) -> bool {
        let Some(place) = self.attempts.get(&id) else { return false };
        let (conn, fcgi) = (place.conn, place.fcgi);
        let open = self.table.get(conn).and_then(|c| c.open.remove(&fcgi));
        let Some(open) = open else {
            self.counters.answers_unsent += 1;
            return false;
        };
        if let (true, Some(c)) = (status.starts_with("200"), self.table.get(conn)) {
            c.note_served();
        }
        let capacity = self.engine.capacity();
        self.respond(
            conn,
            fcgi,
            open.keeps(),
            &Response { status, capacity, retry_after, no_retry_elsewhere, body },
        );
        true
    }

    // ---- Health checks -------------------------------------------------------------------------------

    fn check(&mut self, conn: ConnId, fcgi: u16, keeps: bool, deep: bool) {
        self.counters.checks_read += 1;
        let good = self.engine.healthy() && self.knows_active_version();
        if !(good && deep) {
            return self.answer_check(conn, fcgi, keeps, good);
        }
        if let Some(c) = self.table.get(conn) {
            c.open.insert(fcgi, Open::Check(keeps));
        }
        self.add_check(conn, fcgi);
    }

    fn add_check(&mut self, conn: ConnId, fcgi: u16) {
        if let Some(good) = self.checks.add(self.clock.now(), conn, fcgi) {
            self.end_check(conn, fcgi, good);
        }
    }

    fn end_check(&mut self, conn: ConnId, fcgi: u16, good: bool) {
        let open = self.table.get(conn).and_then(|c| c.open.remove(&fcgi));
        if let Some(open) = open {
            self.answer_check(conn, fcgi, open.keeps(), good);
        }
    }

    fn answer_check(&mut self, conn: ConnId, fcgi: u16, keeps: bool, good: bool) {
        let count = if good { &mut self.counters.checks_good } else { &mut self.counters.checks_bad };
        *count += 1;
        let status = if good { "200 OK" } else { "503 Service Unavailable" };
        let capacity = self.engine.capacity();
        self.respond(conn, fcgi, keeps, &Response::plain(status, capacity));
    }

    // ---- The kernel and the store --------------------------------------------------------------------

    fn take_kernel(&mut self, event: Ready) {
        let now = self.clock.now();
        if let Some(change) = self.kernel.ready(now, event.readable, event.writable, &mut self.counters) {
            self.kernel_changed(change);
        }
        while let Some(notice) = self.kernel.next(&mut self.counters) {
            match notice {
                Notice::Booted { cold, age } => {
                    if !self.kin.note_booted(cold, age) {
                        self.report(EngineEvent::BackendStarted { cold, age });
                    }
                }
                Notice::Info(_, figures) => {
                    let gauges = self.kernel.gauges(&figures);
                    self.report(EngineEvent::GaugesRead(gauges));
                }
                Notice::Posted(ticket, good) => {
                    for (conn, fcgi) in self.checks.posted(now, ticket, good) {
                        self.end_check(conn, fcgi, good);
                    }
                }
                notice => self.take_notice(notice),
            }
        }
    }

    /// A kernel of a process before this one says something.
    fn take_inherited(&mut self, event: Ready) {
        let now = self.clock.now();
        let Some(at) = self.kin.inherited.iter().position(|one| one.key == event.key) else { return };
        let Some(one) = self.kin.inherited.get_mut(at) else { return };
        one.kernel.ready(now, event.readable, event.writable, &mut self.counters);
        while let Some(one) = self.kin.inherited.get_mut(at) {
            let Some(notice) = one.kernel.next(&mut self.counters) else { return };
            if let Notice::Reap(id, _) | Notice::Invalid(Command::Sched, Some(id)) = &notice {
                one.runs.remove(id);
            }
            self.take_notice(notice);
        }
    }

    /// What a kernel says of a run.
    fn take_notice(&mut self, notice: Notice) {
        let now = self.clock.now();
        {
            match notice {
                Notice::Reap(id, fate) => {
                    let end = match fate {
                        Fate::Good(result) => RunOutcome::Succeeded(result),
                        Fate::Bad => RunOutcome::Failed,
                        Fate::Cut => RunOutcome::Cancelled,
                        Fate::Gone => RunOutcome::NeverRan,
                    };
                    self.report(EngineEvent::RunEnded(id, end));
                }
                Notice::IoReq(id, cursor, body) => {
                    if let Some(place) = self.attempts.get_mut(&id) {
                        (place.call, place.call_notice) = (body, cursor);
                        self.report(EngineEvent::CallRequested(id));
                    }
                }
                Notice::Invalid(Command::Sched, Some(id)) => {
                    // Nobody but a client that makes ids up asks for what the kernel does not know.
                    if let Some(conn) = self.attempts.get(&id).map(|place| place.conn) {
                        self.table.fault(now, conn, false);
                    }
                    self.report(EngineEvent::RunEnded(id, RunOutcome::NeverRan));
                }
                Notice::Invalid(Command::NoIo, Some(id)) => self.report(EngineEvent::CallNotSkippable(id)),
                _ => {}
            }
        }
    }

    /// The kernel that has the run of a try, or is to have it.
    fn kernel_of(&mut self, id: RequestId) -> &mut Kernel<S> {
        let inherited = self.kin.inherited.iter_mut().find(|one| one.runs.contains(&id));
        inherited.map_or(&mut self.kernel, |one| &mut one.kernel)
    }

    fn kernel_changed(&mut self, change: Change) {
        if change == Change::Broken {
            self.report(EngineEvent::BackendLink(false));
        }
    }

    fn calls_ended(&mut self, calls: Vec<Ended>) {
        if !self.kin.machine.is_node() {
            return self.pass_on(calls);
        }
        for call in calls {
            if let Some(reply) = &call.reply {
                self.kernel_of(call.id).io_done(call.id, reply);
            }
            self.report(EngineEvent::CallEnded(call.id, call.end, call.lag));
        }
    }

    // ---- Verdicts ------------------------------------------------------------------------------------

    fn report(&mut self, report: EngineEvent) {
        let mut verdicts = Vec::new();
        self.engine.on_event(self.clock.moment(), report, &mut verdicts);
        self.carry_out(verdicts);
    }

    fn carry_out(&mut self, verdicts: Vec<EngineCommand>) {
        let nothing: Rc<[u8]> = Rc::from([]);
        for verdict in verdicts {
            match verdict {
                EngineCommand::Run(id) => {
                    if let Some(place) = self.attempts.get_mut(&id) {
                        let body = mem::take(&mut place.body);
                        self.kernel.sched(id, self.slots.name(place.class), &body);
                        self.counters.runs_sent += 1;
                    }
                }
                EngineCommand::Preempt(id) => {
                    self.kernel_of(id).preempt(id);
                    self.counters.stops_sent += 1;
                }
                EngineCommand::Call(id, wait) => {
                    if let Some(place) = self.attempts.get(&id) {
                        let body = place.call.clone();
                        self.store.call(self.clock.now(), id, wait, body, &mut self.counters);
                    }
                }
                EngineCommand::SkipCall(id) => {
                    if let Some(notice) = self.attempts.get(&id).map(|place| place.call_notice) {
                        self.kernel_of(id).no_io(id, notice);
                        self.counters.calls_skipped += 1;
                    }
                }
                EngineCommand::DropCall(id) => self.drop_call(id),
                EngineCommand::Reject { id, retry_after, no_retry_elsewhere } => {
                    self.ended(id, End::Overload);
                    let status = "503 Service Unavailable";
                    let done = self.answer(id, status, retry_after, no_retry_elsewhere, nothing.clone());
                    self.counters.answers_refused += u64::from(done);
                }
                EngineCommand::Fail { id, retry_after, no_retry_elsewhere } => {
                    self.ended(id, End::Error);
                    let status = "500 Internal Server Error";
                    let done = self.answer(id, status, retry_after, no_retry_elsewhere, nothing.clone());
                    self.counters.answers_failed += u64::from(done);
                }
                EngineCommand::Serve(id, result) => {
                    self.ended(id, End::Success);
                    let done = self.answer(id, "200 OK", Micros(0), false, result);
                    self.counters.answers_served += u64::from(done);
                }
                EngineCommand::Replay(id, result) => {
                    self.ended(id, End::Success);
                    let done = self.answer(id, "200 OK", Micros(0), false, result);
                    self.counters.answers_replayed += u64::from(done);
                }
                EngineCommand::Forget(id) => {
                    self.attempts.remove(&id);
                    self.store.forget(id);
                    if let Some(peers) = &mut self.peers {
                        peers.attempt_finished(id);
                    }
                }
                EngineCommand::ReadGauges => {
                    self.kernel.ask();
                    self.counters.gauges_sent += 1;
                }
                EngineCommand::SetIdleTimeout(idle) => self.table.set_idle(idle),
            }
        }
    }
}
