//! Final answers that the controller itself gives, and whether the runs of these requests are stopped.
//!
//! A rejection tells the caller that it may retry. Guarantees that a request is rejected only if it never ran
//! or may safely run twice; any other request gets a failure, which states that it may have run.

use super::Controller;
use super::backpressure::DECISION_WEIGHT;
use super::estimators::blend;
use super::requests::Phase;
use crate::interface::{Action, Effect, Preemption, RequestId};

impl Controller {
    /// Gives a request its final answer and releases it: a rejection with advice on retries where that is
    /// allowed, otherwise a failure. A request that is already answered is left unchanged.
    pub(super) fn reject(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.get(id).filter(|entry| !entry.is_answered) else { return };
        let has_effect = self.settings.classes[entry.class].effect != Effect::Pure;
        // A coalesced request has the effect of the run that it waits for, so it may have run.
        let may_have_run = entry.was_started || entry.phase == Phase::Coalesced;
        let never_started = !entry.was_started;
        // Once the objective has passed, an answer from another node would count nothing either.
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

    /// Reverts the admission of a rejected request that never ran, and counts the rejection: the request's
    /// quota token is returned, and a repeat of the request counts as a first attempt.
    fn undo_admission(&mut self, id: RequestId, has_effect: bool, actions: &mut Vec<Action>) {
        blend(&mut self.backpressure.rejected_fraction, 1.0, DECISION_WEIGHT);
        let Some(entry) = self.requests.get(id) else { return };
        if entry.is_within_quota {
            self.quota.refund(entry.tenant);
        }
        if entry.is_remembered && has_effect {
            self.memory.remembered.retain(|(_, remembered)| *remembered != id);
            actions.push(Action::Forget(id));
        }
    }

    /// Releases a request that needs no answer any more. If the request waits, it is removed. If it runs, its
    /// run is stopped where the worker can stop runs, unless other requests wait for the result, or the
    /// request is keyed and a repeat may ask for the result.
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
