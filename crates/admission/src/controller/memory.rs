//! Memory: what requests, runs and remembered requests take, and what is given up when it is short.
//!
//! Guarantees that what is counted here stays under a share of the worker's memory. In kilobytes, computed
//! from the settings' figures; nothing is measured.

use super::Controller;
use crate::interface::{Action, RequestId};
use crate::time::Time;
use std::collections::BTreeSet;

/// Share of the memory that requests, runs and remembered requests may fill: the rest is for arrivals, which
/// are read before they are decided about.
const MAX_WORK_FRACTION: f64 = 0.85;
/// Share of the memory that remembered requests may fill: long windows must leave room for runs.
const MAX_REMEMBERED_FRACTION: f64 = 0.5;

/// What takes memory.
#[derive(Clone, Debug, Default)]
pub(super) struct Memory {
    /// Of all requests in the table, by their phase.
    pub(super) requests_kb: f64,
    /// Requests that the worker was asked to remember, by the time at which it forgets them.
    pub(super) remembered: BTreeSet<(Time, RequestId)>,
}

impl Memory {
    /// Drops the entries that the worker has forgotten by now.
    pub(super) fn forget_expired(&mut self, now: Time) {
        while let Some(expired) = self.remembered.first().copied().filter(|(time, _)| *time <= now) {
            self.remembered.remove(&expired);
        }
    }

    fn in_use_kb(&self, entry_kb: f64) -> f64 {
        self.requests_kb + self.remembered.len() as f64 * entry_kb
    }
}

impl Controller {
    /// Whether one more request may be remembered.
    pub(super) fn can_remember(&self) -> bool {
        let remembered_kb = (self.memory.remembered.len() + 1) as f64 * self.settings.entry_kb;
        remembered_kb <= MAX_REMEMBERED_FRACTION * self.settings.memory_kb
    }

    /// Whether a queued request's run would take the memory over its limit.
    pub(super) fn would_overfill_memory(&self, id: RequestId) -> bool {
        let Some(entry) = self.requests.get(id) else { return true };
        let more_kb = entry.queued_kb * (self.settings.running_memory_factor - 1.0).max(0.0);
        let in_use_kb = self.memory.in_use_kb(self.settings.entry_kb);
        in_use_kb + more_kb > MAX_WORK_FRACTION * self.settings.memory_kb
    }

    /// Rejects until the memory is under its limit: queued requests in the order of shedding, then those that
    /// others wait for and those that wait, newest first.
    pub(super) fn enforce_memory_limit(&mut self, actions: &mut Vec<Action>) {
        while self.memory.in_use_kb(self.settings.entry_kb) > MAX_WORK_FRACTION * self.settings.memory_kb {
            let Some(id) = self.first_to_shed().or_else(|| self.newest_waiting()) else { break };
            self.reject(id, actions);
        }
    }

    fn newest_waiting(&self) -> Option<RequestId> {
        let waiting = self.requests.entries.iter().filter(|(_, entry)| entry.phase.is_waiting());
        waiting.max_by_key(|(_, entry)| entry.arrived_at).map(|(id, _)| *id)
    }
}
