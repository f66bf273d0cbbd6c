//! Calls to the dependency: when one is made, retried, skipped or given up.
//!
//! Guarantees that this worker's calls in hand stay, in the mean over any of the settings' windows, under its
//! share of what the dependency survives, whatever the dependency does; and that a call which may have had an
//! effect is not made again. Calls are unlimited where no dependency is shared.
//!
//! 'In hand' means made and not ended, or abandoned so recently that the dependency may still work on it.

use super::Controller;
use super::estimators::{SAMPLE_WEIGHT, blend};
use super::queue::QueueKey;
use super::requests::{Phase, RequestEntry};
use crate::interface::{Action, Downstream, Effect, Outcome, RequestId, Settings};
use crate::time::{Span, Time};
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

/// Share of the calls that the dependency survives which this worker has in hand in the mean: the other half
/// is for workers that have more to do and for a dependency weaker than its settings say.
const MEAN_FRACTION: f64 = 0.5;
/// The same at any one time: calls come in bursts, and the dependency is judged by its mean.
const MAX_FRACTION: f64 = 1.5;
/// The same over a window, were every call in hand to last as long as it may.
const PROMISED_FRACTION: f64 = 0.9;
/// Pause before the first retry of a call, as a share of the mean latency objective: short against the
/// objective, long against a refused connection.
const FIRST_RETRY_PAUSE_FRACTION: f64 = 0.0015;
/// Longest pause before a retry, as a share of the mean latency objective: a later one would seldom help.
const MAX_RETRY_PAUSE_FRACTION: f64 = 0.1;
/// Doublings after which pauses and timeouts grow no further; by then they exceed any objective.
const MAX_DOUBLINGS: u32 = 16;
/// A call that may be made again is given up after this many mean replies, and then made again.
const TIMEOUT_MEAN_REPLIES: f64 = 8.0;
/// A call is made while this share of a mean reply is left until the objective: some are quicker than the
/// mean.
const MIN_TIME_LEFT_FRACTION: f64 = 0.5;
/// Weight of a reply in the recent mean: a dependency that becomes slow must show within a few replies.
const REPLY_WEIGHT: f64 = 2.0 * SAMPLE_WEIGHT;
/// Weight with which the quickest mean is forgotten: a dependency that has become slower for good is taken as
/// it is after some hundred replies.
const QUICKEST_WEIGHT: f64 = SAMPLE_WEIGHT * SAMPLE_WEIGHT;
/// Least window used in a division, in seconds.
const MIN_WINDOW_S: f64 = 1e-3;
/// Least reply time used in a division, in seconds.
const MIN_REPLY_S: f64 = 1e-6;
/// Least capacity of the dependency over a window used in a division, in call-seconds.
const MIN_WINDOW_CAPACITY: f64 = 1e-6;

/// The calls' state.
#[derive(Clone, Debug, Default)]
pub(super) struct OutboundCalls {
    /// Requests that wait to make a call, in order.
    pub(super) waiting: BTreeSet<QueueKey>,
    /// Calls made and not ended.
    pub(super) in_flight: usize,
    /// Abandoned calls that may still be in the dependency's hands, by the time at which they are surely
    /// over.
    pub(super) abandoned: Vec<Time>,
    /// Calls in hand, smoothed over the settings' window: with a hard edge all workers would stop and start
    /// together.
    pub(super) mean_in_hand: f64,
    /// Call-seconds in hand since the start.
    pub(super) call_seconds: f64,
    /// The same at each control period's end within the settings' window.
    pub(super) period_marks: VecDeque<(Time, f64)>,
    /// `None` before the first reply.
    pub(super) reply_times: Option<ReplyTimes>,
}

/// How long calls took.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyTimes {
    /// Mean of recent calls, in seconds.
    pub(super) recent_s: f64,
    /// The quickest that this mean has been, slowly forgotten, in seconds.
    pub(super) quickest_s: f64,
}

/// Calls have no limit where no dependency is shared.
pub(super) fn without_limit_unless_shared(settings: Settings) -> Settings {
    let has_limit = settings.downstream == Downstream::Shared && settings.outbound_call_limit > 0.0;
    let outbound_call_limit = if has_limit { settings.outbound_call_limit } else { f64::INFINITY };
    Settings { outbound_call_limit, ..settings }
}

/// Twice as much for each call that failed before.
fn backoff_factor(failed_calls: u32) -> f64 {
    2f64.powi(failed_calls.min(MAX_DOUBLINGS) as i32)
}

impl OutboundCalls {
    /// Carries the averages on to now.
    pub(super) fn advance(&mut self, now: Time, elapsed_s: f64, window: Span) {
        self.abandoned.retain(|over_at| *over_at > now);
        let in_hand = self.in_hand() as f64;
        self.call_seconds += in_hand * elapsed_s;
        let weight = 1.0 - (-elapsed_s / window.secs().max(MIN_WINDOW_S)).exp();
        blend(&mut self.mean_in_hand, in_hand, weight);
    }

    /// Marks the end of a control period; marks older than the window go, but for the one at its start.
    pub(super) fn mark_period(&mut self, now: Time, window: Span) {
        self.period_marks.push_back((now, self.call_seconds));
        while self.period_marks.get(1).is_some_and(|(marked_at, _)| *marked_at + window <= now) {
            self.period_marks.pop_front();
        }
    }

    /// A call was given up; the dependency may work on it until then.
    pub(super) fn abandon(&mut self, over_at: Time) {
        self.abandoned.push(over_at);
    }

    /// A call ended or timed out after this long.
    fn note_reply_time(&mut self, duration: Span) {
        let unknown = ReplyTimes { recent_s: duration.secs(), quickest_s: duration.secs() };
        let times = self.reply_times.get_or_insert(unknown);
        blend(&mut times.recent_s, duration.secs(), REPLY_WEIGHT);
        blend(&mut times.quickest_s, times.recent_s, QUICKEST_WEIGHT);
        times.quickest_s = times.quickest_s.min(times.recent_s);
    }

    fn in_hand(&self) -> usize {
        self.in_flight + self.abandoned.len()
    }

    /// Most calls in hand at once. Slow replies are a sign of an overloaded dependency: the bound shrinks
    /// with them.
    fn max_in_hand(&self, limit: f64) -> f64 {
        let speed = self.reply_times.map_or(1.0, |times| times.quickest_s / times.recent_s.max(MIN_REPLY_S));
        (MAX_FRACTION * limit * speed).max(1.0)
    }

    /// Requests that wait for a call at this priority or a higher one.
    pub(super) fn waiting_ahead_of(&self, priority: i32) -> usize {
        self.waiting.iter().take_while(|key| key.priority <= Reverse(priority)).count()
    }

    /// Expected wait for a call's turn behind so many, in seconds.
    ///
    /// Guard for a dependency that is slow or down: what could not make its call in time is rejected before
    /// it runs, not after.
    pub(super) fn expected_wait_s(&self, ahead: usize, limit: f64) -> f64 {
        // In the long run the mean in hand binds, not the most at once.
        let in_hand = self.max_in_hand(limit).min(MEAN_FRACTION * limit);
        self.reply_times.map_or(0.0, |times| ahead as f64 * times.recent_s / in_hand)
    }

    /// Expected length of a call, in seconds. With none in flight one is tried whatever is expected: it shows
    /// when replies are quick again.
    pub(super) fn expected_call_s(&self) -> f64 {
        self.reply_times.filter(|_| self.in_flight > 0).map_or(0.0, |times| times.recent_s)
    }

    /// Call-seconds in hand over about a window until now.
    fn recent_call_seconds(&self) -> f64 {
        self.call_seconds - self.period_marks.front().map_or(0.0, |(_, call_seconds)| *call_seconds)
    }
}

impl Controller {
    /// A call ended: the run goes on, with or without its result; or the call is retried; or the request is
    /// rejected.
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

    /// Sets the pause before a call is made again; it doubles with each call that failed.
    ///
    /// Guard for a dependency that is down or overloaded: its answer comes at once, and calls made again at
    /// once go round as fast as the network does, cost it a reading each time and find it no better. Its
    /// cost: the pause, where the next attempt would have gone well.
    fn delay_retry(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let pause_fraction =
            (FIRST_RETRY_PAUSE_FRACTION * backoff_factor(entry.failed_calls)).min(MAX_RETRY_PAUSE_FRACTION);
        entry.failed_calls += 1;
        entry.next_call_at = self.now + Span::from_secs(pause_fraction * self.estimators.latency_objective_s);
    }

    /// Call-seconds taken over the last window and promised to calls in hand, as a share of what the
    /// dependency survives.
    fn call_load(&self) -> f64 {
        let calling = self.requests.entries.values().filter(|entry| entry.phase == Phase::Calling);
        let over_at = calling
            .map(|entry| entry.call_deadline + self.settings.abandoned_call_duration)
            .chain(self.outbound_calls.abandoned.iter().copied());
        let promised: f64 = over_at.map(|time| (time - self.now).secs()).sum();
        let spent = self.outbound_calls.recent_call_seconds();
        let capacity = self.settings.outbound_call_limit * self.settings.call_window.secs();
        (spent + promised) / capacity.max(MIN_WINDOW_CAPACITY)
    }

    /// Makes the calls that wait, by priority and age, while this worker's share of the dependency has room.
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

    /// Guards against work in the dependency for answers that come too late: what can't be back is not sent.
    fn is_too_late_to_call(&self, entry: &RequestEntry) -> bool {
        let needed_s = MIN_TIME_LEFT_FRACTION * self.outbound_calls.expected_call_s();
        self.now + Span::from_secs(needed_s) >= entry.useful_until
    }

    /// The longest that one more call may take, in seconds, such that the mean over any window stays under
    /// the share whatever the dependency does; `None` where there is no room for a call of usual length.
    fn max_call_duration_s(&self) -> Option<f64> {
        let limit = self.settings.outbound_call_limit;
        let window_s = self.settings.call_window.secs().max(MIN_WINDOW_S);
        let in_hand = (self.outbound_calls.in_hand() + 1) as f64;
        let free_call_seconds = (PROMISED_FRACTION - self.call_load()) * limit * window_s;
        let max_duration_s = free_call_seconds - self.settings.abandoned_call_duration.secs();
        let is_full = in_hand > self.outbound_calls.max_in_hand(limit)
            || self.outbound_calls.mean_in_hand > MEAN_FRACTION * limit
            || max_duration_s < self.usual_call_s();
        (!is_full).then_some(max_duration_s)
    }

    /// A mean reply, in seconds; before the first one, the least time in which a reply can be noticed.
    fn usual_call_s(&self) -> f64 {
        self.outbound_calls.reply_times.map_or(self.settings.tick.secs(), |times| times.recent_s)
    }

    /// When a call is given up: at the request's objective, or as soon as its room is used up. One that may
    /// be made again is given up sooner, as a reply that has not come for long may never come; each retry
    /// waits twice as long, so that slow calls still end.
    fn call_deadline(&self, entry: &RequestEntry, max_duration_s: f64) -> Time {
        let timeout_s = TIMEOUT_MEAN_REPLIES * self.usual_call_s() * backoff_factor(entry.failed_calls);
        let is_pure = self.settings.classes[entry.class].effect == Effect::Pure;
        let may_retry = is_pure && self.outbound_calls.reply_times.is_some();
        let max_duration_s = if may_retry { max_duration_s.min(timeout_s) } else { max_duration_s };
        let earliest = self.now + self.settings.tick;
        entry.useful_until.max(earliest).min(self.now + Span::from_secs(max_duration_s))
    }
}
