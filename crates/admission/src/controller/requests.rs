//! The table of requests: where each stands, and the totals over them.
//!
//! Guarantees that the totals (running requests, requests at calls, memory, the admission queue, the line for
//! calls) follow each change of phase: a phase is set here and nowhere else. Decides nothing.

use super::Controller;
use super::queue::QueueKey;
use crate::interface::{Action, Outcome, RequestId};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Where a request stands. The stored names are those of the hand-over format; see `snapshot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Phase {
    /// Read, waiting to run.
    #[serde(rename = "Held")]
    Queued,
    /// Waiting for the run of the request that it repeats.
    #[serde(rename = "Reusing")]
    Coalesced,
    /// On the cores.
    Running,
    /// On the cores, answered and being stopped: nothing goes back to the queue.
    Stopping,
    /// Off the cores, wants to call.
    #[serde(rename = "AtCall")]
    AwaitingCall,
    /// Off the cores, call under way.
    Calling,
}

impl Phase {
    /// Takes the time of the cores.
    pub(super) fn is_on_cores(self) -> bool {
        matches!(self, Phase::Running | Phase::Stopping)
    }

    /// Takes the memory of a request that was read, not that of a run.
    pub(super) fn is_waiting(self) -> bool {
        matches!(self, Phase::Queued | Phase::Coalesced)
    }
}

/// One request. The stored names are those of the hand-over format; see `snapshot`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RequestEntry {
    /// Index into the settings' classes.
    pub(super) class: usize,
    /// Index into the settings' tenants.
    pub(super) tenant: usize,
    pub(super) phase: Phase,
    /// When it reached the machine.
    #[serde(rename = "reached")]
    pub(super) arrived_at: Time,
    /// An answer after this counts nothing: the latency objective; once that is missed and late answers
    /// count, the deadline.
    #[serde(rename = "aim")]
    pub(super) useful_until: Time,
    /// Must be answered by now, margin taken off.
    #[serde(rename = "due")]
    pub(super) deadline: Time,
    pub(super) caller: u64,
    /// Memory while it waits, in kilobytes.
    #[serde(rename = "held_kb")]
    pub(super) queued_kb: f64,
    /// Expected seconds of work where hinted, else one unit.
    pub(super) size: f64,
    /// Higher runs first and is shed last; see `arrival::initial_priority`.
    #[serde(rename = "level")]
    pub(super) priority: i32,
    /// Took a token of its tenant's quota.
    #[serde(rename = "in_share")]
    pub(super) is_within_quota: bool,
    /// When the call under way is given up.
    #[serde(rename = "call_until")]
    pub(super) call_deadline: Time,
    /// Calls that failed and are to be retried.
    #[serde(rename = "calls_lost")]
    pub(super) failed_calls: u32,
    /// When the next call may be made.
    #[serde(rename = "call_at")]
    pub(super) next_call_at: Time,
    /// The final answer was given, or none is owed.
    #[serde(rename = "answered")]
    pub(super) is_answered: bool,
    /// A run was begun at some time.
    #[serde(rename = "ran")]
    pub(super) was_started: bool,
    /// The worker was asked to remember it for repeats.
    #[serde(rename = "kept")]
    pub(super) is_remembered: bool,
    /// Another request waits for its result.
    #[serde(rename = "waited_for")]
    pub(super) has_waiters: bool,
    /// Start of the present phase.
    #[serde(rename = "since")]
    pub(super) phase_began: Time,
    /// Seconds on the cores before the present phase.
    #[serde(rename = "on_core_s")]
    pub(super) earlier_run_s: f64,
}

impl RequestEntry {
    /// Its place in the order of the queue and of the line for calls.
    pub(super) fn queue_key(&self, id: RequestId) -> QueueKey {
        QueueKey { priority: Reverse(self.priority), arrived_at: self.arrived_at, id }
    }

    /// Seconds on the cores so far; the request is on them now.
    pub(super) fn run_s(&self, now: Time) -> f64 {
        self.earlier_run_s + (now - self.phase_began).secs()
    }
}

/// All requests that are not over, and how many of them stand where.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestTable {
    pub(super) entries: BTreeMap<RequestId, RequestEntry>,
    /// Requests on the cores.
    pub(super) running: usize,
    /// Requests whose run stands at a call, made or awaited.
    pub(super) at_calls: usize,
}

impl RequestTable {
    pub(super) fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.entries.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&id)
    }

    /// Callers that have a request here which is not answered.
    pub(super) fn callers_waiting(&self) -> usize {
        let unanswered = self.entries.values().filter(|entry| !entry.is_answered);
        unanswered.map(|entry| entry.caller).collect::<BTreeSet<_>>().len()
    }
}

impl Controller {
    /// Adds a request to the table, to the totals and to the times at which requests are looked at.
    pub(super) fn insert(&mut self, id: RequestId, entry: RequestEntry) {
        let useful_until = entry.useful_until;
        self.requests.entries.insert(id, entry);
        self.add_to_totals(id);
        self.queue.expiry.insert((useful_until, id));
    }

    /// Forgets a request.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<RequestEntry> {
        self.subtract_from_totals(id);
        let entry = self.requests.entries.remove(&id)?;
        self.queue.expiry.remove(&(entry.useful_until, id));
        self.queue.expiry.remove(&(entry.deadline, id));
        Some(entry)
    }

    /// Moves a request on; unknown ids are ignored.
    pub(super) fn set_phase(&mut self, id: RequestId, phase: Phase) {
        if phase == Phase::Running && self.requests.running == 0 {
            // Nothing could complete while nothing ran: that silence is no sign of a stall.
            self.estimators.last_completion = self.now;
        }
        self.subtract_from_totals(id);
        if let Some(entry) = self.requests.get_mut(id) {
            if entry.phase.is_on_cores() {
                entry.earlier_run_s = entry.run_s(self.now);
            }
            entry.phase = phase;
            entry.phase_began = self.now;
        }
        self.add_to_totals(id);
    }

    /// Changes what a request's place in the order depends on.
    pub(super) fn reorder(&mut self, id: RequestId, change: impl FnOnce(&mut RequestEntry)) {
        self.subtract_from_totals(id);
        if let Some(entry) = self.requests.get_mut(id) {
            change(entry);
        }
        self.add_to_totals(id);
    }

    /// A request's memory in its present phase, in kilobytes.
    fn memory_of_kb(&self, entry: &RequestEntry) -> f64 {
        let factor =
            if entry.phase.is_waiting() { 1.0 } else { self.settings.running_memory_factor.max(1.0) };
        entry.queued_kb * factor
    }

    fn add_to_totals(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(id) else { return };
        let (key, phase) = (entry.queue_key(id), entry.phase);
        self.memory.requests_kb += self.memory_of_kb(entry);
        match phase {
            Phase::Queued => drop(self.queue.order.insert(key)),
            Phase::Coalesced => {}
            Phase::Running | Phase::Stopping => self.requests.running += 1,
            Phase::AwaitingCall => {
                self.requests.at_calls += 1;
                self.outbound_calls.waiting.insert(key);
            }
            Phase::Calling => {
                self.requests.at_calls += 1;
                self.outbound_calls.in_flight += 1;
            }
        }
    }

    /// The reverse of `add_to_totals`; nothing that its key or phase depends on may change in between.
    fn subtract_from_totals(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(id) else { return };
        let (key, phase) = (entry.queue_key(id), entry.phase);
        self.memory.requests_kb -= self.memory_of_kb(entry);
        match phase {
            Phase::Queued => drop(self.queue.order.remove(&key)),
            Phase::Coalesced => {}
            Phase::Running | Phase::Stopping => self.requests.running -= 1,
            Phase::AwaitingCall => {
                self.requests.at_calls -= 1;
                self.outbound_calls.waiting.remove(&key);
            }
            Phase::Calling => {
                self.requests.at_calls -= 1;
                self.outbound_calls.in_flight -= 1;
            }
        }
    }

    /// The caller has stopped waiting: no answer is owed.
    pub(super) fn on_caller_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.is_answered = true;
        self.release(id, actions);
    }

    /// A run is over, or a stop took effect.
    pub(super) fn on_run_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(entry) = self.requests.get(id) else { return };
        let phase = entry.phase;
        if phase == Phase::Calling {
            // Its call is given up with it, and may stay in the dependency's hands like any abandoned one.
            self.outbound_calls.abandon(self.now + self.settings.abandoned_call_duration);
        }
        let Some(entry) = self.remove(id) else { return };
        if outcome == Outcome::Ok && phase.is_on_cores() {
            let is_uncontended = self.requests.running < self.settings.cores as usize;
            let run_s = entry.run_s(self.now);
            self.estimators.note_completed_run(entry.class, entry.size, run_s, is_uncontended);
        }
    }
}
