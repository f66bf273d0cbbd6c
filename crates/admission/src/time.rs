//! Time, as the decisions take it: always an argument, never read from a clock here.
//!
//! Two units stand side by side. The node, the engine and all that is stored or sent count whole microseconds
//! ([`Micros`], [`Moment`]); the controller computes in nanoseconds ([`Time`], [`Span`]), as the simulator's wire does.
//! All arithmetic saturates: a difference that would be negative is zero.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A point on the worker's clock, in nanoseconds from no particular origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Time(pub u64);

/// A length of time in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Span {
    /// A span of whole milliseconds.
    pub const fn millis(ms: u64) -> Self {
        Span(ms.saturating_mul(1_000_000))
    }

    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// A span from seconds; negative and undefined values give zero.
    pub fn from_secs(s: f64) -> Self {
        Span((s * 1e9).max(0.0) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, rhs: Span) -> Time {
        Time(self.0.saturating_add(rhs.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, rhs: Span) -> Time {
        Time(self.0.saturating_sub(rhs.0))
    }
}

impl Sub<Time> for Time {
    type Output = Span;
    /// The time since `rhs`; zero if `rhs` is later.
    fn sub(self, rhs: Time) -> Span {
        Span(self.0.saturating_sub(rhs.0))
    }
}

/// A point on the monotonic clock, or a length of time, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// Whole milliseconds.
    pub const fn millis(ms: u64) -> Self {
        Micros(ms.saturating_mul(1000))
    }

    /// This much later.
    pub const fn plus(self, by: Micros) -> Self {
        Micros(self.0.saturating_add(by.0))
    }

    /// The time since `earlier`; zero if that is later.
    pub const fn since(self, earlier: Micros) -> Self {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// As a length of time of the controller, in nanoseconds.
    pub(crate) fn span(self) -> Span {
        Span(self.0.saturating_mul(1000))
    }

    /// As a point on the clock of the controller, in nanoseconds.
    pub(crate) fn time(self) -> Time {
        Time(self.0.saturating_mul(1000))
    }
}

impl From<Span> for Micros {
    fn from(s: Span) -> Self {
        Micros(s.0 / 1000)
    }
}

impl From<Time> for Micros {
    fn from(t: Time) -> Self {
        Micros(t.0 / 1000)
    }
}

/// A moment on both clocks. The monotonic one can't be set; the wall clock is the one that survives a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moment {
    /// Monotonic time of this process.
    pub mono: Micros,
    /// Unix time.
    pub wall: Micros,
}

impl Moment {
    /// This much later on both.
    pub const fn plus(self, by: Micros) -> Self {
        Moment { mono: self.mono.plus(by), wall: self.wall.plus(by) }
    }

    /// Whether this moment is before the end of a window. Either clock will do: one that was set back or forward
    /// may lengthen a window, never shorten it.
    pub fn is_before(self, end: Moment) -> bool {
        self.mono < end.mono || self.wall < end.wall
    }
}
