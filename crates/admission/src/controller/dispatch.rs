//! Dispatch: which queued requests start, and when.
//!
//! Guarantees that no more requests run than the concurrency limit allows or, while cores are idle, than the
//! worker survives; that no run exceeds the memory limit; and that no request starts that cannot be answered
//! in time.

use super::Controller;
use super::backpressure::DECISION_WEIGHT;
use super::estimators::blend;
use super::requests::Phase;
use crate::interface::{Action, RequestId};

impl Controller {
    /// Starts queued requests, in the order of the queue, as long as a further run may start and there is
    /// memory for it.
    pub(super) fn start_queued(&mut self, actions: &mut Vec<Action>) {
        let survivable = self.survivable_concurrency() as usize;
        while self.can_start_run(survivable) {
            let Some(id) = self.next_to_start() else { break };
            if self.cannot_meet_objective(id) {
                self.on_objective_missed(id, actions);
                continue;
            }
            if self.would_overfill_memory(id) {
                break;
            }
            self.start_run(id, actions);
        }
    }

    /// Whether one more run may start. Below the concurrency limit a run may always start. While cores are
    /// idle, further runs may start up to the number that the worker survives, because runs that wait for the
    /// disk or a lock take no core.
    fn can_start_run(&self, survivable: usize) -> bool {
        let running = self.requests.running;
        (running as f64) < self.concurrency_limit.floor()
            || self.estimators.cores.idle > 0 && running < survivable
    }

    /// The first request in the queue that may start.
    ///
    /// While as many runs as the concurrency limit allows wait at outbound calls, only classes that make no
    /// calls are started. A dependency that is slow, overloaded or down then does not keep the cores idle.
    fn next_to_start(&self) -> Option<RequestId> {
        let are_calls_saturated = self.requests.at_calls as f64 >= self.concurrency_limit;
        let makes_no_call = |id: RequestId| {
            self.requests.get(id).is_none_or(|entry| !self.settings.classes[entry.class].calls)
        };
        let mut startable =
            self.queue.order.iter().map(|key| key.id).filter(|id| !are_calls_saturated || makes_no_call(*id));
        startable.next()
    }

    fn start_run(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.set_phase(id, Phase::Running);
        self.estimators.cores.idle = self.estimators.cores.idle.saturating_sub(1);
        blend(&mut self.backpressure.rejected_fraction, 0.0, DECISION_WEIGHT);
        if let Some(entry) = self.requests.get_mut(id) {
            entry.was_started = true;
            if !entry.is_within_quota {
                self.quota.charge_over_quota(entry.tenant);
            }
        }
        actions.push(Action::Run(id));
    }
}
