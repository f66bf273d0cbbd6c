//! Monotonic and Unix time, read together once an iteration of the loop.
//!
//! All that happens in one iteration happens at one time. The monotonic clock never goes back; Unix time may, when it is set.

use super::System;
use gaugestand_admission::time::{Micros, Moment, Timestamp, UnixTime};

/// The greatest age that a request may have. A greater one says nothing more: both are long past every deadline.
const MAX_AGE: Micros = Micros::millis(3_600_000);

/// What the monotonic clock shows at its start: the greatest age, so that the time at which a request reached the machine
/// is never before zero.
pub const ORIGIN: Timestamp = Timestamp(MAX_AGE.0);

/// The time of this iteration.
#[derive(Debug)]
pub struct Clock {
    now: Moment,
}

impl Clock {
    /// A clock that was read just now.
    pub fn new(system: &impl System) -> Self {
        Clock { now: system.moment() }
    }

    /// Reads both clocks.
    pub fn read(&mut self, system: &impl System) {
        self.now = system.moment();
    }

    /// Monotonic time of this iteration.
    pub fn now(&self) -> Timestamp {
        self.now.mono
    }

    /// The time of this iteration on both clocks.
    pub fn moment(&self) -> Moment {
        self.now
    }

    /// How long ago this moment of Unix time was, at most `MAX_AGE`; zero if it is still to come.
    pub fn age(&self, unix: UnixTime) -> Micros {
        self.now.wall.since(unix).min(MAX_AGE)
    }
}
