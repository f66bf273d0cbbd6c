//! Connections on which nothing, or not enough, happens: when each is closed or cut off.
//!
//! | What | Closed after | How |
//! | --- | --- | --- |
//! | nothing under way, and the engine has set an idle timeout | that timeout | lingering close |
//! | nothing ever asked for on it | [`INCOMPLETE_TIMEOUT`] | lingering close |
//! | part of a record, or of a request | [`INCOMPLETE_TIMEOUT`] | the request fails with 408; what is owed is answered |
//! | the other side reads nothing of its answers | [`WRITE_STALL_TIMEOUT`] | cut off |
//!
//! All of them are checked every [`TIMEOUT_CHECK_INTERVAL`] at most, so each may come that much later.

use super::connection::Connection;
use super::{ConnectionId, ConnectionTable, OpenRequest, RequestRef};
use crate::counters::Counters;
use crate::io::{Stream, System};
use gaugestand_admission::RequestId;
use gaugestand_admission::time::{Micros, Timestamp};

/// A connection whose other side takes nothing of what waits to be written for this long is cut off: its answers would fill
/// memory. A gateway that is alive reads within milliseconds.
pub(super) const WRITE_STALL_TIMEOUT: Micros = Micros::millis(10_000);
/// What has been begun (a connection, a record, a request) and is incomplete by then is ended: the
/// sender is owed an end within 3 s, and this leaves half of that for a check that comes late.
pub(super) const INCOMPLETE_TIMEOUT: Micros = Micros::millis(1_500);
/// Time between two checks of all connections: short against the timeouts, and a walk of the table costs little at this rate.
pub(super) const TIMEOUT_CHECK_INTERVAL: Micros = Micros::millis(50);

/// What a check of the timeouts has ended.
#[derive(Debug, Default)]
pub struct Expired {
    /// Attempts that were owed an answer on connections that are gone.
    pub gone: Vec<RequestId>,
    /// Requests of which the rest does not come.
    pub unfinished: Vec<RequestRef>,
}

/// What becomes of a connection at a check of its timeouts.
enum Expiry {
    /// It stays.
    None,
    /// Its lingering close is over.
    Close,
    /// Its other side does not read.
    Cut,
    /// Nothing more is expected of it.
    End,
}

impl<S: System> ConnectionTable<S> {
    /// How long a connection may be idle, once that is set.
    pub fn idle_timeout(&self) -> Option<Micros> {
        self.idle_timeout
    }

    /// Sets how long a connection may be idle.
    pub fn set_idle_timeout(&mut self, timeout: Micros) {
        self.idle_timeout = Some(timeout);
    }

    /// Closes what was idle for too long, cuts off what does not read, and ends what was only begun.
    pub fn on_timer(&mut self, now: Timestamp, counters: &mut Counters) -> Expired {
        let mut expired = Expired::default();
        if now < self.next_timeout_check {
            return expired;
        }
        self.next_timeout_check = now.plus(TIMEOUT_CHECK_INTERVAL);
        self.watch_listener(true);
        self.close_idle(now, counters);
        let mut closed = Vec::new();
        let mut cut = Vec::new();
        let mut ended = Vec::new();
        for connection in self.slots.iter_mut().flatten() {
            let id = connection.state.id;
            expired.unfinished.extend(connection.unfinished_requests(now));
            match connection.check_timeouts(now, counters) {
                Expiry::None => {}
                Expiry::Close => closed.push(id),
                Expiry::Cut => cut.push(id),
                Expiry::End => ended.push(id),
            }
        }
        counters.connections_cut += cut.len() as u64;
        counters.connections_ended += ended.len() as u64;
        for id in closed {
            self.close(id);
        }
        for id in cut {
            expired.gone.extend(self.close(id));
        }
        for id in ended {
            expired.gone.extend(self.begin_lingering_close(now, id));
        }
        expired
    }

    fn close_idle(&mut self, now: Timestamp, counters: &mut Counters) {
        let Some(timeout) = self.idle_timeout else { return };
        let is_expired = |connection: &&Connection<S::Stream>| {
            !connection.state.reading_stopped && now.since(connection.state.last_active) >= timeout
        };
        let expired: Vec<ConnectionId> =
            self.idle_connections().filter(is_expired).map(|connection| connection.state.id).collect();
        for id in expired {
            if self.is_unused(now, id) {
                counters.connections_idle_closed += 1;
                self.begin_lingering_close(now, id);
            }
        }
    }

    pub(super) fn idle_connections(&self) -> impl Iterator<Item = &Connection<S::Stream>> + '_ {
        self.slots.iter().flatten().filter(|connection| connection.is_idle())
    }

    /// Whether nothing has just come on a connection with nothing under way. If something has, it counts as used now.
    pub(super) fn is_unused(&mut self, now: Timestamp, id: ConnectionId) -> bool {
        // Guards against closing on a request that has been sent but not read: it would be lost, and its gateway would have to
        // take the reset for a failure of the node.
        let Some(connection) = self.get(id) else { return false };
        if !connection.state.reading_stopped && connection.stream.has_unread() {
            connection.state.last_active = now;
            return false;
        }
        true
    }
}

impl<T: Stream> Connection<T> {
    fn check_timeouts(&mut self, now: Timestamp, counters: &mut Counters) -> Expiry {
        if let Some(lingering_close) = &self.state.lingering_close {
            return if lingering_close.is_over(now) { Expiry::Close } else { Expiry::None };
        }
        if self.is_stalled(now) {
            return Expiry::Cut;
        }
        if self.is_silent(now) {
            return Expiry::End;
        }
        if self.state.close_delayed_until.is_some_and(|until| now >= until) {
            // What is owed on it is still answered, and its last answer ends it.
            self.state.close_delayed_until = None;
            let ends_now = self.is_finished() && self.state.output.is_empty();
            return if ends_now { Expiry::End } else { Expiry::None };
        }
        if self.state.partial_since.is_some_and(|since| now.since(since) >= INCOMPLETE_TIMEOUT) {
            // The rest of the record does not come; what is owed is still answered.
            counters.framing_lost += 1;
            let ends_now = self.stop_reading().is_err() || self.state.open_requests.is_empty();
            return if ends_now { Expiry::End } else { Expiry::None };
        }
        Expiry::None
    }

    /// Whether its other side takes nothing of what waits. This counts from the first attempt to write and not from the last
    /// activity: an answer queued a moment ago may be the first in longer than the timeout.
    fn is_stalled(&self, now: Timestamp) -> bool {
        self.state.write_blocked_since.is_some_and(|since| now.since(since) >= WRITE_STALL_TIMEOUT)
    }

    /// Whether nothing has been asked for on it, and nothing is on its way.
    fn is_silent(&self, now: Timestamp) -> bool {
        !self.state.has_requested
            && self.is_idle()
            && now.since(self.state.accepted_at) >= INCOMPLETE_TIMEOUT
            && !self.stream.has_unread()
    }

    /// Requests of which the rest does not come.
    fn unfinished_requests(&self, now: Timestamp) -> impl Iterator<Item = RequestRef> + '_ {
        let connection = self.state.id;
        let is_late = move |request: &OpenRequest| matches!(request, OpenRequest::Incoming(_, _, since) if now.since(*since) >= INCOMPLETE_TIMEOUT);
        let late = self.state.open_requests.iter().filter(move |(_, request)| is_late(request));
        late.map(move |(fcgi_id, _)| RequestRef { connection, fcgi_id: *fcgi_id })
    }
}
