//! Monotonic and Unix time of the event loop, read together once per iteration.
//!
//! All events of one iteration have the same time. The monotonic clock never goes back; Unix time may, when
//! the machine's clock is set.

use super::System;
use gaugestand_admission::time::{Micros, Moment, Timestamp, UnixTime};

/// Upper limit of the age of a request (see [`Clock::age`]). A greater age is reported as this value: in both
/// cases the request is long past every deadline.
const MAX_AGE: Micros = Micros::millis(3_600_000);

/// Monotonic time at the start of the clock. It equals `MAX_AGE`, so that the time at which a request reached
/// the machine (the current time less the age of the request) is never below zero.
pub const ORIGIN: Timestamp = Timestamp(MAX_AGE.0);

/// The time of the current iteration of the event loop, on both clocks.
#[derive(Debug)]
pub struct Clock {
    now: Moment,
}

impl Clock {
    /// Creates a clock and reads both clocks of `system`.
    pub fn new(system: &impl System) -> Self {
        Clock { now: system.moment() }
    }

    /// Starts a new iteration: reads both clocks of `system`.
    pub fn read(&mut self, system: &impl System) {
        self.now = system.moment();
    }

    /// Monotonic time of the current iteration.
    pub fn now(&self) -> Timestamp {
        self.now.mono
    }

    /// Monotonic and Unix time of the current iteration.
    pub fn moment(&self) -> Moment {
        self.now
    }

    /// Time from `unix` to the current iteration: at most `MAX_AGE`, and zero if `unix` is in the future.
    pub fn age(&self, unix: UnixTime) -> Micros {
        self.now.wall.since(unix).min(MAX_AGE)
    }
}
