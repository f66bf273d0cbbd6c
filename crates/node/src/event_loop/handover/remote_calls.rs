//! Outbound calls that one process has made and another one waits for.
//!
//! A connection to the store cannot be handed over in the middle of a call. The process that made the call keeps it, and
//! passes its outcome on to the active process, directly or through the processes between them.

use super::*;
use crate::handover_link::AttachedSocket;

impl<S: System> Node<S> {
    /// Attempts whose outbound calls are out: here, or in an earlier process.
    pub(super) fn pending_calls(&self) -> Vec<RequestId> {
        self.store.outstanding().into_iter().chain(self.handover.remote_calls.iter().copied()).collect()
    }

    /// Outbound calls have ended in a process that is not the active one, or is not for now.
    pub(in crate::event_loop) fn forward_call_outcomes(&mut self, outcomes: Vec<EndedCall>) {
        if self.handover.machine.role() != Role::Retired {
            return self.handover.deferred_outcomes.extend(outcomes);
        }
        let Some(link) = &mut self.handover.successor_link else { return };
        for EndedCall { id, outcome, reply, latency } in outcomes {
            link.queue(&Frame::CallEnded(id, outcome, reply, latency), AttachedSocket::None);
        }
    }

    /// The predecessor reports the outcome of an outbound call. One that was dropped meanwhile is ignored; a process between
    /// two others passes each on.
    pub(super) fn remote_call_ended(&mut self, outcome: EndedCall) {
        let was_pending = self.handover.remote_calls.remove(&outcome.id);
        if was_pending || !self.handover.machine.is_active() {
            self.on_calls_ended(vec![outcome]);
        }
    }

    /// Abandons an outbound call, wherever it was made.
    pub(in crate::event_loop) fn drop_call(&mut self, id: RequestId) {
        if !self.handover.remote_calls.remove(&id) {
            return self.store.drop_call(id, &mut self.counters);
        }
        if let Some(link) = &mut self.handover.predecessor_link {
            link.queue(&Frame::DropCall(id), AttachedSocket::None);
        }
    }

    /// The link to the predecessor is lost: its outbound calls may have had their effect or not.
    pub(super) fn break_remote_calls(&mut self) {
        for id in mem::take(&mut self.handover.remote_calls) {
            self.notify_engine(EngineEvent::CallEnded(id, CallOutcome::Broken, Micros(0)));
        }
    }
}
