//! The simulated network and the virtual clock of a world. A connection consists of two buffers with delays.
//!
//! Bytes arrive in order on each connection, in pieces of any size, after a delay drawn from the seed.
//! Nothing happens between two events. The node uses the network through its I/O interface
//! ([`crate::system`]). The fakes of gateways, kernel and downstream tier call the network directly; this
//! module calls them actors.

use crate::random::SimRng;
use gaugestand_admission::time::{Micros, Moment, Timestamp, UnixTime};
use gaugestand_node::io::Ready;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::rc::Rc;

mod idle_clients;

use idle_clients::IdleClients;
pub use idle_clients::{MAX_ACCEPTS_PER_ITERATION, MAX_READ_PER_ITERATION};

/// Unix time at which every world starts. Any date will do, as long as it is the same in every run.
const WALL_CLOCK_START: UnixTime = UnixTime::millis(1_764_576_000_000);
/// Monotonic time at which every world starts: well above zero, so that subtractions from an early time do
/// not saturate.
const MONOTONIC_START: Timestamp = Timestamp::millis(3_600_000);
/// Most bytes in one direction of a connection that the node has written and the other side has not read,
/// similar to the buffers of real sockets.
const WINDOW_BYTES: usize = 256 * 1024;
/// Delay of a packet: a minimum plus an exponentially distributed part, which has this mean and this maximum.
const MIN_DELAY: Micros = Micros(20);
const MEAN_EXTRA_DELAY: Micros = Micros(80);
const MAX_EXTRA_DELAY: Micros = Micros(2_000);
/// Probability that the bytes of a write, or those left of it, arrive in one piece.
const SINGLE_PIECE_PROBABILITY: f64 = 0.9;

/// A packet in flight to one side of a connection.
#[derive(Debug)]
enum Packet {
    Bytes(Vec<u8>),
    /// The sender ends its stream.
    End,
    Reset,
    /// A request for a connection to the listener at this address.
    Connect(SocketAddr),
    /// The answer to a request for a connection: true if a listener has queued it, false if there is none.
    ConnectAnswer(bool),
}

/// Poll interest of the node in a connection; `key` identifies the connection in [`Ready`].
#[derive(Clone, Copy, Debug)]
struct Interest {
    key: usize,
    reading: bool,
    writing: bool,
}

/// State of one side of a connection.
#[derive(Debug, Default)]
struct Endpoint {
    /// Bytes that have arrived and have not been read.
    inbox: VecDeque<u8>,
    /// Whether the end of the other side's stream has arrived.
    ended: bool,
    /// Whether a reset by the other side has arrived.
    reset: bool,
    /// Whether the owner of this side has it open.
    is_open: bool,
    /// Whether the owner of this side has ended the stream to the other side.
    write_shut: bool,
    /// Whether the connection was accepted (true) or refused; `None` until that is known.
    connected: Option<bool>,
    /// Poll interest of the node; `None` if this side belongs to an actor.
    interest: Option<Interest>,
    /// Number of bytes that this side has sent and the other side has not read.
    unread_by_peer: usize,
    /// Arrival time of the latest packet to the other side. The next packet arrives no earlier, so that
    /// packets stay in order.
    last_arrival: Timestamp,
}

impl Endpoint {
    /// Whether no more bytes can arrive: the other side has ended, reset or refused the connection.
    fn is_over(&self) -> bool {
        self.ended || self.reset || self.connected == Some(false)
    }
}

/// Identifies one side of a connection by the number of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Side {
    connection: usize,
    /// Whether this is the side that accepts the connection, not the one that requested it.
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

/// Poll interest of the node in one of its listeners; `key` identifies the listener in [`Ready`].
#[derive(Clone, Copy, Debug)]
struct ListenerInterest {
    key: usize,
    reading: bool,
}

/// A listener and the connections that wait at it.
#[derive(Debug, Default)]
struct Backlog {
    /// Poll interest of the node; `None` if an actor listens.
    interest: Option<ListenerInterest>,
    /// Numbers of the connections that wait to be accepted, oldest first.
    waiting: VecDeque<usize>,
}

/// The simulated network of one world, with its clock.
#[derive(Debug)]
pub struct Network {
    /// Virtual monotonic time.
    now: Timestamp,
    /// Offset of the wall clock from the time that has passed on the monotonic clock, in microseconds.
    wall_clock_offset: i64,
    rng: SimRng,
    endpoints: BTreeMap<Side, Endpoint>,
    next_connection: usize,
    /// Packets that have not arrived, with the side that receives them, by arrival time and packet number.
    in_flight: BTreeMap<(Timestamp, u64), (Side, Packet)>,
    next_packet: u64,
    listeners: BTreeMap<SocketAddr, Backlog>,
    /// Datagrams that the node has sent and no actor has taken, with their destinations.
    datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Sides of actors on which a packet has arrived since an actor last looked.
    changed_sides: BTreeSet<Side>,
    /// Whether a signal is pending, by the key under which the node watches for signals.
    pending_signals: BTreeMap<usize, bool>,
    /// Key under which the node watches for a signal, by signal number.
    signal_keys: BTreeMap<i32, usize>,
    /// Hash of all bytes that the node has sent on connections, with their times.
    digest: blake3::Hasher,
    idle_clients: IdleClients,
}

impl Network {
    /// Creates the network of the world of this seed, without connections and listeners.
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
            changed_sides: BTreeSet::new(),
            pending_signals: BTreeMap::new(),
            signal_keys: BTreeMap::new(),
            digest: blake3::Hasher::new(),
            idle_clients: IdleClients::default(),
        }))
    }

    /// Current time on the monotonic clock and on the wall clock.
    pub fn moment(&self) -> Moment {
        let elapsed = self.now.since(MONOTONIC_START);
        let wall = WALL_CLOCK_START.plus(elapsed).0.saturating_add_signed(self.wall_clock_offset);
        Moment { mono: self.now, wall: UnixTime(wall) }
    }

    /// Steps the wall clock by `by` microseconds, forward or (negative) back.
    pub fn step_clock(&mut self, by: i64) {
        self.wall_clock_offset += by;
    }

    /// Digest of all bytes that the node has sent on connections so far, with their times: 16 hexadecimal
    /// digits.
    pub fn digest(&self) -> String {
        self.digest.finalize().to_hex()[..16].to_string()
    }

    /// When the next packet arrives; `None` if none is in flight.
    pub fn next_arrival(&self) -> Option<Timestamp> {
        self.in_flight.first_key_value().map(|((at, _), _)| *at)
    }

    /// Moves the clock forward to `to` and delivers the packets that arrive by then, in the order of time.
    pub fn advance(&mut self, to: Timestamp) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= to) {
            let ((at, _), (side, packet)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.deliver(side, packet);
        }
        self.now = self.now.max(to);
    }

    /// Sends a packet to the other side of the connection, with a random delay.
    fn send(&mut self, from: Side, packet: Packet) {
        let extra = self.rng.exponential(MEAN_EXTRA_DELAY).min(MAX_EXTRA_DELAY);
        let delay = MIN_DELAY.plus(extra);
        let Some(endpoint) = self.endpoints.get_mut(&from) else { return };
        let at = self.now.plus(delay).max(endpoint.last_arrival);
        endpoint.last_arrival = at;
        self.next_packet += 1;
        self.in_flight.insert((at, self.next_packet), (from.peer(), packet));
    }

    /// Sends bytes to the other side, mostly in one packet and sometimes in several packets of random size.
    fn send_bytes(&mut self, from: Side, mut bytes: &[u8]) {
        if let Some(endpoint) = self.endpoints.get_mut(&from) {
            endpoint.unread_by_peer += bytes.len();
        }
        while !bytes.is_empty() {
            let in_one_piece = self.rng.chance(SINGLE_PIECE_PROBABILITY);
            let len =
                if in_one_piece { bytes.len() } else { 1 + self.rng.below(bytes.len() as u64) as usize };
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
        let is_end = matches!(packet, Packet::End | Packet::Reset);
        match packet {
            Packet::Bytes(bytes) if endpoint.is_open => endpoint.inbox.extend(bytes),
            // As in TCP, bytes that arrive at a closed socket are answered with a reset.
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
            self.changed_sides.insert(side);
        }
        if is_end {
            self.on_end_arrived(side);
        }
    }

    fn deliver_connect(&mut self, side: Side, to: SocketAddr) {
        let backlog = self.listeners.get_mut(&to);
        let accepted = backlog.is_some();
        if let Some(backlog) = backlog {
            backlog.waiting.push_back(side.connection);
            let endpoint = Endpoint { is_open: true, connected: Some(true), ..Endpoint::default() };
            self.endpoints.insert(side, endpoint);
            self.changed_sides.insert(side);
        } else {
            let endpoint = Endpoint { connected: Some(false), ..Endpoint::default() };
            self.endpoints.insert(side, endpoint);
        }
        self.send(side, Packet::ConnectAnswer(accepted));
    }

    /// Requests a connection and returns the side that requested it.
    fn open(&mut self, to: SocketAddr, interest: Option<Interest>) -> Side {
        let side = Side { connection: self.next_connection, accepting: false };
        self.next_connection += 1;
        self.endpoints.insert(side, Endpoint { is_open: true, interest, ..Endpoint::default() });
        self.send(side, Packet::Connect(to));
        side
    }

    /// Records that a side has read `len` bytes, which makes room for the writes of the other side.
    fn record_read(&mut self, side: Side, len: usize) {
        if let Some(peer) = self.endpoints.get_mut(&side.peer()) {
            peer.unread_by_peer = peer.unread_by_peer.saturating_sub(len);
        }
    }

    /// Closes one side of a connection. The other side receives the end of the stream, or a reset if `reset`
    /// is true or this side has unread bytes.
    pub fn close(&mut self, side: Side, reset: bool) {
        let Some(endpoint) = self.endpoints.get_mut(&side).filter(|endpoint| endpoint.is_open) else {
            return;
        };
        // As in TCP, closing a socket that has unread bytes resets the connection.
        let reset = reset || !endpoint.inbox.is_empty();
        let already_ended = endpoint.write_shut && !reset;
        endpoint.is_open = false;
        endpoint.interest = None;
        endpoint.inbox.clear();
        if !already_ended && !self.is_noticed_at_once(side) {
            self.send(side, if reset { Packet::Reset } else { Packet::End });
        }
        self.on_side_closed(side);
    }
}

/// Operations of the actors.
impl Network {
    /// Requests a connection of an actor to `to` and returns the actor's side.
    pub fn connect(&mut self, to: SocketAddr) -> Side {
        self.open(to, None)
    }

    /// Starts to listen at `at` for an actor.
    pub fn listen(&mut self, at: SocketAddr) {
        self.listeners.insert(at, Backlog::default());
    }

    /// Accepts all connections that wait at the actor's listener and returns the actor's sides.
    pub fn accept(&mut self, at: SocketAddr) -> Vec<Side> {
        let Some(backlog) = self.listeners.get_mut(&at) else { return Vec::new() };
        backlog.waiting.drain(..).map(Side::accepting).collect()
    }

    /// Returns the actors' sides on which a packet has arrived since the last call.
    pub fn take_changed_sides(&mut self) -> BTreeSet<Side> {
        std::mem::take(&mut self.changed_sides)
    }

    /// Reads all bytes that have arrived at an actor's side; returns `None` if there are none and the
    /// connection was ended, reset or refused.
    pub fn read_all(&mut self, side: Side) -> Option<Vec<u8>> {
        let endpoint = self.endpoints.get_mut(&side)?;
        let bytes: Vec<u8> = endpoint.inbox.drain(..).collect();
        let is_over = endpoint.is_over();
        self.record_read(side, bytes.len());
        if bytes.is_empty() && is_over { None } else { Some(bytes) }
    }

    /// Whether no more bytes can arrive at an actor's side.
    pub fn is_over(&self, side: Side) -> bool {
        self.endpoints.get(&side).is_some_and(Endpoint::is_over)
    }

    /// Sends bytes from an actor's side; unlike the node, an actor may exceed the buffer size.
    pub fn write_all(&mut self, side: Side, bytes: &[u8]) {
        self.send_bytes(side, bytes);
    }

    /// Makes a signal pending for the node; ignored if the node does not watch for it.
    pub fn signal(&mut self, signal: i32) {
        if let Some(key) = self.signal_keys.get(&signal) {
            self.pending_signals.insert(*key, true);
        }
    }

    /// Returns the datagrams that the node has sent since the last call, with their destinations.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.datagrams)
    }

    /// Removes all that belongs to the node's process when it is gone: resets its connections, and drops its
    /// listeners and pending signals.
    pub fn kill_node(&mut self) {
        let of_node = self.endpoints.iter().filter(|(_, endpoint)| endpoint.interest.is_some());
        let open: Vec<Side> = of_node.map(|(side, _)| *side).collect();
        let of_node = self.listeners.values_mut().filter(|backlog| backlog.interest.is_some());
        let unaccepted: Vec<usize> = of_node.flat_map(|backlog| backlog.waiting.drain(..)).collect();
        // The listeners go first, so that no client connects again.
        self.listeners.retain(|_, backlog| backlog.interest.is_none());
        open.into_iter().for_each(|side| self.close(side, true));
        unaccepted.into_iter().for_each(|connection| self.close(Side::accepting(connection), true));
        self.pending_signals.clear();
        self.signal_keys.clear();
    }

    /// Number of connections that the node has open.
    pub fn node_sockets(&self) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.interest.is_some()).count()
    }

    /// Returns the listeners, signals and connections of the node that are ready, as a poller would report
    /// them.
    pub fn ready(&self) -> Vec<Ready> {
        let mut ready = Vec::new();
        for backlog in self.listeners.values() {
            if let Some(interest) = backlog.interest
                && interest.reading
                && !backlog.waiting.is_empty()
            {
                ready.push(Ready { key: interest.key, readable: true, writable: false, failed: false });
            }
        }
        let pending = self.pending_signals.iter().filter(|(_, pending)| **pending);
        ready.extend(pending.map(|(key, _)| Ready {
            key: *key,
            readable: true,
            writable: false,
            failed: false,
        }));
        for endpoint in self.endpoints.values() {
            let Some(Interest { key, reading, writing }) = endpoint.interest else { continue };
            let failed = endpoint.reset || endpoint.connected == Some(false);
            let has_input = !endpoint.inbox.is_empty() || endpoint.ended;
            let has_room = endpoint.connected == Some(true) && endpoint.unread_by_peer < WINDOW_BYTES;
            let readable = failed || reading && has_input;
            let writable = failed || writing && has_room;
            if readable || writable {
                ready.push(Ready { key, readable, writable, failed: endpoint.reset });
            }
        }
        ready
    }
}

/// Operations of the node, which [`crate::system`] calls. Their errors are those of non-blocking sockets.
impl Network {
    pub(crate) fn node_listen(&mut self, at: SocketAddr, key: usize) {
        let interest = Some(ListenerInterest { key, reading: true });
        self.listeners.insert(at, Backlog { interest, waiting: VecDeque::new() });
        self.connect_idle_clients();
    }

    pub(crate) fn node_connect(&mut self, to: SocketAddr, key: usize) -> Side {
        self.open(to, Some(Interest { key, reading: true, writing: true }))
    }

    pub(crate) fn node_accept(&mut self, at: SocketAddr, key: usize) -> io::Result<Side> {
        self.count_accept()?;
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

    /// Ends the stream from this side to the other one; this side can still read.
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
        self.record_read(side, len);
        self.count_read(len);
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

    /// Clears the pending signal of this key, and returns whether there was one.
    pub(crate) fn take_signal(&mut self, key: usize) -> bool {
        self.pending_signals.insert(key, false) == Some(true)
    }
}
