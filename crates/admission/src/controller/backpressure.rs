//! Backpressure: messages upon which callers send less, or elsewhere.
//!
//! Three messages: the capacity announced with every answer, the advice of a rejection when to retry
//! (Retry-After), and whether a retry elsewhere makes sense. They follow from the share of rejected requests
//! and from the read backlog. Callers may ignore them; nothing here admits or rejects.

use super::Controller;
use super::estimators::{SAMPLE_WEIGHT, blend};
use crate::interface::{Action, BackpressureSignal};
use crate::time::Span;

/// Weight of a start or a rejection in the rejected share: some thirty decisions make it up at any rate, so
/// that quiet spells say nothing.
pub(super) const DECISION_WEIGHT: f64 = 0.03;
/// Weight of a request in the mean read delay: a backlog must show within a few requests.
const READ_DELAY_WEIGHT: f64 = 3.0 * SAMPLE_WEIGHT;
/// Weight of a control period in the mean number of callers.
const CALLERS_WEIGHT: f64 = 2.0 * SAMPLE_WEIGHT;
/// Mean read delay, as a share of the mean latency objective, over which there is a read backlog: with more,
/// a worker soon reads only what has expired, and callers must learn of it before that.
const BACKLOG_BEGINS_FRACTION: f64 = 0.3;
/// Mean read delay, as a share of the mean latency objective, under which the read backlog is over: well
/// under the former, or callers would be sent to and fro.
const BACKLOG_ENDS_FRACTION: f64 = 0.12;
/// Share of its traffic that the signal keeps away, for each unit of rejected share; more would shut out the
/// lowest class while there is room.
const SIGNAL_GAIN: f64 = 0.3;
/// Rejected share from which the cluster counts as overloaded: below, a rejection was bad luck.
const OVERLOAD_REJECTED_FRACTION: f64 = 0.05;
/// Least part of the longest Retry-After that a rejection advises: a retry at once finds the same queue.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.05;
/// Requests at a caller for each place of the concurrency limit, in the allowance: one runs, one is on its
/// way.
const REQUESTS_PER_PLACE: f64 = 2.0;
/// Standard deviations, of what a caller has in hand about its part, that an allowance leaves room for.
const SCATTER_DEVIATIONS: f64 = 2.0;
/// The signal is announced anew when it has changed by more than this share of itself.
const MIN_CHANGE_FRACTION: f64 = 0.01;
/// Stands for a signal that was not announced yet; no signal is negative.
const NOT_ANNOUNCED: f64 = -1.0;

/// What the messages follow from.
#[derive(Clone, Debug)]
pub(super) struct Backpressure {
    /// Share of the latest decisions that were rejections; by decisions, not by time.
    pub(super) rejected_fraction: f64,
    /// Mean number of callers with a request in hand here.
    pub(super) callers: f64,
    /// Mean time from a request's arrival at the machine until it was read, in seconds.
    pub(super) read_delay_s: f64,
    /// The read delay says that this worker does not keep up with reading.
    pub(super) is_backlogged: bool,
    /// The signal last announced.
    pub(super) announced: f64,
}

impl Default for Backpressure {
    fn default() -> Self {
        Backpressure {
            rejected_fraction: 0.0,
            callers: 0.0,
            read_delay_s: 0.0,
            is_backlogged: false,
            announced: NOT_ANNOUNCED,
        }
    }
}

impl Backpressure {
    /// So many callers have a request in hand at the end of a control period.
    pub(super) fn note_callers(&mut self, callers: usize) {
        blend(&mut self.callers, callers as f64, CALLERS_WEIGHT);
    }
}

impl Controller {
    /// A request was read this long after it arrived.
    ///
    /// Guard for whatever makes reading too slow (slow or stolen cores, a cold start, many retries): callers
    /// are told to stay away before all that is read has expired. Its cost: cores that idle for as long as
    /// callers remember it, when the backlog was over soon.
    pub(super) fn note_read_delay(&mut self, delay: Span) {
        let objective_s = self.estimators.latency_objective_s;
        let backpressure = &mut self.backpressure;
        blend(&mut backpressure.read_delay_s, delay.secs(), READ_DELAY_WEIGHT);
        if delay.secs() < BACKLOG_ENDS_FRACTION * objective_s {
            backpressure.read_delay_s = backpressure.read_delay_s.min(BACKLOG_ENDS_FRACTION * objective_s);
        }
        let limit_fraction =
            if backpressure.is_backlogged { BACKLOG_ENDS_FRACTION } else { BACKLOG_BEGINS_FRACTION };
        backpressure.is_backlogged = backpressure.read_delay_s > objective_s * limit_fraction;
    }

    /// Whether rejections tell of a cluster without room, so that a retry elsewhere would only cost another
    /// reading. Those of a worker that drains or is stalled tell of itself alone.
    ///
    /// Guard for waves of retries. Its cost: requests lost where this worker alone draws too much traffic.
    pub(super) fn is_cluster_overloaded(&self) -> bool {
        self.drain.is_none()
            && !self.is_stalled()
            && self.backpressure.rejected_fraction > OVERLOAD_REJECTED_FRACTION
    }

    /// When a rejected caller should come back: the longest advice while nothing is of use here, else little
    /// after few rejections and long in overload.
    pub(super) fn retry_after(&self) -> Span {
        let fraction = if self.is_unavailable() {
            1.0
        } else {
            self.backpressure.rejected_fraction.powi(2).max(MIN_RETRY_AFTER_FRACTION)
        };
        Span::from_secs(self.settings.max_retry_after.unwrap_or_default().secs() * fraction)
    }

    /// Announces the capacity signal if it has changed.
    pub(super) fn announce_capacity(&mut self, actions: &mut Vec<Action>) {
        let Some(signal) = self.capacity_signal() else { return };
        let announced = self.backpressure.announced;
        if (signal - announced).abs() > MIN_CHANGE_FRACTION * announced.abs() {
            self.backpressure.announced = signal;
            actions.push(Action::AnnounceCapacity(signal));
        }
    }

    /// The signal in the meaning that callers give it; `None` where they take none.
    fn capacity_signal(&self) -> Option<f64> {
        let open_fraction =
            if self.is_unavailable() { 0.0 } else { 1.0 - SIGNAL_GAIN * self.backpressure.rejected_fraction };
        match self.settings.backpressure_signal {
            BackpressureSignal::Silent => None,
            BackpressureSignal::Floor => Some(1.0 - open_fraction),
            BackpressureSignal::Weight => Some(open_fraction),
            BackpressureSignal::Allowance => Some(self.allowance(open_fraction)),
        }
    }

    /// Requests that each caller may have in hand here.
    ///
    /// Where few callers have all that is in hand, each gets its part of twice the limit; where each has one
    /// at most, an allowance under one is a weight. A part of a few requests is a mean, about which what each
    /// caller sends scatters: while little is rejected there is room for that, as far as the cores have time
    /// or the queue has places, or callers would hold back what this worker could still take. Its cost:
    /// rejections as a wave begins.
    fn allowance(&self, open_fraction: f64) -> f64 {
        let places = REQUESTS_PER_PLACE * self.concurrency_limit;
        let part = open_fraction * (places / self.backpressure.callers.max(1.0)).max(1.0);
        if self.backpressure.rejected_fraction >= OVERLOAD_REJECTED_FRACTION {
            return part;
        }
        let queue_fill =
            if self.is_busy() { self.queue.order.len() as f64 / self.queue_capacity() } else { 0.0 };
        let free_fraction = (1.0 - queue_fill).max(0.0);
        part + SCATTER_DEVIATIONS * part.sqrt() * free_fraction.powi(2)
    }
}
