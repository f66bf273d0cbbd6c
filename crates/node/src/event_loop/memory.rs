//! Keeps the memory of gateways' connections and open requests within its budget.
//!
//! When the budget is exceeded, incomplete requests are rejected, on the connections that take the most
//! memory first. A connection on which a request was served belongs to a gateway and comes last. If that does
//! not free enough, connections whose other side does not read its answers are closed, and as a last resort
//! complete requests are rejected as they arrive. None of the rejected requests has run.

use super::Node;
use crate::connections::{ConnectionId, RequestRef};
use crate::io::System;
use crate::response::Response;
use gaugestand_admission::time::Micros;
use std::cmp::Reverse;

/// Memory that the engine and the event loop keep for an admitted attempt besides its bodies, in bytes.
const ATTEMPT_BYTES: usize = 1024;
/// Divisor of the budget that gives the memory down to which is freed before a hand-over, in which the state
/// of all connections is encoded while both processes exist.
const HANDOVER_DIVISOR: usize = 2;
/// Retry-After of a request that is rejected for lack of memory.
const MEMORY_RETRY_AFTER: Micros = Micros::millis(250);

impl<S: System> Node<S> {
    /// Frees memory if the budget is exceeded. To be called after input was read or output was queued.
    pub(super) fn enforce_memory_budget(&mut self) {
        if !self.memory_budget.is_exceeded() {
            return;
        }
        let counted = self.count_memory();
        if self.memory_budget.is_exceeded() {
            self.free_memory(counted, self.memory_budget.target());
        }
    }

    /// Frees memory before the state of all connections is encoded for a successor.
    pub(super) fn free_memory_for_handover(&mut self) {
        let counted = self.count_memory();
        let target = self.memory_budget.limit() / HANDOVER_DIVISOR;
        if counted > target {
            self.free_memory(counted, target);
        }
    }

    /// Counts the memory that gateways' connections and open requests take, in bytes.
    pub(super) fn count_memory(&mut self) -> usize {
        let attempts = self.attempts.values();
        let bodies = attempts.map(|attempt| attempt.body.capacity() + attempt.call_body.capacity());
        let attempt_bytes = bodies.map(|bytes| bytes + ATTEMPT_BYTES).sum::<usize>();
        let counted = self.connections.memory_bytes() + attempt_bytes;
        self.memory_budget.set_counted(counted);
        self.counters.connection_bytes = counted as u64;
        self.counters.connection_bytes_peak = self.memory_budget.peak() as u64;
        counted
    }

    /// Frees memory until the connections take at most `target` bytes or there is nothing left to free.
    fn free_memory(&mut self, counted: usize, target: usize) {
        let mut left = counted;
        let mut connections = self.connections.memory_by_connection();
        connections.sort_by_key(|usage| (usage.has_served, Reverse(usage.bytes)));
        for usage in connections {
            if left <= target {
                break;
            }
            let freed = self.free_connection_memory(usage.id, usage.bytes);
            left = left.saturating_sub(freed);
        }
        self.count_memory();
    }

    /// Rejects the incomplete requests of a connection, and ends the connection if it is no gateway's or if
    /// its input is an incomplete record. Closes the connection if its other side does not read. Returns the
    /// number of bytes that were freed.
    fn free_connection_memory(&mut self, id: ConnectionId, bytes: usize) -> usize {
        let now = self.clock.now();
        let Some(connection) = self.connections.get(id) else { return bytes };
        if connection.is_unread() {
            self.counters.connections_cut += 1;
            self.close_connection(id);
            return bytes;
        }
        let incomplete = connection.incomplete_requests();
        let has_partial_record = connection.has_partial_record();
        if incomplete.is_empty() && !has_partial_record {
            return 0;
        }
        let ends = has_partial_record || !connection.has_served();
        for request in incomplete {
            self.reject_incomplete(request);
        }
        if ends {
            self.connections.note_bad_request(now, id, true);
        }
        self.connections.touch(id);
        let left = self.connections.get(id).map_or(0, |connection| connection.memory_bytes());
        bytes.saturating_sub(left)
    }

    /// Rejects a request of which not all records have been read; it never ran.
    fn reject_incomplete(&mut self, request: RequestRef) {
        let Some(open) = self.connections.take_request(request) else { return };
        self.counters.requests_over_memory += 1;
        if let Some(connection) = self.connections.get(request.connection) {
            connection.reject(request.fcgi_id(), open.keeps_connection());
        }
    }

    /// The rejection of a complete request while the budget is exceeded although everything was freed that
    /// can be; none if the request fits.
    pub(super) fn reject_by_memory(&mut self) -> Option<Response<'static>> {
        self.enforce_memory_budget();
        if !self.memory_budget.is_exceeded() {
            return None;
        }
        self.counters.requests_over_memory += 1;
        Some(Response::rejection(self.engine.capacity(), MEMORY_RETRY_AFTER, false))
    }
}
