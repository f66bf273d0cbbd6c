//! Handles the arrival of a request: sets the times and the priority of the request, and decides whether the
//! request is coalesced with another one, remembered so that repeats are recognised, or rejected at once.
//!
//! Guarantees that a keyed request runs only if it is remembered for the whole time in which a repeat may
//! arrive. A request that is neither coalesced nor rejected is queued; at the end of the batch the controller
//! decides whether the request starts, stays queued or is rejected.

use super::Controller;
use super::requests::{Phase, RequestEntry};
use crate::interface::{Action, Effect, Request, RequestId};
use crate::time::{Span, Time};

/// Least size of a request with a work hint, in seconds of work. With a mean size of zero, the expected time
/// of any other run of the class would be infinite.
const MIN_SIZE_S: f64 = 1e-4;
/// Least weight of which a logarithm is taken; the logarithm of zero is not finite.
const MIN_WEIGHT: f64 = 1e-9;

impl Controller {
    /// Handles a new request. A request with a known id is the same attempt, reported twice, and is ignored.
    pub(super) fn on_request(&mut self, request: &Request, actions: &mut Vec<Action>) {
        if self.requests.entries.contains_key(&request.id) {
            return;
        }
        let entry = self.new_entry(request);
        let class = &self.settings.classes[entry.class];
        let effect = class.effect;
        let dedup_window = class.dedup_window;
        let arrived_at = entry.arrived_at;
        let deadline = entry.deadline;
        self.insert(request.id, entry);
        if let Some(original) = request.original.filter(|_| effect != Effect::Unsafe) {
            return self.coalesce(request.id, original, deadline, actions);
        }
        let is_after_drain = self.drain.as_ref().is_some_and(|drain| arrived_at > drain.last_arrival);
        let retention = match effect {
            Effect::Keyed => Some(dedup_window),
            Effect::Pure if self.settings.cache_ttl.0 > 0 && request.resource_key.is_some() => {
                Some(Span(self.settings.cache_ttl.0 + (deadline - self.now).0))
            }
            Effect::Pure | Effect::Unsafe => None,
        };
        if let Some(retention) = retention {
            if !is_after_drain && self.can_remember() {
                self.remember(request.id, retention, actions);
            } else if effect == Effect::Keyed {
                // If this request is not remembered, a repeat of it would run as a new request.
                return self.reject(request.id, actions);
            }
        }
        if is_after_drain || self.is_stalled() {
            self.reject(request.id, actions);
        } else if self.cannot_meet_objective(request.id) {
            self.on_objective_missed(request.id, actions);
        }
    }

    /// Creates the entry of a new request, and counts the request in the estimators and in its tenant's
    /// quota.
    fn new_entry(&mut self, request: &Request) -> RequestEntry {
        let class = request.class.min(self.settings.classes.len() - 1);
        let arrived_at = self.now - request.read_delay;
        let deadline = self.deadline(request, class, arrived_at);
        let useful_until = self.latency_objective(request, class, arrived_at).min(deadline);
        self.estimators.arrivals += 1.0;
        self.note_read_delay(request.read_delay);
        self.estimators.note_arrival(useful_until - arrived_at);
        let is_within_quota = self.quota.take(request.tenant);
        let priority = self.initial_priority(request, class, is_within_quota);
        RequestEntry {
            class,
            tenant: request.tenant,
            phase: Phase::Queued,
            arrived_at,
            useful_until,
            deadline,
            caller: request.caller,
            queued_kb: request.queued_kb.max(0.0),
            size: request.work_hint.map_or(1.0, |hint| hint.secs().max(MIN_SIZE_S)),
            priority,
            is_within_quota,
            call_deadline: Time(0),
            failed_calls: 0,
            next_call_at: Time(0),
            is_answered: false,
            was_started: false,
            is_remembered: false,
            has_waiters: false,
            phase_began: self.now,
            earlier_run_s: 0.0,
        }
    }

    /// Time by which the request must be answered: the deadline that the caller states, or else the deadline
    /// of the class, less a margin. While the worker drains, it is at most the time by which the drain
    /// answers all requests. It is never before the present time, so that an expired request is answered at
    /// once and does not count as overdue.
    fn deadline(&self, request: &Request, class: usize, arrived_at: Time) -> Time {
        let by_class = arrived_at + self.settings.classes[class].deadline;
        let deadline = self.with_margin(request.deadline.unwrap_or(by_class)).max(self.now);
        match &self.drain {
            Some(drain) => deadline.min(drain.answer_by).max(self.now),
            None => deadline,
        }
    }

    /// Time until which an answer meets the latency objective of the class. A class may extend the objective
    /// by a multiple of the request's work hint (`Class::objective_stretch`).
    fn latency_objective(&self, request: &Request, class: usize, arrived_at: Time) -> Time {
        let class = &self.settings.classes[class];
        let stretch_s = request.work_hint.map_or(0.0, |hint| hint.secs() * class.objective_stretch);
        arrived_at + class.latency_objective + Span::from_secs(stretch_s)
    }

    /// `time` less the longest time between two checks of the requests.
    pub(super) fn with_margin(&self, time: Time) -> Time {
        time - self.timer_period()
    }

    /// Initial priority of a request: two steps for each factor of two in its weight. Requests beyond their
    /// tenant's quota have less weight. A read whose answer is expected to serve other requests has the
    /// weight of all of them. A retry ranks below first attempts of equal weight: part of its objective has
    /// passed before this worker received it.
    fn initial_priority(&mut self, request: &Request, class: usize, is_within_quota: bool) -> i32 {
        let served = match request.resource_key {
            Some(key) if self.settings.cache_ttl.0 > 0 => {
                let served_for_s = self.settings.cache_ttl.secs() + self.estimators.latency_s;
                self.queue.expected_coalescing((key, class), self.now, served_for_s)
            }
            _ => 1.0,
        };
        let served_steps = (2.0 * served.log2()).round() as i32;
        let quota_weight = if is_within_quota { 1.0 } else { self.settings.over_quota_weight };
        let weight = (self.settings.classes[class].priority_weight * quota_weight).max(MIN_WEIGHT);
        2 * weight.log2().round() as i32 + served_steps - i32::from(request.is_retry)
    }

    /// Lets a request wait for the run of the request that it repeats.
    fn coalesce(&mut self, id: RequestId, original: RequestId, deadline: Time, actions: &mut Vec<Action>) {
        if let Some(original) = self.requests.get_mut(original) {
            original.has_waiters = true;
        }
        self.set_phase(id, Phase::Coalesced);
        // If this request is read at the end of a drain, no timer may come before the process stops, so its
        // deadline is checked now.
        if self.now >= deadline {
            return self.reject(id, actions);
        }
        actions.push(Action::Coalesce(id));
    }

    /// Asks the worker to recognise repeats of a request for the time `retention`.
    fn remember(&mut self, id: RequestId, retention: Span, actions: &mut Vec<Action>) {
        self.memory.remembered.insert((self.now + retention, id));
        actions.push(Action::Remember(id, retention));
        if let Some(entry) = self.requests.get_mut(id) {
            entry.is_remembered = true;
        }
    }
}
