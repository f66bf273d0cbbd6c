//! The other nodes of the fleet: links to them, the agreed log's file, and what this node may act on.
//!
//! All decisions are `gaugestand_cluster`'s. This carries them out: frames by length over one connection a pair, pages to the
//! worker in their order, proposals of operators and their answers. A link that breaks proves nothing; what a slow fellow has
//! no room for is dropped, as the log's library and the leases say it again.

use super::counters::Counters;
use super::io::link::{Change, Link};
use super::io::{Listener, Ready, System, Worker};
use gaugestand_admission::RequestId;
use gaugestand_admission::log_record::LogRecord;
use gaugestand_admission::time::Micros;
use gaugestand_cluster::consensus::{
    Command, Consensus, ConsensusConfig, Event, ProposalError, Unacceptable, ValidationId,
};
use gaugestand_cluster::diff::Content;
use gaugestand_cluster::lease::{ActiveVersion, LeaseConfig};
use gaugestand_cluster::membership::{MAX_MEMBERS, Membership, MembershipChange, Role};
use gaugestand_cluster::version_gate::{self, EnabledLists, GateDecision};
use gaugestand_cluster::wire::{FrameCodec, FrameError, MAX_MESSAGE_BYTES, Payload};
use gaugestand_cluster::{NodeId, Version};
use gaugestand_idempotency::row::{Batch, Outcome, Work};
use gaugestand_settings::{Fleet, Lists};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Links that this node makes, at most: to all others.
const MOST_MADE: usize = MAX_MEMBERS - 1;
/// Connections that have not said yet who they are, and those that have.
const MOST_GUESTS: usize = 8 + MOST_MADE;
/// Keys that links are watched under.
pub const KEYS: usize = MOST_MADE + MOST_GUESTS;
/// Descriptors that it needs: links, the listener, and the log's file, its log, index, lock and waking socket.
pub const SOCKETS: usize = KEYS + 1 + 8;
/// Bytes of the length before each frame.
const LENGTH: usize = 4;
/// Bytes that may wait for one fellow; more is dropped.
const MOST_WAITING: usize = 2 << 20;
/// Who has not said who it is by then is let go.
const GREETING: Micros = Micros::millis(2_000);
/// From the end of a link to the next try to make it; up to half as much again by chance.
const AGAIN: Micros = Micros::millis(100);
/// From a write that failed to the next try.
const WRITE_AGAIN: Micros = Micros::millis(200);
/// Time between two lines that say the same of a fellow.
const REPEAT: Micros = Micros::millis(10_000);

/// Terms with the defect that the environment names.
#[cfg(feature = "injected-defects")]
fn with_injected_defect(lease: LeaseConfig) -> Result<LeaseConfig, String> {
    use gaugestand_cluster::lease::Defect;
    let Ok(name) = std::env::var("GAUGESTAND_PLANTED") else { return Ok(lease) };
    let defect = Defect::from_name(&name).ok_or_else(|| {
        let known: Vec<&str> = Defect::BY_NAME.iter().map(|d| d.0).collect();
        format!("GAUGESTAND_PLANTED: there is no defect {name:?}; there are {}", known.join(", "))
    })?;
    tracing::warn!(name, "a defect is planted: this build is for checks alone");
    Ok(lease.with_defect(defect))
}

/// What the node has to do for the fleet.
#[derive(Debug)]
pub enum News {
    /// Say whether it could act on this content, with [`Fellows::checked`].
    Check(ValidationId, Rc<[u8]>, bool),
    /// Answer the operator who has this ticket.
    Answer(u64, Result<Version, ProposalError>),
}

/// A connection with another node.
#[derive(Debug)]
struct Channel<S: System> {
    link: Link<S>,
    since: Micros,
    greeted: bool,
    /// Whom this node made it to.
    to: Option<NodeId>,
    /// Who it is, and which life of it, once it has said so.
    who: Option<(NodeId, u64)>,
}

/// Another node.
#[derive(Debug)]
struct Peer {
    name: String,
    /// Where it listens, if that is known.
    address: Option<SocketAddr>,
    /// When a link may be made again.
    again: Micros,
    /// The channel over which it is spoken to.
    over: Option<usize>,
}

impl Peer {
    fn new(name: String) -> Self {
        Peer { name, address: None, again: Micros(0), over: None }
    }
}

/// A try that this node has open.
#[derive(Clone, Copy, Debug)]
struct Open {
    version: Version,
    gateway: u64,
    since: Micros,
}

/// The fleet, as far as this node reaches it.
#[derive(Debug)]
pub struct Peers<S: System> {
    system: S,
    consensus: Consensus,
    codec: FrameCodec,
    name: String,
    /// As the script has them: of version 0, and where this node reaches them.
    script: Vec<(String, SocketAddr)>,
    /// Where this node says that it listens.
    own: SocketAddr,
    peers: BTreeMap<NodeId, Peer>,
    /// This node is out of the fleet since this version at the latest.
    removed: Option<Version>,
    lists: EnabledLists,
    lease: Micros,
    listener: S::Listener,
    first_key: usize,
    /// Links that this node makes; then those that came in.
    channels: Vec<Option<Channel<S>>>,
    writer: S::Worker,
    pages: VecDeque<(u64, LogRecord)>,
    /// The first of them is with the worker.
    flying: bool,
    write_again: Micros,
    steps: VecDeque<Command>,
    rng: fastrand::Rng,
    /// The version that the node has put into effect, with its content.
    applied: Option<Version>,
    content: Option<Content>,
    /// A version that is in effect and that this node cannot act on, and why.
    unusable: Option<(Version, String)>,
    open: BTreeMap<RequestId, Open>,
    /// Open tries by gateway.
    by_gateway: BTreeMap<u64, usize>,
    said: Option<Micros>,
    /// Something has happened since the last turn's end.
    stirred: bool,
    /// When to look again though nothing has.
    look_at: Micros,
}

fn lists(lists: Lists) -> EnabledLists {
    EnabledLists {
        blocked: matches!(lists, Lists::Barred | Lists::Both),
        gateway_limits: matches!(lists, Lists::Shares | Lists::Both),
    }
}

/// What all nodes have to be told alike, as a number: names in their order, times, lists.
fn fingerprint(fleet: &Fleet) -> u64 {
    let names: Vec<&str> = fleet.members.iter().map(|m| m.0.as_str()).collect();
    let told = json!([names, fleet.contradict_ms, fleet.drift_ppm, fleet.lists]).to_string();
    // FNV-1a: it tells slips of the pen apart, no more.
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    told.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

impl<S: System> Peers<S> {
    /// Opens the log and listens; links are made by the loop.
    pub fn start(
        system: &S,
        settings: &Fleet,
        me: &str,
        seed: u64,
        (listener_key, writer_key, first_key): (usize, usize, usize),
    ) -> Result<Self, String> {
        let at = settings.members.iter().position(|m| m.0 == me);
        let (number, own) = match (at, settings.number) {
            (Some(at), None) => (at as NodeId, settings.members[at].1),
            (Some(_), Some(_)) => {
                return Err(format!("fleet: `number` is for a node that joins; {me:?} is one of `members`"));
            }
            (None, Some(number)) if usize::from(number) >= settings.members.len() => {
                let own = settings.listen.ok_or("fleet: `listen` has to be there beside `number`")?;
                (number, own)
            }
            (None, _) => {
                return Err(format!(
                    "fleet: `members` has no {me:?}, which is this node's name; a node that joins needs the `number` \
                     that 'gaugestand fleet join' told"
                ));
            }
        };
        let lease = Micros::millis(settings.contradict_ms);
        let terms = LeaseConfig::new(settings.members.len(), lease, settings.drift_ppm);
        let terms = terms.map_err(|error| format!("fleet: its times make no sense: {error}"))?;
        #[cfg(feature = "injected-defects")]
        let terms = with_injected_defect(terms)?;
        let names: Vec<String> = settings.members.iter().map(|m| m.0.clone()).collect();
        let owner = format!("node {me} of fleet {:?} ({})", settings.name, names.join(", "));
        let (writer, found) = system.consensus_log(&settings.path, &owner, writer_key)?;
        let listener = settings.listen.unwrap_or(own);
        let listener =
            system.listen(listener, listener_key).map_err(|e| format!("fleet: {listener}: {e}"))?;
        let me = number;
        let codec = FrameCodec {
            cluster: settings.name.clone(),
            config_fingerprint: fingerprint(settings),
            node_id: me,
            incarnation: found.life,
        };
        let first = Membership::initial(&settings.members).map_err(|e| format!("fleet: `members`: {e}"))?;
        let consensus_config =
            ConsensusConfig { node_id: me, initial_membership: first, lease: terms, incarnation: found.life };
        let mut steps = Vec::new();
        let consensus = Consensus::new(system.moment().mono, consensus_config, &found, &mut steps)
            .map_err(|e| format!("agreed log {}: {e}; nothing was changed", settings.path.display()))?;
        let mut peers = Peers {
            system: system.clone(),
            consensus,
            codec,
            name: settings.name.clone(),
            script: settings.members.clone(),
            own,
            peers: BTreeMap::new(),
            removed: None,
            lists: lists(settings.lists),
            lease,
            listener,
            first_key,
            channels: (0..KEYS).map(|_| None).collect(),
            writer,
            pages: VecDeque::new(),
            flying: false,
            write_again: Micros(0),
            steps: steps.into(),
            rng: fastrand::Rng::with_seed(seed),
            applied: None,
            content: None,
            unusable: None,
            open: BTreeMap::new(),
            by_gateway: BTreeMap::new(),
            said: None,
            stirred: true,
            look_at: Micros(0),
        };
        peers.meet(system.moment().mono);
        Ok(peers)
    }

    /// Takes in who is in the fleet now. A node that is not in it yet keeps those that it was told of.
    fn meet(&mut self, now: Micros) {
        let members = self.consensus.membership().clone();
        for node in members.members().iter().filter(|n| n.id != self.codec.node_id) {
            // Where a node reaches those of its script is its own.
            let own_way = self.script.get(usize::from(node.id)).map(|s| s.1);
            let peer = self.peers.entry(node.id).or_insert_with(|| Peer::new(String::new()));
            peer.name.clone_from(&node.name);
            peer.address = Some(own_way.unwrap_or(node.address));
        }
        let gone: Vec<NodeId> = self.peers.keys().copied().filter(|n| members.was_removed(*n)).collect();
        for number in gone {
            for slot in 0..KEYS {
                let channel = self.channels[slot].as_ref();
                if channel.is_some_and(|c| c.to == Some(number) || c.who.is_some_and(|w| w.0 == number)) {
                    // What it has not read yet tells it that it is out; the rest it learns when it comes again.
                    if let Some(channel) = self.channels[slot].as_mut() {
                        let _ = channel.link.flush(now);
                    }
                    self.lost(now, slot);
                }
            }
            self.peers.remove(&number);
        }
    }

    /// Whether a node may speak to this one.
    fn admits(&self, from: NodeId, life: u64) -> Result<(), FrameError> {
        let members = self.consensus.membership();
        if members.was_removed(from) {
            return Err(FrameError::RemovedSender { node: from, incarnation: life });
        }
        // One that has not been let in does not know everybody.
        let known = members.get(from).is_some() || members.get(self.codec.node_id).is_none();
        if known { Ok(()) } else { Err(FrameError::UnknownSender(u32::from(from))) }
    }

    /// Where it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address()
    }

    /// Whether a key is that of one of its links.
    pub fn has_key(&self, key: usize) -> bool {
        (self.first_key..self.first_key + KEYS).contains(&key)
    }

    // ---- What this node may act on -------------------------------------------------------------------

    /// Whether it has had a version, or the word of a majority that there is none, since its start.
    pub fn is_ready(&self) -> bool {
        self.applied.is_some() && self.removed.is_none()
    }

    /// The version to put into effect now, if it is another one than before, with its content; none for version 0.
    pub fn due(&self, now: Micros) -> Option<(Version, Option<Rc<[u8]>>)> {
        let ActiveVersion::Leased(version) = self.consensus.active_version(now) else { return None };
        let known = self.applied == Some(version) || self.unusable.as_ref().is_some_and(|u| u.0 == version);
        if known { None } else { Some((version, self.consensus.content(version))) }
    }

    /// The version is in effect in this node from now on, or why it cannot be.
    pub fn put(&mut self, version: Version, content: Result<Option<Content>, String>) {
        match content {
            Ok(content) => {
                (self.applied, self.content, self.unusable) = (Some(version), content, None);
                tracing::info!(version, "the fleet's version is in effect");
            }
            Err(problem) => {
                tracing::error!(version, problem, "the fleet's version cannot be acted on here");
                self.unusable = Some((version, problem));
            }
        }
    }

    /// The settings that are in effect, if a version has any.
    pub fn settings(&self) -> Option<&Value> {
        self.content.as_ref().map(|c| &c.settings).filter(|s| !s.is_null())
    }

    /// What a request gets by this clock, which was read for it.
    pub fn rule(&self, now: Micros, keyed: bool, subject: Option<u64>, gateway: u64) -> GateDecision {
        let acts = match self.consensus.active_version(now) {
            // One that has not been put into effect yet, or cannot be: until then the one before holds without a lease.
            ActiveVersion::Leased(version) if self.applied != Some(version) => {
                ActiveVersion::Unleased(self.applied.unwrap_or(0))
            }
            acts => acts,
        };
        let subject = subject.filter(|_| self.lists.blocked).map(|s| format!("{s:016x}"));
        let open = self.by_gateway.get(&gateway).copied().unwrap_or(0);
        let request = version_gate::Request { keyed, subject: subject.as_deref(), gateway, open };
        version_gate::check(acts, self.content.as_ref(), self.lists, request)
    }

    /// After which time a refusal for want of a lease asks to come back: one is had again, or is not, by then.
    pub fn retry_after(&self) -> Micros {
        Micros(self.lease.0 / 2)
    }

    /// A try came in.
    pub fn taken(&mut self, now: Micros, id: RequestId, gateway: u64) {
        let version = self.applied.unwrap_or(0);
        if self.open.insert(id, Open { version, gateway, since: now }).is_none() {
            *self.by_gateway.entry(gateway).or_default() += 1;
        }
    }

    /// Nothing of a try is left.
    pub fn forget(&mut self, id: RequestId) {
        let Some(open) = self.open.remove(&id) else { return };
        if let Some(n) = self.by_gateway.get_mut(&open.gateway) {
            *n -= 1;
            if *n == 0 {
                self.by_gateway.remove(&open.gateway);
            }
        }
    }

    // ---- Operators -----------------------------------------------------------------------------------

    /// An operator proposes a content.
    pub fn propose(
        &mut self,
        now: Micros,
        ticket: u64,
        content: Vec<u8>,
        expect: Option<Version>,
        force: bool,
    ) {
        self.step(now, Event::Propose { ticket, content, expected_version: expect, force });
    }

    /// An operator wants the members to change.
    pub fn change(&mut self, now: Micros, ticket: u64, change: MembershipChange) {
        self.step(now, Event::ChangeMembership { ticket, change });
    }

    /// The number of the node of this name.
    pub fn number(&self, name: &str) -> Option<NodeId> {
        self.consensus.membership().members().iter().find(|n| n.name == name).map(|n| n.id)
    }

    /// What came of a check.
    pub fn checked(&mut self, now: Micros, validation: ValidationId, result: Result<(), Unacceptable>) {
        self.step(now, Event::Validated { validation, result });
    }

    /// This node leaves service.
    pub fn leave(&mut self, now: Micros) {
        self.step(now, Event::Draining);
    }

    /// Which lists versions may hold.
    pub fn lists(&self) -> EnabledLists {
        self.lists
    }

    /// The content of a version, if it is kept.
    pub fn content(&self, version: Version) -> Option<Rc<[u8]>> {
        self.consensus.content(version)
    }

    /// How the fleet stands, as this node sees it.
    pub fn status(&self, now: Micros) -> Value {
        let all = self.consensus.membership();
        let member = |node: &gaugestand_cluster::membership::Member| {
            let peer = self.peers.get(&node.id);
            let (me, heard) = (node.id == self.codec.node_id, peer.is_some_and(|p| p.over.is_some()));
            let address = peer.and_then(|p| p.address).unwrap_or(if me { self.own } else { node.address });
            json!({"name": node.name, "number": node.id, "address": address.to_string(), "me": me,
                "heard": me || heard, "votes": node.role == Role::Voter})
        };
        let members: Vec<Value> = all.members().iter().map(member).collect();
        let leader = self.consensus.leader().and_then(|l| all.get(l)).map(|n| &n.name);
        let lease = self.consensus.lease().map_or(0, |lease| lease.expires_at.since(now).0 / 1_000);
        let acts =
            matches!(self.consensus.active_version(now), ActiveVersion::Leased(v) if self.applied == Some(v));
        let mut open: BTreeMap<Version, (usize, u64)> = BTreeMap::new();
        for o in self.open.values() {
            let (n, oldest) = open.entry(o.version).or_default();
            (*n, *oldest) = (*n + 1, (*oldest).max(now.since(o.since).0 / 1_000));
        }
        let open: Vec<Value> = open
            .into_iter()
            .map(|(version, (n, oldest))| json!({"version": version, "open": n, "oldest_ms": oldest}))
            .collect();
        json!({
            "fleet": self.name, "leader": leader, "term": self.consensus.term(), "members": members,
            "heard": self.consensus.reachable_count(), "majority": all.voters().count() / 2 + 1, "removed": self.removed,
            "in_fleet": all.get(self.codec.node_id).is_some(),
            "last": self.consensus.last_committed(), "in_effect": self.applied, "acts": acts, "lease_ms": lease,
            "unusable": self.unusable.as_ref().map(|(version, why)| json!({"version": version, "why": why})),
            "unwritten": self.pages.len(), "open": open,
        })
    }

    /// Versions that are kept, oldest first, with their sizes.
    pub fn history(&self) -> Value {
        let all = self.consensus.committed_versions();
        all.map(|(version, content)| json!({"version": version, "bytes": content.len()})).collect()
    }

    // ---- Links ---------------------------------------------------------------------------------------

    /// Takes connections that wait.
    pub fn accept(&mut self, now: Micros) {
        self.stirred = true;
        for _ in 0..MOST_GUESTS {
            let guests = MOST_MADE..KEYS;
            let free = guests.clone().find(|slot| self.channels[*slot].is_none());
            // Whoever has not said who it is for longest makes room.
            let quiet = || {
                let waits = |slot: &usize| self.channels[*slot].as_ref().is_some_and(|c| c.who.is_none());
                guests.filter(waits).min_by_key(|slot| self.channels[*slot].as_ref().map(|c| c.since))
            };
            let Some(slot) = free.or_else(quiet) else { return };
            self.channels[slot] = None;
            match self.listener.accept(self.first_key + slot) {
                Ok(stream) => {
                    let key = self.first_key + slot;
                    let link = Link::accepted(stream, self.own, key, &self.system);
                    self.channels[slot] =
                        Some(Channel { link, since: now, greeted: false, to: None, who: None });
                    self.greet(slot);
                }
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => return,
            }
        }
    }

    fn greet(&mut self, slot: usize) {
        let hello = self.codec.hello(env!("CARGO_PKG_VERSION"));
        if let Some(channel) = self.channels[slot].as_mut().filter(|c| !c.greeted) {
            channel.greeted = true;
            channel.link.send(frame(&hello));
        }
    }

    /// The poller has something for one of its links.
    pub fn ready(&mut self, now: Micros, event: Ready, counters: &mut Counters) {
        let Some(slot) = event.key.checked_sub(self.first_key).filter(|s| *s < KEYS) else { return };
        self.stirred = true;
        let Some(channel) = self.channels[slot].as_mut() else { return };
        match channel.link.ready(now, event.readable, event.writable) {
            Some(Change::Up) => {
                channel.since = now;
                self.greet(slot);
            }
            Some(Change::Broken | Change::Unreachable) => return self.lost(now, slot),
            None => {}
        }
        self.read(now, slot, counters);
    }

    fn read(&mut self, now: Micros, slot: usize, counters: &mut Counters) {
        while let Some(channel) = self.channels[slot].as_mut() {
            let input = channel.link.input();
            let Some(length) = input.first_chunk::<LENGTH>().map(|l| u32::from_le_bytes(*l) as usize) else {
                return;
            };
            let read = if length > MAX_MESSAGE_BYTES {
                Err(FrameError::Malformed)
            } else if let Some(message) = input.get(LENGTH..LENGTH + length) {
                self.codec.decode(message)
            } else {
                return;
            };
            let taken = read.and_then(|(from, body)| self.hear(now, slot, from, body));
            match taken {
                Ok(()) => {
                    counters.fellow_messages += 1;
                    if let Some(channel) = self.channels[slot].as_mut() {
                        channel.link.consume(LENGTH + length);
                    }
                }
                Err(unfit) => {
                    counters.fellow_unfit += 1;
                    if let (FrameError::RemovedSender { incarnation: life, .. }, Some(channel)) =
                        (&unfit, self.channels[slot].as_mut())
                    {
                        let told = Payload::Removed(self.consensus.last_committed());
                        channel.link.send(frame(&self.codec.encode(told, *life)));
                        let _ = channel.link.flush(now);
                    }
                    if self.said.is_none_or(|t| now.since(t) >= REPEAT) {
                        self.said = Some(now);
                        tracing::warn!(problem = %unfit, "a link of the fleet is ended");
                    }
                    return self.lost(now, slot);
                }
            }
        }
    }

    fn hear(&mut self, now: Micros, slot: usize, from: NodeId, body: Payload) -> Result<(), FrameError> {
        if let Payload::Hello(hello) = &body {
            self.admits(from, hello.incarnation)?;
        }
        let Some(channel) = self.channels[slot].as_mut() else { return Ok(()) };
        match (channel.who, body) {
            (_, Payload::Removed(version)) => {
                if self.removed.replace(version).is_none() {
                    tracing::error!(
                        version,
                        "this node is in the fleet no more; stop it, or let it join anew"
                    );
                }
                Err(FrameError::Stale)
            }
            (None, Payload::Hello(hello)) => {
                // A link that this node made leads to one node.
                if channel.to.is_some_and(|to| to != from) {
                    return Err(FrameError::UnknownSender(u32::from(from)));
                }
                channel.who = Some((from, hello.incarnation));
                let peer = self.peers.entry(from).or_insert_with(|| Peer::new(format!("node {from}")));
                // The newest link counts: an older one may be half dead.
                let before = peer.over.replace(slot);
                tracing::info!(peer = peer.name, "linked");
                if let Some(before) = before.filter(|b| *b != slot) {
                    self.channels[before] = None;
                }
                self.step(now, Event::LinkUp(from));
                Ok(())
            }
            (Some((who, _)), body) if who == from && !matches!(body, Payload::Hello(_)) => {
                self.step(now, Event::Received { from, payload: body });
                Ok(())
            }
            _ => Err(FrameError::Stale),
        }
    }

    /// A channel is gone.
    fn lost(&mut self, now: Micros, slot: usize) {
        let Some(channel) = self.channels[slot].take() else { return };
        let again = now.plus(AGAIN).plus(Micros(self.rng.u64(..AGAIN.0 / 2)));
        if let Some(peer) = channel.to.and_then(|to| self.peers.get_mut(&to)) {
            peer.again = again;
        }
        let Some((who, _)) = channel.who else { return };
        let Some(peer) = self.peers.get_mut(&who).filter(|p| p.over == Some(slot)) else { return };
        peer.over = None;
        tracing::warn!(peer = peer.name, "its link is gone, which proves nothing");
        self.step(now, Event::LinkDown(who));
    }

    // ---- The log's file ------------------------------------------------------------------------------

    /// The worker has something.
    pub fn written(&mut self, now: Micros, counters: &mut Counters) {
        self.writer.woken();
        self.stirred = true;
        while let Some((number, outcome)) = self.writer.outcome() {
            if self.pages.front().is_none_or(|p| p.0 != number) {
                continue;
            }
            self.flying = false;
            match outcome {
                Outcome::Done => {
                    self.pages.pop_front();
                    counters.fleet_pages += 1;
                    self.step(now, Event::Persisted(number));
                }
                Outcome::NotDone(cause) | Outcome::Unknown(cause) => {
                    if self.write_again <= now {
                        tracing::error!(%cause, "the agreed log cannot be written; this node takes no version until it can");
                    }
                    self.write_again = now.plus(WRITE_AGAIN);
                }
                Outcome::Rows(_) => {}
            }
        }
    }

    fn write(&mut self, now: Micros) {
        if self.flying || now < self.write_again {
            return;
        }
        if let Some((number, page)) = self.pages.front() {
            let batch = Batch { number: *number, work: Work::LogRecord(page.clone()) };
            self.flying = self.writer.submit(batch).is_ok();
        }
    }

    // ---- Turns ---------------------------------------------------------------------------------------

    /// Whether there is anything to do in this turn: most turns are a gateway's or the kernel's alone.
    pub fn is_due(&self, now: Micros) -> bool {
        self.stirred || now >= self.look_at
    }

    fn step(&mut self, now: Micros, event: Event) {
        self.stirred = true;
        let mut out = Vec::new();
        self.consensus.on_event(now, event, &mut out);
        self.steps.extend(out);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        let due: Vec<(NodeId, SocketAddr)> = self
            .unmade()
            .filter(|(_, p)| now >= p.again)
            .filter_map(|(n, p)| Some((n, p.address?)))
            .collect();
        for (number, address) in due {
            let Some(slot) = (0..MOST_MADE).find(|s| self.channels[*s].is_none()) else { break };
            let link = Link::new(address, self.first_key + slot, &self.system);
            let to = Some(number);
            self.channels[slot] = Some(Channel { link, since: now, greeted: false, to, who: None });
            if let Some(channel) = self.channels[slot].as_mut()
                && channel.link.connect(now).is_some()
            {
                self.lost(now, slot);
            }
        }
        for slot in 0..KEYS {
            let Some(channel) = self.channels[slot].as_mut() else { continue };
            let late = channel.who.is_none() && now.since(channel.since) >= GREETING;
            if late || channel.link.tick(now).is_some() {
                self.lost(now, slot);
            }
        }
        if self.consensus.next_timer(now) <= now {
            self.step(now, Event::Timer);
        }
        self.write(now);
    }

    /// Nodes to which this one is to make a link: the lower number makes it.
    fn unmade(&self) -> impl Iterator<Item = (NodeId, &Peer)> {
        let made = |number: NodeId| self.channels.iter().flatten().any(|c| c.to == Some(number));
        let mine = self.peers.range(self.codec.node_id..).map(|(number, peer)| (*number, peer));
        // Who was told that it is out has nobody to speak to.
        let is_in = self.removed.is_none();
        mine.filter(move |(number, peer)| is_in && peer.address.is_some() && !made(*number))
    }

    /// What the node has to do; messages and pages are on their way once this says that there is nothing.
    pub fn news(&mut self, now: Micros, counters: &mut Counters) -> Option<News> {
        while let Some(step) = self.steps.pop_front() {
            match step {
                Command::Send { to, payload: body } => self.send(to, body, counters),
                Command::Persist { sequence: number, record: page } => {
                    self.pages.push_back((number, page));
                    self.write(now);
                }
                Command::Validate { validation, content, force } => {
                    return Some(News::Check(validation, content, force));
                }
                Command::Committed { version, .. } => {
                    tracing::info!(version, "the fleet has agreed on a version");
                    self.meet(now);
                }
                Command::Answer { ticket, result: end } => return Some(News::Answer(ticket, end)),
            }
        }
        None
    }

    fn send(&mut self, to: NodeId, body: Payload, counters: &mut Counters) {
        let Some(slot) = self.peers.get(&to).and_then(|p| p.over) else { return };
        let Some(channel) = self.channels[slot].as_mut() else { return };
        let Some((_, life)) = channel.who else { return };
        if channel.link.waiting() > MOST_WAITING {
            counters.fellow_dropped += 1;
            return;
        }
        channel.link.send(frame(&self.codec.encode(body, life)));
    }

    /// Ends a turn: writes what can be written.
    pub fn flush(&mut self, now: Micros) {
        if !self.is_due(now) {
            return;
        }
        self.stirred = false;
        for slot in 0..KEYS {
            let Some(channel) = self.channels[slot].as_mut() else { continue };
            if channel.link.flush(now).is_some() {
                self.lost(now, slot);
            }
        }
        self.look_at = self.next_look(now);
    }

    /// When to look at it again although nothing came.
    pub fn wake(&self) -> Micros {
        if self.stirred { Micros(0) } else { self.look_at }
    }

    fn next_look(&self, now: Micros) -> Micros {
        let links = self.channels.iter().flatten().filter(|c| c.who.is_none());
        let links = links.map(|c| c.since.plus(GREETING));
        let again = self.unmade().map(|(_, peer)| peer.again);
        let write = (!self.flying && !self.pages.is_empty()).then_some(self.write_again);
        let all = links.chain(again).chain(write).chain([self.consensus.next_timer(now)]);
        all.min().unwrap_or(now)
    }
}

/// A message with its length before it.
fn frame(message: &[u8]) -> Vec<u8> {
    let mut frame = (message.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(message);
    frame
}
