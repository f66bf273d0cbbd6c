//! One world: a node on the virtual network, its kernel, gateways, the tier below and the membership service, and a
//! plan of faults, all drawn from one seed. Every event is followed by a look at the rules.

use crate::checkers::{Rules, Violation};
use crate::fakes::fares;
use crate::fakes::fastcgi::{self, Reader};
use crate::fakes::kernel::{Kernel, Known, Seen};
use crate::network::{Dice, Net, Side, Virtual};
use crate::site::{CORES, Site};
use gaugestand_admission::time::Micros;
use gaugestand_node::config;
use gaugestand_node::event_loop::Node;
use gaugestand_node::log::Logs;
use serde_json::json;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

const SIGTERM: i32 = 15;
const GATEWAYS: u64 = 3;
/// From the notice to leave to the end.
const STOP: Micros = Micros::millis(4_000);
/// Turns at one moment after which the node is held to be turning without end.
const MOST_TURNS: u32 = 1_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The link to the kernel breaks, and the last commands on it are lost.
    KernelLink,
    /// A gateway resets one of its connections.
    Reset,
    /// Traffic is three times the usual for so long.
    Burst(Micros),
    /// The cores are four times slower for so long.
    Slow(Micros),
    /// The process and its kernel die, and come back cold after so long.
    Death(Micros),
    /// The process is told to leave, and is replaced.
    Drain,
    /// The tier below lets go of all its connections.
    Below,
    /// The wall clock is set by so many milliseconds.
    Clock(i64),
}

/// The faults of a world, by time.
pub fn plan(seed: u64, length: Micros) -> Vec<(Micros, Fault)> {
    let mut dice = Dice::new(seed, 2);
    let n = dice.below(7);
    let mut plan: Vec<(Micros, Fault)> = (0..n)
        .map(|_| {
            // Together on purpose: half of all faults come within a quarter of the time.
            let share = if dice.chance(0.5) { 0.4 + dice.share() * 0.25 } else { dice.share() };
            let at = Micros((length.0 as f64 * share) as u64);
            let long = |dice: &mut Dice, ms: u64| Micros::millis(500 + dice.below(ms));
            let fault = match dice.below(8) {
                0 => Fault::KernelLink,
                1 => Fault::Reset,
                2 => Fault::Burst(long(&mut dice, 6_000)),
                3 => Fault::Slow(long(&mut dice, 8_000)),
                4 => Fault::Death(long(&mut dice, 3_000)),
                5 => Fault::Drain,
                6 => Fault::Below,
                _ => Fault::Clock(dice.below(20_000) as i64 - 10_000),
            };
            (at, fault)
        })
        .collect();
    plan.sort();
    plan
}

#[derive(Debug)]
enum Event {
    /// A client's request comes to some gateway.
    Arrive,
    /// A try is made, as the first or a further one of its request.
    Try(Request),
    /// Its gateway waits no longer for this try.
    GiveUp(String),
    Fault(usize),
    /// What a fault did is over.
    Over(Fault),
    /// The process that was told to leave is stopped.
    Stop(u32),
    /// A reply of the tier below goes out.
    Reply(Side, Vec<u8>),
}

/// A client's request over all its tries.
#[derive(Clone, Debug)]
struct Request {
    class: usize,
    key: Option<String>,
    body: Vec<u8>,
    work: Micros,
    tries_left: u32,
    /// When its client gives up, from the first try on; none before that.
    until: Option<Micros>,
    row: String,
}

#[derive(Debug)]
struct Conn {
    gateway: u64,
    reader: Reader,
    /// Open requests by their number.
    open: BTreeMap<u16, String>,
    next: u16,
}

/// What became of a world.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its seed.
    pub seed: u64,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Of all bytes that the node sent, with their times.
    pub digest: String,
    /// Tries sent, and answers by what they said.
    pub tries: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Its faults.
    pub plan: Vec<(Micros, Fault)>,
    /// Its site, in a line.
    pub site: String,
    /// Runs that went on without their call.
    pub skipped: u64,
    /// What happened, in words, if that was asked for.
    pub trace: Vec<String>,
}

/// A world.
pub struct World {
    net: Rc<RefCell<Net>>,
    node: Option<Node<Virtual>>,
    life: u32,
    wake: Micros,
    kernel: Kernel,
    kernel_side: Option<Side>,
    fares: BTreeMap<Side, Vec<u8>>,
    conns: BTreeMap<Side, Conn>,
    tries: BTreeMap<String, (Request, Side, u16)>,
    events: BTreeMap<(Micros, u64), Event>,
    serial: u64,
    rules: Rules,
    dice: Dice,
    plan: Vec<(Micros, Fault)>,
    site: Site,
    skipped: u64,
    rate: f64,
    begin: Micros,
    end: Micros,
    next_id: u64,
    leaving: bool,
    sent: u64,
    trace: Option<Vec<String>>,
    turns: (Micros, u32),
}

impl World {
    /// The world of a seed, for so long; `skip` leaves faults of the plan out; `trace` keeps what happens in words.
    pub fn new(seed: u64, length: Micros, skip: &BTreeSet<usize>, trace: bool) -> Self {
        let net = Net::new(seed);
        let now = net.borrow().moment().mono;
        let plan = plan(seed, length);
        let site = Site::draw(seed);
        let mut world = World {
            net,
            node: None,
            life: 0,
            wake: now,
            kernel: Kernel::new(now, CORES, false),
            kernel_side: None,
            fares: BTreeMap::new(),
            conns: BTreeMap::new(),
            tries: BTreeMap::new(),
            events: BTreeMap::new(),
            serial: 0,
            rules: Rules::new(site.window, site.grace),
            dice: Dice::new(seed, 3),
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
            turns: (now, 0),
        };
        world.net.borrow_mut().listen(address(6100));
        world.net.borrow_mut().listen(address(9042));
        world.kernel.halts = world.site.halt != "silent";
        world.start(seed);
        for i in (0..world.plan.len()).filter(|i| !skip.contains(i)) {
            let at = world.begin.plus(world.plan[i].0);
            world.at(at, Event::Fault(i));
        }
        world.at(now.plus(Micros::millis(50)), Event::Arrive);
        world
    }

    fn now(&self) -> Micros {
        self.net.borrow().moment().mono
    }

    fn at(&mut self, t: Micros, event: Event) {
        self.serial += 1;
        self.events.insert((t, self.serial), event);
    }

    fn note(&mut self, text: impl FnOnce() -> String) {
        let at = self.now().since(self.begin);
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>10} us  {}", at.0, text()));
        }
    }

    fn configuration(&self, seed: u64) -> String {
        let mut text = json!({"name": "n1", "listen": address(6565).to_string(),
            "kernel": address(6100).to_string(), "members": address(7946).to_string(),
            "seed": format!("{seed:x}"), "stop_ms": STOP.0 / 1000,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 384}, "settings": self.site.settings(GATEWAYS)});
        if self.site.below {
            text["store"] = json!(address(9042).to_string());
        }
        text.to_string()
    }

    /// Starts a process, with a new seed of its own.
    fn start(&mut self, seed: u64) {
        self.life += 1;
        self.leaving = false;
        let text = self.configuration(seed.wrapping_add(u64::from(self.life)));
        let node = config::parse(&text, None, None, None).map_err(|e| e.to_string()).and_then(|c| {
            Node::start(Virtual(self.net.clone()), c, Logs::default()).map_err(|e| e.to_string())
        });
        match node {
            Ok(node) => self.node = Some(node),
            Err(e) => self.rules.wrong(self.now(), "start", e),
        }
        self.wake = self.now();
        self.note(|| "the process starts".to_string());
    }

    /// The process is gone; gateways see their connections end.
    fn kill(&mut self) {
        self.node = None;
        self.net.borrow_mut().kill_node();
        self.rules.killed();
    }

    /// Plays the world to its end.
    pub fn run(mut self, seed: u64) -> Outcome {
        // After the last arrival all that was asked is seen to its end.
        let last = self.end.plus(self.site.longest()).plus(STOP);
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
            tries: self.sent,
            served: self.rules.served,
            refused: self.rules.refused,
            failed: self.rules.failed,
            plan: self.plan.clone(),
            site: self.site.to_string(),
            skipped: self.skipped + self.kernel.skipped,
            trace: self.trace.clone().unwrap_or_default(),
        }
    }

    fn step_time(&self) -> Option<Micros> {
        let event = self.events.first_key_value().map(|((t, _), _)| *t);
        let node = self.node.as_ref().map(|_| self.wake);
        let times = [event, node, self.kernel.next(), self.net.borrow().next(), self.rules.next()];
        times.into_iter().flatten().min().map(|t| t.max(self.now()))
    }

    fn step(&mut self, t: Micros, seed: u64) {
        self.net.borrow_mut().advance(t);
        self.kernel.advance(t);
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= t) {
            let event = entry.remove();
            self.event(event, seed);
        }
        self.actors();
        self.turn(t);
        self.kernel_speaks();
        self.rules.look(t);
        if self.kernel.crowding(t) >= 1.0 {
            self.rules.wrong(
                t,
                "fall-over",
                format!("{:.2} of the crowd that is survived", self.kernel.crowding(t)),
            );
        }
        let sockets = self.net.borrow().node_sockets();
        if sockets > 384 {
            self.rules.wrong(t, "descriptors", format!("{sockets} connections of 384 descriptors"));
        }
    }

    fn turn(&mut self, t: Micros) {
        let ready = self.net.borrow().ready();
        let Some(node) = &mut self.node else { return };
        if ready.is_empty() && t < self.wake {
            return;
        }
        self.turns = if self.turns.0 == t { (t, self.turns.1 + 1) } else { (t, 0) };
        if self.turns.1 > MOST_TURNS {
            self.rules.wrong(t, "busy", format!("turns without end; ready: {ready:?}"));
        }
        let next = node.run_iteration(&ready);
        // Guards against a path on which a request ends uncounted, or twice.
        if !node.request_metrics().is_consistent(node.open_attempts()) {
            let seen = node.request_metrics().render(node.open_attempts(), &[]);
            self.rules.wrong(t, "figures", seen);
        }
        match next {
            // Time passes while a node works: the next turn is a moment later.
            Some(wake) => self.wake = wake.max(t.plus(Micros(1))),
            None => {
                self.node = None;
                self.net.borrow_mut().kill_node();
                self.note(|| "the process has ended by itself".to_string());
                self.rules.stopped(t);
                self.come_back(Micros::millis(500));
            }
        }
    }

    fn come_back(&mut self, after: Micros) {
        let at = self.now().plus(after);
        self.at(at, Event::Over(Fault::Death(after)));
    }

    fn event(&mut self, event: Event, seed: u64) {
        let now = self.now();
        match event {
            Event::Arrive => {
                if now < self.end {
                    let gap = self.dice.span(Micros((1e6 / self.rate) as u64));
                    self.at(now.plus(gap), Event::Arrive);
                    let request = self.draw();
                    self.attempt(request);
                }
            }
            Event::Try(request) => self.attempt(request),
            Event::GiveUp(id) => self.give_up(&id),
            Event::Reply(side, bytes) => self.net.borrow_mut().say(side, &bytes),
            Event::Fault(i) => self.fault(self.plan[i].1),
            Event::Over(Fault::Burst(_)) => self.rate = self.site.rate,
            Event::Over(Fault::Slow(_)) => self.kernel.speed = 1.0,
            Event::Over(Fault::Death(_)) if self.node.is_none() => {
                self.skipped += self.kernel.skipped;
                self.kernel = Kernel::new(now, CORES, true);
                self.kernel.halts = self.site.halt != "silent";
                self.start(seed);
            }
            Event::Over(_) => {}
            Event::Stop(life) => {
                if life == self.life && self.node.is_some() {
                    self.rules.stopped(now);
                    self.kill();
                    self.come_back(Micros::millis(500));
                }
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        let now = self.now();
        self.note(|| format!("fault: {fault:?}"));
        match fault {
            Fault::KernelLink => {
                if let Some(side) = self.kernel_side.take() {
                    self.kernel.link(false);
                    self.net.borrow_mut().close(side, true);
                }
            }
            Fault::Reset => {
                let open: Vec<Side> = self.conns.keys().copied().collect();
                if !open.is_empty() {
                    let side = open[self.dice.below(open.len() as u64) as usize];
                    self.lose(side);
                    self.net.borrow_mut().close(side, true);
                }
            }
            Fault::Burst(long) => {
                self.rate = self.site.rate * 3.0;
                self.at(now.plus(long), Event::Over(fault));
            }
            Fault::Slow(long) => {
                self.kernel.speed = 0.25;
                self.at(now.plus(long), Event::Over(fault));
            }
            Fault::Death(long) => {
                if self.node.is_some() {
                    self.kill();
                    self.come_back(long);
                }
            }
            Fault::Drain => {
                if self.node.is_some() && !self.leaving {
                    self.leaving = true;
                    self.rules.draining(now);
                    self.net.borrow_mut().signal(SIGTERM);
                    self.at(now.plus(STOP), Event::Stop(self.life));
                }
            }
            Fault::Below => {
                let all: Vec<Side> = std::mem::take(&mut self.fares).into_keys().collect();
                all.into_iter().for_each(|side| self.net.borrow_mut().close(side, true));
            }
            Fault::Clock(ms) => self.net.borrow_mut().step_clock(ms * 1000),
        }
    }

    fn draw(&mut self) -> Request {
        let class = self.site.pick(&mut self.dice);
        let kind = &self.site.kinds[class];
        let work = Micros(kind.work.0 / 2).plus(self.dice.span(Micros(kind.work.0 / 2)));
        let (keyed, row) = (kind.keyed, format!("{:016x}", self.dice.below(50)));
        let id = self.id();
        let tries_left = 1 + self.dice.below(3) as u32;
        let key = keyed.then(|| format!("key{id}"));
        Request { class, key, body: id.into_bytes(), work, tries_left, until: None, row }
    }

    fn id(&mut self) -> String {
        self.next_id += 1;
        format!("{:016x}", self.next_id)
    }

    /// Sends a try over a connection with room, or a new one.
    fn attempt(&mut self, mut request: Request) {
        let gateway = self.dice.below(GATEWAYS);
        // Some requests come on a connection of their own, so that nothing else passes on it while they are open.
        let shares = self.dice.chance(0.7);
        let fits = |c: &Conn| shares && c.gateway == gateway && c.open.len() < 8;
        let free = self.conns.iter().find(|(_, c)| fits(c)).map(|(s, _)| *s);
        let side = free.unwrap_or_else(|| {
            let side = self.net.borrow_mut().connect(address(6565));
            let (reader, open) = (Reader::default(), BTreeMap::new());
            self.conns.insert(side, Conn { gateway, reader, open, next: 1 });
            side
        });
        let id = self.id();
        let moment = self.net.borrow().moment();
        let ingress = Micros(moment.wall.0 / 1000 * 1000);
        request.tries_left -= 1;
        let kind = self.site.kinds[request.class].clone();
        let (class, further) = (kind.name.as_str(), request.until.is_some());
        // Some wait for less than the deadline of their class; a further try has what is left.
        let patient = !self.dice.chance(0.2);
        let until = *request.until.get_or_insert_with(|| {
            let short = Micros::millis(300).plus(self.dice.span(kind.deadline)).min(kind.deadline);
            moment.mono.plus(if patient { kind.deadline } else { short })
        });
        let left = Micros(until.since(moment.mono).0 / 1000 * 1000);
        let due = moment.mono.plus(if self.site.patience { left } else { kind.deadline });
        let mut params = vec![
            ("REQUEST_METHOD", "POST".to_string()),
            ("SCRIPT_NAME", format!("/svc/{class}")),
            ("HTTP_X_TXN", id.clone()),
            ("HTTP_X_INGRESS_TIME", (ingress.0 / 1000).to_string()),
            ("HTTP_X_ROUTER", gateway.to_string()),
            ("HTTP_X_WORKING_SET_KB", "24.5".to_string()),
            ("HTTP_X_SHED_ORDER", format!("{:.4}", self.dice.share() * 0.999)),
        ];
        params.extend(request.key.clone().map(|key| ("HTTP_X_TXN_KEY", key)));
        let told = [
            (self.site.hints, "HTTP_X_CPU_HINT", format!("{:.2}", request.work.0 as f64 / 1000.0)),
            (self.site.patience, "HTTP_X_TTL_MS", (left.0 / 1000).to_string()),
            (self.site.marks && further, "HTTP_X_SECOND_TRY", "1".into()),
            (self.site.rows && !kind.keyed, "HTTP_X_ROW", request.row.clone()),
        ];
        params.extend(told.into_iter().filter(|t| t.0).map(|(_, name, value)| (name, value)));
        let Some(conn) = self.conns.get_mut(&side) else { return };
        let number = conn.next;
        conn.next = conn.next.wrapping_add(1).max(1);
        conn.open.insert(number, id.clone());
        self.net.borrow_mut().say(side, &fastcgi::request(number, &params, &request.body));
        let (calls, skips) = (kind.calls, kind.skip_worth > 0.0);
        let (class, body, work) = (class.into(), request.body.clone(), request.work);
        self.kernel.know(&id, Known { class, body, work, calls, skips });
        let key = request.key.clone().map(|key| (key, request.body.clone()));
        self.rules.sent(&id, key, moment.mono, due, self.life);
        self.sent += 1;
        // Of those that give up some are not heard.
        self.at(moment.mono.plus(left).plus(Micros::millis(200)), Event::GiveUp(id.clone()));
        self.tries.insert(id, (request, side, number));
    }

    fn give_up(&mut self, id: &str) {
        let Some((_, side, number)) = self.tries.remove(id) else { return };
        if self.dice.chance(0.8) {
            self.net.borrow_mut().say(side, &fastcgi::abort(number));
            self.rules.excuse(id);
        }
    }

    /// A connection of a gateway is gone, with what was open on it.
    fn lose(&mut self, side: Side) {
        let Some(conn) = self.conns.remove(&side) else { return };
        for id in conn.open.into_values() {
            self.rules.excuse(&id);
            if let Some((request, _, _)) = self.tries.remove(&id) {
                self.again(request);
            }
        }
    }

    /// A further try, if there is one left.
    fn again(&mut self, request: Request) {
        let after = Micros::millis(5).plus(self.dice.span(Micros::millis(300)));
        let at = self.now().plus(after);
        if request.tries_left > 0 && request.until.is_none_or(|until| at < until) {
            self.at(at, Event::Try(request));
        }
    }

    /// All actors take in what has come.
    fn actors(&mut self) {
        let now = self.now();
        let accepted = self.net.borrow_mut().accept(address(6100));
        for side in accepted {
            if let Some(old) = self.kernel_side.replace(side) {
                self.net.borrow_mut().close(old, true);
            }
            self.kernel.link(true);
        }
        let accepted = self.net.borrow_mut().accept(address(9042));
        self.fares.extend(accepted.into_iter().map(|side| (side, Vec::new())));
        let news = self.net.borrow_mut().news();
        for side in news {
            // What the node has not accepted yet is not the actors' to read.
            let ours = self.kernel_side == Some(side)
                || self.fares.contains_key(&side)
                || self.conns.contains_key(&side);
            if !ours {
                continue;
            }
            let bytes = self.net.borrow_mut().take(side);
            if self.kernel_side == Some(side) {
                match bytes {
                    Some(bytes) => self.kernel.take(now, &bytes),
                    None => {
                        self.kernel_side = None;
                        self.kernel.link(false);
                        self.net.borrow_mut().close(side, false);
                    }
                }
            } else if let Some(input) = self.fares.get_mut(&side) {
                match bytes {
                    Some(bytes) => {
                        input.extend(bytes);
                        for (id, body) in fares::calls(input) {
                            let (after, reply) = fares::reply(&mut self.dice, &id, &body);
                            self.serial += 1;
                            self.events.insert((now.plus(after), self.serial), Event::Reply(side, reply));
                        }
                    }
                    None => {
                        self.fares.remove(&side);
                        self.net.borrow_mut().close(side, false);
                    }
                }
            } else if self.conns.contains_key(&side) {
                match bytes {
                    Some(bytes) => self.answers(now, side, &bytes),
                    None => {
                        let open = self.conns.get(&side).map(|c| c.open.values().cloned().collect());
                        let open: Vec<String> = open.unwrap_or_default();
                        open.iter().for_each(|id| self.rules.closed(now, id));
                        self.lose(side);
                        self.net.borrow_mut().close(side, false);
                    }
                }
            }
        }
    }

    fn answers(&mut self, now: Micros, side: Side, bytes: &[u8]) {
        let Some(conn) = self.conns.get_mut(&side) else { return };
        let answers = match conn.reader.take(bytes) {
            Ok(answers) => answers,
            Err(what) => return self.rules.wrong(now, "unreadable", what.to_string()),
        };
        for answer in answers {
            let id = self.conns.get_mut(&side).and_then(|c| c.open.remove(&answer.id));
            let Some(id) = id else {
                self.rules.wrong(
                    now,
                    "duplicate",
                    format!("an answer to number {}, which is not open", answer.id),
                );
                continue;
            };
            self.note(|| format!("{id} answered {}", answer.status));
            self.rules.answered(now, &id, answer.status, &answer.body);
            if let Some((request, _, _)) = self.tries.remove(&id) {
                if answer.status == 200 && request.key.is_some() && self.dice.chance(0.2) {
                    // Some come again round the edge of the window, from well within it to just past it.
                    let edge = Micros(self.site.window.0 - 3_000_000 + self.dice.below(3_300_000));
                    let late = Request { tries_left: 1, until: None, ..request.clone() };
                    self.at(now.plus(edge), Event::Try(late));
                }
                // A booking is asked for again also after its result, as the way back may have been lost.
                if answer.status != 200 || request.key.is_some() && self.dice.chance(0.3) {
                    self.again(request);
                }
            }
        }
    }

    fn kernel_speaks(&mut self) {
        let now = self.now();
        for seen in std::mem::take(&mut self.kernel.seen) {
            match seen {
                Seen::Began(id) => {
                    self.note(|| format!("{id} runs"));
                    self.rules.began(now, &id);
                }
                Seen::Result(id, result) => self.rules.result(&id, result),
                Seen::Barred(what) => self.rules.wrong(now, "barred", what),
                Seen::Changed(id) => {
                    self.rules.wrong(now, "changed", format!("{id} reached the kernel changed"))
                }
            }
        }
        if let Some(side) = self.kernel_side {
            let output = std::mem::take(&mut self.kernel.output);
            self.net.borrow_mut().say(side, &output);
        }
        let _ = self.net.borrow_mut().datagrams();
    }
}

/// Plays the world of a seed.
pub fn play(seed: u64, length: Micros, skip: &BTreeSet<usize>, trace: bool) -> Outcome {
    World::new(seed, length, skip, trace).run(seed)
}
