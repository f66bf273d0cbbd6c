//! Accepting connections within the descriptor budget.
//!
//! When the budget is used up, the idle connection that is least likely to be used again is closed to make
//! room. If there is none, new connections wait unaccepted in the system's queue: a connection that may carry
//! a request is never closed in favour of another one.

use super::ConnectionTable;
use super::connection::Connection;
use crate::counters::Counters;
use crate::io::{Listener, Stream, System};
use gaugestand_admission::time::{Micros, Timestamp};
use std::io;
use std::net::SocketAddr;

/// Descriptors that the node needs besides connections: the standard streams, the poller, the listener, the
/// kernel, membership reports, signals, and some spare ones.
pub(super) const OWN_DESCRIPTORS: usize = 20;
/// Age up to which a connection without a request ranks last for eviction. Gateways connect when they have
/// something to send, so the first request of such a connection is probably on its way.
const NEWCOMER_GRACE: Micros = Micros::millis(100);
/// Maximum number of connections that are examined to find one that can be evicted. Each examination is a
/// system call, and this is done for each new connection.
const MAX_EVICTION_ATTEMPTS: usize = 8;

impl<S: System> ConnectionTable<S> {
    /// Accepts connections from this listener from now on.
    pub fn listen(&mut self, listener: S::Listener) {
        self.listener = Some(listener);
        self.watch_listener(true);
    }

    /// The listener, to be handed over to another process; none if the table does not listen.
    pub fn listener(&self) -> Option<&S::Listener> {
        self.listener.as_ref()
    }

    /// The address at which the table listens; none if it does not listen.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|listener| listener.address())
    }

    /// Leaves this many of the table's descriptors unused from now on, at most half of them. A successor
    /// needs these descriptors during a hand-over; 0 ends the reservation.
    pub fn reserve_descriptors(&mut self, descriptors: usize) {
        self.reserved = descriptors.min(self.max_connections / 2);
    }

    /// Pauses or resumes the table: while it is paused, nothing is accepted, read or written.
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
        self.watch_listener(!paused);
        for connection in self.slots.iter_mut().flatten() {
            let reading = !paused && connection.wants_input();
            let writing = !paused && !connection.state.output.is_empty();
            // If the poller rejects a connection, the next write to it fails, and it is closed then.
            let _ = connection.stream.watch(reading, writing);
        }
    }

    /// Accepts all connections in the system's queue and then stops listening. The system resets connections
    /// that are left in the queue, and their requests would be lost.
    pub fn stop_listening(&mut self, now: Timestamp, counters: &mut Counters) {
        if self.listener.is_some() {
            self.accept(now, counters);
            self.listener = None;
        }
    }

    /// Accepts the connections that wait. When the descriptor budget is used up, evicts an idle connection
    /// for each of them, or pauses accepting if none can be evicted.
    pub fn accept(&mut self, now: Timestamp, counters: &mut Counters) {
        loop {
            if self.is_full() && !self.evict_one(now, counters) {
                // Guards against closing a connection that may already carry a request: the new connection
                // waits unaccepted.
                counters.accept_pauses += 1;
                return self.watch_listener(false);
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept(self.next_key()) {
                Ok(stream) => {
                    self.insert(now, stream);
                    counters.connections_accepted += 1;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // Guards against a busy loop while the system is out of descriptors or memory: the listener
                // would be ready again at once. The next check of the timeouts resumes accepting.
                Err(_) => {
                    counters.accept_pauses += 1;
                    return self.watch_listener(false);
                }
            }
        }
    }

    fn is_full(&self) -> bool {
        self.open_count() >= self.max_connections.saturating_sub(self.reserved).max(1)
    }

    pub(super) fn watch_listener(&mut self, watched: bool) {
        let watched = watched && !self.paused;
        if let Some(listener) = &mut self.listener {
            // If the poller rejects the change, the listener stays watched as before, and the next check of
            // the timeouts tries again.
            let _ = listener.watch(watched);
        }
    }

    /// Closes the idle connection with the lowest eviction rank; returns false if none of the examined ones
    /// is unused.
    fn evict_one(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        (0..MAX_EVICTION_ATTEMPTS).any(|_| {
            let candidate = self.idle_connections().min_by_key(|connection| {
                // Among equals the connection that was accepted first is evicted, never the newest one.
                (connection.eviction_rank(now), connection.state.last_active, connection.state.id.serial)
            });
            let Some(id) = candidate.map(|connection| connection.state.id) else { return false };
            let unused = self.is_unused(now, id);
            if unused {
                let is_closing = self.get(id).is_some_and(|connection| connection.is_closing());
                counters.connections_idle_closed += u64::from(!is_closing);
                // The connection is closed without a lingering close, as its descriptor is needed now.
                self.close(id);
            }
            unused
        })
    }
}

impl<T: Stream> Connection<T> {
    /// Rank of an idle connection for eviction; the lowest is evicted first. Connections that are ending
    /// anyway come first, then those without a request that are older than [`NEWCOMER_GRACE`], as gateways
    /// connect when they have something to send.
    fn eviction_rank(&self, now: Timestamp) -> u8 {
        let is_newcomer = now.since(self.state.accepted_at) < NEWCOMER_GRACE;
        if self.is_closing() {
            0
        } else if self.state.reading_stopped {
            1
        } else if !self.state.has_requested && !is_newcomer {
            2
        } else {
            3
        }
    }
}
