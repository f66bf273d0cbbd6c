//! Outbound calls that one process has made and another one waits for.
//!
//! A connection to the store cannot be handed over in the middle of a call. The process that made the call
//! keeps the connection, and passes the call's outcome on to the active process, directly or through the
//! processes between them.

use super::*;
use crate::handover_link::AttachedSocket;

impl<S: System> Node<S> {
    /// Attempts whose outbound calls have not ended, whether this process or an earlier one made the call.
    pub(super) fn pending_calls(&self) -> Vec<RequestId> {
        self.store.outstanding().into_iter().chain(self.handover.remote_calls.iter().copied()).collect()
    }

    /// Handles the end of outbound calls in a process that is not the active one. A retired process sends the
    /// outcomes to its successor; any other process keeps them until it is decided which process is active.
    pub(in crate::event_loop) fn forward_call_outcomes(&mut self, outcomes: Vec<EndedCall>) {
        if self.handover.machine.role() != Role::Retired {
            return self.handover.deferred_outcomes.extend(outcomes);
        }
        let Some(link) = &mut self.handover.successor_link else { return };
        for EndedCall { id, outcome, reply, latency } in outcomes {
            link.queue(&Frame::CallEnded(id, outcome, reply, latency), AttachedSocket::None);
        }
    }

    /// Handles the outcome of an outbound call that the predecessor reports. The active process ignores the
    /// outcome of a call that it has dropped in the meantime; a process between two others passes every
    /// outcome on.
    pub(super) fn remote_call_ended(&mut self, outcome: EndedCall) {
        let was_pending = self.handover.remote_calls.remove(&outcome.id);
        if was_pending || !self.handover.machine.is_active() {
            self.on_calls_ended(vec![outcome]);
        }
    }

    /// Abandons an outbound call, whether this process or an earlier one made it.
    pub(in crate::event_loop) fn drop_call(&mut self, id: RequestId) {
        if !self.handover.remote_calls.remove(&id) {
            return self.store.drop_call(id, &mut self.counters);
        }
        if let Some(link) = &mut self.handover.predecessor_link {
            link.queue(&Frame::DropCall(id), AttachedSocket::None);
        }
    }

    /// Handles the loss of the link to the predecessor: ends the outbound calls of earlier processes as
    /// broken, as each of them may or may not have had its effect.
    pub(super) fn break_remote_calls(&mut self) {
        for id in mem::take(&mut self.handover.remote_calls) {
            self.notify_engine(EngineEvent::CallEnded(id, CallOutcome::Broken, Micros(0)));
        }
    }
}
