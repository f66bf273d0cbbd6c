//! Monotonic and Unix time, read together once a turn.

use gaugestand_core::facade::Micros;
use gaugestand_core::register::Moment;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Where the monotonic clock starts: later than any age that a request may have, so that the time at which it
/// reached the machine is never before the origin.
const START: Micros = Micros::millis(3_600_000);

/// The time of this turn.
#[derive(Debug)]
pub struct Clock {
    origin: Instant,
    now: Micros,
    unix: Micros,
}

impl Default for Clock {
    /// A clock that was read just now.
    fn default() -> Self {
        let mut clock = Clock { origin: Instant::now(), now: START, unix: Micros(0) };
        clock.read();
        clock
    }
}

impl Clock {
    /// Reads both clocks.
    pub fn read(&mut self) {
        self.now = START.plus(Micros(self.origin.elapsed().as_micros() as u64));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.unix = Micros(unix.as_micros() as u64);
    }

    /// Monotonic time of this turn.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The time of this turn on both clocks.
    pub fn moment(&self) -> Moment {
        Moment { mono: self.now, wall: self.unix }
    }

    /// How long ago this moment of Unix time was; zero if it is still to come.
    pub fn age(&self, unix: Micros) -> Micros {
        // An age beyond the origin says nothing more than one at it: both are long past every due time.
        Micros(self.unix.since(unix).0.min(START.0))
    }
}
