//! The predecessor's side of a hand-over: replication of keys to a successor, and sending the state to it.

use super::*;
use crate::handover_link::{AttachedSocket, KEYS_PER_FRAME, LinkError};
use crate::io::PassedSocket;

/// File descriptors that a successor needs besides its connections to the store and to operators. The node's
/// budget of descriptors covers both processes, so this process leaves that many unused while a successor is
/// linked.
const SUCCESSOR_DESCRIPTORS: usize = 20;
/// Maximum time for which commands to the kernel wait because the successor does not read the keys that the
/// commands concern. After that time the link is closed, and the successor has to connect again. The time is
/// far below any deadline.
pub(super) const STALL_TIMEOUT: Micros = Micros::millis(200);

/// Maximum time for which a hand-over waits until the kernel has read all commands. A kernel answers within
/// milliseconds.
const SETTLE_TIMEOUT: Micros = Micros::millis(50);
/// Maximum number of hand-over links that are accepted in one iteration of the event loop. The others wait for
/// the next one.
const MAX_LINK_ACCEPTS: usize = 8;
/// Maximum number of reads of what a successor has sent before it is decided whether it took over. A successor
/// sends a few short frames, which one read takes.
const MAX_FINAL_READS: usize = 4;

impl<S: System> Node<S> {
    /// Accepts hand-over links from other processes, [`MAX_LINK_ACCEPTS`] in one iteration. Closes every link
    /// but the first at once.
    pub(in crate::event_loop) fn accept_successors(&mut self) {
        for _ in 0..MAX_LINK_ACCEPTS {
            let Some(listener) = &self.handover.listener else { return };
            let is_free = self.handover.successor_link.is_none();
            let key = if is_free { SUCCESSOR } else { EXCESS_SUCCESSOR };
            let Ok(link) = listener.accept(key) else { return };
            if is_free && self.handover.machine.role() == Role::Alone {
                self.handover.successor_link = Some(FramedLink::new(link));
                self.on_handover_event(Event::Linked);
            }
        }
    }

    pub(super) fn begin_replication(&mut self) {
        tracing::info!("hand-over: a successor has connected; replicating the idempotency keys to it");
        let moment = self.clock.moment();
        let idempotency = self.engine.idempotency();
        idempotency.set_replicating(true);
        let fingerprint_secret = idempotency.secret();
        let hello = Frame::Hello { moment, fingerprint_secret, draining: self.draining };
        if let Some(link) = &mut self.handover.successor_link {
            link.queue(&hello, AttachedSocket::Listener);
        }
        let store_connections = store::max_connections_within(self.config.max_descriptors);
        self.connections
            .reserve_descriptors(SUCCESSOR_DESCRIPTORS + admin::RESERVED_DESCRIPTORS + store_connections);
    }

    pub(super) fn stop_replication(&mut self) {
        self.handover.successor_link = None;
        self.handover.replication = Replication::default();
        self.engine.idempotency().set_replicating(false);
        self.connections.reserve_descriptors(0);
    }

    /// Replicates keys to the successor. Returns whether commands may be sent to the kernel: a command has to
    /// wait until the successor has been sent the keys that it concerns, as otherwise the death of both
    /// processes would let a key run twice.
    pub(in crate::event_loop) fn replicate_keys(&mut self) -> bool {
        if self.handover.successor_link.is_none() {
            return true;
        }
        self.queue_changed_keys();
        self.flush_successor_link();
        if self.handover.successor_link.is_none() {
            return true;
        }
        self.announce_complete_keys();
        let is_replicating =
            self.handover.replication.keys_complete && self.handover.machine.role() == Role::Predecessor;
        if !is_replicating || !self.is_replication_behind() {
            self.handover.replication.stalled_since = None;
            return true;
        }
        let now = self.clock.now();
        let since = *self.handover.replication.stalled_since.get_or_insert(now);
        if now.since(since) < STALL_TIMEOUT {
            return false;
        }
        tracing::warn!(
            "hand-over: the successor did not read for 200 ms; closing the link; the successor has to \
             connect again"
        );
        self.handover.successor_link = None;
        self.on_handover_event(Event::Unlinked);
        true
    }

    fn queue_changed_keys(&mut self) {
        if self.handover.machine.role() != Role::Predecessor {
            return;
        }
        let Some(link) = &mut self.handover.successor_link else { return };
        while link.has_room() {
            let keys = self.engine.idempotency().take_replicated(KEYS_PER_FRAME);
            if keys.is_empty() {
                break;
            }
            link.queue(&Frame::Keys(keys), AttachedSocket::None);
        }
    }

    /// Tells the successor, once, that all keys have been sent. From then on commands to the kernel wait
    /// until the successor has been sent the keys that they concern.
    fn announce_complete_keys(&mut self) {
        let is_announced = self.handover.replication.keys_complete;
        let is_predecessor = self.handover.machine.role() == Role::Predecessor;
        if is_announced || !is_predecessor || self.is_replication_behind() {
            return;
        }
        self.handover.replication.keys_complete = true;
        if let Some(link) = &mut self.handover.successor_link {
            link.queue(&Frame::KeysComplete, AttachedSocket::None);
        }
        self.flush_successor_link();
    }

    /// Whether a change of a key has not yet been sent to the successor.
    fn is_replication_behind(&mut self) -> bool {
        let is_unwritten = self.handover.successor_link.as_ref().is_some_and(|link| !link.is_flushed());
        is_unwritten || self.engine.idempotency().is_replication_behind()
    }

    pub(super) fn flush_successor_link(&mut self) {
        let Some(link) = &mut self.handover.successor_link else { return };
        let table = &self.connections;
        let find_socket = |socket| match socket {
            AttachedSocket::None => Some(PassedSocket::None),
            AttachedSocket::Listener => table.listener().map(PassedSocket::Listener),
            AttachedSocket::Connection(id) => table.stream(id).map(PassedSocket::Stream),
        };
        if let Err(error) = link.flush(find_socket) {
            self.successor_link_lost(&error);
        }
    }

    fn successor_link_lost(&mut self, error: &LinkError) {
        if error.is_protocol_error() {
            let why = error.to_string();
            tracing::warn!(why, "hand-over: protocol error on the link to the successor; closing the link");
        }
        self.handover.successor_link = None;
        self.on_handover_event(Event::Unlinked);
    }

    /// Handles readiness of the link to the successor.
    pub(in crate::event_loop) fn on_successor_ready(&mut self, ready: Ready) {
        let Some(link) = &mut self.handover.successor_link else { return };
        let read = if ready.readable { link.read().map(|_| ()) } else { Ok(()) };
        let received = link.next_frames();
        for frame in received.frames {
            match frame {
                Frame::TakenOver => self.on_handover_event(Event::TakenOver),
                Frame::DropCall(id) => self.drop_call(id),
                _ => {}
            }
        }
        if let Err(error) = read.and(received.end) {
            self.successor_link_lost(&error);
        }
    }

    /// Handles a termination signal. A predecessor first waits until the kernels have read all commands: a
    /// command that is lost with the link must not be repeated by the successor in all cases.
    pub(in crate::event_loop) fn terminate_once_settled(&mut self) {
        let hands_over =
            self.handover.machine.role() == Role::Predecessor && self.handover.replication.keys_complete;
        if !hands_over {
            return self.on_handover_event(Event::Terminate);
        }
        if self.handover.terminates_at.is_some() {
            return;
        }
        self.kernel.hold();
        self.handover.inherited_kernels.iter_mut().for_each(|inherited| inherited.kernel.hold());
        self.handover.terminates_at = Some(self.clock.now().plus(SETTLE_TIMEOUT));
        self.terminate_if_settled();
    }

    /// Has a termination signal that waits take effect, once no command is on its way to a kernel, or if that
    /// takes too long.
    pub(super) fn terminate_if_settled(&mut self) {
        let Some(at) = self.handover.terminates_at else { return };
        let inherited = &self.handover.inherited_kernels;
        let is_settled =
            self.kernel.is_settled() && inherited.iter().all(|inherited| inherited.kernel.is_settled());
        let is_predecessor = self.handover.machine.role() == Role::Predecessor;
        if is_predecessor && !is_settled && self.clock.now() < at {
            return;
        }
        self.handover.terminates_at = None;
        self.kernel.release();
        self.handover.inherited_kernels.iter_mut().for_each(|inherited| inherited.kernel.release());
        self.on_handover_event(Event::Terminate);
    }

    /// Stops all work, queues the whole state for the successor and releases the service lock.
    pub(super) fn hand_over(&mut self) {
        tracing::info!(
            open = self.open_attempts(),
            "hand-over: stopping all work and sending the state to the successor"
        );
        self.exit_deadline = Some(self.clock.now().plus(self.config.stop_timeout));
        self.connections.pause(true);
        self.free_memory_for_handover();
        let state = self.final_state();
        self.kernel.unlink();
        self.handover.inherited_kernels.iter_mut().for_each(|inherited| inherited.kernel.unlink());
        let Some(link) = &mut self.handover.successor_link else { return };
        loop {
            let keys = self.engine.idempotency().take_replicated(KEYS_PER_FRAME);
            if keys.is_empty() {
                break;
            }
            link.queue(&Frame::Keys(keys), AttachedSocket::None);
        }
        for connection in self.connections.snapshot() {
            let socket = AttachedSocket::Connection(connection.id);
            link.queue(&Frame::Connection(Box::new(connection)), socket);
        }
        for attempt in self.attempts.values() {
            link.queue(&Frame::Attempt(Box::new(attempt.to_state())), AttachedSocket::None);
        }
        link.queue(&Frame::FinalState(Box::new(state)), AttachedSocket::None);
        let marks = self.handover.lock.as_ref().and_then(|lock| lock.generation_marks().ok());
        link.queue(&Frame::StateComplete(marks.unwrap_or_default()), AttachedSocket::None);
        self.handover.lock = None;
        self.flush_successor_link();
    }

    fn final_state(&self) -> FinalState {
        FinalState {
            engine: self.engine.snapshot(),
            kernels: self.kernel_snapshots(),
            outbound_calls: self.pending_calls(),
            class_names: self.class_slots.names().to_vec(),
            idle_timeout: self.connections.idle_timeout(),
        }
    }

    /// Adds a generation mark to the service lock, which marks the state that was sent as out of date, then
    /// reads everything that the successor has sent. The successor does not hold the lock, so it cannot
    /// confirm later that it took over.
    pub(super) fn read_successor(&mut self) {
        let marked = self.handover.lock.as_ref().map(|lock| lock.add_generation_mark());
        if let Some(Err(problem)) = marked {
            tracing::warn!(
                %problem,
                "hand-over: cannot mark the service lock; going on without the mark, so a successor may not \
                 notice that its state is outdated"
            );
        }
        if let Some(link) = &mut self.handover.successor_link {
            let mut reads = 0..MAX_FINAL_READS;
            reads.all(|_| link.read().is_ok_and(|bytes| bytes > 0));
            let frames = link.next_frames().frames;
            if frames.iter().any(|frame| matches!(frame, Frame::TakenOver)) {
                self.on_handover_event(Event::TakenOver);
            }
        }
        self.on_handover_event(Event::SuccessorRead);
    }

    pub(super) fn resume_service(&mut self) {
        tracing::warn!("hand-over: the successor did not take over; resuming service and draining");
        self.connections.pause(false);
        let outcomes = mem::take(&mut self.handover.deferred_outcomes);
        self.on_calls_ended(outcomes);
    }

    /// Drops all state except outbound calls, as another process is active now.
    pub(super) fn retire(&mut self) {
        tracing::info!("hand-over: another process has taken over; dropping all state but outbound calls");
        self.request_metrics.record_handed_over(self.open_attempts());
        self.attempts.clear();
        self.engine.retire();
        self.engine.idempotency().set_replicating(false);
        self.connections.release_all();
        self.handover.inherited_kernels.clear();
        self.handover.listener = None;
        self.handover.lock = None;
        let outcomes = mem::take(&mut self.handover.deferred_outcomes);
        self.forward_call_outcomes(outcomes);
        if self.handover.successor_link.is_none() {
            self.handover.exit = true;
        }
    }
}
