//! The successor's side: receiving a predecessor's keys and state, and taking over from it.

use super::*;
use crate::handover_link::{AttachedSocket, LinkError};
use crate::io::PassedSocket;

/// How long a successor that cannot read the predecessor's state leaves it alone. The predecessor has to reclaim the lock
/// within that time; it would only send the same again.
const GIVE_WAY_DELAY: Micros = Micros::millis(1_000);

impl<S: System> Node<S> {
    /// The link to the predecessor is ready.
    pub(in crate::event_loop) fn on_predecessor_ready(&mut self, ready: Ready) {
        let Some(link) = &mut self.handover.predecessor_link else { return };
        let read = if ready.readable { link.read().map(|_| ()) } else { Ok(()) };
        let received = link.next_frames();
        let mut handled = Ok(());
        for frame in received.frames {
            handled = handled.and_then(|()| self.on_predecessor_frame(frame));
        }
        if let Err(error) = handled.and(received.end).and(read) {
            self.predecessor_link_lost(&error);
        }
    }

    fn predecessor_link_lost(&mut self, error: &LinkError) {
        if error.is_protocol_error() {
            let why = error.to_string();
            tracing::warn!(why, "the link to the process before this one");
        }
        self.handover.predecessor_link = None;
        self.break_remote_calls();
        if !self.handover.machine.is_standby() {
            return;
        }
        let now = self.clock.now();
        if error.is_protocol_error() {
            self.on_handover_event(Event::Unreadable);
            self.handover.next_search = now.plus(GIVE_WAY_DELAY);
        } else if self.handover.inherited_listener.is_some() {
            self.on_handover_event(Event::Unlinked);
        } else {
            // No Hello came: the link was refused, as another process takes over at this moment, or the other one died.
            self.handover.next_search = now.plus(discovery::SEARCH_INTERVAL);
        }
    }

    fn on_predecessor_frame(&mut self, frame: Frame) -> Result<(), LinkError> {
        let is_waiting = matches!(self.handover.machine.role(), Role::Successor { .. });
        let Some(link) = &mut self.handover.predecessor_link else { return Ok(()) };
        match frame {
            Frame::Hello { moment, fingerprint_secret, draining } if is_waiting => {
                self.handover.predecessor_drains = draining;
                self.handover.inherited_listener = Some(link.take_listener(GATEWAY_LISTENER)?);
                self.system.align_clock(moment);
                self.clock.read(&self.system);
                // The clock has advanced to the predecessor's: no operator has waited for that long.
                self.admin.restart(self.clock.now());
                self.engine.idempotency().begin_replica(fingerprint_secret);
            }
            Frame::Keys(keys) if is_waiting => {
                keys.into_iter().for_each(|key| self.engine.idempotency().apply_replicated(key));
            }
            Frame::KeysComplete if is_waiting => self.on_handover_event(Event::KeysComplete),
            Frame::Connection(connection) if is_waiting => {
                let stream = link.take_stream(self.connections.next_key())?;
                let id_there = connection.id;
                let id_here = self.connections.restore(stream, *connection);
                self.handover.received.connections.insert(id_there, id_here);
            }
            Frame::Attempt(attempt) if is_waiting => self.handover.received.attempts.push(*attempt),
            Frame::FinalState(state) if is_waiting => self.handover.received.final_state = Some(state),
            Frame::StateComplete(marks) if is_waiting && self.handover.received.final_state.is_some() => {
                self.handover.predecessor_marks = marks;
                self.on_handover_event(Event::StateComplete);
            }
            Frame::CallEnded(id, outcome, reply, latency) => {
                self.remote_call_ended(EndedCall { id, outcome, reply, latency })
            }
            _ => return Err(LinkError::OutOfOrder),
        }
        Ok(())
    }

    /// Continues from the predecessor's state.
    pub(super) fn take_over(&mut self) {
        if let Some(link) = &mut self.handover.predecessor_link {
            // Before anything else: a predecessor that has not read this reclaims the lock if this process dies.
            link.queue(&Frame::TakenOver, AttachedSocket::None);
        }
        self.flush_predecessor_link();
        let ReceivedState { connections, attempts, final_state } = mem::take(&mut self.handover.received);
        let Some(state) = final_state else { return };
        for mut attempt in attempts {
            attempt.conn = connections.get(&attempt.conn).copied().unwrap_or(ConnectionId::GONE);
            if attempt.open {
                self.request_metrics.record_admitted();
            }
            self.attempts.insert(attempt.id, attempt);
        }
        self.class_slots = ClassSlots::from_parts(state.class_names, state.engine.open_classes.clone());
        self.request_metrics.register_classes(self.class_slots.names());
        self.engine.restore(state.engine);
        self.engine.set_backend_linked(self.kernel.is_booted());
        self.inherit_kernels(&state.kernels);
        self.handover.remote_calls = state.outbound_calls.into_iter().collect();
        if let Some(idle_timeout) = state.idle_timeout {
            self.connections.set_idle_timeout(idle_timeout);
        }
        for request in self.connections.pending_health_checks() {
            self.start_deep_check(request);
        }
        self.enter_service();
        tracing::info!(open = self.open_attempts(), "took over");
        // This process may have been started with other settings than its predecessor.
        self.apply_settings();
        self.release_predecessor();
    }

    /// Serves without the predecessor's state: it is gone, or its state is out of date.
    pub(super) fn serve_without_state(&mut self, keys_complete: bool) {
        tracing::warn!(
            all = keys_complete,
            "the process before this one is gone; serving with the keys that it told of"
        );
        let now = self.clock.moment();
        let window = longest_dedup_window(&self.config);
        self.engine.idempotency().on_predecessor_lost(now, keys_complete, window);
        self.drop_received_state();
        self.enter_service();
        if let Some(BackendStart { cold, age }) = self.handover.backend_start {
            self.notify_engine(EngineEvent::BackendStarted { cold, age });
        }
    }

    /// Listens for callers and for a successor, and accepts requests.
    fn enter_service(&mut self) {
        self.handover.listen_for_successor(&self.system);
        let inherited = self.handover.inherited_listener.take();
        match inherited.map_or_else(|| self.system.listen(self.config.listen, GATEWAY_LISTENER), Ok) {
            Ok(listener) => self.connections.listen(listener),
            Err(problem) => {
                tracing::error!(%problem, "listening");
                self.handover.exit = true;
            }
        }
        self.connections.pause(false);
    }

    fn drop_received_state(&mut self) {
        self.handover.received = ReceivedState::default();
        self.connections.release_all();
    }

    /// Drops everything that came from the predecessor, and searches for an active process.
    pub(super) fn search_again(&mut self) {
        self.handover.predecessor_link = None;
        self.handover.inherited_listener = None;
        self.drop_received_state();
        let idempotency = self.engine.idempotency();
        let fingerprint_secret = idempotency.secret();
        idempotency.begin_replica(fingerprint_secret);
        self.handover.next_search = self.clock.now();
    }

    pub(super) fn flush_predecessor_link(&mut self) {
        let Some(link) = &mut self.handover.predecessor_link else { return };
        if let Err(error) = link.flush(|_| Some(PassedSocket::None)) {
            self.predecessor_link_lost(&error);
        }
    }

    /// Closes the link to the predecessor, which ends then, once nothing more is to come from it.
    pub(super) fn release_predecessor(&mut self) {
        let handover = &mut self.handover;
        let is_done = handover.inherited_kernels.is_empty() && handover.remote_calls.is_empty();
        if handover.machine.is_active() && is_done {
            handover.predecessor_link.take_if(|link| link.is_flushed());
        }
    }
}
