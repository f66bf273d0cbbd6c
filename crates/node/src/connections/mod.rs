//! The listener and the table of connections: descriptor budget, reading, writing, idle closing.

use super::counters::Counters;
use super::fastcgi::{self, status};
use super::io::{Listener, Stream, System};
use super::request::Incoming;
use super::response::Outbox;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::Micros;
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
/// After the write side of a connection is shut: how long what still comes is read and dropped, until the other side
/// ends too. Guards against an answer that is lost as a close over unread bytes is a reset.
const LINGERING_CLOSE: Micros = Micros::millis(500);
/// Most bytes of that; a client that goes on sending is cut off at the end of the time, unread.
const MOST_DROPPED: usize = 64 * 1024;
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
pub enum OpenRequest {
    /// Its records come in, since then.
    Incoming(Box<Incoming>, bool, Micros),
    /// Read; the answer is owed.
    #[serde(rename = "Owed")]
    Admitted(RequestId, bool),
    /// A health check that waits for the kernel.
    #[serde(rename = "Check")]
    HealthCheck(bool),
}

impl OpenRequest {
    /// Whether the connection stays after this request.
    pub fn keeps_connection(&self) -> bool {
        match self {
            OpenRequest::Incoming(_, keeps, _)
            | OpenRequest::Admitted(_, keeps)
            | OpenRequest::HealthCheck(keeps) => *keeps,
        }
    }
}

/// A buffer for [`Conn::read`].
pub fn buffer() -> Vec<u8> {
    vec![0; BUFFER]
}

/// One connection of a gateway.
#[derive(Debug)]
pub struct Connection<T> {
    stream: T,
    input: Vec<u8>,
    /// What waits to be written.
    pub output: Outbox,
    /// Its open requests, by FastCGI id.
    pub open: BTreeMap<u16, OpenRequest>,
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
    /// The other side has ended: nothing unread can be left on it.
    half_closed: bool,
    /// The write side is shut; what still comes is read and dropped.
    closing: Option<Closing>,
    /// To be closed once all is written.
    pub last: bool,
    /// Told apart from another one in the same place.
    serial: u64,
}

/// A lingering close.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Closing {
    /// It is closed then at the latest.
    until: Micros,
    /// Bytes that are still read and dropped.
    left: usize,
}

/// Names a connection; a later one in the same place has another name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConnectionId {
    place: usize,
    serial: u64,
}

impl ConnectionId {
    /// A connection that is gone.
    pub const GONE: ConnectionId = ConnectionId { place: usize::MAX, serial: 0 };
}

/// Names an open request of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRef {
    /// The connection it came on.
    pub connection: ConnectionId,
    /// Its FastCGI request id there.
    pub fcgi_id: u16,
}

/// All of a connection but its socket, for another process to go on with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConnectionSnapshot {
    /// Its name in the process that had it.
    pub id: ConnectionId,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Its open requests.
    pub open: BTreeMap<u16, OpenRequest>,
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
    half_closed: bool,
    closing: Option<Closing>,
    last: bool,
}

/// The listener and its connections.
#[derive(Debug)]
pub struct ConnectionTable<S: System> {
    listener: Option<S::Listener>,
    /// Nothing is accepted or read.
    stopped: bool,
    /// Descriptors that another process of this node needs for now.
    lent: usize,
    /// Poller key of the first place.
    first_key: usize,
    conns: Vec<Option<Connection<S::Stream>>>,
    free: Vec<usize>,
    serial: u64,
    most: usize,
    idle: Option<Micros>,
    /// Connections with something to write or to settle this turn.
    touched: Vec<ConnectionId>,
    next_look: Micros,
}

/// What a look at all connections has found.
#[derive(Debug, Default)]
pub struct Look {
    /// Requests that were owed an answer on connections that are gone.
    pub gone: Vec<RequestId>,
    /// Requests of which the rest does not come.
    pub unfinished: Vec<RequestRef>,
}

impl<S: System> ConnectionTable<S> {
    /// A table that does not listen yet, within this many descriptors besides those of the store's connections.
    pub fn new(first_key: usize, sockets: usize) -> Self {
        ConnectionTable {
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
    pub fn reserve_descriptors(&mut self, descriptors: usize) {
        self.lent = descriptors.min(self.most / 2);
    }

    /// Accepts and reads nothing until told to go on.
    pub fn pause(&mut self, stopped: bool) {
        self.stopped = stopped;
        self.listen_for(!stopped);
        for conn in self.conns.iter_mut().flatten() {
            // One that cannot be watched any more shows as broken when it is written to.
            let _ = conn.stream.watch(!stopped && conn.reads(), !stopped && !conn.output.is_empty());
        }
    }

    /// All connections, for another process to go on with.
    pub fn snapshot(&self) -> Vec<ConnectionSnapshot> {
        let conns = self.conns.iter().enumerate().filter_map(|(place, c)| c.as_ref().map(|c| (place, c)));
        conns.map(|(place, c)| c.snapshot(ConnectionId { place, serial: c.serial })).collect()
    }

    /// The socket of a connection, to be passed on.
    pub fn stream(&self, id: ConnectionId) -> Option<&S::Stream> {
        self.conns.get(id.place)?.as_ref().filter(|c| c.serial == id.serial).map(|c| &c.stream)
    }

    /// Where the next connection is watched.
    pub fn next_key(&self) -> usize {
        self.first_key + self.free.last().copied().unwrap_or(self.conns.len())
    }

    /// Goes on with a connection of another process; it is watched under [`Table::next_key`].
    pub fn restore(&mut self, stream: S::Stream, c: ConnectionSnapshot) -> ConnectionId {
        let place = self.free.last().copied().unwrap_or(self.conns.len());
        self.add(c.since, place, stream);
        let id = ConnectionId { place, serial: self.serial };
        if let Some(conn) = self.get(id) {
            conn.output.push(c.output);
            (conn.deaf, conn.half_closed, conn.closing) = (c.deaf, c.half_closed, c.closing);
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
    pub fn release_all(&mut self) {
        self.listener = None;
        self.conns.clear();
        self.free.clear();
        self.touched.clear();
    }

    /// The address it listens at.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.address())
    }

    /// Stops listening, once all that the system has accepted is taken in: what is left in its queue would be reset, with
    /// the requests on it.
    pub fn stop_listening(&mut self, now: Micros, counters: &mut Counters) {
        if self.listener.is_some() {
            self.accept(now, counters);
            self.listener = None;
        }
    }

    /// Whether no connection is left.
    pub fn is_empty(&self) -> bool {
        self.open_count() == 0
    }

    /// Shuts the write side of all connections with nothing left to write.
    pub fn close_all(&mut self, now: Micros) {
        for id in self.ids() {
            if self.get(id).is_some_and(|c| c.output.is_empty()) {
                self.finish(now, id);
            }
        }
    }

    fn ids(&self) -> Vec<ConnectionId> {
        let conns = self.conns.iter().enumerate().filter_map(|(place, c)| c.as_ref().map(|c| (place, c)));
        conns.map(|(place, c)| ConnectionId { place, serial: c.serial }).collect()
    }

    /// Requests that are not whole, and checks that wait.
    pub fn unread(&self) -> Vec<RequestRef> {
        let open = |id: ConnectionId| self.conns.get(id.place).and_then(Option::as_ref).map(|c| &c.open);
        let ids = self.ids().into_iter().filter_map(|id| Some((id, open(id)?)));
        ids.flat_map(|(id, open)| {
            let unread = open.iter().filter(|(_, o)| !matches!(o, OpenRequest::Admitted(..)));
            unread.map(move |(fcgi_id, _)| RequestRef { connection: id, fcgi_id: *fcgi_id })
        })
        .collect()
    }

    /// How long a connection may be idle, once that is set.
    pub fn idle_timeout(&self) -> Option<Micros> {
        self.idle
    }

    /// Health checks that wait.
    pub fn pending_health_checks(&self) -> Vec<RequestRef> {
        let conns = self.conns.iter().enumerate().filter_map(|(place, c)| c.as_ref().map(|c| (place, c)));
        conns
            .flat_map(|(place, c)| {
                let id = ConnectionId { place, serial: c.serial };
                let checks = c.open.iter().filter(|(_, open)| matches!(open, OpenRequest::HealthCheck(_)));
                checks.map(move |(fcgi_id, _)| RequestRef { connection: id, fcgi_id: *fcgi_id })
            })
            .collect()
    }

    /// Sets how long a connection may be idle.
    pub fn set_idle_timeout(&mut self, idle: Micros) {
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
        let conn = Connection {
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
            half_closed: false,
            closing: None,
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
    pub fn at_key(&self, key: usize) -> Option<ConnectionId> {
        let place = key.checked_sub(self.first_key)?;
        let serial = self.conns.get(place)?.as_ref()?.serial;
        Some(ConnectionId { place, serial })
    }

    /// A connection that is still there.
    pub fn get(&mut self, id: ConnectionId) -> Option<&mut Connection<S::Stream>> {
        self.conns.get_mut(id.place)?.as_mut().filter(|c| c.serial == id.serial)
    }

    /// Takes a request off its connection's list of open ones, for whoever answers it.
    pub fn take_request(&mut self, request: RequestRef) -> Option<OpenRequest> {
        self.get(request.connection)?.open.remove(&request.fcgi_id)
    }

    /// Marks a connection as having something to write or to settle this turn.
    pub fn touch(&mut self, id: ConnectionId) {
        if !self.touched.contains(&id) {
            self.touched.push(id);
        }
    }

    /// Closes a connection; returns the requests that were owed an answer on it.
    pub fn close(&mut self, id: ConnectionId) -> Vec<RequestId> {
        if self.get(id).is_none() {
            return Vec::new();
        }
        let conn = self.conns[id.place].take();
        self.free.push(id.place);
        let open = conn.into_iter().flat_map(|c| c.open.into_values());
        open.filter_map(|o| if let OpenRequest::Admitted(id, _) = o { Some(id) } else { None }).collect()
    }

    /// Ends a connection on which all was written: the other side may still be sending, and a close over bytes that are
    /// not read is a reset, which may overtake the last answer. So its write side is shut, what comes is dropped until
    /// the other side ends too, and only then is it closed. Returns the requests that were owed an answer on it.
    fn finish(&mut self, now: Micros, id: ConnectionId) -> Vec<RequestId> {
        let Some(conn) = self.get(id) else { return Vec::new() };
        if conn.closing.is_some() {
            return Vec::new();
        }
        // Nothing that is read from here on is taken in: no answer could go out on it.
        if conn.half_closed || conn.stream.shut_writing().is_err() || conn.stream.watch(true, false).is_err()
        {
            return self.close(id);
        }
        conn.closing = Some(Closing { until: now.plus(LINGERING_CLOSE), left: MOST_DROPPED });
        (conn.deaf, conn.partial, conn.linger) = (true, None, None);
        conn.input = Vec::new();
        let open = std::mem::take(&mut conn.open);
        open.into_values()
            .filter_map(|o| if let OpenRequest::Admitted(id, _) = o { Some(id) } else { None })
            .collect()
    }

    /// Something came on a connection whose write side is shut.
    pub fn drop_input(&mut self, id: ConnectionId, buffer: &mut [u8]) {
        let over = self.get(id).is_none_or(|c| c.drop_input(buffer).is_err());
        if over {
            self.close(id);
        }
    }

    fn close_longest_idle(&mut self, now: Micros, counters: &mut Counters) -> bool {
        // Of those accepted at the same time the oldest goes: never the one that has just come. The ones that are
        // to end anyway go first, then those that have asked for nothing: gateways connect when they have
        // something to send.
        let order = |c: &Connection<S::Stream>| match (c.deaf, c.asked || now.since(c.since) < NEW) {
            _ if c.closing.is_some() => 0,
            (true, _) => 1,
            (false, false) => 2,
            (false, true) => 3,
        };
        (0..MOST_LOOKS).any(|_| {
            let idle =
                self.idle_conns().min_by_key(|(id, c)| (order(c), c.used, id.serial)).map(|(id, _)| id);
            // Its descriptor is needed now.
            idle.is_some_and(|id| {
                let free = self.is_unused(now, id);
                if free {
                    counters.connections_idle_closed +=
                        u64::from(self.get(id).is_some_and(|c| c.closing.is_none()));
                    self.close(id);
                }
                free
            })
        })
    }

    fn idle_conns(&self) -> impl Iterator<Item = (ConnectionId, &Connection<S::Stream>)> + '_ {
        let conns = self.conns.iter().enumerate();
        conns
            .filter_map(|(place, c)| c.as_ref().map(|c| (place, c)))
            .filter(|(_, c)| c.is_idle())
            .map(|(place, c)| (ConnectionId { place, serial: c.serial }, c))
    }

    /// Whether nothing came just now on a connection with nothing under way.
    fn is_unused(&mut self, now: Micros, id: ConnectionId) -> bool {
        // Guards against closing on a request that has been written but not read: it would be lost.
        let Some(conn) = self.get(id) else { return false };
        if !conn.deaf && conn.has_unread() {
            conn.used = now;
            return false;
        }
        true
    }

    /// Closes what was idle for too long, cuts off what does not read, and ends what was only begun.
    pub fn on_timer(&mut self, now: Micros, counters: &mut Counters) -> Look {
        let mut look = Look::default();
        if now < self.next_look {
            return look;
        }
        self.next_look = now.plus(LOOK);
        self.listen_for(true);
        if let Some(idle) = self.idle {
            let old: Vec<ConnectionId> = self
                .idle_conns()
                .filter(|(_, c)| !c.deaf && now.since(c.used) >= idle)
                .map(|c| c.0)
                .collect();
            for id in old {
                if self.is_unused(now, id) {
                    counters.connections_idle_closed += 1;
                    self.finish(now, id);
                }
            }
        }
        let (mut cut, mut over, mut closed) = (Vec::new(), Vec::new(), Vec::new());
        for (place, conn) in self.conns.iter_mut().enumerate() {
            let Some(conn) = conn else { continue };
            let id = ConnectionId { place, serial: conn.serial };
            look.unfinished
                .extend(conn.unfinished(now).map(|fcgi_id| RequestRef { connection: id, fcgi_id }));
            if let Some(closing) = conn.closing {
                if now >= closing.until {
                    closed.push(id);
                }
            } else if conn.is_stalled(now) {
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
        closed.into_iter().for_each(|id| drop(self.close(id)));
        look.gone = cut.into_iter().flat_map(|id| self.close(id)).collect();
        look.gone.extend(over.into_iter().flat_map(|id| self.finish(now, id)).collect::<Vec<_>>());
        look
    }

    /// Counts a bad request on a connection, and ends the connection if there were too many.
    pub fn note_bad_request(&mut self, now: Micros, id: ConnectionId, all: bool) {
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
            let Some(conn) = self.get(id).filter(|c| c.closing.is_none()) else { continue };
            let written = conn.write(now);
            let cut = conn.output.len() > MOST_OUT;
            let done = conn.output.is_empty() && (conn.last || conn.is_over());
            counters.connections_cut += u64::from(cut);
            if written.is_err() || cut {
                gone.extend(self.close(id));
            } else if done {
                gone.extend(self.finish(now, id));
            }
        }
        gone
    }

    /// Whether anything is still to be written.
    pub fn is_writing(&self) -> bool {
        self.conns.iter().flatten().any(|c| !c.output.is_empty())
    }
}

impl<T: Stream> Connection<T> {
    fn snapshot(&self, id: ConnectionId) -> ConnectionSnapshot {
        ConnectionSnapshot {
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
            half_closed: self.half_closed,
            closing: self.closing,
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
            Ok(keeps) => drop(self.open.insert(id, OpenRequest::Incoming(Box::default(), keeps, now))),
            Err(status) => self.output.push(fastcgi::end_request(id, 0, status)),
        }
    }

    /// Whether what comes is read, to be taken in or dropped.
    fn reads(&self) -> bool {
        self.closing.map_or(!self.deaf, |closing| closing.left > 0)
    }

    /// Whether its write side is shut.
    pub fn is_closing(&self) -> bool {
        self.closing.is_some()
    }

    /// Reads and drops what is there; an error once there is nothing to wait for.
    fn drop_input(&mut self, buffer: &mut [u8]) -> io::Result<()> {
        let Some(closing) = &mut self.closing else { return Ok(()) };
        if closing.left == 0 {
            // Nothing is watched for: it can only have been reset, or have ended.
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        match self.stream.read(buffer) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => closing.left = closing.left.saturating_sub(n),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            Err(e) => return Err(e),
        }
        let reads = self.reads();
        self.stream.watch(reads, false)
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
        let late = move |open: &OpenRequest| matches!(open, OpenRequest::Incoming(_, _, t) if now.since(*t) >= UNFINISHED);
        self.open.iter().filter(move |(_, open)| late(open)).map(|(id, _)| *id)
    }

    /// Whether an event of the poller can only mean that the other side has reset it.
    pub fn is_dead(&self) -> bool {
        self.deaf && self.output.is_empty()
    }

    /// Nothing is under way on it.
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
            Ok(0) => {
                self.half_closed = true;
                self.stop_reading().map(|()| 0)
            }
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
        self.open.retain(|_, o| !matches!(o, OpenRequest::Incoming(..)));
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
mod tests;
