//! Carries out what `gaugestand_admission::succession` decides: the link to the process before this one and to the one
//! after it, the claim, and what passes between them.

use super::*;
use crate::handover_link::{self, Broken, Frame, Rest, Wire, With};
use crate::io::{Claim as _, Listener, Passed};
use gaugestand_admission::handover::{Event, Handover, Role, Step};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Descriptors that a second process needs besides its connections to the store and its callers.
const SECOND: usize = 20;
/// How long commands wait for a heir that does not read what it is told before them; then it is let go of.
const HELD_UP: Micros = Micros::millis(200);
/// Time between two looks for another process.
const LOOK: Micros = Micros::millis(20);
/// The same after what the other one said could not be read: it has to take its claim back, and says the same again.
const GIVE_WAY: Micros = Micros::millis(1_000);
/// How long a process looks for the one that holds the claim, or for the address to be free, before it gives up.
const PATIENCE: Micros = Micros::millis(3_000);
/// Most kernels of processes before this one that are still listened to.
const MOST_KERNELS: usize = 4;
/// How long past its tries' longest deadline a kernel of a process before this one is listened to.
const OVERTIME: Micros = Micros::millis(2_000);

/// The kernel of a process before this one, as long as it runs something.
#[derive(Debug)]
pub(super) struct Inherited<S: System> {
    pub(super) kernel: Kernel<S>,
    pub(super) runs: BTreeSet<RequestId>,
    pub(super) key: usize,
    until: Micros,
}

/// What this process has to do with others of its node.
#[derive(Debug)]
pub(super) struct Kindred<S: System> {
    pub(super) machine: Handover,
    /// The socket and the file of the claim; none where the node serves alone.
    paths: Option<(PathBuf, PathBuf)>,
    door: Option<S::Door>,
    claim: Option<S::Claim>,
    /// Marks on the claim when the elder let go of it.
    marks: u64,
    /// To the process before this one, and to the one after it.
    up: Option<Wire<S>>,
    down: Option<Wire<S>>,
    /// The elder's listening socket.
    spare: Option<S::Listener>,
    /// The elder drains: it hands nothing over but keys, and this process follows once it has ended.
    behind_drain: bool,
    /// What the elder has sent at its end, and its connections' names there and here.
    conns: BTreeMap<ConnectionId, ConnectionId>,
    places: Vec<handover_link::Place>,
    rest: Option<Box<Rest>>,
    /// Ends of calls that nobody may be told of yet.
    ends: Vec<EndedCall>,
    /// The heir was told that it knows all keys.
    synced: bool,
    /// Since when the heir does not read.
    held_up: Option<Micros>,
    pub(super) inherited: Vec<Inherited<S>>,
    /// Tries whose calls are out at a process before this one.
    pub(super) remote: BTreeSet<RequestId>,
    /// What this process's own kernel said of its start, before this process was the node.
    booted: Option<(bool, Micros)>,
    next_look: Micros,
    pub(super) over: bool,
}

/// Where processes of this node find each other, or why they cannot.
fn paths(config: &Config) -> Result<(PathBuf, PathBuf), &'static str> {
    if config.operators.record.is_some() {
        return Err("a store of record has one writer");
    }
    if config.operators.fleet.is_some() {
        return Err("a fleet's log has one writer");
    }
    let folder = std::env::var_os("TMPDIR").filter(|d| !d.is_empty()).ok_or("TMPDIR is not set")?;
    let name: String = config.name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect();
    let at = config.listen.to_string().replace(|c: char| !c.is_ascii_alphanumeric(), "_");
    let base = Path::new(&folder).join(format!("gaugestand-{name}-{at}"));
    Ok((base.with_extension("sock"), base.with_extension("lock")))
}

impl<S: System> Kindred<S> {
    fn new(machine: Handover, paths: Option<(PathBuf, PathBuf)>) -> Self {
        Kindred {
            machine,
            paths,
            door: None,
            claim: None,
            marks: 0,
            up: None,
            down: None,
            spare: None,
            behind_drain: false,
            conns: BTreeMap::new(),
            places: Vec::new(),
            rest: None,
            ends: Vec::new(),
            synced: false,
            held_up: None,
            inherited: Vec::new(),
            remote: BTreeSet::new(),
            booted: None,
            next_look: Micros(0),
            over: false,
        }
    }

    /// Looks for another process of this node: with a link to it, or with the claim and a listener.
    pub(super) fn find(system: &S, config: &Config) -> Result<(Self, Option<S::Listener>), NodeError> {
        let listen = || system.listen(config.listen, GATEWAY_LISTENER);
        let alone = |why: &str| {
            tracing::info!(why, "no other process can take over from this one");
            let listener = listen().map_err(io_error("listening"))?;
            Ok((Kindred::new(Handover::alone(), None), Some(listener)))
        };
        let (socket, lock) = match paths(config) {
            Ok(paths) => paths,
            Err(why) => return alone(why),
        };
        let began = system.moment().mono;
        let mut claim = None;
        loop {
            // Who answers there is the node; otherwise whoever has the claim is, or is about to be.
            if claim.is_none() {
                if let Ok(kin) = system.kin(&socket, PREDECESSOR) {
                    let mut found = Kindred::new(Handover::heir(), Some((socket, lock)));
                    found.up = Some(Wire::new(kin));
                    tracing::info!("another process of this node serves; waiting to take over from it");
                    return Ok((found, None));
                }
                match system.claim(&lock) {
                    Ok(found) => claim = found,
                    Err(e) => return alone(&format!("{}: {e}", lock.display())),
                }
            }
            let late = system.moment().mono.since(began) >= PATIENCE;
            if claim.is_some() {
                // The address may be held for a moment by a process that has just lost the claim.
                match listen() {
                    Ok(listener) => {
                        let mut found = Kindred::new(Handover::alone(), Some((socket, lock)));
                        found.claim = claim;
                        found.open_door(system);
                        return Ok((found, Some(listener)));
                    }
                    Err(e) if late || e.kind() != io::ErrorKind::AddrInUse => {
                        return Err(NodeError::Io("listening", e));
                    }
                    Err(_) => {}
                }
            } else if late {
                let why = io::Error::other("another process has the claim and does not answer");
                return Err(NodeError::Io("starting beside it", why));
            }
            std::thread::sleep(std::time::Duration::from_micros(LOOK.0));
        }
    }

    fn open_door(&mut self, system: &S) {
        let Some((socket, _)) = &self.paths else { return };
        match system.door(socket, HANDOVER_LISTENER) {
            Ok(door) => self.door = Some(door),
            Err(e) => {
                let why = format!("{}: {e}", socket.display());
                tracing::info!(why, "no other process can take over from this one");
            }
        }
    }

    /// Whether all that this process needs from the elder before it goes is here.
    pub(super) fn is_ready(&self) -> bool {
        let keys = self.machine.role() == Role::Heir { synced: true };
        keys && self.spare.is_some() && self.booted.is_some() && !self.behind_drain
    }

    /// The address that the elder listens at.
    pub(super) fn address(&self) -> Option<std::net::SocketAddr> {
        self.spare.as_ref().and_then(|l| l.address())
    }

    /// Takes note of what this process's own kernel says of its start; false if this process is the node.
    pub(super) fn note_booted(&mut self, cold: bool, age: Micros) -> bool {
        self.booted = Some((cold, age));
        !self.machine.is_node()
    }

    /// Whether it looks for the process that is the node.
    fn seeks(&self) -> bool {
        matches!(self.machine.role(), Role::Heir { .. }) && self.up.is_none()
    }

    /// When to look again although nothing comes.
    pub(super) fn wake(&self) -> Option<Micros> {
        let look = Some(self.next_look).filter(|_| self.seeks());
        let held_up = self.held_up.map(|t| t.plus(HELD_UP));
        let until = self.inherited.iter().map(|i| i.until).min();
        let links = self.inherited.iter().filter_map(|i| i.kernel.next_wakeup()).min();
        [look, held_up, until, links, self.machine.wake()].into_iter().flatten().min()
    }
}

impl<S: System> Node<S> {
    /// Something happened between the processes of this node.
    pub(super) fn on_handover_event(&mut self, event: Event) {
        let now = self.clock.now();
        for step in self.handover.machine.step(now, event) {
            tracing::debug!(?event, ?step, "succession");
            match step {
                Step::Mirror => self.begin_mirror(),
                Step::StopMirror => {
                    self.handover.down = None;
                    (self.handover.synced, self.handover.held_up) = (false, None);
                    self.engine.idempotency().set_replicating(false);
                    self.connections.reserve_descriptors(0);
                }
                // The link that has just come is dropped by whoever took it in.
                Step::TurnAway => {}
                Step::Part => self.part(),
                Step::Claim => {
                    let lock = self.handover.paths.as_ref().map(|(_, lock)| self.system.claim(lock));
                    self.handover.claim = lock.and_then(Result::ok).flatten();
                    let marks = self.handover.claim.as_ref().map(|claim| claim.marks().unwrap_or(u64::MAX));
                    let stale =
                        self.handover.machine.role() == Role::Taking && marks > Some(self.handover.marks);
                    self.on_handover_event(if stale {
                        Event::Stale
                    } else {
                        Event::Claimed(marks.is_some())
                    });
                }
                Step::Listen => {
                    let marked = self.handover.claim.as_ref().map(|claim| claim.mark());
                    if let Some(Err(e)) = marked {
                        tracing::warn!(problem = %e, "marking the claim");
                    }
                    if let Some(wire) = &mut self.handover.down {
                        // Until there is no more: as it holds no claim, it cannot have said it later.
                        while wire.read().is_ok_and(|n| n > 0) {}
                    }
                    let (frames, _) = self.frames(|kin| kin.down.as_mut());
                    if frames.iter().any(|frame| matches!(frame, Frame::Taken)) {
                        self.on_handover_event(Event::Taken);
                    }
                    self.on_handover_event(Event::Listened);
                }
                Step::GoOn => {
                    tracing::warn!("the new process did not take over");
                    self.connections.pause(false);
                    let ends = mem::take(&mut self.handover.ends);
                    self.on_calls_ended(ends);
                }
                Step::Drain => self.begin_drain(),
                Step::Retire => self.retire(),
                Step::TakeOver => self.take_over(),
                Step::Serve { all } => self.serve(all),
                Step::Seek => self.seek_anew(),
                Step::End => self.handover.over = true,
            }
        }
    }

    // ---- The process that is the node ----------------------------------------------------------------

    /// Other processes link.
    pub(super) fn take_door(&mut self) {
        loop {
            let Some(door) = &self.handover.door else { return };
            let free = self.handover.down.is_none();
            let Ok(kin) = door.accept(if free { SUCCESSOR } else { EXCESS_SUCCESSOR }) else { return };
            if free && self.handover.machine.role() == Role::Alone {
                self.handover.down = Some(Wire::new(kin));
                self.on_handover_event(Event::Linked);
            }
        }
    }

    fn begin_mirror(&mut self) {
        tracing::info!("a new process of this node has come");
        let moment = self.clock.moment();
        let idempotency = self.engine.idempotency();
        idempotency.set_replicating(true);
        let secret = idempotency.secret();
        if let Some(wire) = &mut self.handover.down {
            wire.say(&Frame::Hello { moment, secret, leaving: self.draining }, With::Listener);
        }
        // Both processes' descriptors count.
        self.connections.reserve_descriptors(
            SECOND + admin::RESERVED_DESCRIPTORS + store::max_connections_within(self.config.max_descriptors),
        );
    }

    /// Tells the heir of keys; false if commands have to wait until it has read of them.
    pub(super) fn mirror(&mut self) -> bool {
        let now = self.clock.now();
        let Some(wire) = &mut self.handover.down else { return true };
        if self.handover.machine.role() == Role::Elder {
            while wire.has_room() {
                let copies = self.engine.idempotency().take_replicated(handover_link::KEYS);
                if copies.is_empty() {
                    break;
                }
                wire.say(&Frame::Keys(copies), With::Nothing);
            }
        }
        self.write_down();
        let Some(wire) = &mut self.handover.down else { return true };
        let all = wire.is_written() && !self.engine.idempotency().is_replication_behind();
        if self.handover.machine.role() == Role::Elder && !self.handover.synced && all {
            // From here on what is said has to be written before the kernel hears of it.
            self.handover.synced = true;
            wire.say(&Frame::Synced, With::Nothing);
            self.write_down();
        }
        let unwritten = self.handover.down.as_ref().is_some_and(|wire| !wire.is_written());
        let behind = unwritten || self.engine.idempotency().is_replication_behind();
        if !behind || !self.handover.synced || self.handover.machine.role() != Role::Elder {
            self.handover.held_up = None;
            return true;
        }
        // What runs must be known there first, or its death and this one's would let it run twice.
        let since = *self.handover.held_up.get_or_insert(now);
        if now.since(since) < HELD_UP {
            return false;
        }
        tracing::warn!("the new process does not read; it has to come again");
        self.handover.down = None;
        self.on_handover_event(Event::Unlinked);
        true
    }

    fn write_down(&mut self) {
        let Some(wire) = &mut self.handover.down else { return };
        let table = &self.connections;
        let socket = |with| match with {
            With::Nothing => Some(Passed::Nothing),
            With::Listener => table.listener().map(Passed::Listener),
            With::Conn(id) => table.stream(id).map(Passed::Stream),
        };
        if let Err(broken) = wire.write(socket) {
            self.down_broke(&broken);
        }
    }

    fn down_broke(&mut self, broken: &Broken) {
        if let Broken::Framing(why) = broken {
            tracing::warn!(why, "the link to the new process");
        }
        self.handover.down = None;
        self.on_handover_event(Event::Unlinked);
    }

    /// The heir says something.
    pub(super) fn take_down(&mut self, event: Ready) {
        let Some(wire) = &mut self.handover.down else { return };
        let read = if event.readable { wire.read().map(|_| ()) } else { Ok(()) };
        let frames = self.frames(|kin| kin.down.as_mut());
        for frame in frames.0 {
            match frame {
                Frame::Taken => self.on_handover_event(Event::Taken),
                Frame::DropCall(id) => self.drop_call(id),
                _ => {}
            }
        }
        if let Err(broken) = read.and(frames.1) {
            self.down_broke(&broken);
        }
    }

    /// The whole frames that a link has.
    fn frames(
        &mut self,
        of: impl Fn(&mut Kindred<S>) -> Option<&mut Wire<S>>,
    ) -> (Vec<Frame>, Result<(), Broken>) {
        let mut frames = Vec::new();
        while let Some(wire) = of(&mut self.handover) {
            match wire.next_frame() {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(broken) => return (frames, Err(broken)),
            }
        }
        (frames, Ok(()))
    }

    /// Stops all work, sends everything and lets go of the claim.
    fn part(&mut self) {
        let now = self.clock.now();
        tracing::info!(open = self.open_attempts(), "handing over to the new process");
        self.stop_at = Some(now.plus(self.config.stop_timeout));
        self.connections.pause(true);
        let running = self.engine.running();
        let inherited: BTreeSet<RequestId> =
            self.handover.inherited.iter().flat_map(|i| i.runs.iter().copied()).collect();
        let own = running.into_iter().filter(|id| !inherited.contains(id)).collect();
        let mut kernels = vec![self.kernel.snapshot(own)];
        kernels.extend(
            self.handover.inherited.iter().map(|i| i.kernel.snapshot(i.runs.iter().copied().collect())),
        );
        self.kernel.unlink();
        self.handover.inherited.iter_mut().for_each(|i| i.kernel.unlink());
        let calls =
            self.store.outstanding().into_iter().chain(self.handover.remote.iter().copied()).collect();
        let rest = Rest {
            engine: self.engine.snapshot(),
            kernels,
            calls,
            classes: self.class_slots.names().to_vec(),
            idle: self.connections.idle_timeout(),
        };
        let Some(wire) = &mut self.handover.down else { return };
        loop {
            let copies = self.engine.idempotency().take_replicated(handover_link::KEYS);
            if copies.is_empty() {
                break;
            }
            wire.say(&Frame::Keys(copies), With::Nothing);
        }
        for conn in self.connections.snapshot() {
            let id = conn.id;
            wire.say(&Frame::Conn(Box::new(conn)), With::Conn(id));
        }
        for place in self.attempts.values() {
            wire.say(&Frame::Attempt(Box::new(place.clone())), With::Nothing);
        }
        wire.say(&Frame::Rest(Box::new(rest)), With::Nothing);
        let marks = self.handover.claim.as_ref().and_then(|claim| claim.marks().ok()).unwrap_or_default();
        wire.say(&Frame::Over(marks), With::Nothing);
        self.handover.claim = None;
        self.write_down();
    }

    /// Another process is the node: only calls that are out are left here.
    fn retire(&mut self) {
        tracing::info!("another process has taken over");
        self.request_metrics.record_handed_over(self.open_attempts());
        self.attempts.clear();
        self.engine.retire();
        self.engine.idempotency().set_replicating(false);
        self.connections.release_all();
        self.handover.inherited.clear();
        self.handover.door = None;
        self.handover.claim = None;
        let ends = mem::take(&mut self.handover.ends);
        self.pass_on(ends);
        if self.handover.down.is_none() {
            self.handover.over = true;
        }
    }

    /// Calls have ended at a process that is the node no more, or not for now.
    pub(super) fn pass_on(&mut self, ends: Vec<EndedCall>) {
        if self.handover.machine.role() != Role::Retired {
            return self.handover.ends.extend(ends);
        }
        for EndedCall { id, outcome, reply, latency } in ends {
            if let Some(wire) = &mut self.handover.down {
                wire.say(&Frame::Called(id, outcome, reply, latency), With::Nothing);
            }
        }
    }

    pub(super) fn drop_call(&mut self, id: RequestId) {
        if !self.handover.remote.remove(&id) {
            return self.store.drop_call(id, &mut self.counters);
        }
        if let Some(wire) = &mut self.handover.up {
            wire.say(&Frame::DropCall(id), With::Nothing);
        }
    }

    // ---- The process that waits, and the one that took over -------------------------------------------

    /// The elder says something.
    pub(super) fn take_up(&mut self, event: Ready) {
        let Some(wire) = &mut self.handover.up else { return };
        let read = if event.readable { wire.read().map(|_| ()) } else { Ok(()) };
        let (frames, framed) = self.frames(|kin| kin.up.as_mut());
        let mut heard = Ok(());
        for frame in frames {
            heard = heard.and_then(|()| self.hear(frame));
        }
        if let Err(broken) = heard.and(framed).and(read) {
            self.up_broke(&broken);
        }
    }

    fn up_broke(&mut self, broken: &Broken) {
        if let Broken::Framing(why) = broken {
            tracing::warn!(why, "the link to the process before this one");
        }
        self.handover.up = None;
        for id in mem::take(&mut self.handover.remote) {
            // A broken link proves nothing.
            self.notify_engine(EngineEvent::CallEnded(id, CallOutcome::Broken, Micros(0)));
        }
        if !self.handover.machine.is_heir() {
            return;
        }
        if matches!(broken, Broken::Framing(_)) {
            self.on_handover_event(Event::Unreadable);
            self.handover.next_look = self.clock.now().plus(GIVE_WAY);
        } else if self.handover.spare.is_some() {
            self.on_handover_event(Event::Unlinked);
        } else {
            // It was turned away: another process takes over at this moment.
            self.handover.next_look = self.clock.now().plus(LOOK);
        }
    }

    fn hear(&mut self, frame: Frame) -> Result<(), Broken> {
        let waits = matches!(self.handover.machine.role(), Role::Heir { .. });
        let Some(wire) = &mut self.handover.up else { return Ok(()) };
        match frame {
            Frame::Hello { moment, secret, leaving } if waits => {
                self.handover.behind_drain = leaving;
                self.handover.spare = Some(wire.take_listener(GATEWAY_LISTENER)?);
                self.system.align(moment);
                self.clock.read(&self.system);
                // The clock has moved on by the elder's age: nobody has waited for that long.
                self.admin.restart(self.clock.now());
                self.engine.idempotency().begin_replica(secret);
            }
            Frame::Keys(copies) if waits => {
                copies.into_iter().for_each(|copy| self.engine.idempotency().apply_replicated(copy));
            }
            Frame::Synced if waits => self.on_handover_event(Event::Synced),
            Frame::Conn(conn) if waits => {
                let stream = wire.take_stream(self.connections.next_key())?;
                let there = conn.id;
                let here = self.connections.restore(stream, *conn);
                self.handover.conns.insert(there, here);
            }
            Frame::Attempt(place) if waits => self.handover.places.push(*place),
            Frame::Rest(rest) if waits => self.handover.rest = Some(rest),
            Frame::Over(marks) if waits && self.handover.rest.is_some() => {
                self.handover.marks = marks;
                self.on_handover_event(Event::Over);
            }
            Frame::Called(id, outcome, reply, latency) => {
                let ended = EndedCall { id, outcome, reply, latency };
                if self.handover.remote.remove(&id) || !self.handover.machine.is_node() {
                    self.on_calls_ended(vec![ended]);
                }
            }
            _ => return Err(Broken::Framing("a frame out of order")),
        }
        Ok(())
    }

    /// Goes on in the place of the elder.
    fn take_over(&mut self) {
        let now = self.clock.now();
        if let Some(wire) = &mut self.handover.up {
            // Before anything is done: an elder that does not read this goes on itself if this process dies.
            wire.say(&Frame::Taken, With::Nothing);
        }
        self.write_up();
        let Some(rest) = self.handover.rest.take() else { return };
        let here = mem::take(&mut self.handover.conns);
        for mut place in mem::take(&mut self.handover.places) {
            place.conn = here.get(&place.conn).copied().unwrap_or(ConnectionId::GONE);
            if place.open {
                self.request_metrics.record_admitted();
            }
            self.attempts.insert(place.id, place);
        }
        self.class_slots = ClassSlots::with(rest.classes, rest.engine.open.clone());
        self.request_metrics.register_classes(self.class_slots.names());
        self.engine.restore(rest.engine);
        self.engine.set_linked(self.kernel.is_booted());
        let until = now.plus(self.engine.longest_deadline()).plus(OVERTIME);
        let kernels = rest.kernels.iter().filter(|k| !k.runs.is_empty()).take(MOST_KERNELS);
        self.handover.inherited = kernels
            .zip(FIRST_INHERITED_KERNEL..)
            .map(|(snapshot, key)| Inherited {
                kernel: Kernel::restore(snapshot, key, &self.system),
                runs: snapshot.runs.iter().copied().collect(),
                key,
                until,
            })
            .collect();
        self.handover.remote = rest.calls.into_iter().collect();
        if let Some(idle) = rest.idle {
            self.connections.set_idle_timeout(idle);
        }
        for request in self.connections.pending_health_checks() {
            self.start_deep_check(request);
        }
        self.go_into_service();
        tracing::info!(open = self.open_attempts(), "took over");
        // This process may have been told of other settings than the one before it.
        self.apply_settings();
        self.let_go();
    }

    fn go_into_service(&mut self) {
        self.handover.open_door(&self.system);
        let spare = self.handover.spare.take();
        match spare.map_or_else(|| self.system.listen(self.config.listen, GATEWAY_LISTENER), Ok) {
            Ok(listener) => self.connections.listen(listener),
            Err(e) => {
                tracing::error!(problem = %e, "listening");
                self.handover.over = true;
            }
        }
        self.connections.pause(false);
    }

    /// Forgets what the elder has sent at its end.
    fn forget_sent(&mut self) {
        (self.handover.conns, self.handover.places, self.handover.rest) = (BTreeMap::new(), Vec::new(), None);
        self.connections.release_all();
    }

    /// The elder is gone without a word.
    fn serve(&mut self, all: bool) {
        tracing::warn!(all, "the process before this one is gone; serving with the keys that it told of");
        let (now, window) = (self.clock.moment(), longest_dedup_window(&self.config));
        self.engine.idempotency().on_predecessor_lost(now, all, window);
        self.forget_sent();
        self.go_into_service();
        if let Some((cold, age)) = self.handover.booted {
            self.notify_engine(EngineEvent::BackendStarted { cold, age });
        }
    }

    /// Forgets all that came from the elder, and looks for it anew.
    fn seek_anew(&mut self) {
        self.handover.up = None;
        self.handover.spare = None;
        self.forget_sent();
        let idempotency = self.engine.idempotency();
        let secret = idempotency.secret();
        idempotency.begin_replica(secret);
        self.handover.next_look = self.clock.now();
    }

    fn seek(&mut self) {
        let now = self.clock.now();
        let looks = self.handover.seeks() && now >= self.handover.next_look;
        let Some((socket, _)) = self.handover.paths.as_ref().filter(|_| looks) else { return };
        self.handover.next_look = now.plus(LOOK);
        match self.system.kin(socket, PREDECESSOR) {
            Ok(kin) => self.handover.up = Some(Wire::new(kin)),
            // Nobody answers: it may have ended since, with keys that were never told.
            Err(_) => self.on_handover_event(Event::Unlinked),
        }
    }

    fn write_up(&mut self) {
        let Some(wire) = &mut self.handover.up else { return };
        if let Err(broken) = wire.write(|_| Some(Passed::Nothing)) {
            self.up_broke(&broken);
        }
    }

    /// Lets go of the process before this one, once nothing is to come from it.
    fn let_go(&mut self) {
        if self.handover.machine.is_node()
            && self.handover.inherited.is_empty()
            && self.handover.remote.is_empty()
        {
            let written = self.handover.up.as_ref().is_none_or(Wire::is_written);
            if written {
                self.handover.up = None;
            }
        }
    }

    /// What is due between processes.
    pub(super) fn tick_kin(&mut self) {
        let now = self.clock.now();
        if self.handover.paths.is_none() {
            return;
        }
        self.on_handover_event(Event::Tick);
        self.seek();
        for i in (0..self.handover.inherited.len()).rev() {
            if let Some(one) = self.handover.inherited.get_mut(i)
                && now >= one.until
            {
                // Nothing was heard of them for longer than any of them may take.
                let runs = mem::take(&mut one.runs);
                runs.into_iter()
                    .for_each(|id| self.notify_engine(EngineEvent::RunEnded(id, RunOutcome::Failed)));
                self.handover.inherited.remove(i);
            }
        }
        if self.handover.machine.is_node() {
            for one in &mut self.handover.inherited {
                one.kernel.on_timer(now);
            }
            self.let_go();
        }
    }

    /// Ends a turn: writes what is left for other processes.
    pub(super) fn flush_kin(&mut self) {
        let now = self.clock.now();
        for one in &mut self.handover.inherited {
            // Their links may break; what is lost is said again on the next one.
            one.kernel.flush(now);
        }
        self.handover.inherited.retain(|one| !one.runs.is_empty());
        self.write_up();
        self.write_down();
        self.let_go();
    }

    /// A turn of a process that is not the node.
    pub(super) fn pass_aside(&mut self) -> Micros {
        let now = self.clock.now();
        let mut kernel = None;
        if self.handover.machine.is_heir() {
            self.kernel.on_timer(now);
            self.kernel.flush(now);
            kernel = self.kernel.next_wakeup();
        }
        self.admin.on_timer(now);
        let mut ended = self.store.on_timer(now, &mut self.counters);
        ended.extend(self.store.flush(now));
        self.on_calls_ended(ended);
        self.tick_kin();
        self.flush_kin();
        let stop = self.stop_at;
        earliest_wakeup(
            now,
            [kernel, self.store.next_wakeup(), self.admin.next_wakeup(), self.handover.wake(), stop],
        )
    }
}
