//! Memory of requests, runs and remembered requests, and what is rejected when memory is short.
//!
//! Guarantees that the memory counted here stays below a share of the worker's memory. Amounts are in
//! kilobytes and computed from the figures of the settings and requests; nothing is measured.

use super::Controller;
use crate::interface::{Action, RequestId};
use crate::time::Time;
use std::collections::BTreeSet;

/// Share of the worker's memory that requests, runs and remembered requests may use: the rest is for new
/// requests, which are read before they are decided on.
const MAX_WORK_FRACTION: f64 = 0.85;
/// Share of the worker's memory that remembered requests may use: long windows must leave memory for runs.
const MAX_REMEMBERED_FRACTION: f64 = 0.5;

/// Memory in use.
#[derive(Clone, Debug, Default)]
pub(super) struct Memory {
    /// Memory of all requests in the table in their present phases, in kilobytes.
    pub(super) requests_kb: f64,
    /// Requests that the worker was asked to remember, each with the time at which the worker forgets it.
    pub(super) remembered: BTreeSet<(Time, RequestId)>,
}

impl Memory {
    /// Removes the requests that the worker has forgotten by `now`.
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
    /// Whether there is memory to remember one more request.
    pub(super) fn can_remember(&self) -> bool {
        let remembered_kb = (self.memory.remembered.len() + 1) as f64 * self.settings.entry_kb;
        remembered_kb <= MAX_REMEMBERED_FRACTION * self.settings.memory_kb
    }

    /// Whether the run of a queued request would exceed the memory limit.
    pub(super) fn would_overfill_memory(&self, id: RequestId) -> bool {
        let Some(entry) = self.requests.get(id) else { return true };
        let more_kb = entry.queued_kb * (self.settings.running_memory_factor - 1.0).max(0.0);
        let in_use_kb = self.memory.in_use_kb(self.settings.entry_kb);
        in_use_kb + more_kb > MAX_WORK_FRACTION * self.settings.memory_kb
    }

    /// Rejects requests until the memory is below its limit: first queued requests in shedding order, then
    /// requests that others wait for and those that wait for them, newest first.
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
