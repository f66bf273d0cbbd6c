//! The listener and the table of connections: descriptor budget, reading, writing, idle closing.

use super::answer::Outbox;
use super::counters::Counters;
use super::fastcgi::{self, status};
use super::io::{Listener, Stream, System};
use super::request::Incoming;
use gaugestand_core::RequestId;
use gaugestand_core::facade::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// Descriptors that the node needs besides connections: standard streams, poller, listener, kernel, members,
/// signals, and some to spare.
const OWN: usize = 20;
/// Most bytes read from one connection in one go, so that none keeps the others waiting.
const CHUNK: usize = 16 * 1024;
/// Room for that behind part of a record.
const BUFFER: usize = CHUNK + fastcgi::LONGEST;
/// Most bytes that wait to be read by the other side: all answers that a connection can have open.
const MOST_OUT: usize = 192 * 1024;
/// A connection whose other side does not read what waits for this long is cut off.
const STALLED: Micros = Micros::millis(10_000);
/// What has been begun (a connection, a record, a request) and is not whole by then is ended: whoever sends
/// such is owed an end within 3 s.
const UNFINISHED: Micros = Micros::millis(1_500);
/// So many bad requests end a connection on which nothing was ever served. One that was is a gateway's, and may
/// have other requests on their way.
const MOST_FAULTS: u32 = 4;
/// It is closed after this long, in which nothing more is read of it. Guards against clients that send the same
/// again at once, here or on a new connection: answering each would take the time of the gateways.
const LINGER: Micros = Micros::millis(250);
/// A connection that has asked for nothing may be as old as this before it has to make room for others.
const NEW: Micros = Micros::millis(100);
/// Most connections that are looked at to find one that can make room.
const MOST_LOOKS: usize = 8;
/// Most bytes of records that belong to no open request, between two whole ones: more come from a client that
/// does not heed the end of its request.
const MOST_STRAY: usize = 64 * 1024;
/// Most open requests on a connection, as gateways are told.
pub const MOST_OPEN: usize = 32;
/// Time between two looks for idle and stalled connections.
const LOOK: Micros = Micros::millis(50);

/// An open request of a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Open {
    /// Its records come in, since then.
    Incoming(Box<Incoming>, bool, Micros),
    /// Read; the answer is owed.
    Owed(RequestId, bool),
    /// A health check that waits for the kernel.
    Check(bool),
}

impl Open {
    /// Whether the connection stays after this request.
    pub fn keeps(&self) -> bool {
        match self {
            Open::Incoming(_, keeps, _) | Open::Owed(_, keeps) | Open::Check(keeps) => *keeps,
        }
    }
}

/// A buffer for [`Conn::read`].
pub fn buffer() -> Vec<u8> {
    vec![0; BUFFER]
}

/// One connection of a gateway.
#[derive(Debug)]
pub struct Conn<T> {
    stream: T,
    input: Vec<u8>,
    /// What waits to be written.
    pub output: Outbox,
    /// Its open requests, by FastCGI id.
    pub open: BTreeMap<u16, Open>,
    /// When it was accepted, and when anything was last read or written.
    since: Micros,
    used: Micros,
    /// Since when the other side has taken nothing of what waits to be written; counts from the first attempt.
    stuck: Option<Micros>,
    /// Since when its input ends in part of a record.
    partial: Option<Micros>,
    /// A whole request that could be read has come on it.
    asked: bool,
    /// Bad requests, and whether any request was served.
    faults: u32,
    served: bool,
    /// Bytes of records that belong to no open request, since the last whole request.
    stray: usize,
    /// It is closed then, once all is written.
    linger: Option<Micros>,
    /// Nothing more is read: the other side has ended, or the framing is lost.
    deaf: bool,
    /// To be closed once all is written.
    pub last: bool,
    /// Told apart from another one in the same place.
    serial: u64,
}

/// Names a connection; a later one in the same place has another name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConnId {
    place: usize,
    serial: u64,
}

impl ConnId {
    /// A connection that is gone.
    pub const NOWHERE: ConnId = ConnId { place: usize::MAX, serial: 0 };
}

/// All of a connection but its socket, for another process to go on with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Carried {
    /// Its name in the process that had it.
    pub id: ConnId,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Its open requests.
    pub open: BTreeMap<u16, Open>,
    since: Micros,
    used: Micros,
    stuck: Option<Micros>,
    partial: Option<Micros>,
    asked: bool,
    faults: u32,
    served: bool,
    stray: usize,
    linger: Option<Micros>,
    deaf: bool,
    last: bool,
}

/// The listener and its connections.
#[derive(Debug)]
pub struct Table<S: System> {
    listener: Option<S::Listener>,
    /// Nothing is accepted or read.
    stopped: bool,
    /// Descriptors that another process of this node needs for now.
    lent: usize,
    /// Poller key of the first place.
    first_key: usize,
    conns: Vec<Option<Conn<S::Stream>>>,
    free: Vec<usize>,
    serial: u64,
    most: usize,
    idle: Option<Micros>,
    /// Connections with something to write or to settle this turn.
    touched: Vec<ConnId>,
    next_look: Micros,
}

/// What a look at all connections has found.
#[derive(Debug, Default)]
pub struct Look {
    /// Requests that were owed an answer on connections that are gone.
    pub gone: Vec<RequestId>,
    /// Requests of which the rest does not come.
    pub unfinished: Vec<(ConnId, u16)>,
}

impl<S: System> Table<S> {
    /// A table that does not listen yet, within this many descriptors besides those of the store's connections.
    pub fn new(first_key: usize, sockets: usize) -> Self {
        Table {
            listener: None,
            stopped: false,
            lent: 0,
            first_key,
            conns: Vec::new(),
            free: Vec::new(),
            serial: 0,
            most: sockets.saturating_sub(OWN).max(1),
            idle: None,
            touched: Vec::new(),
            next_look: Micros(0),
        }
    }

    /// Takes connections from this listener from now on.
    pub fn listen(&mut self, listener: S::Listener) {
        self.listener = Some(listener);
        self.listen_for(true);
    }

    /// The listener, to be passed on.
    pub fn listener(&self) -> Option<&S::Listener> {
        self.listener.as_ref()
    }

    /// Does without so many of its descriptors from now on, or without half of them.
    pub fn lend(&mut self, descriptors: usize) {
        self.lent = descriptors.min(self.most / 2);
    }

    /// Accepts and reads nothing until told to go on.
    pub fn stop(&mut self, stopped: bool) {
        self.stopped = stopped;
        self.listen_for(!stopped);
        for conn in self.conns.iter_mut().flatten() {
            // One that cannot be watched any more shows as broken when it is written to.
            let _ = conn.stream.watch(!stopped && !conn.deaf, !stopped && !conn.output.is_empty());
        }
    }

    /// All connections, for another process to go on with.
    pub fn carry(&self) -> Vec<Carried> {
        let conns = self.conns.iter().enumerate().filter_map(|(place, c)| c.as_ref().map(|c| (place, c)));
        conns.map(|(place, c)| c.carry(ConnId { place, serial: c.serial })).collect()
    }

    /// The socket of a connection, to be passed on.
    pub fn stream(&self, id: ConnId) -> Option<&S::Stream> {
        self.conns.get(id.place)?.as_ref().filter(|c| c.serial == id.serial).map(|c| &c.stream)
    }

    /// Where the next connection is watched.
    pub fn next_key(&self) -> usize {
        self.first_key + self.free.last().copied().unwrap_or(self.conns.len())
    }

    /// Goes on with a connection of another process; it is watched under [`Table::next_key`].
    pub fn resume(&mut self, stream: S::Stream, c: Carried) -> ConnId {
        let place = self.free.last().copied().unwrap_or(self.conns.len());
        self.add(c.since, place, stream);
        let id = ConnId { place, serial: self.serial };
        if let Some(conn) = self.get(id) {
            conn.output.push(c.output);
            conn.deaf = c.deaf;
            (conn.input, conn.open, conn.used, conn.partial) = (c.input, c.open, c.used, c.partial);
            (conn.asked, conn.faults, conn.served, conn.stray) = (c.asked, c.faults, c.served, c.stray);
            (conn.linger, conn.last, conn.stuck) = (c.linger, c.last, c.stuck);
            // Nothing is taken from it before the table is told to go on.
            let _ = conn.stream.watch(false, false);
        }
        // What is to be closed is found with the first flush.
        self.touch(id);
        id
    }

    /// Lets go of all connections and of the listener.
    pub fn retire(&mut self) {
        self.listener = None;
        self.conns.clear();
        self.free.clear();
        self.touched.clear();
    }

    /// The address it listens at.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.address())
    }

    /// Stops listening.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// How long a connection may be idle, once that is set.
    pub fn idle(&self) -> Option<Micros> {
        self.idle
    }

    /// Health checks that wait.
    pub fn checks(&self) -> Vec<(ConnId, u16)> {
        let conns = self.conns.iter().enumerate().filter_map(|(place, c)| c.as_ref().map(|c| (place, c)));
        conns
            .flat_map(|(place, c)| {
                let id = ConnId { place, serial: c.serial };
                let checks = c.open.iter().filter(|(_, open)| matches!(open, Open::Check(_)));
                checks.map(move |(fcgi, _)| (id, *fcgi))
            })
            .collect()
    }

    /// Sets how long a connection may be idle.
    pub fn set_idle(&mut self, idle: Micros) {
        self.idle = Some(idle);
    }

    fn open_count(&self) -> usize {
        self.conns.len() - self.free.len()
    }

    /// Accepts what waits; at the end of the budget the longest idle connection makes room.
    pub fn accept(&mut self, now: Micros, counters: &mut Counters) {
        loop {
            if self.open_count() >= self.most.saturating_sub(self.lent).max(1)
                && !self.close_longest_idle(now, counters)
            {
                // Guards against closing a connection that may carry a request already: it waits unaccepted.
                counters.accept_pauses += 1;
                return self.listen_for(false);
            }
            let Some(listener) = &self.listener else { return };
            let place = self.free.last().copied().unwrap_or(self.conns.len());
            match listener.accept(self.first_key + place) {
                Ok(stream) => {
                    self.add(now, place, stream);
                    counters.connections_accepted += 1;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // Guards against turning without end while the system is out of descriptors or memory.
                Err(_) => {
                    counters.accept_pauses += 1;
                    return self.listen_for(false);
                }
            }
        }
    }

    fn listen_for(&mut self, connections: bool) {
        let connections = connections && !self.stopped;
        if let Some(listener) = &mut self.listener {
            // If it cannot be changed the poller goes on as it was, and the next look tries again.
            let _ = listener.watch(connections);
        }
    }

    fn add(&mut self, now: Micros, place: usize, stream: S::Stream) {
        self.serial += 1;
        let conn = Conn {
            stream,
            input: Vec::new(),
            output: Outbox::default(),
            open: BTreeMap::new(),
            since: now,
            used: now,
            stuck: None,
            partial: None,
            asked: false,
            faults: 0,
            served: false,
            stray: 0,
            linger: None,
            deaf: false,
            last: false,
            serial: self.serial,
        };
        if self.free.pop().is_some() {
            self.conns[place] = Some(conn);
        } else {
            self.conns.push(Some(conn));
        }
    }

    /// The connection that a poller key stands for.
    pub fn at_key(&self, key: usize) -> Option<ConnId> {
        let place = key.checked_sub(self.first_key)?;
        let serial = self.conns.get(place)?.as_ref()?.serial;
        Some(ConnId { place, serial })
    }

    /// A connection that is still there.
    pub fn get(&mut self, id: ConnId) -> Option<&mut Conn<S::Stream>> {
        self.conns.get_mut(id.place)?.as_mut().filter(|c| c.serial == id.serial)
    }

    /// Marks a connection as having something to write or to settle this turn.
    pub fn touch(&mut self, id: ConnId) {
        if !self.touched.contains(&id) {
            self.touched.push(id);
        }
    }

    /// Closes a connection; returns the requests that were owed an answer on it.
    pub fn close(&mut self, id: ConnId) -> Vec<RequestId> {
        if self.get(id).is_none() {
            return Vec::new();
        }
        let conn = self.conns[id.place].take();
        self.free.push(id.place);
        let open = conn.into_iter().flat_map(|c| c.open.into_values());
        open.filter_map(|o| if let Open::Owed(id, _) = o { Some(id) } else { None }).collect()
    }

    fn close_longest_idle(&mut self, now: Micros, counters: &mut Counters) -> bool {
        // Of those accepted at the same time the oldest goes: never the one that has just come. The ones that are
        // to end anyway go first, then those that have asked for nothing: gateways connect when they have
        // something to send.
        let order = |c: &Conn<S::Stream>| match (c.deaf, c.asked || now.since(c.since) < NEW) {
            (true, _) => 0,
            (false, false) => 1,
            (false, true) => 2,
        };
        (0..MOST_LOOKS).any(|_| {
            let idle =
                self.idle_conns().min_by_key(|(id, c)| (order(c), c.used, id.serial)).map(|(id, _)| id);
            idle.is_some_and(|id| self.close_idle_one(now, id, counters))
        })
    }

    fn idle_conns(&self) -> impl Iterator<Item = (ConnId, &Conn<S::Stream>)> + '_ {
        let conns = self.conns.iter().enumerate();
        conns
            .filter_map(|(place, c)| c.as_ref().map(|c| (place, c)))
            .filter(|(_, c)| c.is_idle())
            .map(|(place, c)| (ConnId { place, serial: c.serial }, c))
    }

    /// Closes a connection with nothing under way, unless something came on it just now.
    fn close_idle_one(&mut self, now: Micros, id: ConnId, counters: &mut Counters) -> bool {
        // Guards against closing on a request that has been written but not read: it would be lost.
        let Some(conn) = self.get(id) else { return false };
        if !conn.deaf && conn.has_unread() {
            conn.used = now;
            return false;
        }
        self.close(id);
        counters.connections_idle_closed += 1;
        true
    }

    /// Closes what was idle for too long, cuts off what does not read, and ends what was only begun.
    pub fn tick(&mut self, now: Micros, counters: &mut Counters) -> Look {
        let mut look = Look::default();
        if now < self.next_look {
            return look;
        }
        self.next_look = now.plus(LOOK);
        self.listen_for(true);
        if let Some(idle) = self.idle {
            let old: Vec<ConnId> =
                self.idle_conns().filter(|(_, c)| now.since(c.used) >= idle).map(|c| c.0).collect();
            for id in old {
                self.close_idle_one(now, id, counters);
            }
        }
        let (mut cut, mut over) = (Vec::new(), Vec::new());
        for (place, conn) in self.conns.iter_mut().enumerate() {
            let Some(conn) = conn else { continue };
            let id = ConnId { place, serial: conn.serial };
            look.unfinished.extend(conn.unfinished(now).map(|fcgi| (id, fcgi)));
            if conn.is_stalled(now) {
                cut.push(id);
            } else if conn.is_silent(now) {
                over.push(id);
            } else if conn.linger.is_some_and(|end| now >= end) {
                // What is owed on it is still answered, and ends it.
                conn.linger = None;
                if conn.is_over() && conn.output.is_empty() {
                    over.push(id);
                }
            } else if conn.partial.is_some_and(|since| now.since(since) >= UNFINISHED) {
                // The rest of the record does not come; what is owed is still answered.
                counters.framing_lost += 1;
                if conn.stop_reading().is_err() || conn.open.is_empty() {
                    over.push(id);
                }
            }
        }
        counters.connections_cut += cut.len() as u64;
        counters.connections_ended += over.len() as u64;
        look.gone = cut.into_iter().chain(over).flat_map(|id| self.close(id)).collect();
        look
    }

    /// Counts a bad request on a connection, and ends the connection if there were too many.
    pub fn fault(&mut self, now: Micros, id: ConnId, all: bool) {
        let Some(conn) = self.get(id) else { return };
        conn.faults += 1;
        if (all || !conn.served && conn.faults >= MOST_FAULTS) && conn.linger.is_none() {
            conn.linger = Some(now.plus(LINGER));
            // If the poller cannot be told so, what comes is read and dropped until the end.
            let _ = conn.stop_reading();
        }
    }

    /// Writes what the turn has queued, and closes what is done; returns requests owed on what broke.
    pub fn flush(&mut self, now: Micros, counters: &mut Counters) -> Vec<RequestId> {
        let mut gone = Vec::new();
        for id in std::mem::take(&mut self.touched) {
            let Some(conn) = self.get(id) else { continue };
            let written = conn.write(now);
            let cut = conn.output.len() > MOST_OUT;
            let done = conn.output.is_empty() && (conn.last || conn.is_over());
            counters.connections_cut += u64::from(cut);
            if written.is_err() || cut || done {
                gone.extend(self.close(id));
            }
        }
        gone
    }

    /// Whether anything is still to be written.
    pub fn is_writing(&self) -> bool {
        self.conns.iter().flatten().any(|c| !c.output.is_empty())
    }
}

impl<T: Stream> Conn<T> {
    fn carry(&self, id: ConnId) -> Carried {
        Carried {
            id,
            input: self.input.clone(),
            output: self.output.bytes(),
            open: self.open.clone(),
            since: self.since,
            used: self.used,
            stuck: self.stuck,
            partial: self.partial,
            asked: self.asked,
            faults: self.faults,
            served: self.served,
            stray: self.stray,
            linger: self.linger,
            deaf: self.deaf,
            last: self.last,
        }
    }

    /// Opens a request, or ends it at once where that cannot be done: it never ran.
    pub fn begin(&mut self, now: Micros, id: u16, content: &[u8]) {
        let opened = match fastcgi::begin(content) {
            Some((fastcgi::RESPONDER, _)) if self.open.len() >= MOST_OPEN => Err(status::OVERLOADED),
            Some((fastcgi::RESPONDER, flags)) => Ok(flags & fastcgi::KEEP_CONN != 0),
            _ => Err(status::UNKNOWN_ROLE),
        };
        match opened {
            Ok(keeps) => drop(self.open.insert(id, Open::Incoming(Box::default(), keeps, now))),
            Err(status) => self.output.push(fastcgi::end_request(id, 0, status)),
        }
    }

    /// Whether nothing more is read of it.
    pub fn is_deaf(&self) -> bool {
        self.deaf
    }

    /// Takes note of a whole request that could be read.
    pub fn note_asked(&mut self) {
        (self.asked, self.stray) = (true, 0);
    }

    /// Takes note of a request that is served.
    pub fn note_served(&mut self) {
        self.served = true;
    }

    /// Takes note of a record that belongs to no open request; false if there were too many.
    pub fn note_stray(&mut self, bytes: usize) -> bool {
        self.stray += bytes;
        self.stray <= MOST_STRAY
    }

    /// Nothing is read of it, nothing is open, and it does not linger.
    fn is_over(&self) -> bool {
        self.deaf && self.open.is_empty() && self.linger.is_none()
    }

    /// Nothing has been asked on it, and nothing is on its way.
    fn is_silent(&self, now: Micros) -> bool {
        !self.asked && self.is_idle() && now.since(self.since) >= UNFINISHED && !self.has_unread()
    }

    fn is_stalled(&self, now: Micros) -> bool {
        // Not since it was last used: an answer that has been queued a moment ago may be the first in longer than that.
        self.stuck.is_some_and(|since| now.since(since) >= STALLED)
    }

    /// Requests of which the rest does not come.
    fn unfinished(&self, now: Micros) -> impl Iterator<Item = u16> + '_ {
        let late = move |open: &Open| matches!(open, Open::Incoming(_, _, t) if now.since(*t) >= UNFINISHED);
        self.open.iter().filter(move |(_, open)| late(open)).map(|(id, _)| *id)
    }

    /// Whether an event of the poller can only mean that the other side has reset it.
    pub fn is_dead(&self) -> bool {
        self.deaf && self.output.is_empty()
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.output.is_empty() && self.input.is_empty()
    }

    fn has_unread(&self) -> bool {
        self.stream.has_unread()
    }

    /// Reads what is there, up to a bound, behind what was left of the input before; returns the length of all
    /// of it. An error means that the connection is gone.
    pub fn read(&mut self, now: Micros, buffer: &mut [u8]) -> io::Result<usize> {
        let from = self.input.len();
        buffer[..from].copy_from_slice(&self.input);
        if self.deaf {
            return Ok(0);
        }
        let read = loop {
            match self.stream.read(&mut buffer[from..from + CHUNK]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        match read {
            // The other side has ended, but may still read: what is owed is answered first.
            Ok(0) => self.stop_reading().map(|()| 0),
            Ok(n) => {
                self.used = now;
                Ok(from + n)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(from),
            Err(e) => Err(e),
        }
    }

    /// Reads nothing more; what is owed is still answered.
    pub fn stop_reading(&mut self) -> io::Result<()> {
        (self.deaf, self.partial) = (true, None);
        self.input = Vec::new();
        self.open.retain(|_, o| !matches!(o, Open::Incoming(..)));
        self.stream.watch(false, !self.output.is_empty())
    }

    /// Keeps the part of a record at the end of the input; `whole` if whole ones came before it.
    pub fn keep(&mut self, now: Micros, rest: &[u8], whole: bool) {
        if !self.deaf {
            self.input.clear();
            self.input.extend_from_slice(rest);
            let since = self.partial.filter(|_| !whole).unwrap_or(now);
            self.partial = Some(since).filter(|_| !rest.is_empty());
        }
    }

    fn write(&mut self, now: Micros) -> io::Result<()> {
        let progress = self.output.write(&mut self.stream)? > 0;
        if progress {
            self.used = now;
        }
        let stuck = self.stuck.filter(|_| !progress).unwrap_or(now);
        self.stuck = Some(stuck).filter(|_| !self.output.is_empty());
        self.stream.watch(!self.deaf, !self.output.is_empty())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::io::real::Real;
    use std::io::Read as _;
    use std::net::TcpStream;

    /// A connection with one open request, taken at the time given, and its other side.
    fn table(now: Micros) -> (Table<Real>, ConnId, TcpStream) {
        let system = Real::new().expect("a poller");
        let mut table: Table<Real> = Table::new(1, 64);
        table.listen(system.listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0).expect("a port"));
        let client = TcpStream::connect(table.address().expect("it listens")).expect("accepted");
        let mut counters = Counters::default();
        while table.open_count() == 0 {
            table.accept(now, &mut counters);
        }
        let id = table.at_key(1).expect("the first place");
        let conn = table.get(id).expect("it is there");
        conn.note_asked();
        conn.open.insert(1, Open::Owed(RequestId(1), true));
        (table, id, client)
    }

    // Guards against an answer that ends its connection instead of going out on it: nothing had passed there for longer
    // than a reader may stall, since its request took that long, and the look for stalled ones came before the write.
    #[test]
    fn an_answer_after_a_long_wait_is_written_and_does_not_count_as_stalled() {
        let began = Micros::millis(1_000);
        for wait in [STALLED, STALLED.plus(STALLED), Micros::millis(17_000)] {
            let (mut table, id, mut client) = table(began);
            let (now, mut counters) = (began.plus(wait), Counters::default());
            table.get(id).expect("it is there").output.push(b"answer".to_vec());
            table.touch(id);
            let look = table.tick(now, &mut counters);
            assert!(look.gone.is_empty(), "cut off with its answer unwritten after {wait:?}");
            assert!(table.flush(now, &mut counters).is_empty());
            let mut read = [0; 6];
            client.read_exact(&mut read).expect("the answer");
            assert_eq!((&read, counters.connections_cut), (b"answer", 0));
        }
    }

    // Guards against a reader that never reads and is kept for ever.
    #[test]
    fn what_is_not_read_is_cut_off_after_its_time() {
        let (mut table, id, _client) = table(Micros(0));
        let (now, mut counters) = (Micros::millis(30_000), Counters::default());
        // More than the system takes for the other side, in pieces under the bound on what waits.
        while table.get(id).expect("it is there").output.is_empty() {
            table.get(id).expect("it is there").output.push(vec![0; MOST_OUT - 1]);
            table.touch(id);
            table.flush(now, &mut counters);
        }
        let just_before = Micros(now.plus(STALLED).0 - 1);
        assert!(table.tick(just_before, &mut counters).gone.is_empty());
        table.touch(id);
        table.flush(just_before, &mut counters);
        assert_eq!(table.tick(now.plus(STALLED).plus(LOOK), &mut counters).gone, [RequestId(1)]);
    }
}
