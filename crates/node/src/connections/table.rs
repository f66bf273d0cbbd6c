//! The table of connections: finds connections by poller key and by id, and writes their queued output.

use super::connection::{Connection, ConnectionState};
use super::listener::OWN_DESCRIPTORS;
use super::{ConnectionId, OpenRequest, RequestRef};
use crate::counters::Counters;
use crate::io::System;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::{Micros, Timestamp};
use std::mem;

/// Maximum number of bytes of output that may wait on one connection: enough for the answers to all requests
/// that it can have open. A connection with more is closed, as its other side sends requests without reading
/// the answers.
pub(super) const MAX_UNWRITTEN_BYTES: usize = 192 * 1024;

/// The memory that one connection takes.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionMemory {
    /// The connection.
    pub id: ConnectionId,
    /// Whether any request of the connection was answered with a result.
    pub has_served: bool,
    /// Bytes of memory that the buffers and open requests of the connection take.
    pub bytes: usize,
}

/// The listener for gateways and the connections that it has accepted.
#[derive(Debug)]
pub struct ConnectionTable<S: System> {
    pub(super) listener: Option<S::Listener>,
    /// Whether the table is paused: nothing is accepted, read or written.
    pub(super) paused: bool,
    /// Descriptors that are left unused, as a successor process needs them during a hand-over.
    pub(super) reserved: usize,
    /// When accepting resumes that is paused for lack of room; none while it is not paused.
    pub(super) accept_resumes_at: Option<Timestamp>,
    /// Number of connections that were accepted since the table was told to stop listening.
    pub(super) final_accepts: usize,
    /// Poller key of the first slot; the key of slot n is this plus n.
    first_key: usize,
    pub(super) slots: Vec<Option<Connection<S::Stream>>>,
    /// Indices of empty slots; the last of them is used next.
    pub(super) free: Vec<usize>,
    /// Serial number of the connection that was added last; 0 before the first.
    last_serial: u64,
    pub(super) max_connections: usize,
    pub(super) idle_timeout: Option<Micros>,
    /// Connections that the next flush has to write to or may have to close.
    pub(super) touched: Vec<ConnectionId>,
    pub(super) next_timeout_check: Timestamp,
}

impl<S: System> ConnectionTable<S> {
    /// Creates a table that does not listen yet. The table holds at most `descriptors` less `OWN_DESCRIPTORS`
    /// connections, but at least one.
    pub fn new(first_key: usize, descriptors: usize) -> Self {
        ConnectionTable {
            listener: None,
            paused: false,
            reserved: 0,
            accept_resumes_at: None,
            final_accepts: 0,
            first_key,
            slots: Vec::new(),
            free: Vec::new(),
            last_serial: 0,
            max_connections: descriptors.saturating_sub(OWN_DESCRIPTORS).max(1),
            idle_timeout: None,
            touched: Vec::new(),
            next_timeout_check: Timestamp(0),
        }
    }

    // ---- Slots and names -----------------------------------------------------------------------------

    fn next_index(&self) -> usize {
        self.free.last().copied().unwrap_or(self.slots.len())
    }

    /// The poller key under which the next connection has to be watched.
    pub fn next_key(&self) -> usize {
        self.first_key + self.next_index()
    }

    /// Allocates the id of the next connection; no two connections of a process get the same one.
    pub(super) fn next_id(&mut self) -> ConnectionId {
        self.last_serial += 1;
        ConnectionId { index: self.next_index(), serial: self.last_serial }
    }

    /// Adds a connection that was accepted at `now` and is watched under [`ConnectionTable::next_key`].
    pub(super) fn insert(&mut self, now: Timestamp, stream: S::Stream) {
        let id = self.next_id();
        self.place(Connection { stream, state: ConnectionState::new(id, now) });
    }

    /// Puts a connection into the next free slot, whose index [`ConnectionTable::next_id`] has put into its
    /// id.
    pub(super) fn place(&mut self, connection: Connection<S::Stream>) {
        match self.free.pop() {
            Some(index) => self.slots[index] = Some(connection),
            None => self.slots.push(Some(connection)),
        }
    }

    /// The id of the connection that is watched under a poller key.
    pub fn at_key(&self, key: usize) -> Option<ConnectionId> {
        let index = key.checked_sub(self.first_key)?;
        Some(self.slots.get(index)?.as_ref()?.state.id)
    }

    /// The connection with this id, unless it was closed.
    pub fn get(&mut self, id: ConnectionId) -> Option<&mut Connection<S::Stream>> {
        self.slots.get_mut(id.index)?.as_mut().filter(|connection| connection.state.id == id)
    }

    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.slots.iter().flatten().map(|connection| connection.state.id).collect()
    }

    pub(super) fn open_count(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether the table has no connection.
    pub fn is_empty(&self) -> bool {
        self.open_count() == 0
    }

    // ---- Open requests -------------------------------------------------------------------------------

    /// Removes a request from its connection's open requests, so that it can be answered; none if it is not
    /// open.
    pub fn take_request(&mut self, request: RequestRef) -> Option<OpenRequest> {
        self.get(request.connection)?.state.open_requests.take(request)
    }

    /// Whether a request is open.
    pub fn is_open(&mut self, request: RequestRef) -> bool {
        self.get(request.connection)
            .is_some_and(|connection| connection.state.open_requests.contains(request))
    }

    /// The request on the connection `connection` that the engine has taken as this attempt. If it is not
    /// open, a reference to a request that has ended.
    pub fn request_of_attempt(&mut self, connection: ConnectionId, attempt: RequestId) -> RequestRef {
        let is_request =
            |request: &OpenRequest| matches!(request, OpenRequest::Admitted(id, _) if *id == attempt);
        let found = self.get(connection).and_then(|found| {
            let mut open = found.state.open_requests.iter(connection);
            open.find(|(_, request)| is_request(request)).map(|(reference, _)| reference)
        });
        found.unwrap_or(RequestRef::ended(connection))
    }

    /// Open requests that the engine has not taken: incomplete ones, and deep health checks that wait for the
    /// kernel.
    pub fn unadmitted_requests(&self) -> Vec<RequestRef> {
        self.requests(|request| !matches!(request, OpenRequest::Admitted(..)))
    }

    /// Open deep health checks that wait for the kernel.
    pub fn pending_health_checks(&self) -> Vec<RequestRef> {
        self.requests(|request| matches!(request, OpenRequest::HealthCheck(_)))
    }

    fn requests(&self, matches: impl Fn(&OpenRequest) -> bool) -> Vec<RequestRef> {
        let mut found = Vec::new();
        for connection in self.slots.iter().flatten() {
            let open = connection.state.open_requests.iter(connection.state.id);
            let matching = open.filter(|(_, request)| matches(request));
            found.extend(matching.map(|(reference, _)| reference));
        }
        found
    }

    /// Counts a bad request on a connection; after too many of them, or at once if `ends_connection`, the
    /// connection ends.
    pub fn note_bad_request(&mut self, now: Timestamp, id: ConnectionId, ends_connection: bool) {
        if let Some(connection) = self.get(id) {
            connection.note_bad_request(now, ends_connection);
        }
    }

    // ---- Memory --------------------------------------------------------------------------------------

    /// Bytes of memory that all connections take, with their open requests and output.
    pub fn memory_bytes(&self) -> usize {
        let table = self.slots.capacity() * size_of::<Option<Connection<S::Stream>>>();
        table + self.slots.iter().flatten().map(Connection::memory_bytes).sum::<usize>()
    }

    /// The memory that each connection takes.
    pub fn memory_by_connection(&self) -> Vec<ConnectionMemory> {
        let usage = |connection: &Connection<S::Stream>| ConnectionMemory {
            id: connection.state.id,
            has_served: connection.has_served(),
            bytes: connection.memory_bytes(),
        };
        self.slots.iter().flatten().map(usage).collect()
    }

    // ---- Writing and closing -------------------------------------------------------------------------

    /// Marks a connection for the next flush: it has output to write, or may have to be closed.
    pub fn touch(&mut self, id: ConnectionId) {
        if !self.touched.contains(&id) {
            self.touched.push(id);
        }
    }

    /// Writes the queued output of the marked connections. Closes those that failed or hold more than
    /// `MAX_UNWRITTEN_BYTES`, and ends those that are finished; returns the attempts whose answer was pending
    /// on them.
    pub fn flush(&mut self, now: Timestamp, counters: &mut Counters) -> Vec<RequestId> {
        let mut gone = Vec::new();
        for id in mem::take(&mut self.touched) {
            let Some(connection) = self.get(id).filter(|connection| !connection.is_closing()) else {
                continue;
            };
            let written = connection.write(now);
            let output = &connection.state.output;
            let cut = output.len() > MAX_UNWRITTEN_BYTES;
            let done = output.is_empty() && (connection.state.closes_after_write || connection.is_finished());
            counters.connections_cut += u64::from(cut);
            if written.is_err() || cut {
                gone.extend(self.close(id));
            } else if done {
                gone.extend(self.begin_lingering_close(now, id));
            }
        }
        gone
    }

    /// Whether any connection has output that waits to be written.
    pub fn is_writing(&self) -> bool {
        self.slots.iter().flatten().any(|connection| !connection.state.output.is_empty())
    }

    /// Closes the socket of a connection and frees its slot; returns the attempts whose answer was pending on
    /// it.
    pub fn close(&mut self, id: ConnectionId) -> Vec<RequestId> {
        if self.get(id).is_none() {
            return Vec::new();
        }
        let connection = self.slots[id.index].take();
        self.free.push(id.index);
        let open = connection.into_iter().flat_map(|connection| connection.state.open_requests.into_values());
        open.filter_map(OpenRequest::admitted).collect()
    }
}
