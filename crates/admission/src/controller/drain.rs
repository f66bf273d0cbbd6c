//! Drain: what still runs after the notice to stop.
//!
//! Guarantees that nothing runs which arrives after the grace, and that all is answered before the process
//! stops. Within the grace requests are taken as before: callers hear of the notice late.

use super::Controller;
use crate::interface::Action;
use crate::time::Time;

/// The bounds of a drain.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// The end of the grace, counted from when the controller heard of the notice: what arrives later is
    /// not run. The engine's own bound (`engine::Drain`) counts from the notice itself.
    pub(super) last_arrival: Time,
    /// All must be answered by now, margin taken off.
    pub(super) answer_by: Time,
}

impl Controller {
    /// The notice to stop; the process ends at `stop`. All deadlines are moved up before it.
    pub(super) fn on_drain(&mut self, stop: Time, actions: &mut Vec<Action>) {
        // One margin for the last look at a request, and one for its answer to leave the machine.
        let answer_by = self.with_margin(self.with_margin(stop)).max(self.now);
        self.drain = Some(Drain { last_arrival: self.now + self.settings.drain_grace, answer_by });
        self.announce(actions);
        self.queue.expiry.clear();
        for (id, entry) in &mut self.requests.entries {
            entry.deadline = entry.deadline.min(answer_by);
            entry.useful_until = entry.useful_until.min(entry.deadline);
            if !entry.is_answered {
                self.queue.expiry.insert((entry.useful_until, *id));
            }
        }
    }
}
