//! Backpressure: signals that make callers send fewer requests, or send them elsewhere.
//!
//! There are three signals: the capacity announced with every answer, the time after which a rejected caller
//! should retry (Retry-After), and whether a retry elsewhere makes sense. They are computed from the share of
//! rejected requests and from the read backlog. Callers may ignore them; this module neither admits nor
//! rejects requests.

use super::Controller;
use super::estimators::{SAMPLE_WEIGHT, blend};
use crate::interface::{Action, BackpressureSignal};
use crate::time::Span;

/// Weight of a start or a rejection in the rejected share. The share covers about thirty decisions at any
/// request rate, so that quiet periods do not change it.
pub(super) const DECISION_WEIGHT: f64 = 0.03;
/// Weight of a request in the mean read delay: a backlog must be detected within a few requests.
const READ_DELAY_WEIGHT: f64 = 3.0 * SAMPLE_WEIGHT;
/// Weight of a control period in the mean number of callers.
const CALLERS_WEIGHT: f64 = 2.0 * SAMPLE_WEIGHT;
/// Mean read delay, as a share of the mean latency objective, above which there is a read backlog. With a
/// longer delay, a worker soon reads only requests that have expired; callers must learn of the backlog
/// before that.
const BACKLOG_BEGINS_FRACTION: f64 = 0.3;
/// Mean read delay, as a share of the mean latency objective, below which the read backlog is over: well
/// below `BACKLOG_BEGINS_FRACTION`, as callers would otherwise be sent away and back repeatedly.
const BACKLOG_ENDS_FRACTION: f64 = 0.12;
/// Share of the traffic that the capacity signal holds back, per unit of the rejected share. A larger gain
/// would exclude the class of lowest priority although there is capacity.
const SIGNAL_GAIN: f64 = 0.3;
/// Rejected share from which the cluster counts as overloaded: below it, rejections are ordinary variation.
const OVERLOAD_REJECTED_FRACTION: f64 = 0.05;
/// Least Retry-After of a rejection, as a share of the longest one: an immediate retry would find the same
/// queue.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.05;
/// Sum of all callers' allowances, in requests for each run that the concurrency limit permits: one request
/// runs while another is in transit.
const OUTSTANDING_PER_RUN: f64 = 2.0;
/// Margin of an allowance, in standard deviations of a caller's number of outstanding requests.
const MARGIN_DEVIATIONS: f64 = 2.0;
/// Least relative change of the signal upon which the signal is announced again.
const MIN_CHANGE_FRACTION: f64 = 0.01;
/// Value of `Backpressure::announced` before the first announcement; announced signals are never negative.
const NOT_ANNOUNCED: f64 = -1.0;

/// State from which the signals are computed.
#[derive(Clone, Debug)]
pub(super) struct Backpressure {
    /// Share of rejections among the latest decisions; averaged over decisions, not over time.
    pub(super) rejected_fraction: f64,
    /// Mean number of callers with an outstanding request at this worker.
    pub(super) callers: f64,
    /// Mean time from a request's arrival at the machine until it was read, in seconds.
    pub(super) read_delay_s: f64,
    /// Whether there is a read backlog, that is, whether this worker reads requests too slowly.
    pub(super) is_backlogged: bool,
    /// The capacity signal that was last announced; `NOT_ANNOUNCED` before the first announcement.
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
    /// Records the number of callers with an outstanding request at the end of a control period.
    pub(super) fn note_callers(&mut self, callers: usize) {
        blend(&mut self.callers, callers as f64, CALLERS_WEIGHT);
    }
}

impl Controller {
    /// Records that a request was read `delay` after its arrival.
    ///
    /// If reading becomes too slow for any reason (slow or stolen cores, a cold start, many retries), callers
    /// are told to hold back their requests before the delay is so long that every request has expired when
    /// it is read. Drawback: if the backlog is short, cores are idle for as long as callers remember the
    /// signal.
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

    /// Whether rejections show that the whole cluster has no capacity, so that another worker would read a
    /// retry only to reject it. Rejections by a worker that drains or is stalled show nothing about other
    /// workers.
    ///
    /// Prevents waves of retries. Drawback: requests are lost where this worker alone gets too much traffic.
    pub(super) fn is_cluster_overloaded(&self) -> bool {
        self.drain.is_none()
            && !self.is_stalled()
            && self.backpressure.rejected_fraction > OVERLOAD_REJECTED_FRACTION
    }

    /// Time after which a rejected caller should retry: the longest Retry-After while this worker cannot
    /// usefully serve new requests, otherwise short after few rejections and long in overload.
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

    /// The capacity signal as `Settings::backpressure_signal` defines it; `None` if callers read no signal.
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

    /// Number of outstanding requests that each caller may have at this worker.
    ///
    /// If the outstanding requests come from few callers, each caller gets an equal share of twice the
    /// concurrency limit; if each caller has one at most, an allowance below one acts as a weight. A share of
    /// a few requests is a mean, around which the number of requests of each caller varies. While little is
    /// rejected, the allowance has a margin for this variation, as far as the cores have time or the queue
    /// has capacity; otherwise callers would hold back requests that this worker could still serve. Drawback:
    /// rejections at the start of a burst.
    fn allowance(&self, open_fraction: f64) -> f64 {
        let total = OUTSTANDING_PER_RUN * self.concurrency_limit;
        let share = open_fraction * (total / self.backpressure.callers.max(1.0)).max(1.0);
        if self.backpressure.rejected_fraction >= OVERLOAD_REJECTED_FRACTION {
            return share;
        }
        let queue_fill =
            if self.is_busy() { self.queue.order.len() as f64 / self.queue_capacity() } else { 0.0 };
        let free_fraction = (1.0 - queue_fill).max(0.0);
        share + MARGIN_DEVIATIONS * share.sqrt() * free_fraction.powi(2)
    }
}
