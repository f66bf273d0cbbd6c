//! One simulated world: a node on the simulated network, fakes of its kernel, its gateways, the downstream tier and the
//! membership service, and a plan of faults, all drawn from one seed. After each event every rule is checked.

use crate::fakes::kernel::Kernel;
use crate::faults::{Fault, draw_faults};
use crate::network::{Network, Side};
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
const GATEWAYS: u64 = 3;
const NODE_PORT: u16 = 6565;
const KERNEL_PORT: u16 = 6100;
const DOWNSTREAM_PORT: u16 = 9042;
const MEMBERSHIP_PORT: u16 = 7946;
/// Descriptors that the node may use.
const MAX_DESCRIPTORS: usize = 384;
/// A process that has ended is started again after this.
const RESTART_DELAY: Micros = Micros::millis(500);
/// From SIGTERM to SIGKILL.
const STOP: Micros = Micros::millis(4_000);
/// Iterations of the event loop at one moment of the simulated clock after which the node counts as busy waiting.
const MAX_ITERATIONS_AT_ONE_TIME: u32 = 1_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

#[derive(Debug)]
enum Event {
    /// A client's request reaches a gateway.
    Arrive,
    /// A gateway makes an attempt: the first one or a retry.
    Attempt(Request),
    /// A gateway stops waiting for this attempt.
    Abandon(String),
    /// A fault of the plan happens.
    Fault(usize),
    /// The effect of a fault ends.
    Over(Fault),
    /// SIGKILL for the process of this incarnation, if it still drains.
    Stop(u32),
    /// The downstream tier sends a reply.
    Reply(Side, Vec<u8>),
}

/// The result of a world.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its seed.
    pub seed: u64,
    /// Violations of the rules; the world ends at the first.
    pub violations: Vec<Violation>,
    /// Digest of all bytes that the node sent, with their times.
    pub digest: String,
    /// Attempts that gateways sent.
    pub attempts: u64,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that were rejected: they never ran.
    pub rejected: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Its faults, by time from the beginning.
    pub plan: Vec<(Micros, Fault)>,
    /// Its site, on one line.
    pub site: String,
    /// Runs that continued without their outbound call.
    pub skipped: u64,
    /// What happened, in words, if a trace was requested.
    pub trace: Vec<String>,
}

/// Iterations of the node's event loop at one moment of the simulated clock.
struct Iterations {
    at: Timestamp,
    count: u32,
}

/// A world in progress.
pub struct World {
    net: Rc<RefCell<Network>>,
    node: Option<Node<VirtualSystem>>,
    incarnation: u32,
    /// When the node wants to run again though nothing may be ready.
    wake: Timestamp,
    kernel: Kernel,
    kernel_side: Option<Side>,
    /// Connections to the downstream tier, with what was read of a call.
    downstream: BTreeMap<Side, Vec<u8>>,
    connections: BTreeMap<Side, GatewayConnection>,
    /// Attempts without a final answer, by id.
    attempts: BTreeMap<String, OpenAttempt>,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    rules: Rules,
    rng: SimRng,
    plan: Vec<(Micros, Fault)>,
    site: Site,
    skipped: u64,
    rate: f64,
    begin: Timestamp,
    end: Timestamp,
    next_id: u64,
    leaving: bool,
    sent: u64,
    trace: Option<Vec<String>>,
    iterations: Iterations,
}

impl World {
    /// The world of a seed, for so long; `skip` leaves faults of the plan out; `trace` keeps what happens in words.
    pub fn new(seed: u64, length: Micros, skip: &BTreeSet<usize>, trace: bool) -> Self {
        let net = Network::new(seed);
        let now = net.borrow().moment().mono;
        let plan = draw_faults(seed, length);
        let site = Site::draw(seed);
        let mut world = World {
            net,
            node: None,
            incarnation: 0,
            wake: now,
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
            leaving: false,
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

    fn note(&mut self, text: impl FnOnce() -> String) {
        let at = self.now().since(self.begin);
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>10} us  {}", at.0, text()));
        }
    }

    fn configuration(&self, seed: u64) -> String {
        let mut text = json!({"name": "n1", "listen": address(NODE_PORT).to_string(),
            "kernel": address(KERNEL_PORT).to_string(), "members": address(MEMBERSHIP_PORT).to_string(),
            "seed": format!("{seed:x}"), "stop_ms": STOP.0 / 1000,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": MAX_DESCRIPTORS}, "settings": self.site.settings(GATEWAYS)});
        if self.site.has_downstream {
            text["store"] = json!(address(DOWNSTREAM_PORT).to_string());
        }
        text.to_string()
    }

    /// Starts a process of the node, with a new seed of its own.
    fn start(&mut self, seed: u64) {
        self.incarnation += 1;
        self.leaving = false;
        let text = self.configuration(seed.wrapping_add(u64::from(self.incarnation)));
        let node = config::parse(&text, None, None, None).map_err(|e| e.to_string()).and_then(|c| {
            Node::start(VirtualSystem(self.net.clone()), c, Logs::default()).map_err(|e| e.to_string())
        });
        match node {
            Ok(node) => self.node = Some(node),
            Err(e) => self.rules.report(self.now(), "start", e),
        }
        self.wake = self.now();
        self.note(|| "the process starts".to_string());
    }

    /// Runs the world to its end.
    pub fn run(mut self, seed: u64) -> Outcome {
        // After the last arrival each request is followed to its end.
        let last = self.end.plus(self.site.max_deadline()).plus(STOP);
        while let Some(t) = self.step_time().filter(|t| *t <= last) {
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

    /// When the next thing happens.
    fn step_time(&self) -> Option<Timestamp> {
        let event = self.events.first_key_value().map(|((t, _), _)| *t);
        let node = self.node.as_ref().map(|_| self.wake);
        let times =
            [event, node, self.kernel.next_wake(), self.net.borrow().next_arrival(), self.rules.next_wake()];
        times.into_iter().flatten().min().map(|t| t.max(self.now()))
    }

    /// Has everything happen that is due at `t`, then checks the rules.
    fn step(&mut self, t: Timestamp, seed: u64) {
        self.net.borrow_mut().advance(t);
        self.kernel.advance(t);
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= t) {
            let event = entry.remove();
            self.event(event, seed);
        }
        self.deliver_to_actors();
        self.run_node(t);
        self.drain_kernel();
        self.rules.check_overdue(t);
        let load = self.kernel.concurrency_load(t);
        if load >= 1.0 {
            self.rules.report(t, "fall-over", format!("{load:.2} of the crowd that is survived"));
        }
        let sockets = self.net.borrow().node_sockets();
        if sockets > MAX_DESCRIPTORS {
            let observed = format!("{sockets} connections of {MAX_DESCRIPTORS} descriptors");
            self.rules.report(t, "descriptors", observed);
        }
    }

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
            self.rules.report(t, "busy", format!("turns without end; ready: {ready:?}"));
        }
        let next = node.run_iteration(&ready);
        // A path on which a request ends uncounted, or twice, shows as metrics that do not add up.
        if !node.request_metrics().is_consistent(node.open_attempts()) {
            let observed = node.request_metrics().render(node.open_attempts(), &[]);
            self.rules.report(t, "figures", observed);
        }
        match next {
            // Time passes while a node works: the next iteration is a moment later.
            Some(wake) => self.wake = wake.max(t.plus(Micros(1))),
            None => {
                self.node = None;
                self.net.borrow_mut().kill_node();
                self.note(|| "the process has ended by itself".to_string());
                self.rules.on_stopped(t);
                self.restart_after(RESTART_DELAY);
            }
        }
    }

    fn event(&mut self, event: Event, seed: u64) {
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
            Event::Fault(i) => self.fault(self.plan[i].1),
            Event::Over(Fault::Burst(_)) => self.rate = self.site.rate,
            Event::Over(Fault::Slow(_)) => self.kernel.speed = 1.0,
            Event::Over(Fault::Death(_)) if self.node.is_none() => {
                self.skipped += self.kernel.skipped;
                self.kernel = Kernel::new(now, CORES, true);
                self.kernel.can_preempt = self.site.preemption != "silent";
                self.start(seed);
            }
            Event::Over(_) => {}
            Event::Stop(incarnation) => {
                if incarnation == self.incarnation && self.node.is_some() {
                    self.rules.on_stopped(now);
                    self.kill();
                    self.restart_after(RESTART_DELAY);
                }
            }
        }
    }
}

/// Runs the world of a seed.
pub fn play(seed: u64, length: Micros, skip: &BTreeSet<usize>, trace: bool) -> Outcome {
    World::new(seed, length, skip, trace).run(seed)
}
