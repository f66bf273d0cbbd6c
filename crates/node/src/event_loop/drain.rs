//! The drain: how the node leaves service after SIGTERM or SIGINT, from the signal to the exit of the
//! process.
//!
//! The exit deadline is `stop_ms` after the signal. The steps of the drain are:
//!
//! 1. At the signal, health checks fail, the membership service is told OUT, and the engine is notified.
//!    Requests that arrive within the drain's grace may still run.
//! 2. [`LISTENER_CLOSE_MARGIN`] plus two periods of the controller's timer before the exit deadline, the
//!    controller answers every attempt (`controller::drain::on_drain` moves the deadlines).
//! 3. From [`LISTENER_CLOSE_MARGIN`] before the exit deadline, the node accepts the connections that wait in
//!    the system's queue, over several iterations if need be, and closes its listener once the queue is empty,
//!    but [`EXIT_MARGIN`] before the exit deadline at the latest.
//! 4. From [`EXIT_MARGIN`] before the exit deadline, the event loop polls at least [`MIN_FINAL_POLLS`] more
//!    times. Once no attempt waits for an answer, requests that are still incomplete get 503, as they never
//!    ran, and the write side of every connection is shut. The process exits as soon as the other sides have
//!    closed their connections too.
//! 5. From [`FORCED_CLOSE_MARGIN`] before the exit deadline, the process no longer waits for connections that
//!    the other side keeps open. It still waits for answers that are being written.
//! 6. At the exit deadline the process exits in any case. If an iteration of the event loop hangs, the
//!    service manager has to kill the process.

use super::{EngineEvent, Micros, Node, Timestamp};
use crate::connections::OpenRequest;
use crate::io::System;
use crate::response::{Response, http_status};
use std::mem;

/// Time before the exit deadline at which every attempt has been answered and the listener closes. It leaves
/// time to write the last answers to gateways that read slowly.
const LISTENER_CLOSE_MARGIN: Micros = Micros::millis(250);
/// Time before the exit deadline from which incomplete requests are rejected, connections are closed, and the
/// process may exit.
const EXIT_MARGIN: Micros = Micros::millis(100);
/// Time before the exit deadline from which connections that the other side has not closed no longer delay
/// the exit.
const FORCED_CLOSE_MARGIN: Micros = Micros::millis(30);
/// Minimum number of iterations of the event loop within [`EXIT_MARGIN`] before any request is rejected or
/// connection closed: the poller is asked between them, so that what gateways had sent by then has been read.
const MIN_FINAL_POLLS: u8 = 2;

impl<S: System> Node<S> {
    /// Begins the drain. Does nothing if the drain has already begun.
    pub(super) fn begin_drain(&mut self) {
        if mem::replace(&mut self.draining, true) {
            return;
        }
        // The exit deadline is already set if this process began a hand-over at the signal and the successor
        // did not take over: the time since the signal then counts.
        let exit_deadline =
            *self.exit_deadline.get_or_insert(self.clock.now().plus(self.config.stop_timeout));
        let notice = exit_deadline.minus(self.config.stop_timeout);
        let answered_by = exit_deadline.minus(LISTENER_CLOSE_MARGIN);
        if let Some(peers) = &mut self.peers {
            peers.start_drain(self.clock.now());
        }
        self.notify_engine(EngineEvent::Drain { notice, stop: answered_by });
    }

    /// From [`LISTENER_CLOSE_MARGIN`] before the exit deadline on, accepts what waits and closes the listener.
    pub(super) fn stop_listening_if_due(&mut self, now: Timestamp) {
        let Some(exit_deadline) = self.exit_deadline else { return };
        if now.plus(LISTENER_CLOSE_MARGIN) >= exit_deadline {
            let is_last_call = now.plus(EXIT_MARGIN) >= exit_deadline;
            self.connections.stop_listening(now, is_last_call, &mut self.counters);
        }
    }

    /// Within [`EXIT_MARGIN`] of the exit deadline, closes the connections once no attempt waits for an
    /// answer. `nothing_ready` says that the poller reported no event for this iteration. Returns `now` if
    /// the poller has to be asked again first, and none otherwise.
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

    /// Whether everything that gateways sent before now has certainly been read. A wait of the poller that
    /// timed out or was interrupted by a signal does not show what has arrived since, so the poller has to be
    /// asked again first. Within [`FORCED_CLOSE_MARGIN`] of the exit deadline, events that are still reported
    /// no longer count.
    fn has_polled_enough(&mut self, now: Timestamp, exit_deadline: Timestamp, nothing_ready: bool) -> bool {
        self.final_polls = self.final_polls.saturating_add(1);
        let forced = now.plus(FORCED_CLOSE_MARGIN) >= exit_deadline;
        self.final_polls >= MIN_FINAL_POLLS && (nothing_ready || forced)
    }

    /// Rejects the requests that are still incomplete, as they never ran, fails the health checks that still
    /// wait, and shuts the write side of every connection. A connection is closed once the other side has
    /// closed it too.
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

    /// When the next step of the drain is due; none if the process has no exit deadline.
    pub(super) fn next_drain_step(&self, now: Timestamp) -> Option<Timestamp> {
        let exit_deadline = self.exit_deadline?;
        let margins = [LISTENER_CLOSE_MARGIN, EXIT_MARGIN, FORCED_CLOSE_MARGIN];
        let mut steps = margins.into_iter().map(|margin| exit_deadline.minus(margin));
        Some(steps.find(|step| now < *step).unwrap_or(exit_deadline))
    }

    /// Whether the process is to exit after this iteration.
    pub(super) fn should_exit(&self) -> bool {
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
