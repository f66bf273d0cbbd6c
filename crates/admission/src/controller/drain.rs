//! Drain: which requests still run after the drain notice.
//!
//! Guarantees that no request runs that arrives after the grace, and that all requests are answered before
//! the process stops. Within the grace requests are admitted as before, because callers learn of the drain
//! late.

use super::Controller;
use crate::interface::Action;
use crate::time::Time;

/// The time limits of a drain.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// End of the grace, counted from when the controller was told of the drain: a request that arrives later
    /// is not run. The engine has a limit of its own (`engine::Drain`), counted from the notice itself.
    pub(super) last_arrival: Time,
    /// Time by which all requests must be answered: the stop of the process less a margin.
    pub(super) answer_by: Time,
}

impl Controller {
    /// Handles the drain notice; the process ends at `stop`. Moves all deadlines to before that time.
    pub(super) fn on_drain(&mut self, stop: Time, actions: &mut Vec<Action>) {
        // One margin for the last check of a request, and one for its answer to leave the machine.
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
