//! Accepting connections within the descriptor budget.
//!
//! When the budget is used up, the idle connection that is least likely to be used again is closed to make
//! room. If there is none, new connections wait unaccepted in the system's queue: a connection that may carry
//! a request is never closed in favour of another one.
//!
//! Clients can connect as fast as the node accepts, so the queue may never become empty. Each iteration of the
//! event loop therefore accepts [`MAX_ACCEPTS_PER_ITERATION`] connections at most. The others are accepted in
//! the next iterations, after whatever else is due.

use super::connection::Connection;
use super::{ConnectionId, ConnectionTable};
use crate::counters::Counters;
use crate::io::{Listener, Stream, System};
use gaugestand_admission::time::{Micros, Timestamp};
use std::io;
use std::net::SocketAddr;

/// Descriptors that the node needs besides connections: the standard streams, the poller, the listener, the
/// kernel, membership reports, signals, and some spare ones.
pub(super) const OWN_DESCRIPTORS: usize = 20;
/// Age up to which a connection without a request is not evicted. Gateways connect when they have something to
/// send, so the first request of such a connection is probably on its way.
const NEWCOMER_GRACE: Micros = Micros::millis(100);
/// Shortest pause of accepting for lack of room. Bounds the share of a core that clients can take up by
/// connecting again and again.
const MIN_ACCEPT_PAUSE: Micros = Micros::millis(10);
/// Maximum number of connections that one iteration of the event loop accepts.
pub(super) const MAX_ACCEPTS_PER_ITERATION: usize = 128;
/// Maximum number of connections that are accepted after the listener was told to stop: as many as the
/// system's queue can hold by default (`net.core.somaxconn`).
const MAX_FINAL_ACCEPTS: usize = 4_096;
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

    /// Accepts connections in the system's queue, and stops listening once the queue is empty; to be called
    /// in each iteration until the table no longer listens. The system resets connections that are left in
    /// the queue, and their requests would be lost. Stops listening in any case after `MAX_FINAL_ACCEPTS`
    /// connections, or if `is_last_call`: clients that go on connecting must not hold up the exit.
    pub fn stop_listening(&mut self, now: Timestamp, is_last_call: bool, counters: &mut Counters) {
        if self.listener.is_none() {
            return;
        }
        let accepted_before = counters.connections_accepted;
        let end = self.accept_batch(now, Eviction::IncludingNewcomers, counters);
        self.final_accepts += (counters.connections_accepted - accepted_before) as usize;
        let is_done = end == AcceptEnd::QueueEmpty || self.final_accepts >= MAX_FINAL_ACCEPTS;
        if is_last_call || is_done {
            self.listener = None;
        } else {
            match end {
                AcceptEnd::NoRoom => self.pause_accepting(now),
                _ => self.watch_listener(true),
            }
        }
    }

    /// Accepts the connections that wait, as far as one iteration may. When the descriptor budget is used up,
    /// evicts an idle connection for each of them, or pauses accepting if none can be evicted.
    pub fn accept(&mut self, now: Timestamp, counters: &mut Counters) {
        match self.accept_batch(now, Eviction::ExceptNewcomers, counters) {
            AcceptEnd::QueueEmpty => {}
            // The poller reports the listener again in the next iteration.
            AcceptEnd::LimitReached => counters.accept_limits_reached += 1,
            AcceptEnd::NoRoom => {
                counters.accept_pauses += 1;
                self.pause_accepting(now);
            }
        }
    }

    /// Pauses accepting until a connection can be evicted because its grace is over, or until the next check
    /// of the timeouts.
    fn pause_accepting(&mut self, now: Timestamp) {
        let accepted = self.idle_connections().map(|connection| connection.state.accepted_at);
        let grace_ends = accepted.map(|at| at.plus(NEWCOMER_GRACE)).filter(|end| *end > now);
        let resume_at = grace_ends.min().unwrap_or(self.next_timeout_check).min(self.next_timeout_check);
        self.accept_resumes_at = Some(resume_at.max(now.plus(MIN_ACCEPT_PAUSE)));
        self.watch_listener(false);
    }

    /// Resumes accepting if a pause for lack of room is over.
    pub(super) fn resume_accepting_if_due(&mut self, now: Timestamp) {
        if self.accept_resumes_at.is_some_and(|at| now >= at) {
            self.accept_resumes_at = None;
            self.watch_listener(true);
        }
    }

    /// When [`ConnectionTable::on_timer`] has to resume accepting; none unless connections wait for room.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.accept_resumes_at.filter(|_| self.listener.is_some())
    }

    fn accept_batch(&mut self, now: Timestamp, eviction: Eviction, counters: &mut Counters) -> AcceptEnd {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            // Guards against closing a connection that may already carry a request: the new connection waits
            // unaccepted.
            if self.is_full() && !self.evict_one(now, eviction, counters) {
                return AcceptEnd::NoRoom;
            }
            let Some(listener) = &self.listener else { return AcceptEnd::QueueEmpty };
            match listener.accept(self.next_key()) {
                Ok(stream) => {
                    self.insert(now, stream);
                    counters.connections_accepted += 1;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return AcceptEnd::QueueEmpty,
                // Guards against a busy loop while the system is out of descriptors or memory: the listener
                // would be ready again at once.
                Err(_) => return AcceptEnd::NoRoom,
            }
        }
        AcceptEnd::LimitReached
    }

    fn is_full(&self) -> bool {
        self.open_count() >= self.capacity()
    }

    /// Number of connections that the table may hold at present.
    fn capacity(&self) -> usize {
        self.max_connections.saturating_sub(self.reserved).max(1)
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
    /// is unused and may be closed.
    fn evict_one(&mut self, now: Timestamp, eviction: Eviction, counters: &mut Counters) -> bool {
        (0..MAX_EVICTION_ATTEMPTS).any(|_| {
            let Some(id) = self.eviction_candidate(now, eviction) else { return false };
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

    /// The idle connection with the lowest eviction rank that may be closed; none if new connections have to
    /// wait.
    fn eviction_candidate(&self, now: Timestamp, eviction: Eviction) -> Option<ConnectionId> {
        // Among equals the connection that was accepted first is evicted, never the newest one.
        let order = |connection: &&Connection<S::Stream>| {
            (connection.eviction_rank(now), connection.state.last_active, connection.state.id.serial)
        };
        let first = self.idle_connections().min_by_key(order)?;
        if first.eviction_rank(now) != EvictionRank::Newcomer || eviction == Eviction::IncludingNewcomers {
            return Some(first.state.id);
        }
        // Clients without a request do not push out gateways that rest, unless the latter hold so much of the
        // table that new connections would wait for long.
        let is_newcomer =
            |connection: &&Connection<S::Stream>| connection.eviction_rank(now) == EvictionRank::Newcomer;
        if self.idle_connections().filter(is_newcomer).count() >= self.capacity() / 2 {
            return None;
        }
        let resting = self.idle_connections().filter(|connection| !is_newcomer(connection));
        resting.min_by_key(order).map(|connection| connection.state.id)
    }
}

/// Why an iteration stopped accepting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptEnd {
    /// No connection waits, or the table does not listen.
    QueueEmpty,
    /// The iteration has accepted as many connections as it may; others may wait.
    LimitReached,
    /// There is no room for another connection, or the system lacks resources for it.
    NoRoom,
}

/// Which idle connections may be closed to make room for new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Eviction {
    /// All but those in their [`NEWCOMER_GRACE`]. While these are half of the table or more, the connections
    /// that rank after them stay open too, and new connections wait for the end of the grace.
    ExceptNewcomers,
    /// All: the listener closes, and a connection that waits is as likely to carry a request.
    IncludingNewcomers,
}

/// Rank of an idle connection for eviction; the lowest is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// In its lingering close.
    Closing,
    /// No longer read.
    ReadingStopped,
    /// Has sent no request since it was accepted, for longer than [`NEWCOMER_GRACE`].
    Silent,
    /// Was accepted a moment ago and has sent no request yet.
    Newcomer,
    /// Has sent requests, of which none was answered with a result.
    Requested,
    /// Has been answered with a result, so it belongs to a gateway.
    Served,
}

impl<T: Stream> Connection<T> {
    fn eviction_rank(&self, now: Timestamp) -> EvictionRank {
        let is_newcomer = now.since(self.state.accepted_at) < NEWCOMER_GRACE;
        if self.is_closing() {
            EvictionRank::Closing
        } else if self.state.reading_stopped {
            EvictionRank::ReadingStopped
        } else if self.state.has_served {
            EvictionRank::Served
        } else if self.state.has_requested {
            EvictionRank::Requested
        } else if is_newcomer {
            EvictionRank::Newcomer
        } else {
            EvictionRank::Silent
        }
    }
}
