//! Accepting connections within the descriptor budget.
//!
//! At the end of the budget the connection that is most surely of no use makes room. If none is, newcomers wait unaccepted in
//! the system's queue: a connection that may carry a request is never closed for another one.

use super::ConnectionTable;
use super::connection::Connection;
use crate::counters::Counters;
use crate::io::{Listener, Stream, System};
use gaugestand_admission::time::{Micros, Timestamp};
use std::io;
use std::net::SocketAddr;

/// Descriptors that the node needs besides connections: standard streams, poller, listener, kernel, membership reports,
/// signals, and some to spare.
pub(super) const OWN_DESCRIPTORS: usize = 20;
/// A connection that has asked for nothing may be as old as this before it has to make room. Gateways connect when they have
/// something to send, which is then on its way.
const NEWCOMER_GRACE: Micros = Micros::millis(100);
/// Most connections that are examined to find one that can make room. Each examination is a system call, and this is done
/// for each newcomer.
const MAX_EVICTION_ATTEMPTS: usize = 8;

impl<S: System> ConnectionTable<S> {
    /// Takes connections from this listener from now on.
    pub fn listen(&mut self, listener: S::Listener) {
        self.listener = Some(listener);
        self.watch_listener(true);
    }

    /// The listener, to be passed on.
    pub fn listener(&self) -> Option<&S::Listener> {
        self.listener.as_ref()
    }

    /// The address it listens at.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|listener| listener.address())
    }

    /// Does without so many of its descriptors from now on, or without half of them if that is fewer.
    pub fn reserve_descriptors(&mut self, descriptors: usize) {
        self.reserved = descriptors.min(self.max_connections / 2);
    }

    /// Pauses or resumes: while paused nothing is accepted, read or written.
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
        self.watch_listener(!paused);
        for connection in self.slots.iter_mut().flatten() {
            let reading = !paused && connection.wants_input();
            let writing = !paused && !connection.state.output.is_empty();
            // One that cannot be watched any more shows as broken when it is written to.
            let _ = connection.stream.watch(reading, writing);
        }
    }

    /// Stops listening, once all that the system has accepted is taken in: what is left in its queue would be reset, with
    /// the requests on it.
    pub fn stop_listening(&mut self, now: Timestamp, counters: &mut Counters) {
        if self.listener.is_some() {
            self.accept(now, counters);
            self.listener = None;
        }
    }

    /// Accepts what waits; at the end of the budget the connection that was idle for longest makes room.
    pub fn accept(&mut self, now: Timestamp, counters: &mut Counters) {
        loop {
            if self.is_full() && !self.evict_one(now, counters) {
                // Guards against closing a connection that may carry a request already: the newcomer waits unaccepted.
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
                // Guards against spinning while the system is out of descriptors or memory: the listener would be ready
                // again at once. The next check of timeouts tries again.
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
            // If it cannot be changed the poller goes on as it was, and the next check of timeouts tries again.
            let _ = listener.watch(watched);
        }
    }

    /// Closes the connection that is most surely of no use; false if none of those examined is.
    fn evict_one(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        (0..MAX_EVICTION_ATTEMPTS).any(|_| {
            let candidate = self.idle_connections().min_by_key(|connection| {
                // Of those accepted at the same time the oldest goes: never the one that has just come.
                (connection.eviction_rank(now), connection.state.last_active, connection.state.id.serial)
            });
            let Some(id) = candidate.map(|connection| connection.state.id) else { return false };
            let unused = self.is_unused(now, id);
            if unused {
                let is_closing = self.get(id).is_some_and(|connection| connection.is_closing());
                counters.connections_idle_closed += u64::from(!is_closing);
                // At once, without a lingering close: its descriptor is needed now.
                self.close(id);
            }
            unused
        })
    }
}

impl<T: Stream> Connection<T> {
    /// The order in which idle connections make room: those that are to end anyway go first, then those that have asked for
    /// nothing, as gateways connect when they have something to send.
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
