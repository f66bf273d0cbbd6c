//! The drain after SIGTERM or SIGINT, from the notice to the exit.
//!
//! From the notice to the end of the process, `stop_ms` later:
//!
//! 1. At the notice, health checks fail, the membership service is told OUT, and the engine is notified. What arrives within
//!    the drain's grace may still run.
//! 2. [`LISTENER_CLOSE_MARGIN`] and two periods of the controller's timer before the end, the controller answers every attempt
//!    (`controller::drain::on_drain` moves the deadlines).
//! 3. [`LISTENER_CLOSE_MARGIN`] before the end, the listener closes, after all that the system has accepted was taken in.
//! 4. [`EXIT_MARGIN`] before the end, the poller is asked at least [`MIN_FINAL_POLLS`] times more. Once no answer is owed,
//!    requests that are still incomplete get 503, as they never ran, and every connection's write side is shut. The
//!    process exits as soon as the other sides have closed too.
//! 5. [`FORCED_CLOSE_MARGIN`] before the end, connections that the other side keeps open are no longer waited for; answers that
//!    are still being written are.
//! 6. At the end the process exits in any case. An iteration that hangs is the service manager's to kill.

use super::{EngineEvent, Micros, Node, Timestamp};
use crate::connections::OpenRequest;
use crate::io::System;
use crate::response::{Response, http_status};
use std::mem;

/// Before the end: no attempt is unanswered and the listener closes. Leaves time to write the last answers to slow readers.
const LISTENER_CLOSE_MARGIN: Micros = Micros::millis(250);
/// Before the end: incomplete requests are rejected, connections are closed, and the process may exit.
const EXIT_MARGIN: Micros = Micros::millis(100);
/// Before the end: a connection whose other side has not closed holds up the exit no longer.
const FORCED_CLOSE_MARGIN: Micros = Micros::millis(30);
/// Iterations within [`EXIT_MARGIN`] before anything is rejected or closed, so that the poller was asked in between and
/// what gateways had sent by then was read.
const MIN_FINAL_POLLS: u8 = 2;

impl<S: System> Node<S> {
    /// Begins the drain; a second notice changes nothing.
    pub(super) fn begin_drain(&mut self) {
        if mem::replace(&mut self.draining, true) {
            return;
        }
        // The notice may have come a while ago, if another process was to take over and did not.
        let exit_deadline =
            *self.exit_deadline.get_or_insert(self.clock.now().plus(self.config.stop_timeout));
        let notice = exit_deadline.minus(self.config.stop_timeout);
        let answered_by = exit_deadline.minus(LISTENER_CLOSE_MARGIN);
        if let Some(peers) = &mut self.peers {
            peers.start_drain(self.clock.now());
        }
        self.notify_engine(EngineEvent::Drain { notice, stop: answered_by });
    }

    /// Closes the listener once its time has come.
    pub(super) fn stop_listening_if_due(&mut self, now: Timestamp) {
        if self.exit_deadline.is_some_and(|exit_deadline| now.plus(LISTENER_CLOSE_MARGIN) >= exit_deadline) {
            self.connections.stop_listening(now, &mut self.counters);
        }
    }

    /// Within [`EXIT_MARGIN`], ends what is left on the connections once nothing is owed. `nothing_ready` if the poller had
    /// nothing for this iteration. Returns when to iterate again for its sake.
    pub(super) fn finish_drain(&mut self, now: Timestamp, nothing_ready: bool) -> Option<Timestamp> {
        let exit_deadline =
            self.exit_deadline.filter(|exit_deadline| now.plus(EXIT_MARGIN) >= *exit_deadline)?;
        if !self.has_polled_enough(now, exit_deadline, nothing_ready) {
            return Some(now);
        }
        if self.engine.pending_answers() == 0 {
            self.close_connections(now);
        }
        None
    }

    /// Whether what gateways sent before now has surely been read. A wait that timed out or was interrupted by a signal
    /// proves nothing about what has come since: the poller is asked again first.
    fn has_polled_enough(&mut self, now: Timestamp, exit_deadline: Timestamp, nothing_ready: bool) -> bool {
        self.final_polls = self.final_polls.saturating_add(1);
        let forced = now.plus(FORCED_CLOSE_MARGIN) >= exit_deadline;
        self.final_polls >= MIN_FINAL_POLLS && (nothing_ready || forced)
    }

    /// Rejects what is not complete by now, as it never ran, and shuts the write side of every connection. Each is closed
    /// once its other side has ended too.
    fn close_connections(&mut self, now: Timestamp) {
        for request in self.connections.unadmitted_requests() {
            let Some(open) = self.connections.take_request(request) else { continue };
            let keeps_connection = open.keeps_connection();
            if matches!(open, OpenRequest::HealthCheck(_)) {
                self.answer_health_check(request, keeps_connection, false);
                continue;
            }
            self.counters.answers_rejected += 1;
            let rejection = Response::plain(http_status::SERVICE_UNAVAILABLE, self.engine.capacity());
            self.respond(request, keeps_connection, &rejection);
        }
        self.flush();
        self.connections.close_all(now);
    }

    /// The next step of the drain that is still to come.
    pub(super) fn next_drain_step(&self, now: Timestamp) -> Option<Timestamp> {
        let exit_deadline = self.exit_deadline?;
        let margins = [LISTENER_CLOSE_MARGIN, EXIT_MARGIN, FORCED_CLOSE_MARGIN];
        let mut steps = margins.into_iter().map(|margin| exit_deadline.minus(margin));
        Some(steps.find(|step| now < *step).unwrap_or(exit_deadline))
    }

    /// Whether the process ends with this iteration.
    pub(super) fn is_over(&self) -> bool {
        if self.handover.exit {
            return true;
        }
        let Some(exit_deadline) = self.exit_deadline else { return false };
        let now = self.clock.now();
        if !self.handover.machine.is_active() {
            return now >= exit_deadline;
        }
        let all_written = self.engine.pending_answers() == 0 && !self.connections.is_writing();
        let all_closed = self.connections.is_empty() || now.plus(FORCED_CLOSE_MARGIN) >= exit_deadline;
        let may_exit = now.plus(EXIT_MARGIN) >= exit_deadline && all_written && all_closed;
        (may_exit || now >= exit_deadline) && self.final_polls >= MIN_FINAL_POLLS
    }
}
