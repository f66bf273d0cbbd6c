//! Monotonic and Unix time, read together once a turn.

use super::System;
use gaugestand_admission::time::Micros;
use gaugestand_admission::time::Moment;

/// Where the monotonic clock starts: later than any age that a request may have, so that the time at which it
/// reached the machine is never before the origin.
pub const START: Micros = Micros::millis(3_600_000);

/// The time of this turn.
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

    /// Monotonic time of this turn.
    pub fn now(&self) -> Micros {
        self.now.mono
    }

    /// The time of this turn on both clocks.
    pub fn moment(&self) -> Moment {
        self.now
    }

    /// How long ago this moment of Unix time was; zero if it is still to come.
    pub fn age(&self, unix: Micros) -> Micros {
        // An age beyond the origin says nothing more than one at it: both are long past every due time.
        Micros(self.now.wall.since(unix).0.min(START.0))
    }
}
