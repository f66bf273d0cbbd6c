//! Outbound calls to the dependency: when one is made, retried, skipped or abandoned.
//!
//! Guarantees that the number of this worker's outstanding calls, averaged over any window of the settings'
//! length, stays below its share of what the dependency survives, whatever the dependency does; and that a
//! call which may have had an effect is not made again. Calls are not limited unless the dependency is
//! shared.
//!
//! A call is outstanding while it is in flight and, once abandoned, as long as the dependency may still work
//! on it.

use super::Controller;
use super::estimators::{SAMPLE_WEIGHT, blend};
use super::queue::QueueKey;
use super::requests::{Phase, RequestEntry};
use crate::interface::{Action, Downstream, Effect, Outcome, RequestId, Settings};
use crate::time::{Span, Time};
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

/// Largest mean number of outstanding calls, as a share of the outbound call limit: the other half is for
/// workers that have more calls to make and for a dependency that survives less than its settings say.
const MEAN_LIMIT_FRACTION: f64 = 0.5;
/// Largest number of outstanding calls at any one time, as a share of the outbound call limit: calls come in
/// bursts, and what the dependency survives is a mean.
const PEAK_LIMIT_FRACTION: f64 = 1.5;
/// Largest mean number of outstanding calls over a window, as a share of the outbound call limit, if every
/// outstanding call lasted as long as it may.
const RESERVED_LIMIT_FRACTION: f64 = 0.9;
/// Pause before the first retry of a call, as a share of the mean latency objective: short compared with the
/// objective, long compared with the time that a refused connection takes.
const FIRST_RETRY_PAUSE_FRACTION: f64 = 0.0015;
/// Longest pause before a retry, as a share of the mean latency objective: a later retry would seldom help.
const MAX_RETRY_PAUSE_FRACTION: f64 = 0.1;
/// Number of doublings after which pauses and timeouts grow no further; by then they exceed any objective.
const MAX_DOUBLINGS: u32 = 16;
/// Timeout of a call that may be retried, as a multiple of the mean reply time.
const TIMEOUT_MEAN_REPLIES: f64 = 8.0;
/// A call is made only while at least this share of a mean reply time is left until the objective: some
/// replies are faster than the mean.
const MIN_TIME_LEFT_FRACTION: f64 = 0.5;
/// Weight of a reply in the recent mean: a dependency that becomes slow must be detected within a few
/// replies.
const REPLY_WEIGHT: f64 = 2.0 * SAMPLE_WEIGHT;
/// Weight with which the lowest mean moves towards the recent mean: after some hundred replies, a dependency
/// that has become slower for good counts as normal.
const LOWEST_MEAN_WEIGHT: f64 = SAMPLE_WEIGHT * SAMPLE_WEIGHT;
/// Least window that is used as a divisor, in seconds.
const MIN_WINDOW_S: f64 = 1e-3;
/// Least reply time that is used as a divisor, in seconds.
const MIN_REPLY_S: f64 = 1e-6;
/// Least capacity of the dependency over a window that is used as a divisor, in call-seconds.
const MIN_WINDOW_CAPACITY: f64 = 1e-6;

/// State of the outbound calls.
#[derive(Clone, Debug, Default)]
pub(super) struct OutboundCalls {
    /// Requests that wait to make a call, in the order in which they will make it.
    pub(super) waiting: BTreeSet<QueueKey>,
    /// Number of calls that were made and have not ended.
    pub(super) in_flight: usize,
    /// Abandoned calls on which the dependency may still work: for each, the time by which that work is
    /// certainly over.
    pub(super) abandoned: Vec<Time>,
    /// Mean number of outstanding calls, smoothed exponentially over the settings' call window: with a window
    /// that ends abruptly, all workers would stop and resume their calls at the same time.
    pub(super) mean_outstanding: f64,
    /// Time integral of the number of outstanding calls since the start, in call-seconds.
    pub(super) call_seconds: f64,
    /// Values of `call_seconds` at the ends of the control periods within the settings' call window.
    pub(super) period_samples: VecDeque<(Time, f64)>,
    /// Reply times of the dependency; `None` before the first reply.
    pub(super) reply_times: Option<ReplyTimes>,
}

/// Mean reply times of the dependency.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyTimes {
    /// Mean of recent calls, in seconds.
    pub(super) recent_mean_s: f64,
    /// Lowest value of the recent mean, in seconds; moves slowly towards the recent mean.
    pub(super) lowest_mean_s: f64,
}

/// Removes the limit on outbound calls unless the dependency is shared and the limit is above 0.
pub(super) fn without_limit_unless_shared(settings: Settings) -> Settings {
    let has_limit = settings.downstream == Downstream::Shared && settings.outbound_call_limit > 0.0;
    let outbound_call_limit = if has_limit { settings.outbound_call_limit } else { f64::INFINITY };
    Settings { outbound_call_limit, ..settings }
}

/// Factor of a pause or timeout: doubles with each failed call, `MAX_DOUBLINGS` times at most.
fn backoff_factor(failed_calls: u32) -> f64 {
    2f64.powi(failed_calls.min(MAX_DOUBLINGS) as i32)
}

impl OutboundCalls {
    /// Updates the averages to `now`, `elapsed_s` seconds after the last update.
    pub(super) fn advance(&mut self, now: Time, elapsed_s: f64, window: Span) {
        self.abandoned.retain(|over_at| *over_at > now);
        let outstanding = self.outstanding() as f64;
        self.call_seconds += outstanding * elapsed_s;
        let weight = 1.0 - (-elapsed_s / window.secs().max(MIN_WINDOW_S)).exp();
        blend(&mut self.mean_outstanding, outstanding, weight);
    }

    /// Records the end of a control period. Samples older than the window are removed, except the last one
    /// before the window's start.
    pub(super) fn sample_period(&mut self, now: Time, window: Span) {
        self.period_samples.push_back((now, self.call_seconds));
        while self.period_samples.get(1).is_some_and(|(sampled_at, _)| *sampled_at + window <= now) {
            self.period_samples.pop_front();
        }
    }

    /// Records that a call was abandoned; the dependency may work on it until `over_at`.
    pub(super) fn abandon(&mut self, over_at: Time) {
        self.abandoned.push(over_at);
    }

    /// Records the time after which a call was answered or timed out.
    fn note_reply_time(&mut self, duration: Span) {
        let unknown = ReplyTimes { recent_mean_s: duration.secs(), lowest_mean_s: duration.secs() };
        let times = self.reply_times.get_or_insert(unknown);
        blend(&mut times.recent_mean_s, duration.secs(), REPLY_WEIGHT);
        blend(&mut times.lowest_mean_s, times.recent_mean_s, LOWEST_MEAN_WEIGHT);
        times.lowest_mean_s = times.lowest_mean_s.min(times.recent_mean_s);
    }

    fn outstanding(&self) -> usize {
        self.in_flight + self.abandoned.len()
    }

    /// Largest number of outstanding calls at any one time. Slow replies are a sign of an overloaded
    /// dependency: the bound falls as the mean reply time rises.
    fn max_outstanding(&self, limit: f64) -> f64 {
        let speed =
            self.reply_times.map_or(1.0, |times| times.lowest_mean_s / times.recent_mean_s.max(MIN_REPLY_S));
        (PEAK_LIMIT_FRACTION * limit * speed).max(1.0)
    }

    /// Number of requests that wait for a call at this priority or a higher one.
    pub(super) fn waiting_ahead_of(&self, priority: i32) -> usize {
        self.waiting.iter().take_while(|key| key.priority <= Reverse(priority)).count()
    }

    /// Expected time until a request may make its call, with `ahead` requests before it, in seconds.
    ///
    /// With this expected wait, the controller rejects requests that could not make their call in time, as
    /// the dependency is slow or down, before they run.
    pub(super) fn expected_wait_s(&self, ahead: usize, limit: f64) -> f64 {
        // Over a long time the allowed mean limits the calls, not the allowed peak.
        let outstanding = self.max_outstanding(limit).min(MEAN_LIMIT_FRACTION * limit);
        self.reply_times.map_or(0.0, |times| ahead as f64 * times.recent_mean_s / outstanding)
    }

    /// Expected duration of a call, in seconds. Zero while no call is in flight, so that one call is made:
    /// its reply shows whether the dependency is fast again.
    pub(super) fn expected_call_s(&self) -> f64 {
        self.reply_times.filter(|_| self.in_flight > 0).map_or(0.0, |times| times.recent_mean_s)
    }

    /// Call-seconds of outstanding calls over about one window until now.
    fn recent_call_seconds(&self) -> f64 {
        self.call_seconds - self.period_samples.front().map_or(0.0, |(_, call_seconds)| *call_seconds)
    }
}

impl Controller {
    /// Handles the end of a call: the run continues with or without the result, or the call is retried, or
    /// the request is rejected.
    pub(super) fn on_call_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        duration: Span,
        actions: &mut Vec<Action>,
    ) {
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            self.outbound_calls.note_reply_time(duration);
        }
        if outcome == Outcome::TimedOut {
            self.outbound_calls.abandon(self.now + self.settings.abandoned_call_duration);
        }
        let Some(entry) = self.requests.get(id) else { return };
        if entry.phase != Phase::Calling {
            return;
        }
        let class = &self.settings.classes[entry.class];
        let may_retry =
            class.effect == Effect::Pure || matches!(outcome, Outcome::Overloaded | Outcome::Unreachable);
        match outcome {
            Outcome::Ok => self.set_phase(id, Phase::Running),
            _ if entry.is_answered => {}
            _ if class.skipped_call_weight > 0.0 => {
                self.set_phase(id, Phase::Running);
                actions.push(Action::SkipCall(id));
            }
            _ if may_retry && self.now < entry.useful_until => {
                self.delay_retry(id);
                self.set_phase(id, Phase::AwaitingCall);
            }
            _ => self.reject(id, actions),
        }
    }

    /// Sets the pause before a call is retried; the pause doubles with each failed call.
    ///
    /// A dependency that is down or overloaded fails calls at once. Without a pause, calls would be retried
    /// as fast as the network allows. The dependency would have to read each retry, and would fail it again.
    /// Drawback: the pause delays a request whose next attempt would have succeeded.
    fn delay_retry(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let pause_fraction =
            (FIRST_RETRY_PAUSE_FRACTION * backoff_factor(entry.failed_calls)).min(MAX_RETRY_PAUSE_FRACTION);
        entry.failed_calls += 1;
        entry.next_call_at = self.now + Span::from_secs(pause_fraction * self.estimators.latency_objective_s);
    }

    /// Call-seconds used in the last window plus those reserved for outstanding calls, as a share of what the
    /// dependency survives.
    fn call_load(&self) -> f64 {
        let calling = self.requests.entries.values().filter(|entry| entry.phase == Phase::Calling);
        let over_at = calling
            .map(|entry| entry.call_deadline + self.settings.abandoned_call_duration)
            .chain(self.outbound_calls.abandoned.iter().copied());
        let reserved: f64 = over_at.map(|time| (time - self.now).secs()).sum();
        let used = self.outbound_calls.recent_call_seconds();
        let capacity = self.settings.outbound_call_limit * self.settings.call_window.secs();
        (used + reserved) / capacity.max(MIN_WINDOW_CAPACITY)
    }

    /// Makes the waiting calls, by priority and age, while this worker's share of the dependency has
    /// capacity.
    pub(super) fn start_calls(&mut self, actions: &mut Vec<Action>) {
        let is_ready =
            |key: &&QueueKey| self.requests.get(key.id).is_none_or(|entry| entry.next_call_at <= self.now);
        let ready: Vec<QueueKey> = self.outbound_calls.waiting.iter().filter(is_ready).copied().collect();
        for key in ready {
            let id = key.id;
            let Some(entry) = self.requests.get(id) else { break };
            if entry.is_answered {
                self.outbound_calls.waiting.remove(&key);
                continue;
            }
            if self.is_too_late_to_call(entry) {
                self.on_objective_missed(id, actions);
                continue;
            }
            let Some(max_duration_s) = self.max_call_duration_s() else { break };
            let deadline = self.call_deadline(entry, max_duration_s);
            if let Some(entry) = self.requests.get_mut(id) {
                entry.call_deadline = deadline;
            }
            actions.push(Action::Call(id, deadline));
            self.set_phase(id, Phase::Calling);
        }
    }

    /// Whether the reply to a call would come too late. Such a call is not made, as it would be useless work
    /// for the dependency.
    fn is_too_late_to_call(&self, entry: &RequestEntry) -> bool {
        let needed_s = MIN_TIME_LEFT_FRACTION * self.outbound_calls.expected_call_s();
        self.now + Span::from_secs(needed_s) >= entry.useful_until
    }

    /// Longest duration of one more call, in seconds, with which the mean over any window stays below this
    /// worker's share whatever the dependency does; `None` if there is no capacity for a call of usual
    /// length.
    fn max_call_duration_s(&self) -> Option<f64> {
        let limit = self.settings.outbound_call_limit;
        let window_s = self.settings.call_window.secs().max(MIN_WINDOW_S);
        let outstanding = (self.outbound_calls.outstanding() + 1) as f64;
        let free_call_seconds = (RESERVED_LIMIT_FRACTION - self.call_load()) * limit * window_s;
        let max_duration_s = free_call_seconds - self.settings.abandoned_call_duration.secs();
        let is_full = outstanding > self.outbound_calls.max_outstanding(limit)
            || self.outbound_calls.mean_outstanding > MEAN_LIMIT_FRACTION * limit
            || max_duration_s < self.usual_call_s();
        (!is_full).then_some(max_duration_s)
    }

    /// Mean reply time, in seconds; before the first reply the least time in which a reply can be noticed,
    /// one tick.
    fn usual_call_s(&self) -> f64 {
        self.outbound_calls.reply_times.map_or(self.settings.tick.secs(), |times| times.recent_mean_s)
    }

    /// Time at which a call is abandoned: at the request's objective, or earlier if its reserved capacity is
    /// used up. A call that may be retried is abandoned sooner, as a reply that is long overdue may never
    /// come; the timeout doubles with each failed call, so that slow calls still succeed.
    fn call_deadline(&self, entry: &RequestEntry, max_duration_s: f64) -> Time {
        let timeout_s = TIMEOUT_MEAN_REPLIES * self.usual_call_s() * backoff_factor(entry.failed_calls);
        let is_pure = self.settings.classes[entry.class].effect == Effect::Pure;
        let may_retry = is_pure && self.outbound_calls.reply_times.is_some();
        let max_duration_s = if may_retry { max_duration_s.min(timeout_s) } else { max_duration_s };
        let earliest = self.now + self.settings.tick;
        entry.useful_until.max(earliest).min(self.now + Span::from_secs(max_duration_s))
    }
}
