//! A network and a clock that exist only here: connections as two buffers with delays, under the node's seam.
//!
//! Bytes arrive in order on each connection, in pieces of any size, after a delay drawn from the seed. Nothing
//! happens between two events; a node that is not woken does nothing.

use gaugestand_admission::log_record::RecoveredLog;
use gaugestand_admission::time::Micros;
use gaugestand_admission::time::Moment;
use gaugestand_idempotency::OpenError;
use gaugestand_idempotency::row::{Batch, Outcome, Recovery};
use gaugestand_idempotency::sqlite::Options;
use gaugestand_node::io::{Claim, Datagram, Kin, Listener, Passed, Ready, Stream, System, Worker};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// Unix time at which every world begins.
const EPOCH: Micros = Micros::millis(1_764_576_000_000);
/// Where the monotonic clock begins.
const START: Micros = Micros::millis(3_600_000);
/// Most bytes on their way and unread in one direction.
const WINDOW: usize = 256 * 1024;

/// Random numbers: PCG XSL 128/64 (MCG), by O'Neill.
#[derive(Debug)]
pub struct Dice(Pcg64Mcg);

impl Dice {
    /// Dice of this seed; `stream` tells apart those of one world.
    pub fn new(seed: u64, stream: u64) -> Self {
        Dice(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream))
    }

    /// A number below `n`; 0 if that is 0. The bias is under `n` in 2^64.
    pub fn below(&mut self, n: u64) -> u64 {
        ((u128::from(self.0.next_u64()) * u128::from(n)) >> 64) as u64
    }

    /// A number from 0 to under 1.
    pub fn share(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// True with this chance.
    pub fn chance(&mut self, p: f64) -> bool {
        self.share() < p
    }

    /// A length of time with this mean, exponentially distributed.
    pub fn span(&mut self, mean: Micros) -> Micros {
        Micros((-(1.0 - self.share()).ln() * mean.0 as f64) as u64)
    }
}

/// What is under way on the network.
#[derive(Debug)]
enum Packet {
    Bytes(Vec<u8>),
    End,
    Reset,
    /// A connection reaches the other side, or is refused there.
    Open(SocketAddr),
    /// The word of that comes back.
    Made(bool),
}

/// One side of a connection.
#[derive(Debug, Default)]
struct End {
    inbox: VecDeque<u8>,
    ended: bool,
    reset: bool,
    /// Still held by its owner.
    held: bool,
    /// Its owner has ended the stream to the other side.
    shut: bool,
    made: Option<bool>,
    /// Of a node: its key and what it is watched for.
    node: Option<(usize, bool, bool)>,
    /// Bytes to the other side that it has not taken out.
    out: usize,
    /// When the last packet to the other side arrives: the next is not earlier.
    last: Micros,
}

/// A connection, by its two sides: who began it, and who took it.
pub type Side = (usize, bool);

/// A listener of an actor (`None`) or of the node (its key and whether it is watched), with what waits.
type Listening = (Option<(usize, bool)>, VecDeque<usize>);

/// The network.
#[derive(Debug)]
pub struct Net {
    now: Micros,
    /// The wall clock is off by this, in microseconds.
    step: i64,
    dice: Dice,
    ends: BTreeMap<Side, End>,
    next: usize,
    under_way: BTreeMap<(Micros, u64), (Side, Packet)>,
    serial: u64,
    listeners: BTreeMap<SocketAddr, Listening>,
    datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Sides of actors with something new.
    news: BTreeSet<Side>,
    signals: BTreeMap<usize, bool>,
    by_signal: BTreeMap<i32, usize>,
    /// Of all that the node has sent.
    digest: blake3::Hasher,
}

impl Net {
    /// A network of this seed.
    pub fn new(seed: u64) -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Net {
            now: START,
            step: 0,
            dice: Dice::new(seed, 1),
            ends: BTreeMap::new(),
            next: 0,
            under_way: BTreeMap::new(),
            serial: 0,
            listeners: BTreeMap::new(),
            datagrams: Vec::new(),
            news: BTreeSet::new(),
            signals: BTreeMap::new(),
            by_signal: BTreeMap::new(),
            digest: blake3::Hasher::new(),
        }))
    }

    /// The time on both clocks.
    pub fn moment(&self) -> Moment {
        let wall = EPOCH.plus(self.now.since(START)).0.saturating_add_signed(self.step);
        Moment { mono: self.now, wall: Micros(wall) }
    }

    /// What the node has sent so far, in short.
    pub fn digest(&self) -> String {
        self.digest.finalize().to_hex()[..16].to_string()
    }

    /// When the next packet arrives.
    pub fn next(&self) -> Option<Micros> {
        self.under_way.first_key_value().map(|((t, _), _)| *t)
    }

    fn send(&mut self, from: Side, packet: Packet) {
        let delay = Micros(20 + self.dice.span(Micros(80)).0.min(2_000));
        let Some(end) = self.ends.get_mut(&from) else { return };
        let at = self.now.plus(delay).max(end.last);
        end.last = at;
        self.serial += 1;
        self.under_way.insert((at, self.serial), ((from.0, !from.1), packet));
    }

    /// Sends bytes in pieces of any size.
    fn send_bytes(&mut self, from: Side, mut bytes: &[u8]) {
        if let Some(end) = self.ends.get_mut(&from) {
            end.out += bytes.len();
        }
        while !bytes.is_empty() {
            let whole = self.dice.chance(0.9);
            let n = if whole { bytes.len() } else { 1 + self.dice.below(bytes.len() as u64) as usize };
            let (piece, rest) = bytes.split_at(n.min(bytes.len()));
            self.send(from, Packet::Bytes(piece.to_vec()));
            bytes = rest;
        }
    }

    /// Moves the clock to `to` and delivers what arrives by then.
    pub fn advance(&mut self, to: Micros) {
        while let Some(entry) = self.under_way.first_entry().filter(|e| e.key().0 <= to) {
            let ((at, _), (side, packet)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.deliver(side, packet);
        }
        self.now = self.now.max(to);
    }

    fn deliver(&mut self, side: Side, packet: Packet) {
        if let Packet::Open(to) = packet {
            let listening = self.listeners.get_mut(&to);
            let taken = listening.is_some();
            if let Some((_, waiting)) = listening {
                waiting.push_back(side.0);
                self.ends.insert(side, End { held: true, made: Some(true), ..End::default() });
                self.news.insert(side);
            } else {
                self.ends.insert(side, End { made: Some(false), ..End::default() });
            }
            return self.send(side, Packet::Made(taken));
        }
        let Some(end) = self.ends.get_mut(&side) else { return };
        match packet {
            Packet::Bytes(bytes) if end.held => end.inbox.extend(bytes),
            // What comes for a side that was let go of is answered with a reset.
            Packet::Bytes(_) => return self.send(side, Packet::Reset),
            Packet::End => end.ended = true,
            Packet::Reset => {
                end.reset = true;
                end.inbox.clear();
            }
            Packet::Made(made) => end.made = Some(made),
            Packet::Open(_) => {}
        }
        if end.node.is_none() {
            self.news.insert(side);
        }
    }

    fn open(&mut self, to: SocketAddr, node: Option<(usize, bool, bool)>) -> Side {
        let side = (self.next, false);
        self.next += 1;
        self.ends.insert(side, End { held: true, node, ..End::default() });
        self.send(side, Packet::Open(to));
        side
    }

    /// An actor connects.
    pub fn connect(&mut self, to: SocketAddr) -> Side {
        self.open(to, None)
    }

    /// An actor listens.
    pub fn listen(&mut self, at: SocketAddr) {
        self.listeners.insert(at, (None, VecDeque::new()));
    }

    /// An actor takes the connections that wait.
    pub fn accept(&mut self, at: SocketAddr) -> Vec<Side> {
        let Some((_, waiting)) = self.listeners.get_mut(&at) else { return Vec::new() };
        waiting.drain(..).map(|n| (n, true)).collect()
    }

    /// An actor's sides with something new since the last time.
    pub fn news(&mut self) -> BTreeSet<Side> {
        std::mem::take(&mut self.news)
    }

    /// An actor reads all that there is; `None` after the end.
    pub fn take(&mut self, side: Side) -> Option<Vec<u8>> {
        let end = self.ends.get_mut(&side)?;
        let bytes: Vec<u8> = end.inbox.drain(..).collect();
        let over = end.ended || end.reset || end.made == Some(false);
        self.taken(side, bytes.len());
        if bytes.is_empty() && over { None } else { Some(bytes) }
    }

    fn taken(&mut self, side: Side, n: usize) {
        if let Some(other) = self.ends.get_mut(&(side.0, !side.1)) {
            other.out = other.out.saturating_sub(n);
        }
    }

    /// An actor sends.
    pub fn say(&mut self, side: Side, bytes: &[u8]) {
        self.send_bytes(side, bytes);
    }

    /// A side is let go of: the other sees an end, or a reset.
    pub fn close(&mut self, side: Side, reset: bool) {
        let Some(end) = self.ends.get_mut(&side).filter(|e| e.held) else { return };
        // Whoever lets go of what is unread resets.
        let reset = reset || !end.inbox.is_empty();
        let told = end.shut && !reset;
        (end.held, end.node) = (false, None);
        end.inbox.clear();
        if !told {
            self.send(side, if reset { Packet::Reset } else { Packet::End });
        }
    }

    /// A side ends the stream to the other one, and still reads.
    fn shut_writing(&mut self, side: Side) {
        if let Some(end) = self.ends.get_mut(&side).filter(|e| e.held && !e.shut) {
            end.shut = true;
            self.send(side, Packet::End);
        }
    }

    /// The node's process is gone: all that it held ends.
    pub fn kill_node(&mut self) {
        let held: Vec<Side> = self.ends.iter().filter(|(_, e)| e.node.is_some()).map(|(s, _)| *s).collect();
        held.into_iter().for_each(|side| self.close(side, true));
        let unaccepted: Vec<usize> =
            self.listeners.values_mut().filter(|l| l.0.is_some()).flat_map(|l| l.1.drain(..)).collect();
        unaccepted.into_iter().for_each(|n| self.close((n, true), true));
        self.listeners.retain(|_, l| l.0.is_none());
        self.signals.clear();
        self.by_signal.clear();
    }

    /// Connections that the node holds.
    pub fn node_sockets(&self) -> usize {
        self.ends.values().filter(|e| e.node.is_some()).count()
    }

    /// A signal for the node.
    pub fn signal(&mut self, signal: i32) {
        if let Some(key) = self.by_signal.get(&signal) {
            self.signals.insert(*key, true);
        }
    }

    /// Sets the wall clock forward or back by so many microseconds.
    pub fn step_clock(&mut self, by: i64) {
        self.step += by;
    }

    /// Reports that were sent, and to whom.
    pub fn datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.datagrams)
    }

    /// What the node's poller would tell.
    pub fn ready(&self) -> Vec<Ready> {
        let mut ready = Vec::new();
        for (key, waiting) in self.listeners.values().filter_map(|(l, w)| l.map(|l| (l, w))) {
            if key.1 && !waiting.is_empty() {
                ready.push(Ready { key: key.0, readable: true, writable: false });
            }
        }
        let told = self.signals.iter().filter(|(_, told)| **told);
        ready.extend(told.map(|(key, _)| Ready { key: *key, readable: true, writable: false }));
        for end in self.ends.values() {
            let Some((key, reading, writing)) = end.node else { continue };
            let failed = end.reset || end.made == Some(false);
            let readable = failed || reading && (!end.inbox.is_empty() || end.ended);
            let writable = failed || writing && end.made == Some(true) && end.out < WINDOW;
            if readable || writable {
                ready.push(Ready { key, readable, writable });
            }
        }
        ready
    }
}

/// The system of a node in this world.
#[derive(Clone, Debug)]
pub struct Virtual(pub Rc<RefCell<Net>>);

impl System for Virtual {
    type Stream = Pipe;
    type Listener = Door;
    type Datagram = Reports;
    type Signals = Told;
    type Worker = NoStore;
    type Kin = Nobody;
    type Door = Nobody;
    type Claim = Nobody;

    fn moment(&self) -> Moment {
        self.0.borrow().moment()
    }

    fn listen(&self, at: SocketAddr, key: usize) -> io::Result<Door> {
        self.0.borrow_mut().listeners.insert(at, (Some((key, true)), VecDeque::new()));
        Ok(Door { net: self.0.clone(), at })
    }

    fn connect(&self, to: SocketAddr, key: usize) -> io::Result<Pipe> {
        let side = self.0.borrow_mut().open(to, Some((key, true, true)));
        Ok(Pipe { net: self.0.clone(), side })
    }

    fn datagram(&self, to: SocketAddr) -> io::Result<Reports> {
        Ok(Reports { net: self.0.clone(), to })
    }

    fn signals(&self, key: usize, signals: &[i32]) -> io::Result<Told> {
        let mut net = self.0.borrow_mut();
        net.signals.insert(key, false);
        net.by_signal.extend(signals.iter().map(|s| (*s, key)));
        Ok(Told { net: self.0.clone(), key })
    }

    fn store(&self, path: &Path, _: &Options, _: usize, _: usize) -> Result<(NoStore, Recovery), OpenError> {
        Err(OpenError::NoDisk(path.to_path_buf()))
    }

    fn consensus_log(&self, path: &Path, _: &str, _: usize) -> Result<(NoStore, RecoveredLog), OpenError> {
        Err(OpenError::NoDisk(path.to_path_buf()))
    }

    fn door(&self, _: &Path, _: usize) -> io::Result<Nobody> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn kin(&self, _: &Path, _: usize) -> io::Result<Nobody> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn claim(&self, _: &Path) -> io::Result<Option<Nobody>> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn align(&self, _: Moment) {}

    fn wait(&self, _: Micros, ready: &mut Vec<Ready>) -> io::Result<()> {
        *ready = self.0.borrow().ready();
        Ok(())
    }
}

/// Another process of the node: there is none in this world yet.
#[derive(Debug)]
pub enum Nobody {}

impl Kin for Nobody {
    type Stream = Pipe;
    type Listener = Door;

    fn send(&mut self, _: &[u8], _: Passed<'_, Pipe, Door>) -> io::Result<usize> {
        match *self {}
    }

    fn receive(&mut self, _: &mut [u8]) -> io::Result<usize> {
        match *self {}
    }

    fn take_stream(&mut self, _: usize) -> io::Result<Pipe> {
        match *self {}
    }

    fn take_listener(&mut self, _: usize) -> io::Result<Door> {
        match *self {}
    }

    fn watch(&mut self, _: bool, _: bool) -> io::Result<()> {
        match *self {}
    }
}

impl Claim for Nobody {
    fn marks(&self) -> io::Result<u64> {
        match *self {}
    }

    fn mark(&self) -> io::Result<()> {
        match *self {}
    }
}

impl Listener for Nobody {
    type Stream = Nobody;

    fn accept(&self, _: usize) -> io::Result<Nobody> {
        match *self {}
    }

    fn watch(&mut self, _: bool) -> io::Result<()> {
        match *self {}
    }

    fn address(&self) -> Option<SocketAddr> {
        match *self {}
    }
}

/// The node's side of a connection.
#[derive(Debug)]
pub struct Pipe {
    net: Rc<RefCell<Net>>,
    side: Side,
}

impl Stream for Pipe {
    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()> {
        if let Some((_, r, w)) = self.net.borrow_mut().ends.get_mut(&self.side).and_then(|e| e.node.as_mut())
        {
            (*r, *w) = (reading, writing);
        }
        Ok(())
    }

    fn is_made(&self) -> bool {
        self.net.borrow().ends.get(&self.side).is_some_and(|e| e.made == Some(true) && !e.reset)
    }

    fn has_unread(&self) -> bool {
        self.net.borrow().ends.get(&self.side).is_some_and(|e| !e.inbox.is_empty())
    }

    fn shut_writing(&mut self) -> io::Result<()> {
        self.net.borrow_mut().shut_writing(self.side);
        Ok(())
    }
}

impl Read for Pipe {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let mut net = self.net.borrow_mut();
        let Some(end) = net.ends.get_mut(&self.side) else { return Err(io::ErrorKind::NotConnected.into()) };
        if end.reset {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if end.inbox.is_empty() {
            return if end.ended { Ok(0) } else { Err(io::ErrorKind::WouldBlock.into()) };
        }
        let n = end.inbox.read(buf)?;
        net.taken(self.side, n);
        Ok(n)
    }
}

impl Write for Pipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut net = self.net.borrow_mut();
        let Some(end) = net.ends.get(&self.side) else { return Err(io::ErrorKind::NotConnected.into()) };
        if end.reset {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let n = buf.len().min(WINDOW.saturating_sub(end.out));
        if n == 0 && !buf.is_empty() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let now = net.now.0;
        net.digest.update(&now.to_be_bytes()).update(&buf[..n]);
        net.send_bytes(self.side, &buf[..n]);
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        self.net.borrow_mut().close(self.side, false);
    }
}

/// The node's listener.
#[derive(Debug)]
pub struct Door {
    net: Rc<RefCell<Net>>,
    at: SocketAddr,
}

impl Listener for Door {
    type Stream = Pipe;

    fn accept(&self, key: usize) -> io::Result<Pipe> {
        let mut net = self.net.borrow_mut();
        let waiting = net.listeners.get_mut(&self.at).and_then(|l| l.1.pop_front());
        let Some(n) = waiting else { return Err(io::ErrorKind::WouldBlock.into()) };
        let side = (n, true);
        if let Some(end) = net.ends.get_mut(&side) {
            end.node = Some((key, true, false));
        }
        drop(net);
        Ok(Pipe { net: self.net.clone(), side })
    }

    fn watch(&mut self, reading: bool) -> io::Result<()> {
        if let Some((Some(node), _)) = self.net.borrow_mut().listeners.get_mut(&self.at) {
            node.1 = reading;
        }
        Ok(())
    }

    fn address(&self) -> Option<SocketAddr> {
        Some(self.at)
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        let mut net = self.net.borrow_mut();
        let waiting = net.listeners.remove(&self.at).map(|l| l.1).unwrap_or_default();
        waiting.into_iter().for_each(|n| net.close((n, true), true));
    }
}

/// The node's socket for reports.
#[derive(Debug)]
pub struct Reports {
    net: Rc<RefCell<Net>>,
    to: SocketAddr,
}

impl Datagram for Reports {
    fn send(&self, bytes: &[u8]) -> io::Result<()> {
        self.net.borrow_mut().datagrams.push((self.to, bytes.to_vec()));
        Ok(())
    }
}

/// What tells the node of a signal.
#[derive(Debug)]
pub struct Told {
    net: Rc<RefCell<Net>>,
    key: usize,
}

impl Read for Told {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        match self.net.borrow_mut().signals.insert(self.key, false) {
            Some(true) => Ok(1),
            _ => Err(io::ErrorKind::WouldBlock.into()),
        }
    }
}

/// There is no disk in this world yet: no store is ever opened, so none of this is ever called.
#[derive(Debug)]
pub struct NoStore;

impl Worker for NoStore {
    fn submit(&mut self, batch: Batch) -> Result<(), Batch> {
        Err(batch)
    }

    fn outcome(&mut self) -> Option<(u64, Outcome)> {
        None
    }

    fn is_dead(&self) -> bool {
        true
    }

    fn woken(&mut self) {}
}
