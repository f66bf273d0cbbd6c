//! A network and a clock that exist only in the simulation: each connection is two buffers with delays.
//!
//! Bytes arrive in order on each connection, in pieces of any size, after a delay drawn from the seed. Nothing happens
//! between two events. The node reaches the network through its seam ([`crate::system`]); whatever else takes part (the
//! fakes of gateways, kernel and downstream tier) calls it directly and is here called an actor.

use crate::random::SimRng;
use gaugestand_admission::time::{Micros, Moment, Timestamp, UnixTime};
use gaugestand_node::io::Ready;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::rc::Rc;

/// Unix time at which every world begins: any date does, as long as it is the same in every run.
const WALL_CLOCK_START: UnixTime = UnixTime::millis(1_764_576_000_000);
/// Where the monotonic clock begins: well above zero, so that subtracting from an early time does not saturate.
const MONOTONIC_START: Timestamp = Timestamp::millis(3_600_000);
/// Most bytes on their way and unread in one direction, as the buffers of real sockets hold.
const WINDOW_BYTES: usize = 256 * 1024;
/// Delay of a packet: this at least, plus an exponentially distributed part with this mean and this bound.
const MIN_DELAY: Micros = Micros(20);
const MEAN_EXTRA_DELAY: Micros = Micros(80);
const MAX_EXTRA_DELAY: Micros = Micros(2_000);
/// Chance that bytes arrive in one piece.
const WHOLE_CHANCE: f64 = 0.9;

/// What is on its way to one side of a connection.
#[derive(Debug)]
enum Packet {
    Bytes(Vec<u8>),
    End,
    Reset,
    /// A connection request reaches the listener's side.
    Connect(SocketAddr),
    /// The answer to that: accepted or refused.
    ConnectAnswer(bool),
}

/// What the node's poller watches a connection for.
#[derive(Clone, Copy, Debug)]
struct Interest {
    key: usize,
    reading: bool,
    writing: bool,
}

/// One side of a connection.
#[derive(Debug, Default)]
struct Endpoint {
    inbox: VecDeque<u8>,
    /// The other side has ended its stream.
    ended: bool,
    reset: bool,
    /// Its owner has not closed it.
    is_open: bool,
    /// Its owner has ended the stream to the other side.
    write_shut: bool,
    /// Whether it was connected or refused, once that is known.
    connected: Option<bool>,
    /// What the node watches it for; `None` where it belongs to an actor.
    interest: Option<Interest>,
    /// Bytes sent to the other side that it has not read.
    unread_by_peer: usize,
    /// When the last packet to the other side arrives: the next does not overtake it.
    last_arrival: Timestamp,
}

/// One side of a connection, by the connection's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Side {
    connection: usize,
    /// The side that accepted the connection, not the one that began it.
    accepting: bool,
}

impl Side {
    fn peer(self) -> Side {
        Side { accepting: !self.accepting, ..self }
    }

    fn accepting(connection: usize) -> Side {
        Side { connection, accepting: true }
    }
}

/// How the node watches its listener.
#[derive(Clone, Copy, Debug)]
struct ListenerInterest {
    key: usize,
    reading: bool,
}

#[derive(Debug, Default)]
struct Backlog {
    /// `None` where an actor listens.
    interest: Option<ListenerInterest>,
    /// Connections that wait to be accepted.
    waiting: VecDeque<usize>,
}

/// The simulated network, with its clock.
#[derive(Debug)]
pub struct Network {
    now: Timestamp,
    /// The wall clock is off by this, in microseconds.
    wall_clock_offset: i64,
    rng: SimRng,
    endpoints: BTreeMap<Side, Endpoint>,
    next_connection: usize,
    in_flight: BTreeMap<(Timestamp, u64), (Side, Packet)>,
    next_packet: u64,
    listeners: BTreeMap<SocketAddr, Backlog>,
    datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Sides of actors on which something has arrived.
    news: BTreeSet<Side>,
    /// Whether a signal is pending, by the key under which the node watches for it.
    pending_signals: BTreeMap<usize, bool>,
    signal_keys: BTreeMap<i32, usize>,
    /// Of all that the node has sent.
    digest: blake3::Hasher,
}

impl Network {
    /// A network of this seed.
    pub fn new(seed: u64) -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Network {
            now: MONOTONIC_START,
            wall_clock_offset: 0,
            rng: SimRng::new(seed, 1),
            endpoints: BTreeMap::new(),
            next_connection: 0,
            in_flight: BTreeMap::new(),
            next_packet: 0,
            listeners: BTreeMap::new(),
            datagrams: Vec::new(),
            news: BTreeSet::new(),
            pending_signals: BTreeMap::new(),
            signal_keys: BTreeMap::new(),
            digest: blake3::Hasher::new(),
        }))
    }

    /// The time on both clocks.
    pub fn moment(&self) -> Moment {
        let elapsed = self.now.since(MONOTONIC_START);
        let wall = WALL_CLOCK_START.plus(elapsed).0.saturating_add_signed(self.wall_clock_offset);
        Moment { mono: self.now, wall: UnixTime(wall) }
    }

    /// Sets the wall clock forward or back by so many microseconds.
    pub fn step_clock(&mut self, by: i64) {
        self.wall_clock_offset += by;
    }

    /// A digest of all bytes that the node has sent so far, with their times.
    pub fn digest(&self) -> String {
        self.digest.finalize().to_hex()[..16].to_string()
    }

    /// When the next packet arrives.
    pub fn next_arrival(&self) -> Option<Timestamp> {
        self.in_flight.first_key_value().map(|((at, _), _)| *at)
    }

    /// Moves the clock to `to` and delivers what arrives by then.
    pub fn advance(&mut self, to: Timestamp) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= to) {
            let ((at, _), (side, packet)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.deliver(side, packet);
        }
        self.now = self.now.max(to);
    }

    fn send(&mut self, from: Side, packet: Packet) {
        let extra = self.rng.exponential(MEAN_EXTRA_DELAY).min(MAX_EXTRA_DELAY);
        let delay = MIN_DELAY.plus(extra);
        let Some(endpoint) = self.endpoints.get_mut(&from) else { return };
        let at = self.now.plus(delay).max(endpoint.last_arrival);
        endpoint.last_arrival = at;
        self.next_packet += 1;
        self.in_flight.insert((at, self.next_packet), (from.peer(), packet));
    }

    /// Sends bytes in pieces of any size.
    fn send_bytes(&mut self, from: Side, mut bytes: &[u8]) {
        if let Some(endpoint) = self.endpoints.get_mut(&from) {
            endpoint.unread_by_peer += bytes.len();
        }
        while !bytes.is_empty() {
            let whole = self.rng.chance(WHOLE_CHANCE);
            let len = if whole { bytes.len() } else { 1 + self.rng.below(bytes.len() as u64) as usize };
            let (piece, rest) = bytes.split_at(len.min(bytes.len()));
            self.send(from, Packet::Bytes(piece.to_vec()));
            bytes = rest;
        }
    }

    fn deliver(&mut self, side: Side, packet: Packet) {
        if let Packet::Connect(to) = packet {
            return self.deliver_connect(side, to);
        }
        let Some(endpoint) = self.endpoints.get_mut(&side) else { return };
        match packet {
            Packet::Bytes(bytes) if endpoint.is_open => endpoint.inbox.extend(bytes),
            // As TCP does: bytes for a closed socket are answered with a reset.
            Packet::Bytes(_) => return self.send(side, Packet::Reset),
            Packet::End => endpoint.ended = true,
            Packet::Reset => {
                endpoint.reset = true;
                endpoint.inbox.clear();
            }
            Packet::ConnectAnswer(accepted) => endpoint.connected = Some(accepted),
            Packet::Connect(_) => {}
        }
        if endpoint.interest.is_none() {
            self.news.insert(side);
        }
    }

    fn deliver_connect(&mut self, side: Side, to: SocketAddr) {
        let backlog = self.listeners.get_mut(&to);
        let accepted = backlog.is_some();
        if let Some(backlog) = backlog {
            backlog.waiting.push_back(side.connection);
            let endpoint = Endpoint { is_open: true, connected: Some(true), ..Endpoint::default() };
            self.endpoints.insert(side, endpoint);
            self.news.insert(side);
        } else {
            let endpoint = Endpoint { connected: Some(false), ..Endpoint::default() };
            self.endpoints.insert(side, endpoint);
        }
        self.send(side, Packet::ConnectAnswer(accepted));
    }

    fn open(&mut self, to: SocketAddr, interest: Option<Interest>) -> Side {
        let side = Side { connection: self.next_connection, accepting: false };
        self.next_connection += 1;
        self.endpoints.insert(side, Endpoint { is_open: true, interest, ..Endpoint::default() });
        self.send(side, Packet::Connect(to));
        side
    }

    fn note_read(&mut self, side: Side, len: usize) {
        if let Some(peer) = self.endpoints.get_mut(&side.peer()) {
            peer.unread_by_peer = peer.unread_by_peer.saturating_sub(len);
        }
    }

    /// Closes a side: the other one sees an end, or a reset.
    pub fn close(&mut self, side: Side, reset: bool) {
        let Some(endpoint) = self.endpoints.get_mut(&side).filter(|endpoint| endpoint.is_open) else {
            return;
        };
        // As TCP does: a close over unread bytes is a reset.
        let reset = reset || !endpoint.inbox.is_empty();
        let already_ended = endpoint.write_shut && !reset;
        endpoint.is_open = false;
        endpoint.interest = None;
        endpoint.inbox.clear();
        if !already_ended {
            self.send(side, if reset { Packet::Reset } else { Packet::End });
        }
    }
}

/// What actors call.
impl Network {
    /// An actor connects.
    pub fn connect(&mut self, to: SocketAddr) -> Side {
        self.open(to, None)
    }

    /// An actor listens.
    pub fn listen(&mut self, at: SocketAddr) {
        self.listeners.insert(at, Backlog::default());
    }

    /// An actor accepts the connections that wait.
    pub fn accept(&mut self, at: SocketAddr) -> Vec<Side> {
        let Some(backlog) = self.listeners.get_mut(&at) else { return Vec::new() };
        backlog.waiting.drain(..).map(Side::accepting).collect()
    }

    /// An actor's sides on which something has arrived since the last call.
    pub fn take_news(&mut self) -> BTreeSet<Side> {
        std::mem::take(&mut self.news)
    }

    /// An actor reads all that there is; `None` after the end.
    pub fn read_all(&mut self, side: Side) -> Option<Vec<u8>> {
        let endpoint = self.endpoints.get_mut(&side)?;
        let bytes: Vec<u8> = endpoint.inbox.drain(..).collect();
        let over = endpoint.ended || endpoint.reset || endpoint.connected == Some(false);
        self.note_read(side, bytes.len());
        if bytes.is_empty() && over { None } else { Some(bytes) }
    }

    /// An actor sends.
    pub fn write_all(&mut self, side: Side, bytes: &[u8]) {
        self.send_bytes(side, bytes);
    }

    /// Sends a signal to the node.
    pub fn signal(&mut self, signal: i32) {
        if let Some(key) = self.signal_keys.get(&signal) {
            self.pending_signals.insert(*key, true);
        }
    }

    /// Datagrams that the node has sent since the last call, and to whom.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.datagrams)
    }

    /// The node's process is gone: its connections are reset, its listeners and signals forgotten.
    pub fn kill_node(&mut self) {
        let of_node = self.endpoints.iter().filter(|(_, endpoint)| endpoint.interest.is_some());
        let open: Vec<Side> = of_node.map(|(side, _)| *side).collect();
        open.into_iter().for_each(|side| self.close(side, true));
        let of_node = self.listeners.values_mut().filter(|backlog| backlog.interest.is_some());
        let unaccepted: Vec<usize> = of_node.flat_map(|backlog| backlog.waiting.drain(..)).collect();
        unaccepted.into_iter().for_each(|connection| self.close(Side::accepting(connection), true));
        self.listeners.retain(|_, backlog| backlog.interest.is_none());
        self.pending_signals.clear();
        self.signal_keys.clear();
    }

    /// Connections that the node has open.
    pub fn node_sockets(&self) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.interest.is_some()).count()
    }

    /// What the node's poller would report.
    pub fn ready(&self) -> Vec<Ready> {
        let mut ready = Vec::new();
        for backlog in self.listeners.values() {
            if let Some(interest) = backlog.interest
                && interest.reading
                && !backlog.waiting.is_empty()
            {
                ready.push(Ready { key: interest.key, readable: true, writable: false });
            }
        }
        let pending = self.pending_signals.iter().filter(|(_, pending)| **pending);
        ready.extend(pending.map(|(key, _)| Ready { key: *key, readable: true, writable: false }));
        for endpoint in self.endpoints.values() {
            let Some(Interest { key, reading, writing }) = endpoint.interest else { continue };
            let failed = endpoint.reset || endpoint.connected == Some(false);
            let has_input = !endpoint.inbox.is_empty() || endpoint.ended;
            let has_room = endpoint.connected == Some(true) && endpoint.unread_by_peer < WINDOW_BYTES;
            let readable = failed || reading && has_input;
            let writable = failed || writing && has_room;
            if readable || writable {
                ready.push(Ready { key, readable, writable });
            }
        }
        ready
    }
}

/// What the node calls through its seam; errors are those of non-blocking sockets.
impl Network {
    pub(crate) fn node_listen(&mut self, at: SocketAddr, key: usize) {
        let interest = Some(ListenerInterest { key, reading: true });
        self.listeners.insert(at, Backlog { interest, waiting: VecDeque::new() });
    }

    pub(crate) fn node_connect(&mut self, to: SocketAddr, key: usize) -> Side {
        self.open(to, Some(Interest { key, reading: true, writing: true }))
    }

    pub(crate) fn node_accept(&mut self, at: SocketAddr, key: usize) -> io::Result<Side> {
        let waiting = self.listeners.get_mut(&at).and_then(|backlog| backlog.waiting.pop_front());
        let side = Side::accepting(waiting.ok_or(io::ErrorKind::WouldBlock)?);
        if let Some(endpoint) = self.endpoints.get_mut(&side) {
            endpoint.interest = Some(Interest { key, reading: true, writing: false });
        }
        Ok(side)
    }

    pub(crate) fn watch_listener(&mut self, at: SocketAddr, reading: bool) {
        let backlog = self.listeners.get_mut(&at);
        if let Some(interest) = backlog.and_then(|backlog| backlog.interest.as_mut()) {
            interest.reading = reading;
        }
    }

    pub(crate) fn close_listener(&mut self, at: SocketAddr) {
        let waiting = self.listeners.remove(&at).map(|backlog| backlog.waiting).unwrap_or_default();
        waiting.into_iter().for_each(|connection| self.close(Side::accepting(connection), true));
    }

    pub(crate) fn watch(&mut self, side: Side, reading: bool, writing: bool) {
        let endpoint = self.endpoints.get_mut(&side);
        if let Some(interest) = endpoint.and_then(|endpoint| endpoint.interest.as_mut()) {
            interest.reading = reading;
            interest.writing = writing;
        }
    }

    pub(crate) fn is_connected(&self, side: Side) -> bool {
        let endpoint = self.endpoints.get(&side);
        endpoint.is_some_and(|endpoint| endpoint.connected == Some(true) && !endpoint.reset)
    }

    pub(crate) fn has_unread(&self, side: Side) -> bool {
        self.endpoints.get(&side).is_some_and(|endpoint| !endpoint.inbox.is_empty())
    }

    /// A side ends its stream to the other one, and still reads.
    pub(crate) fn shut_writing(&mut self, side: Side) {
        let endpoint = self.endpoints.get_mut(&side);
        if let Some(endpoint) = endpoint.filter(|endpoint| endpoint.is_open && !endpoint.write_shut) {
            endpoint.write_shut = true;
            self.send(side, Packet::End);
        }
    }

    pub(crate) fn read(&mut self, side: Side, buf: &mut [u8]) -> io::Result<usize> {
        let endpoint = self.endpoints.get_mut(&side).ok_or(io::ErrorKind::NotConnected)?;
        if endpoint.reset {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if endpoint.inbox.is_empty() {
            return if endpoint.ended { Ok(0) } else { Err(io::ErrorKind::WouldBlock.into()) };
        }
        let len = endpoint.inbox.read(buf)?;
        self.note_read(side, len);
        Ok(len)
    }

    pub(crate) fn write(&mut self, side: Side, buf: &[u8]) -> io::Result<usize> {
        let endpoint = self.endpoints.get(&side).ok_or(io::ErrorKind::NotConnected)?;
        if endpoint.reset {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let len = buf.len().min(WINDOW_BYTES.saturating_sub(endpoint.unread_by_peer));
        if len == 0 && !buf.is_empty() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        self.digest.update(&self.now.0.to_be_bytes()).update(&buf[..len]);
        self.send_bytes(side, &buf[..len]);
        Ok(len)
    }

    pub(crate) fn send_datagram(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.datagrams.push((to, bytes.to_vec()));
    }

    pub(crate) fn watch_signals(&mut self, key: usize, signals: &[i32]) {
        self.pending_signals.insert(key, false);
        self.signal_keys.extend(signals.iter().map(|signal| (*signal, key)));
    }

    /// Whether a signal was pending under this key; it no longer is.
    pub(crate) fn take_signal(&mut self, key: usize) -> bool {
        self.pending_signals.insert(key, false) == Some(true)
    }
}
