//! The circuit breaker in front of the store: when it opens, when the store is tried again, and when it
//! closes.
//!
//! While the breaker is closed, writes are sent to the store; a store that reports that it is busy is retried
//! soon, and the breaker stays closed. While the breaker is open, no run may begin, and the store is probed
//! with one write at growing intervals until a write becomes durable.

use crate::row::Cause;
use gaugestand_admission::time::{Micros, Timestamp};

/// First wait before a busy store is tried again: a lock is usually held for the length of one transaction.
const MIN_BUSY_RETRY: Micros = Micros::millis(5);
/// Longest wait before a busy store is tried again; well below the age at which a write counts as stalled.
const MAX_BUSY_RETRY: Micros = Micros::millis(100);
/// First wait before a store that failed is probed, before jitter.
pub(super) const MIN_PROBE_INTERVAL: Micros = Micros::millis(100);
/// Longest wait between two probes, before jitter, so that a store that works again is used after a few
/// seconds at most.
const MAX_PROBE_INTERVAL: Micros = Micros::millis(2_000);

/// State of the circuit breaker in front of the idempotency store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Writes are sent to the store.
    Closed,
    /// The store has failed or stalled, and only probes are sent to it.
    Open {
        /// Cause of the most recent failure.
        cause: Cause,
        /// When the breaker opened, by the monotonic clock.
        since: Timestamp,
    },
}

/// A circuit breaker with exponential backoff.
#[derive(Debug)]
pub(super) struct CircuitBreaker {
    state: BreakerState,
    /// Wait after the last failure, without jitter; zero after a write became durable.
    backoff: Micros,
    /// Nothing is sent to the store before this time.
    retry_at: Timestamp,
    rng: fastrand::Rng,
}

impl CircuitBreaker {
    /// Creates a closed circuit breaker. `seed` determines the jitter of its probes.
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

    /// The earliest time at which something may be sent to the store.
    pub(super) fn retry_at(&self) -> Timestamp {
        self.retry_at
    }

    /// Allows writes to be sent to the store at once; called when a connection to the store has been made.
    pub(super) fn retry_now(&mut self, now: Timestamp) {
        self.retry_at = now;
    }

    /// Closes the breaker, as the store has made a batch durable.
    pub(super) fn close(&mut self) {
        self.state = BreakerState::Closed;
        self.backoff = Micros(0);
        self.retry_at = Timestamp(0);
    }

    /// Opens the breaker for this cause. Returns false if it was open already; then only the cause changes.
    pub(super) fn open(&mut self, now: Timestamp, new_cause: Cause) -> bool {
        if let BreakerState::Open { cause, .. } = &mut self.state {
            *cause = new_cause;
            return false;
        }
        self.state = BreakerState::Open { cause: new_cause, since: now };
        true
    }

    /// Schedules the next try of a store that was busy, with exponential backoff.
    pub(super) fn schedule_busy_retry(&mut self, now: Timestamp) {
        self.grow_backoff(MIN_BUSY_RETRY, MAX_BUSY_RETRY);
        self.retry_at = now.plus(self.backoff);
    }

    /// Schedules the next probe, with exponential backoff. A random jitter of up to half the backoff is
    /// added, so that the nodes that share a store do not probe it together.
    pub(super) fn schedule_probe(&mut self, now: Timestamp) {
        self.grow_backoff(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        let jitter = self.rng.u64(..=self.backoff.0 / 2);
        self.retry_at = now.plus(Micros(self.backoff.0 + jitter));
    }

    fn grow_backoff(&mut self, min: Micros, max: Micros) {
        self.backoff = Micros((self.backoff.0 * 2).clamp(min.0, max.0));
    }
}
