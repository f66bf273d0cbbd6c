//! The admission queue: its order, the expiry of requests, and load shedding.
//!
//! The queue is ordered by priority, highest first, then by age, oldest first. While the cores are busy, no
//! request stays in the queue that is not expected to be answered in time. A request that misses its latency
//! objective is answered at once, unless a late answer still counts and there is capacity for it. The
//! `dispatch` module decides which requests start.

use super::Controller;
use super::requests::Phase;
use crate::interface::{Action, RequestId};
use crate::time::{Span, Time};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Share of busy cores from which the cores count as busy: a new request then waits until another one ends.
pub(super) const BUSY_FRACTION: f64 = 0.9;
/// Longest expected wait in the queue while the cores are busy, as a share of the mean latency objective: the
/// run, its outbound calls and the network need the rest.
const MAX_WAIT_FRACTION: f64 = 0.3;
/// Least capacity of the queue, in requests. A worker with few cores starts few requests in a given time, so
/// that ordinary variation of arrivals and service times would exceed a proportional capacity.
const MIN_QUEUE_CAPACITY: f64 = 4.0;
/// Retention of a resource key, as a multiple of the time over which its reads are counted: after that less
/// than a fiftieth of its count is left.
const READ_KEY_RETENTION: f64 = 4.0;

/// Maximum number of resource keys whose reads are counted. Clients choose the keys; a read of a further key
/// counts as the only one.
const MAX_RECENT_READS: usize = 10_000;

/// Position in the admission queue or in the queue for outbound calls; the lowest key is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) priority: Reverse<i32>,
    pub(super) arrived_at: Time,
    pub(super) id: RequestId,
}

/// Recent reads of one resource key by one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadCount {
    /// Number of reads; decays over the time for which one answer serves other reads.
    pub(super) reads: f64,
    pub(super) last_read: Time,
}

/// State of the admission queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    pub(super) order: BTreeSet<QueueKey>,
    /// Times at which requests, queued or not, are checked: at the latency objective, then at the deadline.
    pub(super) expiry: BTreeSet<(Time, RequestId)>,
    /// Recent reads by resource key and class.
    pub(super) recent_reads: BTreeMap<(u64, usize), ReadCount>,
}

impl Queue {
    /// Counts a read of this key; returns the number of requests that one run of it is expected to serve, 1
    /// or more. `served_for_s` is the time for which one answer serves other reads, in seconds.
    pub(super) fn expected_coalescing(&mut self, key: (u64, usize), now: Time, served_for_s: f64) -> f64 {
        if self.recent_reads.len() >= MAX_RECENT_READS && !self.recent_reads.contains_key(&key) {
            return 1.0;
        }
        let count = self.recent_reads.entry(key).or_insert(ReadCount { reads: 0.0, last_read: now });
        let since_last_s = (now - count.last_read).secs();
        count.reads = count.reads * (-since_last_s / served_for_s).exp() + 1.0;
        count.last_read = now;
        count.reads
    }

    /// Removes keys that have not been read recently, so that the table stays bounded.
    pub(super) fn forget_old_reads(&mut self, now: Time, cache_ttl: Span, latency_s: f64) {
        let retention = Span::from_secs(READ_KEY_RETENTION * (cache_ttl.secs() + latency_s));
        self.recent_reads.retain(|_, count| count.last_read + retention > now);
    }
}

impl Controller {
    /// Whether the cores are busy according to the latest gauges.
    pub(super) fn is_busy(&self) -> bool {
        self.estimators.cores.busy >= BUSY_FRACTION
    }

    /// Number of requests that may wait while the cores are busy.
    pub(super) fn queue_capacity(&self) -> f64 {
        let starts_per_s = self.concurrency_limit / self.estimators.effective_latency_s();
        (starts_per_s * MAX_WAIT_FRACTION * self.estimators.latency_objective_s).max(MIN_QUEUE_CAPACITY)
    }

    /// The queued request to shed first: of those whose result no other request waits for, the newest of the
    /// lowest priority.
    pub(super) fn first_to_shed(&self) -> Option<RequestId> {
        let lowest_first = self.queue.order.iter().rev().map(|key| key.id);
        let mut sheddable =
            lowest_first.filter(|id| self.requests.get(*id).is_some_and(|entry| !entry.has_waiters));
        sheddable.next()
    }

    /// Sheds requests while the cores are busy: those beyond the capacity of the queue, and the last one in
    /// the queue as long as its expected wait and run would miss its objective. A caller that is rejected at
    /// once still has time to go elsewhere.
    pub(super) fn shed_queue(&mut self, actions: &mut Vec<Action>) {
        if !self.is_busy() {
            return;
        }
        let starts_per_s = self.concurrency_limit / self.estimators.effective_latency_s();
        let capacity = self.queue_capacity() as usize;
        while let Some(id) = self.first_to_shed() {
            let Some(entry) = self.requests.get(id) else { break };
            let wait_s = (self.queue.order.len() as f64 - 1.0) / starts_per_s;
            let answer_s = wait_s + self.estimators.expected_run_s(entry.class, entry.size);
            let is_in_time = self.now + Span::from_secs(answer_s) < entry.useful_until;
            if self.queue.order.len() <= capacity && is_in_time {
                break;
            }
            self.reject(id, actions);
        }
    }

    /// Whether a request could not be answered in time even if it started now. Always false for a request
    /// that others wait for, as they may have more time.
    pub(super) fn cannot_meet_objective(&self, id: RequestId) -> bool {
        let Some(entry) = self.requests.get(id).filter(|entry| !entry.has_waiters) else { return false };
        // While nothing runs, one run is started however long it is expected to take: its time shows whether
        // the cores are fast again.
        let run_s = if self.requests.running == 0 {
            0.0
        } else {
            self.estimators.expected_run_s(entry.class, entry.size)
        };
        let expected_s = run_s
            + if self.settings.classes[entry.class].calls {
                let ahead = self.outbound_calls.waiting_ahead_of(entry.priority);
                let limit = self.settings.outbound_call_limit;
                self.outbound_calls.expected_wait_s(ahead, limit) + self.outbound_calls.expected_call_s()
            } else {
                0.0
            };
        self.now + Span::from_secs(expected_s) >= entry.useful_until
    }

    /// Checks the requests whose objective or deadline has come, and all queued requests.
    pub(super) fn expire_requests(&mut self, actions: &mut Vec<Action>) {
        while let Some((time, id)) = self.queue.expiry.first().copied().filter(|(time, _)| *time <= self.now)
        {
            self.queue.expiry.remove(&(time, id));
            self.on_objective_missed(id, actions);
        }
        let queued = self.queue.order.iter().map(|key| key.id);
        let missed: Vec<RequestId> = queued.filter(|id| self.cannot_meet_objective(*id)).collect();
        for id in missed {
            self.on_objective_missed(id, actions);
        }
    }

    /// Gives a request that can no longer meet its objective its final answer at once. Where a late answer
    /// still counts, the request is kept until its deadline instead, with the priority of a late answer; a
    /// queued request only while the cores are not busy.
    pub(super) fn on_objective_missed(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(entry) = self.requests.get(id).filter(|entry| !entry.is_answered) else { return };
        let useful_until = entry.useful_until;
        let deadline = entry.deadline;
        let late_weight = self.settings.classes[entry.class].late_weight;
        let is_past_deadline = useful_until >= deadline;
        let has_no_capacity = entry.phase == Phase::Queued && self.is_busy();
        if late_weight <= 0.0 || is_past_deadline || has_no_capacity {
            return self.reject(id, actions);
        }
        self.queue.expiry.remove(&(useful_until, id));
        self.queue.expiry.insert((deadline, id));
        self.reorder(id, |entry| {
            entry.priority += 2 * late_weight.log2().round() as i32;
            entry.useful_until = deadline;
        });
    }
}
