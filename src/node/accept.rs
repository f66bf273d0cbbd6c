//! The listener and the table of connections: descriptor budget, reading, writing, idle closing.

use super::answer::Outbox;
use super::counters::Counters;
use super::fastcgi::{self, status};
use super::poll::Watched;
use super::request::Incoming;
use gaugestand::RequestId;
use gaugestand::facade::Micros;
use polling::Poller;
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Descriptors that the node needs besides connections: standard streams, poller, listener, kernel, members,
/// signals, and some to spare.
const OWN: usize = 20;
/// Most bytes read from one connection in one go, so that none keeps the others waiting.
const CHUNK: usize = 16 * 1024;
/// Most bytes that wait to be read by the other side: all answers that a connection can have open.
const MOST_OUT: usize = 192 * 1024;
/// A connection whose other side neither reads what waits nor sends the rest of a request for this long is
/// cut off.
const STALLED: Micros = Micros::millis(10_000);
/// Most open requests on a connection, as gateways are told.
pub const MOST_OPEN: usize = 32;
/// Time between two looks for idle and stalled connections.
const LOOK: Micros = Micros::millis(50);

/// An open request of a connection.
#[derive(Debug)]
pub enum Open {
    /// Its records come in.
    Incoming(Box<Incoming>, bool),
    /// Read; the answer is owed.
    Owed(RequestId, bool),
    /// A health check that waits for the kernel.
    Check(bool),
}

impl Open {
    /// Whether the connection stays after this request.
    pub fn keeps(&self) -> bool {
        match self {
            Open::Incoming(_, keeps) | Open::Owed(_, keeps) | Open::Check(keeps) => *keeps,
        }
    }
}

/// One connection of a gateway.
#[derive(Debug)]
pub struct Conn {
    stream: Watched<TcpStream>,
    input: Vec<u8>,
    /// What waits to be written.
    pub output: Outbox,
    /// Its open requests, by FastCGI id.
    pub open: BTreeMap<u16, Open>,
    /// Last time that anything was read or written.
    used: Micros,
    /// Nothing more is read: the other side has ended, or the framing is lost.
    deaf: bool,
    /// To be closed once all is written.
    pub last: bool,
    /// Told apart from another one in the same place.
    serial: u64,
}

/// Names a connection; a later one in the same place has another name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnId {
    place: usize,
    serial: u64,
}

/// The listener and its connections.
#[derive(Debug)]
pub struct Table {
    listener: Option<Watched<TcpListener>>,
    poller: Rc<Poller>,
    /// Poller key of the first place.
    first_key: usize,
    conns: Vec<Option<Conn>>,
    free: Vec<usize>,
    serial: u64,
    most: usize,
    idle: Option<Micros>,
    /// Connections with something to write or to settle this turn.
    touched: Vec<ConnId>,
    next_look: Micros,
}

impl Table {
    /// Listens at the address, within this many descriptors besides those of the store's connections.
    pub fn listen(
        poller: &Rc<Poller>,
        at: SocketAddr,
        key: usize,
        first_key: usize,
        sockets: usize,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        let listener = Watched::new(poller, listener, key, true, false)?;
        Ok(Table {
            listener: Some(listener),
            poller: poller.clone(),
            first_key,
            conns: Vec::new(),
            free: Vec::new(),
            serial: 0,
            most: sockets.saturating_sub(OWN).max(1),
            idle: None,
            touched: Vec::new(),
            next_look: Micros(0),
        })
    }

    /// The address it listens at.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.local_addr().ok())
    }

    /// Stops listening.
    pub fn stop_listening(&mut self) {
        self.listener = None;
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
            if self.open_count() >= self.most && !self.close_longest_idle(now, counters) {
                // Guards against closing a connection that may carry a request already: it waits unaccepted.
                counters.accept_pauses += 1;
                return self.listen_for(false);
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    if self.add(now, stream).is_ok() {
                        counters.connections_accepted += 1;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
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
        if let Some(listener) = &mut self.listener {
            // If it cannot be changed the poller goes on as it was, and the next look tries again.
            let _ = listener.watch(connections, false);
        }
    }

    fn add(&mut self, now: Micros, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let place = self.free.last().copied().unwrap_or(self.conns.len());
        let stream = Watched::new(&self.poller, stream, self.first_key + place, true, false)?;
        self.serial += 1;
        let conn = Conn {
            stream,
            input: Vec::new(),
            output: Outbox::default(),
            open: BTreeMap::new(),
            used: now,
            deaf: false,
            last: false,
            serial: self.serial,
        };
        if self.free.pop().is_some() {
            self.conns[place] = Some(conn);
        } else {
            self.conns.push(Some(conn));
        }
        Ok(())
    }

    /// The connection that a poller key stands for.
    pub fn at_key(&self, key: usize) -> Option<ConnId> {
        let place = key.checked_sub(self.first_key)?;
        let serial = self.conns.get(place)?.as_ref()?.serial;
        Some(ConnId { place, serial })
    }

    /// A connection that is still there.
    pub fn get(&mut self, id: ConnId) -> Option<&mut Conn> {
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
        // Of those accepted at the same time the oldest goes: never the one that has just come.
        let idle = self.idle_conns().min_by_key(|(id, used)| (*used, id.serial)).map(|(id, _)| id);
        idle.is_some_and(|id| self.close_idle_one(now, id, counters))
    }

    fn idle_conns(&self) -> impl Iterator<Item = (ConnId, Micros)> + '_ {
        let conns = self.conns.iter().enumerate();
        conns
            .filter_map(|(place, c)| c.as_ref().map(|c| (place, c)))
            .filter(|(_, c)| c.is_idle())
            .map(|(place, c)| (ConnId { place, serial: c.serial }, c.used))
    }

    /// Closes a connection with nothing under way, unless something came on it just now.
    fn close_idle_one(&mut self, now: Micros, id: ConnId, counters: &mut Counters) -> bool {
        // Guards against closing on a request that has been written but not read: it would be lost.
        let Some(conn) = self.get(id) else { return false };
        if conn.has_unread() {
            conn.used = now;
            return false;
        }
        self.close(id);
        counters.connections_idle_closed += 1;
        true
    }

    /// Closes what was idle for too long, and cuts off what does not read; returns requests owed there.
    pub fn tick(&mut self, now: Micros, counters: &mut Counters) -> Vec<RequestId> {
        if now < self.next_look {
            return Vec::new();
        }
        self.next_look = now.plus(LOOK);
        self.listen_for(true);
        if let Some(idle) = self.idle {
            let old: Vec<ConnId> =
                self.idle_conns().filter(|(_, u)| now.since(*u) >= idle).map(|c| c.0).collect();
            for id in old {
                self.close_idle_one(now, id, counters);
            }
        }
        let stalled = |c: &Conn| c.waits_for_peer() && now.since(c.used) >= STALLED;
        let conns = self.conns.iter().enumerate().filter_map(|(place, c)| c.as_ref().map(|c| (place, c)));
        let cut: Vec<ConnId> =
            conns.filter(|(_, c)| stalled(c)).map(|(place, c)| ConnId { place, serial: c.serial }).collect();
        counters.connections_cut += cut.len() as u64;
        cut.into_iter().flat_map(|id| self.close(id)).collect()
    }

    /// Writes what the turn has queued, and closes what is done; returns requests owed on what broke.
    pub fn flush(&mut self, now: Micros, counters: &mut Counters) -> Vec<RequestId> {
        let mut gone = Vec::new();
        for id in std::mem::take(&mut self.touched) {
            let Some(conn) = self.get(id) else { continue };
            let written = conn.write(now);
            let cut = conn.output.len() > MOST_OUT;
            let done = conn.output.len() == 0 && (conn.last || conn.deaf && conn.open.is_empty());
            counters.connections_cut += u64::from(cut);
            if written.is_err() || cut || done {
                gone.extend(self.close(id));
            }
        }
        gone
    }

    /// Whether anything is still to be written.
    pub fn is_writing(&self) -> bool {
        self.conns.iter().flatten().any(|c| c.output.len() > 0)
    }
}

impl Conn {
    /// Opens a request, or ends it at once where that cannot be done: it never ran.
    pub fn begin(&mut self, id: u16, content: &[u8]) {
        let opened = match fastcgi::begin(content) {
            Some((fastcgi::RESPONDER, _)) if self.open.len() >= MOST_OPEN => Err(status::OVERLOADED),
            Some((fastcgi::RESPONDER, flags)) => Ok(flags & fastcgi::KEEP_CONN != 0),
            _ => Err(status::UNKNOWN_ROLE),
        };
        match opened {
            Ok(keeps) => drop(self.open.insert(id, Open::Incoming(Box::default(), keeps))),
            Err(status) => self.output.push(fastcgi::end_request(id, 0, status)),
        }
    }

    /// Whether an event of the poller can only mean that the other side has reset it.
    pub fn is_dead(&self) -> bool {
        self.deaf && self.output.len() == 0
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.output.len() == 0 && self.input.is_empty()
    }

    /// Whether only the other side can go on: it has answers to read, or half a request to send.
    fn waits_for_peer(&self) -> bool {
        let owed = self.open.values().any(|o| !matches!(o, Open::Incoming(..)));
        self.output.len() > 0 || !owed && !self.is_idle()
    }

    fn has_unread(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(n) if n > 0)
    }

    /// Reads what is there, up to a bound; an error means that the connection is gone.
    pub fn read(&mut self, now: Micros) -> io::Result<()> {
        if self.deaf {
            return Ok(());
        }
        let from = self.input.len();
        self.input.resize(from + CHUNK, 0);
        let read = loop {
            match self.stream.read(&mut self.input[from..]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        self.input.truncate(from + *read.as_ref().unwrap_or(&0));
        match read {
            // The other side has ended, but may still read: what is owed is answered first.
            Ok(0) => self.stop_reading(),
            Ok(_) => {
                self.used = now;
                Ok(())
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Reads nothing more; what is owed is still answered.
    pub fn stop_reading(&mut self) -> io::Result<()> {
        self.deaf = true;
        self.input = Vec::new();
        self.open.retain(|_, o| !matches!(o, Open::Incoming(..)));
        self.stream.watch(false, self.output.len() > 0)
    }

    /// Takes the input that was read, for its records to be parsed where they lie; [`Conn::put_back`] takes
    /// what is left of it.
    pub fn take_input(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.input)
    }

    /// The part of a record at the end of the input.
    pub fn put_back(&mut self, rest: &[u8]) {
        if !self.deaf {
            self.input = rest.to_vec();
        }
    }

    fn write(&mut self, now: Micros) -> io::Result<()> {
        if self.output.write(&mut *self.stream)? > 0 {
            self.used = now;
        }
        self.stream.watch(!self.deaf, self.output.len() > 0)
    }
}
