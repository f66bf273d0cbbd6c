//! One connection of a gateway: reading, writing, and what its deadlines and bounds are counted from.

use super::lingering_close::LingeringClose;
use super::{ConnectionId, MAX_OPEN_REQUESTS, OpenRequest, READ_CHUNK_BYTES};
use crate::fastcgi::{self, BeginRequest, protocol_status};
use crate::io::Stream;
use crate::response::Response;
use crate::write_queue::WriteQueue;
use gaugestand_admission::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;

/// Bad requests that end a connection on which nothing was ever served. Guards against a client that is no gateway and
/// would be answered for ever. A connection on which something was served is a gateway's and may carry others' requests.
pub(super) const MAX_BAD_REQUESTS: u32 = 4;
/// Time from the last bad request to the close, in which nothing more is read. Guards against a client that sends the same
/// again at once, here or on a new connection: answering each would take the time of the gateways.
const BAD_REQUEST_CLOSE_DELAY: Micros = Micros::millis(250);
/// Most bytes of records that belong to no open request, between two complete requests. Guards against a client that does not
/// heed the end of its request and would be read for ever.
const MAX_STRAY_BYTES: usize = 64 * 1024;

/// One connection: its socket and its state.
#[derive(Debug)]
pub struct Connection<T> {
    pub(super) stream: T,
    pub(super) state: ConnectionState,
}

/// All of a connection but its socket. This is also the form in which another process gets it: names and order of the fields,
/// as `serde` has them, are the bytes of the hand-over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConnectionState {
    /// Its name in the process that has it.
    pub id: ConnectionId,
    /// The start of a record whose rest has not come.
    #[serde(rename = "input")]
    pub(super) partial_record: Vec<u8>,
    /// What waits to be written.
    #[serde(with = "super::snapshot::unwritten_bytes")]
    pub(super) output: WriteQueue,
    /// Its open requests, by FastCGI id.
    #[serde(rename = "open")]
    pub(super) open_requests: BTreeMap<u16, OpenRequest>,
    #[serde(rename = "since")]
    pub(super) accepted_at: Timestamp,
    /// When anything was last read or written.
    #[serde(rename = "used")]
    pub(super) last_active: Timestamp,
    /// Since when the other side has taken nothing of what waits to be written; counts from the first attempt to write.
    #[serde(rename = "stuck")]
    pub(super) write_blocked_since: Option<Timestamp>,
    /// Since when the input ends in part of a record.
    #[serde(rename = "partial")]
    pub(super) partial_since: Option<Timestamp>,
    /// A complete request that could be read has come on it.
    #[serde(rename = "asked")]
    pub(super) has_requested: bool,
    /// Bad requests so far.
    #[serde(rename = "faults")]
    pub(super) bad_requests: u32,
    /// Some request was answered with a result.
    #[serde(rename = "served")]
    pub(super) has_served: bool,
    /// Bytes of records that belong to no open request, since the last complete request.
    #[serde(rename = "stray")]
    pub(super) stray_bytes: usize,
    /// After too many bad requests: it is kept until then.
    #[serde(rename = "linger")]
    pub(super) close_delayed_until: Option<Timestamp>,
    /// Nothing more is read: the other side has ended, or the framing is lost.
    #[serde(rename = "deaf")]
    pub(super) reading_stopped: bool,
    /// The other side has ended: nothing unread can be left on it.
    #[serde(rename = "half_closed")]
    pub(super) peer_ended: bool,
    /// The write side is shut; what still comes is read and dropped.
    #[serde(rename = "closing")]
    pub(super) lingering_close: Option<LingeringClose>,
    /// To be closed once all is written.
    #[serde(rename = "last")]
    pub(super) closes_after_write: bool,
}

impl ConnectionState {
    pub(super) fn new(id: ConnectionId, now: Timestamp) -> Self {
        ConnectionState {
            id,
            partial_record: Vec::new(),
            output: WriteQueue::default(),
            open_requests: BTreeMap::new(),
            accepted_at: now,
            last_active: now,
            write_blocked_since: None,
            partial_since: None,
            has_requested: false,
            bad_requests: 0,
            has_served: false,
            stray_bytes: 0,
            close_delayed_until: None,
            reading_stopped: false,
            peer_ended: false,
            lingering_close: None,
            closes_after_write: false,
        }
    }
}

impl<T: Stream> Connection<T> {
    // ---- Requests ------------------------------------------------------------------------------------

    /// Opens a request, or ends it at once where that cannot be done: then it never ran.
    pub fn begin(&mut self, now: Timestamp, fcgi_id: u16, content: &[u8]) {
        let opened = match fastcgi::parse_begin_request(content) {
            Some(BeginRequest { role: fastcgi::RESPONDER, keeps_connection }) => {
                let is_full = self.state.open_requests.len() >= MAX_OPEN_REQUESTS;
                if is_full { Err(protocol_status::OVERLOADED) } else { Ok(keeps_connection) }
            }
            _ => Err(protocol_status::UNKNOWN_ROLE),
        };
        match opened {
            Ok(keeps) => self.insert_request(fcgi_id, OpenRequest::Incoming(Box::default(), keeps, now)),
            Err(status) => self.queue(fastcgi::end_request(fcgi_id, status)),
        }
    }

    /// An open request, to take in more of it.
    pub fn open_request(&mut self, fcgi_id: u16) -> Option<&mut OpenRequest> {
        self.state.open_requests.get_mut(&fcgi_id)
    }

    /// Puts an open request in the place of the one with this id, if there is one.
    pub fn insert_request(&mut self, fcgi_id: u16, request: OpenRequest) {
        self.state.open_requests.insert(fcgi_id, request);
    }

    /// Queues a response; `keeps_connection` unless the connection ends with it.
    pub fn respond(&mut self, fcgi_id: u16, keeps_connection: bool, response: &Response<'_>) {
        response.enqueue(fcgi_id, &mut self.state.output);
        self.state.closes_after_write |= !keeps_connection;
    }

    /// Queues bytes as they are.
    pub fn queue(&mut self, bytes: impl Into<Vec<u8>>) {
        self.state.output.push(bytes);
    }

    /// Takes note of a complete request that could be read.
    pub fn note_requested(&mut self) {
        self.state.has_requested = true;
        self.state.stray_bytes = 0;
    }

    /// Takes note of a request that is answered with a result.
    pub fn note_served(&mut self) {
        self.state.has_served = true;
    }

    /// Takes note of a record that belongs to no open request; false if there were too many.
    pub fn note_stray(&mut self, bytes: usize) -> bool {
        self.state.stray_bytes += bytes;
        self.state.stray_bytes <= MAX_STRAY_BYTES
    }

    /// Counts a bad request. After too many, or at once if `ends_connection`, nothing more is read and the connection closes a
    /// little later.
    pub(super) fn note_bad_request(&mut self, now: Timestamp, ends_connection: bool) {
        self.state.bad_requests += 1;
        let too_many = !self.state.has_served && self.state.bad_requests >= MAX_BAD_REQUESTS;
        if (ends_connection || too_many) && self.state.close_delayed_until.is_none() {
            self.state.close_delayed_until = Some(now.plus(BAD_REQUEST_CLOSE_DELAY));
            // If the poller's interest cannot be changed, what comes is read and dropped until the close.
            let _ = self.stop_reading();
        }
    }

    // ---- State ---------------------------------------------------------------------------------------

    /// Whether its write side is shut.
    pub fn is_closing(&self) -> bool {
        self.state.lingering_close.is_some()
    }

    /// Whether nothing more is read of it.
    pub fn has_stopped_reading(&self) -> bool {
        self.state.reading_stopped
    }

    /// Whether an event of the poller can only mean that the other side has reset it.
    pub fn is_reset(&self) -> bool {
        self.state.reading_stopped && self.state.output.is_empty()
    }

    /// Nothing is under way on it.
    pub(super) fn is_idle(&self) -> bool {
        self.state.open_requests.is_empty()
            && self.state.output.is_empty()
            && self.state.partial_record.is_empty()
    }

    /// Nothing is read of it, nothing is open, and its close is not delayed.
    pub(super) fn is_finished(&self) -> bool {
        self.state.reading_stopped
            && self.state.open_requests.is_empty()
            && self.state.close_delayed_until.is_none()
    }

    /// Whether what comes is read, to be processed or dropped.
    pub(super) fn wants_input(&self) -> bool {
        match &self.state.lingering_close {
            Some(lingering_close) => lingering_close.wants_input(),
            None => !self.state.reading_stopped,
        }
    }

    // ---- Reading and writing -------------------------------------------------------------------------

    /// Reads what is there, up to a bound, behind what was left of the input before; returns the length of all of it. An error
    /// means that the connection is gone.
    ///
    /// # Errors
    /// The system reports an error other than [`io::ErrorKind::WouldBlock`] and
    /// [`io::ErrorKind::Interrupted`]. The connection can no longer be answered and has to be closed.
    pub fn read(&mut self, now: Timestamp, buffer: &mut [u8]) -> io::Result<usize> {
        let kept = self.state.partial_record.len();
        buffer[..kept].copy_from_slice(&self.state.partial_record);
        if self.state.reading_stopped {
            return Ok(0);
        }
        let read = loop {
            match self.stream.read(&mut buffer[kept..kept + READ_CHUNK_BYTES]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        match read {
            // The other side has ended, but may still read: what is owed is answered first.
            Ok(0) => {
                self.state.peer_ended = true;
                self.stop_reading().map(|()| 0)
            }
            Ok(length) => {
                self.state.last_active = now;
                Ok(kept + length)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(kept),
            Err(error) => Err(error),
        }
    }

    /// Reads nothing more; what is owed is still answered, what is incomplete is forgotten.
    ///
    /// # Errors
    /// The poller does not accept the change of interest; the connection has to be closed.
    pub fn stop_reading(&mut self) -> io::Result<()> {
        self.state.reading_stopped = true;
        self.state.partial_since = None;
        self.state.partial_record = Vec::new();
        self.state.open_requests.retain(|_, request| !matches!(request, OpenRequest::Incoming(..)));
        self.stream.watch(false, !self.state.output.is_empty())
    }

    /// Keeps the part of a record at the end of the input; `follows_record` if complete ones came before it.
    pub fn keep_partial_record(&mut self, now: Timestamp, rest: &[u8], follows_record: bool) {
        if !self.state.reading_stopped {
            self.state.partial_record.clear();
            self.state.partial_record.extend_from_slice(rest);
            let since = self.state.partial_since.filter(|_| !follows_record).unwrap_or(now);
            self.state.partial_since = Some(since).filter(|_| !rest.is_empty());
        }
    }

    pub(super) fn write(&mut self, now: Timestamp) -> io::Result<()> {
        let progress = self.state.output.write(&mut self.stream)? > 0;
        if progress {
            self.state.last_active = now;
        }
        let all_written = self.state.output.is_empty();
        let blocked_since = self.state.write_blocked_since.filter(|_| !progress).unwrap_or(now);
        self.state.write_blocked_since = Some(blocked_since).filter(|_| !all_written);
        self.stream.watch(!self.state.reading_stopped, !all_written)
    }
}
