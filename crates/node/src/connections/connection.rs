//! One connection of a gateway: its state, its reading and writing, and the times and counts that its
//! timeouts and bounds are computed from.

use super::lingering_close::LingeringClose;
use super::{ConnectionId, MAX_OPEN_REQUESTS, OpenRequest, OpenRequests, READ_CHUNK_BYTES, RequestRef};
use crate::fastcgi::{self, BeginRequest, protocol_status};
use crate::io::Stream;
use crate::response::Response;
use crate::write_queue::WriteQueue;
use gaugestand_admission::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};
use std::io;

/// Number of bad requests that ends a connection on which no request was ever answered with a result. Guards
/// against a client that is no gateway and would be answered for ever. A connection on which a request was
/// served belongs to a gateway and may carry other clients' requests.
pub(super) const MAX_BAD_REQUESTS: u32 = 4;
/// Time from the last bad request to the close of the connection, in which nothing more is read. Guards
/// against a client that repeats its request at once, here or on a new connection: answering every repetition
/// would delay the gateways.
const BAD_REQUEST_CLOSE_DELAY: Micros = Micros::millis(250);
/// Maximum number of bytes of records that belong to no open request, counted between two complete requests.
/// Guards against a client that keeps sending records of a request that has ended: such records would be read
/// for ever.
const MAX_STRAY_BYTES: usize = 64 * 1024;

/// One connection: its socket and its state.
#[derive(Debug)]
pub struct Connection<T> {
    pub(super) stream: T,
    pub(super) state: ConnectionState,
}

/// The state of a connection without its socket. It is serialised as it is for the hand-over: the `serde`
/// names and the order of the fields determine the bytes that another process reads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConnectionState {
    /// The connection's id in the process that holds the connection.
    pub id: ConnectionId,
    /// The received bytes of a record that is not complete yet.
    #[serde(rename = "input")]
    pub(super) partial_record: Vec<u8>,
    /// Output that waits to be written.
    #[serde(with = "super::snapshot::unwritten_bytes")]
    pub(super) output: WriteQueue,
    /// The connection's open requests by FastCGI request id.
    #[serde(rename = "open")]
    pub(super) open_requests: OpenRequests,
    /// When the connection was accepted.
    #[serde(rename = "since")]
    pub(super) accepted_at: Timestamp,
    /// When input was last read or output last written.
    #[serde(rename = "used")]
    pub(super) last_active: Timestamp,
    /// Time since which no output could be written, counted from the first attempt to write; none if no
    /// output waits.
    #[serde(rename = "stuck")]
    pub(super) write_blocked_since: Option<Timestamp>,
    /// Time since which the input ends with an incomplete record; none while there is no incomplete record.
    #[serde(rename = "partial")]
    pub(super) partial_since: Option<Timestamp>,
    /// Whether a complete and valid request has arrived on the connection.
    #[serde(rename = "asked")]
    pub(super) has_requested: bool,
    /// How many bad requests have arrived on the connection.
    #[serde(rename = "faults")]
    pub(super) bad_requests: u32,
    /// Whether any request of the connection was answered with a result.
    #[serde(rename = "served")]
    pub(super) has_served: bool,
    /// Bytes of records that belong to no open request, counted since the last complete request.
    #[serde(rename = "stray")]
    pub(super) stray_bytes: usize,
    /// Set after too many bad requests: the time at which the connection ends. Until then it is kept, but not
    /// read.
    #[serde(rename = "linger")]
    pub(super) close_delayed_until: Option<Timestamp>,
    /// Whether reading has stopped, because the other side has ended, the framing is lost or there were too
    /// many bad requests.
    #[serde(rename = "deaf")]
    pub(super) reading_stopped: bool,
    /// Whether the other side has shut its write side, after which no unread input is left.
    #[serde(rename = "half_closed")]
    pub(super) peer_ended: bool,
    /// The lingering close of the connection, once its write side is shut; further input is read and dropped.
    #[serde(rename = "closing")]
    pub(super) lingering_close: Option<LingeringClose>,
    /// Whether the connection ends once all output is written.
    #[serde(rename = "last")]
    pub(super) closes_after_write: bool,
}

impl ConnectionState {
    pub(super) fn new(id: ConnectionId, now: Timestamp) -> Self {
        ConnectionState {
            id,
            partial_record: Vec::new(),
            output: WriteQueue::default(),
            open_requests: OpenRequests::default(),
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

    /// Handles a begin-request record: opens the request, or ends it at once if the role is not supported or
    /// too many requests are open. A request that is ended here never ran.
    pub fn begin(&mut self, now: Timestamp, fcgi_id: u16, content: &[u8]) {
        let opened = match fastcgi::parse_begin_request(content) {
            Some(BeginRequest { role: fastcgi::RESPONDER, keeps_connection }) => {
                let is_full = self.state.open_requests.len() >= MAX_OPEN_REQUESTS;
                if is_full { Err(protocol_status::OVERLOADED) } else { Ok(keeps_connection) }
            }
            _ => Err(protocol_status::UNKNOWN_ROLE),
        };
        match opened {
            Ok(keeps) => {
                let incoming = OpenRequest::Incoming(Box::default(), keeps, now);
                self.state.open_requests.begin(fcgi_id, incoming);
            }
            Err(status) => self.queue(fastcgi::end_request(fcgi_id, status)),
        }
    }

    /// The request that is open under this FastCGI id, so that more of its records can be added.
    pub fn open_request(&mut self, fcgi_id: u16) -> Option<(RequestRef, &mut OpenRequest)> {
        self.state.open_requests.by_fcgi_id(self.state.id, fcgi_id)
    }

    /// Puts a request back in its next state, after [`super::ConnectionTable::take_request`].
    pub fn put_back(&mut self, reference: RequestRef, request: OpenRequest) {
        self.state.open_requests.put_back(reference, request);
    }

    /// Queues a response; unless `keeps_connection`, the connection ends once it is written.
    pub fn respond(&mut self, fcgi_id: u16, keeps_connection: bool, response: &Response<'_>) {
        response.enqueue(fcgi_id, &mut self.state.output);
        self.state.closes_after_write |= !keeps_connection;
    }

    /// Queues the rejection of a request that was not read completely and never ran; unless
    /// `keeps_connection`, the connection ends once it is written.
    pub fn reject(&mut self, fcgi_id: u16, keeps_connection: bool) {
        self.queue(fastcgi::end_request(fcgi_id, protocol_status::OVERLOADED));
        self.state.closes_after_write |= !keeps_connection;
    }

    /// Queues bytes, which have to be complete FastCGI records.
    pub fn queue(&mut self, bytes: impl Into<Vec<u8>>) {
        self.state.output.push(bytes);
    }

    /// Records that a complete and valid request has arrived.
    pub fn note_requested(&mut self) {
        self.state.has_requested = true;
        self.state.stray_bytes = 0;
    }

    /// Records that a request is answered with a result.
    pub fn note_served(&mut self) {
        self.state.has_served = true;
    }

    /// Counts the bytes of a record that belongs to no open request; returns false if there were too many
    /// since the last complete request.
    pub fn note_stray(&mut self, bytes: usize) -> bool {
        self.state.stray_bytes += bytes;
        self.state.stray_bytes <= MAX_STRAY_BYTES
    }

    /// Counts a bad request. After too many of them, or at once if `ends_connection`, reading stops and the
    /// connection ends after `BAD_REQUEST_CLOSE_DELAY`.
    pub(super) fn note_bad_request(&mut self, now: Timestamp, ends_connection: bool) {
        self.state.bad_requests += 1;
        let too_many = !self.state.has_served && self.state.bad_requests >= MAX_BAD_REQUESTS;
        if (ends_connection || too_many) && self.state.close_delayed_until.is_none() {
            self.state.close_delayed_until = Some(now.plus(BAD_REQUEST_CLOSE_DELAY));
            // If the poller rejects the change of interest, input is read and dropped until the close.
            let _ = self.stop_reading();
        }
    }

    // ---- Memory --------------------------------------------------------------------------------------

    /// Bytes of memory that the buffers and open requests of the connection take.
    pub fn memory_bytes(&self) -> usize {
        let state = &self.state;
        let requests = state.open_requests.values().map(OpenRequest::memory_bytes).sum::<usize>();
        state.partial_record.capacity() + state.output.memory_bytes() + requests
    }

    /// The requests of which not all records have been read.
    pub fn incomplete_requests(&self) -> Vec<RequestRef> {
        let open = self.state.open_requests.iter(self.state.id);
        let incomplete = open.filter(|(_, request)| matches!(request, OpenRequest::Incoming(..)));
        incomplete.map(|(reference, _)| reference).collect()
    }

    /// Whether the input ends with an incomplete record.
    pub fn has_partial_record(&self) -> bool {
        !self.state.partial_record.is_empty()
    }

    /// Whether any request of the connection was answered with a result.
    pub fn has_served(&self) -> bool {
        self.state.has_served
    }

    /// Whether output waits that the other side has not read.
    pub fn is_unread(&self) -> bool {
        self.state.write_blocked_since.is_some()
    }

    // ---- State ---------------------------------------------------------------------------------------

    /// Whether the connection is in its lingering close: its write side is shut.
    pub fn is_closing(&self) -> bool {
        self.state.lingering_close.is_some()
    }

    /// Whether input of the connection is no longer read as requests.
    pub fn has_stopped_reading(&self) -> bool {
        self.state.reading_stopped
    }

    /// Whether an event of the poller can only mean that the other side has reset the connection: the node
    /// neither reads from the connection nor writes to it.
    pub fn is_reset(&self) -> bool {
        self.state.reading_stopped && self.state.output.is_empty()
    }

    /// Whether the connection has no open request, no output to write and no incomplete record.
    pub(super) fn is_idle(&self) -> bool {
        self.state.open_requests.is_empty()
            && self.state.output.is_empty()
            && self.state.partial_record.is_empty()
    }

    /// Whether the connection can end: reading has stopped, no request is open, and its close is not delayed.
    pub(super) fn is_finished(&self) -> bool {
        self.state.reading_stopped
            && self.state.open_requests.is_empty()
            && self.state.close_delayed_until.is_none()
    }

    /// Whether the poller has to watch for input, to process it or to drop it.
    pub(super) fn wants_input(&self) -> bool {
        match &self.state.lingering_close {
            Some(lingering_close) => lingering_close.wants_input(),
            None => !self.state.reading_stopped,
        }
    }

    // ---- Reading and writing -------------------------------------------------------------------------

    /// Fills `buffer` with the incomplete record of the previous read, followed by at most `limit` bytes of new
    /// input, and returns the length of both together.
    ///
    /// # Errors
    /// The system reports an error other than [`io::ErrorKind::WouldBlock`] and
    /// [`io::ErrorKind::Interrupted`]. The connection can no longer be answered and has to be closed.
    pub fn read(&mut self, now: Timestamp, limit: usize, buffer: &mut [u8]) -> io::Result<usize> {
        let kept = self.state.partial_record.len();
        buffer[..kept].copy_from_slice(&self.state.partial_record);
        if self.state.reading_stopped {
            return Ok(0);
        }
        let read = loop {
            match self.stream.read(&mut buffer[kept..kept + limit.min(READ_CHUNK_BYTES)]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        match read {
            // The other side has shut its write side but may still read: pending answers are sent before the
            // connection ends.
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

    /// Stops reading and discards an incomplete record. Pending answers are still sent; incomplete requests
    /// stay open until the event loop fails them.
    ///
    /// # Errors
    /// The poller does not accept the change of interest; the connection has to be closed.
    pub fn stop_reading(&mut self) -> io::Result<()> {
        self.state.reading_stopped = true;
        self.state.partial_since = None;
        self.state.partial_record = Vec::new();
        self.stream.watch(false, !self.state.output.is_empty())
    }

    /// Keeps the incomplete record at the end of the input for the next read. `follows_record` tells whether
    /// complete records preceded it; if so, `INCOMPLETE_TIMEOUT` starts anew.
    pub fn keep_partial_record(&mut self, now: Timestamp, rest: &[u8], follows_record: bool) {
        if !self.state.reading_stopped {
            // A new buffer, so that a client does not keep the capacity of its longest record.
            self.state.partial_record = rest.to_vec();
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
