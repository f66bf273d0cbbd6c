//! The table of requests: the phase of each request, and totals over all of them.
//!
//! Guarantees that the totals (running requests, requests at calls, memory, the admission queue, the queue
//! for outbound calls) follow each change of phase, because phases are changed only here. This module makes
//! no decisions.

use super::Controller;
use super::queue::QueueKey;
use crate::interface::{Action, Outcome, RequestId};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Phase of a request. The names given by `serde` belong to the hand-over format; see `snapshot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Phase {
    /// Read, and waiting in the admission queue.
    #[serde(rename = "Held")]
    Queued,
    /// Waiting for the run of the request that it repeats.
    #[serde(rename = "Reusing")]
    Coalesced,
    /// Running on the cores.
    Running,
    /// Running on the cores, but answered and being stopped; does not return to the queue.
    Stopping,
    /// Off the cores, waiting to make an outbound call.
    #[serde(rename = "AtCall")]
    AwaitingCall,
    /// Off the cores, waiting for the reply to its outbound call.
    Calling,
}

impl Phase {
    /// Whether a request in this phase takes core time.
    pub(super) fn is_on_cores(self) -> bool {
        matches!(self, Phase::Running | Phase::Stopping)
    }

    /// Whether a request in this phase takes the memory of a queued request, not that of a run.
    pub(super) fn is_waiting(self) -> bool {
        matches!(self, Phase::Queued | Phase::Coalesced)
    }
}

/// State of one request. The names given by `serde` belong to the hand-over format; see `snapshot`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RequestEntry {
    /// Class of the request: an index into `Settings::classes`.
    pub(super) class: usize,
    /// Tenant of the request: an index into `Settings::tenants`.
    pub(super) tenant: usize,
    pub(super) phase: Phase,
    /// Time at which the request arrived at the machine.
    #[serde(rename = "reached")]
    pub(super) arrived_at: Time,
    /// Time after which an answer counts nothing: the latency objective or, once the objective is missed and
    /// late answers count, the deadline.
    #[serde(rename = "aim")]
    pub(super) useful_until: Time,
    /// Time by which the request must be answered: the time when its caller gives up, less a margin.
    #[serde(rename = "due")]
    pub(super) deadline: Time,
    pub(super) caller: u64,
    /// Memory of the request while it is queued, in kilobytes.
    #[serde(rename = "held_kb")]
    pub(super) queued_kb: f64,
    /// Expected seconds of work if the request has a work hint, otherwise 1.
    pub(super) size: f64,
    /// Priority: a request of higher priority runs first and is shed last; see
    /// `Controller::initial_priority`.
    #[serde(rename = "level")]
    pub(super) priority: i32,
    /// Whether the request was within its tenant's quota when it arrived.
    #[serde(rename = "in_share")]
    pub(super) is_within_quota: bool,
    /// Time at which the outbound call under way is abandoned.
    #[serde(rename = "call_until")]
    pub(super) call_deadline: Time,
    /// Number of failed outbound calls of this request that were to be retried.
    #[serde(rename = "calls_lost")]
    pub(super) failed_calls: u32,
    /// Earliest time at which the next outbound call may be made.
    #[serde(rename = "call_at")]
    pub(super) next_call_at: Time,
    /// Whether the final answer was given, or none is needed as the caller is gone.
    #[serde(rename = "answered")]
    pub(super) is_answered: bool,
    /// Whether a run of this request was ever started.
    #[serde(rename = "ran")]
    pub(super) was_started: bool,
    /// Whether the worker was asked to remember the request, to recognise repeats of it.
    #[serde(rename = "kept")]
    pub(super) is_remembered: bool,
    /// Whether another request waits for the result of this one.
    #[serde(rename = "waited_for")]
    pub(super) has_waiters: bool,
    /// Time at which the present phase began.
    #[serde(rename = "since")]
    pub(super) phase_began: Time,
    /// Time on the cores before the present phase, in seconds.
    #[serde(rename = "on_core_s")]
    pub(super) earlier_run_s: f64,
}

impl RequestEntry {
    /// Position of the request in the admission queue and in the queue for outbound calls.
    pub(super) fn queue_key(&self, id: RequestId) -> QueueKey {
        QueueKey { priority: Reverse(self.priority), arrived_at: self.arrived_at, id }
    }

    /// Time that the request has spent on the cores up to `now`, in seconds. Call this only for a request
    /// that is on the cores.
    pub(super) fn run_s(&self, now: Time) -> f64 {
        self.earlier_run_s + (now - self.phase_began).secs()
    }
}

/// All requests that are not over, with totals by phase.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestTable {
    pub(super) entries: BTreeMap<RequestId, RequestEntry>,
    /// Number of requests on the cores.
    pub(super) running: usize,
    /// Number of requests whose run makes an outbound call or waits to make one.
    pub(super) at_calls: usize,
}

impl RequestTable {
    pub(super) fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.entries.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&id)
    }

    /// Number of callers that have an unanswered request at this worker.
    pub(super) fn callers_waiting(&self) -> usize {
        let unanswered = self.entries.values().filter(|entry| !entry.is_answered);
        unanswered.map(|entry| entry.caller).collect::<BTreeSet<_>>().len()
    }
}

impl Controller {
    /// Adds a request to the table, to the totals and to the expiry times.
    pub(super) fn insert(&mut self, id: RequestId, entry: RequestEntry) {
        let useful_until = entry.useful_until;
        self.requests.entries.insert(id, entry);
        self.add_to_totals(id);
        self.queue.expiry.insert((useful_until, id));
    }

    /// Removes a request from the table, from the totals and from the expiry times.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<RequestEntry> {
        self.subtract_from_totals(id);
        let entry = self.requests.entries.remove(&id)?;
        self.queue.expiry.remove(&(entry.useful_until, id));
        self.queue.expiry.remove(&(entry.deadline, id));
        Some(entry)
    }

    /// Changes the phase of a request; ignores an unknown id.
    pub(super) fn set_phase(&mut self, id: RequestId, phase: Phase) {
        if phase == Phase::Running && self.requests.running == 0 {
            // No run could complete while nothing was on the cores, so that time must not count as a stall.
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

    /// Changes fields on which the request's position in the queues depends.
    pub(super) fn reorder(&mut self, id: RequestId, change: impl FnOnce(&mut RequestEntry)) {
        self.subtract_from_totals(id);
        if let Some(entry) = self.requests.get_mut(id) {
            change(entry);
        }
        self.add_to_totals(id);
    }

    /// Memory that a request takes in its present phase, in kilobytes.
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

    /// Reverses `add_to_totals`. The phase and the fields of the queue key must be the same in both calls.
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

    /// Handles a caller that has stopped waiting: its request needs no answer.
    pub(super) fn on_caller_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.is_answered = true;
        self.release(id, actions);
    }

    /// Handles a run that ended or was stopped: removes its request and, if the run succeeded, counts its
    /// time.
    pub(super) fn on_run_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(entry) = self.requests.get(id) else { return };
        let phase = entry.phase;
        if phase == Phase::Calling {
            // The call is abandoned together with its run; the dependency may still work on it.
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
