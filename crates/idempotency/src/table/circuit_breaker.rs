//! The circuit breaker in front of the store: when it opens, when the store is tried again, and when it closes.
//!
//! Closed, the store takes writes; one that says it is busy is tried again soon, and that opens nothing. Open, no run
//! may begin, and the store is probed with one write at growing intervals until one is durable.

use crate::row::Cause;
use gaugestand_admission::time::{Micros, Timestamp};

/// First wait before a busy store is tried again: a lock is mostly held for the length of one transaction.
const MIN_BUSY_RETRY: Micros = Micros::millis(5);
/// Longest wait before a busy store is tried again; well below the age at which a write counts as stalled.
const MAX_BUSY_RETRY: Micros = Micros::millis(100);
/// First wait before a store that failed is probed.
pub(super) const MIN_PROBE_INTERVAL: Micros = Micros::millis(100);
/// Longest wait between two probes, before jitter: a store that comes back is in use again after a few seconds at most.
const MAX_PROBE_INTERVAL: Micros = Micros::millis(2_000);

/// Whether the store is given writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// It takes writes.
    Closed,
    /// It does not, and is probed.
    Open {
        /// Why; the last cause that was seen.
        cause: Cause,
        /// When the breaker opened, by the monotonic clock.
        since: Timestamp,
    },
}

/// A circuit breaker with exponential backoff.
#[derive(Debug)]
pub(super) struct CircuitBreaker {
    state: BreakerState,
    /// The wait after the last failure, without jitter; zero once a write was durable.
    backoff: Micros,
    /// Nothing is sent to the store before this.
    retry_at: Timestamp,
    rng: fastrand::Rng,
}

impl CircuitBreaker {
    /// A closed one; `seed` is for the jitter of its probes.
    pub(super) fn new(seed: u64) -> Self {
        CircuitBreaker {
            state: BreakerState::Closed,
            backoff: Micros(0),
            retry_at: Timestamp(0),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub(super) fn state(&self) -> BreakerState {
        self.state
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state == BreakerState::Closed
    }

    /// When the store may be sent something again.
    pub(super) fn retry_at(&self) -> Timestamp {
        self.retry_at
    }

    /// Lets the store be tried at once: it has just been connected to.
    pub(super) fn retry_now(&mut self, now: Timestamp) {
        self.retry_at = now;
    }

    /// The store made a batch durable.
    pub(super) fn close(&mut self) {
        self.state = BreakerState::Closed;
        self.backoff = Micros(0);
        self.retry_at = Timestamp(0);
    }

    /// Opens for this cause. Returns false if it was open already; then only the cause changes.
    pub(super) fn open(&mut self, now: Timestamp, new_cause: Cause) -> bool {
        if let BreakerState::Open { cause, .. } = &mut self.state {
            *cause = new_cause;
            return false;
        }
        self.state = BreakerState::Open { cause: new_cause, since: now };
        true
    }

    /// Waits a while for a store that was busy.
    pub(super) fn schedule_busy_retry(&mut self, now: Timestamp) {
        self.grow_backoff(MIN_BUSY_RETRY, MAX_BUSY_RETRY);
        self.retry_at = now.plus(self.backoff);
    }

    /// Waits for the next probe. Up to half as long again, by chance, so that the nodes of one store do not probe it
    /// together.
    pub(super) fn schedule_probe(&mut self, now: Timestamp) {
        self.grow_backoff(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        let jitter = self.rng.u64(..=self.backoff.0 / 2);
        self.retry_at = now.plus(Micros(self.backoff.0 + jitter));
    }

    fn grow_backoff(&mut self, min: Micros, max: Micros) {
        self.backoff = Micros((self.backoff.0 * 2).clamp(min.0, max.0));
    }
}
