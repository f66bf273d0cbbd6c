//! One simulated world: a node on the simulated network, the fakes of its kernel, its gateways, the
//! downstream tier and the membership service, and a plan of faults. The settings, the traffic and the faults
//! are drawn from one seed. All rules are checked after each event.

use crate::fakes::kernel::Kernel;
use crate::faults::{Fault, draw_faults};
use crate::network::{MAX_ACCEPTS_PER_ITERATION, MAX_READ_PER_ITERATION, Network, Side};
use crate::random::SimRng;
use crate::rules::{Rules, Violation};
use crate::site::{CORES, Site};
use crate::system::VirtualSystem;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_node::config;
use gaugestand_node::event_loop::Node;
use gaugestand_node::log::Logs;
use serde_json::json;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use gateways::{GatewayConnection, OpenAttempt, Request};

mod actors;
mod faults;
mod gateways;

const SIGTERM: i32 = 15;
/// Number of gateways that send requests to the node.
const GATEWAYS: u64 = 3;
const NODE_PORT: u16 = 6565;
const KERNEL_PORT: u16 = 6100;
const DOWNSTREAM_PORT: u16 = 9042;
const MEMBERSHIP_PORT: u16 = 7946;
/// Number of file descriptors that the node may use.
const MAX_DESCRIPTORS: usize = 384;
/// The same in worlds with idle clients, of which few then fill the node's descriptors.
const MAX_DESCRIPTORS_AMONG_CLIENTS: usize = 128;
/// Time after which a process that has ended is started again.
const RESTART_DELAY: Micros = Micros::millis(500);
/// Time from SIGTERM to SIGKILL.
const STOP_TIMEOUT: Micros = Micros::millis(4_000);
/// Number of iterations of the event loop at one moment of the virtual clock above which the node counts as
/// busy waiting.
const MAX_ITERATIONS_AT_ONE_TIME: u32 = 1_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// An event that is scheduled for a time of the virtual clock.
#[derive(Debug)]
enum Event {
    /// A client's request reaches a gateway.
    Arrive,
    /// A gateway sends a retry or a later repeat of a request.
    Attempt(Request),
    /// A gateway stops waiting for the answer to the attempt with this id.
    Abandon(String),
    /// The fault with this index in the plan begins.
    Fault(usize),
    /// The effect of this fault ends.
    FaultEnd(Fault),
    /// The process of this incarnation is sent SIGKILL, if it still drains.
    Kill(u32),
    /// The downstream tier sends this reply on its side of a connection.
    Reply(Side, Vec<u8>),
}

/// The result of a simulated world.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Seed of the world.
    pub seed: u64,
    /// Violations of the rules. The world ends after the step in which the first violation occurs.
    pub violations: Vec<Violation>,
    /// Digest of all bytes that the node sent, with their times: equal for equal runs.
    pub digest: String,
    /// Number of attempts that gateways sent.
    pub attempts: u64,
    /// Number of attempts that were served.
    pub served: u64,
    /// Number of attempts that were rejected: they never ran.
    pub rejected: u64,
    /// Number of attempts that failed.
    pub failed: u64,
    /// Plan of faults, each with its time since the start of the world; includes faults that were skipped.
    pub plan: Vec<(Micros, Fault)>,
    /// Characteristics of the site, on one line.
    pub site: String,
    /// Number of runs that continued without their outbound call.
    pub skipped: u64,
    /// Lines that describe each event, then the node's counters that are not zero; empty unless a trace was
    /// requested.
    pub trace: Vec<String>,
}

/// Number of iterations of the node's event loop at one moment of the virtual clock, after the first.
struct Iterations {
    at: Timestamp,
    count: u32,
}

/// A world in progress.
pub struct World {
    net: Rc<RefCell<Network>>,
    node: Option<Node<VirtualSystem>>,
    /// Number of processes of the node that were started so far.
    incarnation: u32,
    /// When the node's event loop runs next even if no socket is ready.
    wake: Timestamp,
    /// Number of file descriptors that the node may use.
    max_descriptors: usize,
    kernel: Kernel,
    /// The kernel's side of its link to the node, if there is one.
    kernel_side: Option<Side>,
    /// The downstream tier's sides of its connections, with the bytes of a call that is not complete.
    downstream: BTreeMap<Side, Vec<u8>>,
    /// Connections of the gateways to the node, by the gateway's side.
    connections: BTreeMap<Side, GatewayConnection>,
    /// Attempts that have no answer yet and were not abandoned, by id.
    attempts: BTreeMap<String, OpenAttempt>,
    /// Scheduled events, by time and order of scheduling.
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    rules: Rules,
    rng: SimRng,
    plan: Vec<(Micros, Fault)>,
    site: Site,
    /// Number of runs that continued without their outbound call at kernels that have been replaced.
    skipped: u64,
    /// Present arrival rate, in requests per second.
    rate: f64,
    begin: Timestamp,
    /// When requests stop arriving; requests that are under way then are followed to their end.
    end: Timestamp,
    next_id: u64,
    /// Whether the present process was sent SIGTERM.
    is_draining: bool,
    /// Number of attempts that gateways sent.
    sent: u64,
    trace: Option<Vec<String>>,
    iterations: Iterations,
}

impl World {
    /// Creates the world of a seed, in which requests arrive for the duration `length`. `skip` contains the
    /// indices of faults in the plan that are left out; `trace` enables [`Outcome::trace`].
    pub fn new(seed: u64, length: Micros, skip: &BTreeSet<usize>, trace: bool) -> Self {
        World::with_descriptors(seed, length, skip, trace, MAX_DESCRIPTORS)
    }

    fn with_descriptors(
        seed: u64,
        length: Micros,
        skip: &BTreeSet<usize>,
        trace: bool,
        max_descriptors: usize,
    ) -> Self {
        let net = Network::new(seed);
        let now = net.borrow().moment().mono;
        let plan = draw_faults(seed, length);
        let site = Site::draw(seed);
        let mut world = World {
            net,
            node: None,
            incarnation: 0,
            wake: now,
            max_descriptors,
            kernel: Kernel::new(now, CORES, false),
            kernel_side: None,
            downstream: BTreeMap::new(),
            connections: BTreeMap::new(),
            attempts: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            rules: Rules::new(site.window, site.grace),
            rng: SimRng::new(seed, 3),
            plan,
            rate: site.rate,
            site,
            skipped: 0,
            begin: now,
            end: now.plus(length),
            next_id: 1,
            is_draining: false,
            sent: 0,
            trace: trace.then(Vec::new),
            iterations: Iterations { at: now, count: 0 },
        };
        world.net.borrow_mut().listen(address(KERNEL_PORT));
        world.net.borrow_mut().listen(address(DOWNSTREAM_PORT));
        world.kernel.can_preempt = world.site.preemption != "silent";
        world.start(seed);
        for i in (0..world.plan.len()).filter(|i| !skip.contains(i)) {
            let at = world.begin.plus(world.plan[i].0);
            world.schedule(at, Event::Fault(i));
        }
        world.schedule(now.plus(Micros::millis(50)), Event::Arrive);
        world
    }

    fn now(&self) -> Timestamp {
        self.net.borrow().moment().mono
    }

    fn schedule(&mut self, t: Timestamp, event: Event) {
        self.next_event += 1;
        self.events.insert((t, self.next_event), event);
    }

    /// Adds a line with the time since the start of the world to the trace, if there is one.
    fn trace_event(&mut self, text: impl FnOnce() -> String) {
        let at = self.now().since(self.begin);
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>10} us  {}", at.0, text()));
        }
    }

    fn configuration(&self, seed: u64) -> String {
        let mut text = json!({"name": "n1", "listen": address(NODE_PORT).to_string(),
            "kernel": address(KERNEL_PORT).to_string(), "members": address(MEMBERSHIP_PORT).to_string(),
            "seed": format!("{seed:x}"), "stop_ms": STOP_TIMEOUT.0 / 1000,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": self.max_descriptors},
            "settings": self.site.settings(GATEWAYS)});
        if self.site.has_downstream {
            text["store"] = json!(address(DOWNSTREAM_PORT).to_string());
        }
        text.to_string()
    }

    /// Starts the next process of the node, with a seed that is derived from the seed of the world.
    fn start(&mut self, seed: u64) {
        self.incarnation += 1;
        self.is_draining = false;
        let text = self.configuration(seed.wrapping_add(u64::from(self.incarnation)));
        let node = config::parse(&text, None, None, None).map_err(|e| e.to_string()).and_then(|c| {
            Node::start(VirtualSystem(self.net.clone()), c, Logs::default()).map_err(|e| e.to_string())
        });
        match node {
            Ok(node) => self.node = Some(node),
            Err(e) => self.rules.report(self.now(), "start", e),
        }
        self.wake = self.now();
        self.trace_event(|| "the process starts".to_string());
    }

    /// Runs the world until its end or its first violation. `seed` is the seed with which it was created.
    pub fn run(mut self, seed: u64) -> Outcome {
        // After the last arrival, the world runs on for the longest deadline and the time of a stop, so that
        // each request is followed to its end.
        let latest = self.end.plus(self.site.max_deadline()).plus(STOP_TIMEOUT);
        while let Some(t) = self.step_time().filter(|t| *t <= latest) {
            if !self.rules.violations.is_empty() {
                break;
            }
            self.step(t, seed);
        }
        if let (Some(node), Some(trace)) = (&self.node, &mut self.trace) {
            let counters = node.counters().to_string();
            trace.extend(counters.lines().filter(|l| !l.ends_with(" 0")).map(str::to_string));
        }
        let net = self.net.borrow();
        Outcome {
            seed,
            digest: net.digest(),
            violations: self.rules.violations.clone(),
            attempts: self.sent,
            served: self.rules.served,
            rejected: self.rules.rejected,
            failed: self.rules.failed,
            plan: self.plan.clone(),
            site: self.site.to_string(),
            skipped: self.skipped + self.kernel.skipped,
            trace: self.trace.clone().unwrap_or_default(),
        }
    }

    /// When the next step is due: the time of the next event, packet, node iteration, kernel change or
    /// overdue answer.
    fn step_time(&self) -> Option<Timestamp> {
        let event = self.events.first_key_value().map(|((t, _), _)| *t);
        let node = self.node.as_ref().map(|_| self.wake);
        let times =
            [event, node, self.kernel.next_wake(), self.net.borrow().next_arrival(), self.rules.next_wake()];
        times.into_iter().flatten().min().map(|t| t.max(self.now()))
    }

    /// Moves the world to time `t`: executes all that is due by then, runs the node, and checks the rules.
    fn step(&mut self, t: Timestamp, seed: u64) {
        self.net.borrow_mut().advance(t);
        self.kernel.advance(t);
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= t) {
            let event = entry.remove();
            self.handle_event(event, seed);
        }
        self.deliver_to_actors();
        self.run_node(t);
        self.drain_kernel();
        self.rules.check_overdue(t);
        let load = self.kernel.concurrency_load(t);
        if load >= 1.0 {
            self.rules.report(
                t,
                "fall-over",
                format!("the concurrency load of the kernel is {load:.2}; it falls over at 1"),
            );
        }
        let sockets = self.net.borrow().node_sockets();
        if sockets > self.max_descriptors {
            let observed = format!(
                "the node has {sockets} open connections; its limit is {} file descriptors",
                self.max_descriptors
            );
            self.rules.report(t, "descriptors", observed);
        }
    }

    /// Runs one iteration of the node's event loop if a socket is ready or its wake time has come.
    fn run_node(&mut self, t: Timestamp) {
        let ready = self.net.borrow().ready();
        let Some(node) = &mut self.node else { return };
        if ready.is_empty() && t < self.wake {
            return;
        }
        if self.iterations.at == t {
            self.iterations.count += 1;
        } else {
            self.iterations = Iterations { at: t, count: 0 };
        }
        if self.iterations.count > MAX_ITERATIONS_AT_ONE_TIME {
            self.rules.report(
                t,
                "busy",
                format!("the event loop ran without end at one moment; ready: {ready:?}"),
            );
        }
        self.net.borrow_mut().begin_iteration();
        let next = node.run_iteration(&ready);
        if self.net.borrow().has_accepted_too_many() {
            let observed = format!(
                "one iteration of the event loop accepted more than {MAX_ACCEPTS_PER_ITERATION} connections"
            );
            self.rules.report(t, "busy", observed);
        }
        if self.net.borrow().has_read_too_much() {
            let observed =
                format!("one iteration of the event loop read more than {MAX_READ_PER_ITERATION} bytes");
            self.rules.report(t, "busy", observed);
        }
        // The metrics are inconsistent if a request ends without being counted, or is counted twice.
        if !node.request_metrics().is_consistent(node.open_attempts()) {
            let observed = node.request_metrics().render(node.open_attempts(), &[]);
            self.rules.report(t, "figures", observed);
        }
        match next {
            // An iteration takes time: the next one is at least 1 us later.
            Some(wake) => self.wake = wake.max(t.plus(Micros(1))),
            None => {
                self.node = None;
                self.net.borrow_mut().kill_node();
                self.trace_event(|| "the process has ended by itself".to_string());
                self.rules.on_stopped(t);
                self.restart_after(RESTART_DELAY);
            }
        }
    }

    fn handle_event(&mut self, event: Event, seed: u64) {
        let now = self.now();
        match event {
            Event::Arrive => {
                if now < self.end {
                    let gap = self.rng.exponential(Micros((1e6 / self.rate) as u64));
                    self.schedule(now.plus(gap), Event::Arrive);
                    let request = self.draw_request();
                    self.send_attempt(request);
                }
            }
            Event::Attempt(request) => self.send_attempt(request),
            Event::Abandon(id) => self.abandon(&id),
            Event::Reply(side, bytes) => self.net.borrow_mut().write_all(side, &bytes),
            Event::Fault(i) => self.inject_fault(self.plan[i].1),
            Event::FaultEnd(Fault::Burst(_)) => self.rate = self.site.rate,
            Event::FaultEnd(Fault::Slow(_)) => self.kernel.speed = 1.0,
            Event::FaultEnd(Fault::Death(_)) if self.node.is_none() => {
                self.skipped += self.kernel.skipped;
                self.kernel = Kernel::new(now, CORES, true);
                self.kernel.can_preempt = self.site.preemption != "silent";
                self.start(seed);
            }
            Event::FaultEnd(_) => {}
            Event::Kill(incarnation) => {
                if incarnation == self.incarnation && self.node.is_some() {
                    self.rules.on_stopped(now);
                    self.kill();
                    self.restart_after(RESTART_DELAY);
                }
            }
        }
    }
}

/// Creates the world of a seed and runs it with this many more clients, which connect, send nothing, and
/// connect again when the node closes their connection. On its first connection each sends `input`.
pub fn play_with_idle_clients(seed: u64, length: Micros, clients: usize, input: &[u8]) -> Outcome {
    let world = World::with_descriptors(seed, length, &BTreeSet::new(), false, MAX_DESCRIPTORS_AMONG_CLIENTS);
    world.net.borrow_mut().add_idle_clients(address(NODE_PORT), clients, input);
    world.run(seed)
}

/// Creates the world of a seed and runs it; the parameters are those of [`World::new`].
pub fn play(seed: u64, length: Micros, skip: &BTreeSet<usize>, trace: bool) -> Outcome {
    World::new(seed, length, skip, trace).run(seed)
}
