//! Final answers that the controller gives itself, and what becomes of the run behind them.
//!
//! Guarantees that a rejection, which tells the caller that it may retry, is given only where the request
//! never ran or may safely run twice; anything else gets a failure without such a promise.

use super::Controller;
use super::backpressure::DECISION_WEIGHT;
use super::estimators::blend;
use super::requests::Phase;
use crate::interface::{Action, Effect, Preemption, RequestId};

impl Controller {
    /// Gives a request its final answer: a rejection with advice where that is allowed, else a failure; then
    /// releases it. One that is answered already stays as it is.
    pub(super) fn reject(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.get(id).filter(|entry| !entry.is_answered) else { return };
        let has_effect = self.settings.classes[entry.class].effect != Effect::Pure;
        // A coalesced request's effect is that of the run that it waits for.
        let may_have_run = entry.was_started || entry.phase == Phase::Coalesced;
        let never_started = !entry.was_started;
        // An answer after its objective would be worth nothing from another node either.
        let no_retry_elsewhere = self.is_cluster_overloaded() || entry.useful_until <= self.now;
        let retry_after = self.retry_after();
        if let Some(entry) = self.requests.get_mut(id) {
            entry.is_answered = true;
        }
        if has_effect && may_have_run {
            actions.push(Action::Fail(id));
            return self.release(id, actions);
        }
        if never_started {
            self.undo_admission(id, has_effect, actions);
        }
        actions.push(Action::Reject { id, retry_after, no_retry_elsewhere });
        self.release(id, actions);
    }

    /// A request is rejected that never ran: its token goes back, and a repeat of it is a first attempt.
    fn undo_admission(&mut self, id: RequestId, has_effect: bool, actions: &mut Vec<Action>) {
        blend(&mut self.backpressure.rejected_fraction, 1.0, DECISION_WEIGHT);
        let Some(entry) = self.requests.get(id) else { return };
        if entry.is_within_quota {
            self.quota.give_back(entry.tenant);
        }
        if entry.is_remembered && has_effect {
            self.memory.remembered.retain(|(_, remembered)| *remembered != id);
            actions.push(Action::Forget(id));
        }
    }

    /// Lets go of a request that was answered, and stops its run where that can be done. A run is left alone
    /// that others wait for or that a repeat of its key may ask for.
    pub(super) fn release(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.get(id) else { return };
        let is_keyed = self.settings.classes[entry.class].effect == Effect::Keyed;
        let can_stop = self.settings.preemption != Preemption::Never && !is_keyed && !entry.has_waiters;
        match entry.phase {
            Phase::Running if can_stop => {
                self.estimators.note_stopped_run(entry.class, entry.size, entry.run_s(self.now));
                self.set_phase(id, Phase::Stopping);
                actions.push(Action::Preempt(id));
            }
            Phase::Queued | Phase::Coalesced => drop(self.remove(id)),
            _ => {}
        }
    }
}
