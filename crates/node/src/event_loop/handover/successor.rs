//! The successor's side of a hand-over: receiving a predecessor's keys and state, and taking over from the
//! predecessor.

use super::*;
use crate::handover_link::{AttachedSocket, LinkError};
use crate::io::PassedSocket;

/// How long a successor that cannot read the predecessor's frames waits before it searches again. The
/// predecessor has to reclaim the lock within that time; a successor that connected earlier would only
/// receive the same frames again.
const PROTOCOL_ERROR_DELAY: Micros = Micros::millis(1_000);

impl<S: System> Node<S> {
    /// Handles readiness of the link to the predecessor.
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
            tracing::warn!(why, "hand-over: protocol error on the link to the predecessor; closing the link");
        }
        self.handover.predecessor_link = None;
        self.break_remote_calls();
        if !self.handover.machine.is_standby() {
            return;
        }
        let now = self.clock.now();
        if error.is_protocol_error() {
            self.on_handover_event(Event::Unreadable);
            self.handover.next_search = now.plus(PROTOCOL_ERROR_DELAY);
        } else if self.handover.inherited_listener.is_some() {
            self.on_handover_event(Event::Unlinked);
        } else {
            // The predecessor sent no Hello: it refused the link, as another process is taking over at this
            // moment, or it died.
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
                // The clock has advanced to the predecessor's time. The timeouts of operators' calls restart,
                // as no operator has waited for as long as the clock says.
                self.admin.restart_timeouts(self.clock.now());
                self.engine.idempotency().begin_replica(fingerprint_secret);
            }
            Frame::Keys(keys) if is_waiting => {
                keys.into_iter().for_each(|key| self.engine.idempotency().apply_replicated(key));
            }
            Frame::KeysComplete if is_waiting => self.on_handover_event(Event::KeysComplete),
            Frame::Connection(connection) if is_waiting => {
                let stream = link.take_stream(self.connections.next_key())?;
                let predecessor_id = connection.id;
                let own_id = self.connections.restore(stream, *connection);
                self.handover.received.connections.insert(predecessor_id, own_id);
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
            _ => return Err(LinkError::UnexpectedFrame),
        }
        Ok(())
    }

    /// Takes over: confirms the take-over to the predecessor, and continues from the predecessor's state.
    pub(super) fn take_over(&mut self) {
        if let Some(link) = &mut self.handover.predecessor_link {
            // The confirmation is sent before anything else: if this process dies, a predecessor that has not
            // read it reclaims the lock.
            link.queue(&Frame::TakenOver, AttachedSocket::None);
        }
        self.flush_predecessor_link();
        let ReceivedState { connections, attempts, final_state } = mem::take(&mut self.handover.received);
        let Some(state) = final_state else { return };
        for state in attempts {
            let connection = connections.get(&state.connection).copied().unwrap_or(ConnectionId::GONE);
            let request = self.connections.request_of_attempt(connection, state.id);
            if state.open {
                self.request_metrics.record_admitted();
            }
            self.attempts.insert(state.id, Attempt::from_state(state, request));
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
        tracing::info!(open = self.open_attempts(), "hand-over: took over from the predecessor");
        // This process may have been started with other settings than its predecessor, so its own are
        // applied.
        self.apply_settings();
        self.close_finished_predecessor_link();
    }

    /// Becomes the active process without the predecessor's state: the predecessor has exited without sending
    /// it, or the state is out of date. `keys_complete` says whether all keys of the predecessor were
    /// received.
    pub(super) fn serve_without_state(&mut self, keys_complete: bool) {
        tracing::warn!(
            all = keys_complete,
            "hand-over: the predecessor's state is missing or outdated; serving with the received idempotency \
             keys only (`all` tells whether every key was received)"
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

    /// Begins to serve: listens for gateways and for a successor, and accepts requests.
    fn enter_service(&mut self) {
        self.handover.listen_for_successor(&self.system);
        let inherited = self.handover.inherited_listener.take();
        match inherited.map_or_else(|| self.system.listen(self.config.listen, GATEWAY_LISTENER), Ok) {
            Ok(listener) => self.connections.listen(listener),
            Err(problem) => {
                tracing::error!(%problem, "hand-over: cannot listen for gateways; the process exits");
                self.handover.exit = true;
            }
        }
        self.connections.pause(false);
        self.count_memory();
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

    /// Closes the link to the predecessor once nothing more can come from it: no run of an earlier process
    /// continues and no outbound call of one is open. The predecessor then exits.
    pub(super) fn close_finished_predecessor_link(&mut self) {
        let handover = &mut self.handover;
        let is_done = handover.inherited_kernels.is_empty() && handover.remote_calls.is_empty();
        if handover.machine.is_active() && is_done {
            handover.predecessor_link.take_if(|link| link.is_flushed());
        }
    }
}
