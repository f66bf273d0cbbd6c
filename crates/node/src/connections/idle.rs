//! Timeouts of connections: a connection is closed if it is idle, if its input stays incomplete, or if the
//! other side does not read its answers.
//!
//! | State of the connection | Closed after | How |
//! | --- | --- | --- |
//! | idle, and the engine has set an idle timeout | that timeout | lingering close |
//! | no complete request has ever arrived | [`INCOMPLETE_TIMEOUT`] | lingering close |
//! | an incomplete record, and no request is open | [`INCOMPLETE_TIMEOUT`]; [`SLOW_RECORD_TIMEOUT`] once a complete request has arrived | lingering close |
//! | the other side reads none of its answers | [`WRITE_STALL_TIMEOUT`] | without a lingering close |
//!
//! An incomplete request fails with status 408 after [`INCOMPLETE_TIMEOUT`]. Its connection stays, and goes on
//! being read while other requests are open on it: the rest of a slow record may still come, and after it
//! requests that are not slow.
//!
//! All connections are checked every [`TIMEOUT_CHECK_INTERVAL`], so each timeout may take effect that much
//! later.

use super::connection::Connection;
use super::{ConnectionId, ConnectionTable, OpenRequest, RequestRef};
use crate::counters::Counters;
use crate::io::{Stream, System};
use gaugestand_admission::RequestId;
use gaugestand_admission::time::{Micros, Timestamp};

/// Time after which a connection is closed if the other side has read none of the bytes that wait to be
/// written; without this limit, unread answers would fill the memory. A gateway that is alive reads within
/// milliseconds.
pub(super) const WRITE_STALL_TIMEOUT: Micros = Micros::millis(10_000);
/// Time after which an incomplete record or request, or a connection without a request, is ended. The sender
/// has to see an end within 3 s; the timeout is half of that, and the other half is left for a check that
/// runs late.
pub(super) const INCOMPLETE_TIMEOUT: Micros = Micros::millis(1_500);
/// Time after which a connection without an open request is ended because of an incomplete record, if it has
/// carried a complete request: it belongs to a gateway, and gateways take up to 2 s to write a request.
pub(super) const SLOW_RECORD_TIMEOUT: Micros = Micros::millis(2_500);
/// Time between two checks of all connections: short compared with the timeouts, and rare enough that walking
/// the table costs little.
pub(super) const TIMEOUT_CHECK_INTERVAL: Micros = Micros::millis(50);

/// The attempts and requests that a check of the timeouts has found to be over; the event loop handles their
/// end.
#[derive(Debug, Default)]
pub struct Expired {
    /// Attempts whose answer was pending on a connection that was closed.
    pub gone: Vec<RequestId>,
    /// Requests whose remaining records did not arrive within `INCOMPLETE_TIMEOUT`, or will not be read. They
    /// are still open; the event loop answers them with 408.
    pub unfinished: Vec<RequestRef>,
}

/// What a check of its timeouts does with a connection.
enum Expiry {
    /// The connection stays.
    None,
    /// The lingering close is over: the socket is closed.
    Close,
    /// The other side does not read: the connection is closed without a lingering close.
    Cut,
    /// No more input is expected: the connection ends with a lingering close.
    End,
}

impl<S: System> ConnectionTable<S> {
    /// How long a connection may be idle before it is closed; none until
    /// [`ConnectionTable::set_idle_timeout`].
    pub fn idle_timeout(&self) -> Option<Micros> {
        self.idle_timeout
    }

    /// Sets how long a connection may be idle before it is closed; the engine decides on it.
    pub fn set_idle_timeout(&mut self, timeout: Micros) {
        self.idle_timeout = Some(timeout);
    }

    /// Checks the timeouts of all connections, if a check is due, and closes or ends those that have exceeded
    /// one.
    pub fn on_timer(&mut self, now: Timestamp, counters: &mut Counters) -> Expired {
        let mut expired = Expired::default();
        self.resume_accepting_if_due(now);
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

    /// Whether an idle connection still has no unread input. If unread input is found, the connection counts
    /// as active now.
    pub(super) fn is_unused(&mut self, now: Timestamp, id: ConnectionId) -> bool {
        // Guards against closing a connection on which a request has been sent but not read: the request
        // would be lost, and its gateway would have to treat the reset as a failure of the node.
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
            // Pending answers are still sent; the last one ends the connection.
            self.state.close_delayed_until = None;
            let ends_now = self.is_finished() && self.state.output.is_empty();
            return if ends_now { Expiry::End } else { Expiry::None };
        }
        // Guards against losing the other requests of the connection: it ends only once all are answered.
        if self.is_record_overdue(now) && self.state.open_requests.is_empty() && self.state.output.is_empty()
        {
            counters.framing_lost += 1;
            return Expiry::End;
        }
        Expiry::None
    }

    /// Whether the other side has read nothing of the waiting output for [`WRITE_STALL_TIMEOUT`]. The time
    /// counts from the first attempt to write and not from the last activity: before an answer that was
    /// queued a moment ago, the connection may have had nothing to write for longer than the timeout.
    fn is_stalled(&self, now: Timestamp) -> bool {
        self.state.write_blocked_since.is_some_and(|since| now.since(since) >= WRITE_STALL_TIMEOUT)
    }

    /// Whether the rest of an incomplete record did not arrive in time.
    fn is_record_overdue(&self, now: Timestamp) -> bool {
        let timeout = if self.state.has_requested { SLOW_RECORD_TIMEOUT } else { INCOMPLETE_TIMEOUT };
        self.state.partial_since.is_some_and(|since| now.since(since) >= timeout)
    }

    /// Whether no complete request has arrived within [`INCOMPLETE_TIMEOUT`] of the accept, and no input is
    /// unread.
    fn is_silent(&self, now: Timestamp) -> bool {
        !self.state.has_requested
            && self.is_idle()
            && now.since(self.state.accepted_at) >= INCOMPLETE_TIMEOUT
            && !self.stream.has_unread()
    }

    /// Requests whose remaining records did not arrive within [`INCOMPLETE_TIMEOUT`], or will not be read.
    fn unfinished_requests(&self, now: Timestamp) -> impl Iterator<Item = RequestRef> + '_ {
        let is_unread = self.state.reading_stopped;
        let is_late = move |request: &OpenRequest| matches!(request, OpenRequest::Incoming(_, _, since) if is_unread || now.since(*since) >= INCOMPLETE_TIMEOUT);
        let open = self.state.open_requests.iter(self.state.id);
        open.filter(move |(_, request)| is_late(request)).map(|(reference, _)| reference)
    }
}
