//! The table of connections: from poller keys and names to connections, and writing what was queued.

use super::connection::{Connection, ConnectionState};
use super::listener::OWN_DESCRIPTORS;
use super::{ConnectionId, OpenRequest, RequestRef};
use crate::counters::Counters;
use crate::io::System;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::{Micros, Timestamp};
use std::mem;

/// Most bytes that wait to be read by the other side: all answers that a connection can have open. Beyond it the connection is
/// cut off, as its other side asks without reading.
pub(super) const MAX_UNWRITTEN_BYTES: usize = 192 * 1024;

/// The listener and its connections.
#[derive(Debug)]
pub struct ConnectionTable<S: System> {
    pub(super) listener: Option<S::Listener>,
    /// Nothing is accepted or read.
    pub(super) paused: bool,
    /// Descriptors that another process of this node needs for now.
    pub(super) reserved: usize,
    /// Poller key of the first slot.
    first_key: usize,
    pub(super) slots: Vec<Option<Connection<S::Stream>>>,
    /// Slots that are empty; the last one is used next.
    pub(super) free: Vec<usize>,
    /// Connections so far.
    last_serial: u64,
    pub(super) max_connections: usize,
    pub(super) idle_timeout: Option<Micros>,
    /// Connections with something to write or to settle in this iteration.
    pub(super) touched: Vec<ConnectionId>,
    pub(super) next_timeout_check: Timestamp,
}

impl<S: System> ConnectionTable<S> {
    /// A table that does not listen yet, within this many descriptors besides those of other components.
    pub fn new(first_key: usize, descriptors: usize) -> Self {
        ConnectionTable {
            listener: None,
            paused: false,
            reserved: 0,
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

    /// The poller key of the next connection.
    pub fn next_key(&self) -> usize {
        self.first_key + self.next_index()
    }

    /// The name of the next connection; each has another one.
    pub(super) fn next_id(&mut self) -> ConnectionId {
        self.last_serial += 1;
        ConnectionId { index: self.next_index(), serial: self.last_serial }
    }

    /// Adds a connection that was accepted just now, watched under [`ConnectionTable::next_key`].
    pub(super) fn insert(&mut self, now: Timestamp, stream: S::Stream) {
        let id = self.next_id();
        self.place(Connection { stream, state: ConnectionState::new(id, now) });
    }

    /// Puts a connection into the next slot, which is the one in its id.
    pub(super) fn place(&mut self, connection: Connection<S::Stream>) {
        match self.free.pop() {
            Some(index) => self.slots[index] = Some(connection),
            None => self.slots.push(Some(connection)),
        }
    }

    /// The connection that a poller key stands for.
    pub fn at_key(&self, key: usize) -> Option<ConnectionId> {
        let index = key.checked_sub(self.first_key)?;
        Some(self.slots.get(index)?.as_ref()?.state.id)
    }

    /// A connection that is still there.
    pub fn get(&mut self, id: ConnectionId) -> Option<&mut Connection<S::Stream>> {
        self.slots.get_mut(id.index)?.as_mut().filter(|connection| connection.state.id == id)
    }

    pub(super) fn ids(&self) -> Vec<ConnectionId> {
        self.slots.iter().flatten().map(|connection| connection.state.id).collect()
    }

    pub(super) fn open_count(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether no connection is left.
    pub fn is_empty(&self) -> bool {
        self.open_count() == 0
    }

    // ---- Open requests -------------------------------------------------------------------------------

    /// Takes a request off its connection's list of open ones, for whoever answers it.
    pub fn take_request(&mut self, request: RequestRef) -> Option<OpenRequest> {
        self.get(request.connection)?.state.open_requests.remove(&request.fcgi_id)
    }

    /// Requests that are not complete, and health checks that wait.
    pub fn unadmitted_requests(&self) -> Vec<RequestRef> {
        self.requests(|request| !matches!(request, OpenRequest::Admitted(..)))
    }

    /// Health checks that wait.
    pub fn pending_health_checks(&self) -> Vec<RequestRef> {
        self.requests(|request| matches!(request, OpenRequest::HealthCheck(_)))
    }

    fn requests(&self, matches: impl Fn(&OpenRequest) -> bool) -> Vec<RequestRef> {
        let mut found = Vec::new();
        for connection in self.slots.iter().flatten() {
            let matching = connection.state.open_requests.iter().filter(|(_, request)| matches(request));
            let id = connection.state.id;
            found.extend(matching.map(|(fcgi_id, _)| RequestRef { connection: id, fcgi_id: *fcgi_id }));
        }
        found
    }

    /// Counts a bad request on a connection; after too many, or at once if `ends_connection`, the connection ends.
    pub fn note_bad_request(&mut self, now: Timestamp, id: ConnectionId, ends_connection: bool) {
        if let Some(connection) = self.get(id) {
            connection.note_bad_request(now, ends_connection);
        }
    }

    // ---- Writing and closing -------------------------------------------------------------------------

    /// Marks a connection as having something to write or to settle in this iteration.
    pub fn touch(&mut self, id: ConnectionId) {
        if !self.touched.contains(&id) {
            self.touched.push(id);
        }
    }

    /// Writes what the iteration has queued, and ends what is done; returns the attempts that were owed an answer on what broke.
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

    /// Whether anything is still to be written.
    pub fn is_writing(&self) -> bool {
        self.slots.iter().flatten().any(|connection| !connection.state.output.is_empty())
    }

    /// Closes a connection; returns the attempts that were owed an answer on it.
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
