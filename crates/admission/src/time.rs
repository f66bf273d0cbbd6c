//! Time, as the decisions take it: always an argument, never read from a clock here.
//!
//! Two units stand side by side. The node, the engine and all that is stored or sent count whole microseconds; the
//! controller computes in nanoseconds, as the simulator's wire does. Points and lengths are types of their own, and so
//! are the points of the two clocks, so that none can be taken for another:
//!
//! | | point, monotonic clock | point, wall clock | length |
//! | --- | --- | --- | --- |
//! | microseconds | [`Timestamp`] | [`UnixTime`] | [`Micros`] |
//! | nanoseconds (controller) | [`Time`] | | [`Span`] |
//!
//! [`Moment`] is one point read on both clocks. All arithmetic saturates: a difference that would be negative is zero,
//! a sum stops at the largest number. Each type is serialised as its plain number.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A point on the controller's clock, in nanoseconds: the monotonic clock's, or the simulator's.
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

/// A length of time in whole microseconds. It has no method that yields a point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// Whole milliseconds.
    pub const fn millis(ms: u64) -> Self {
        Micros(ms.saturating_mul(1000))
    }

    /// The sum of both lengths.
    pub const fn plus(self, other: Micros) -> Self {
        Micros(self.0.saturating_add(other.0))
    }

    /// As a length of time of the controller, in nanoseconds.
    pub(crate) fn span(self) -> Span {
        Span(self.0.saturating_mul(1000))
    }
}

impl From<Span> for Micros {
    /// Rounds down to whole microseconds.
    fn from(span: Span) -> Self {
        Micros(span.0 / 1000)
    }
}

/// A point on the monotonic clock, in whole microseconds. The clock can't be set. Its origin is the process's own
/// choice, so two processes can't compare their points, except that a successor goes on with its predecessor's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// This many whole milliseconds after the clock's origin.
    pub const fn millis(ms: u64) -> Self {
        Timestamp(ms.saturating_mul(1000))
    }

    /// This much later.
    pub const fn plus(self, by: Micros) -> Self {
        Timestamp(self.0.saturating_add(by.0))
    }

    /// This much earlier; the origin if that would be before it.
    pub const fn minus(self, by: Micros) -> Self {
        Timestamp(self.0.saturating_sub(by.0))
    }

    /// The time since `earlier`; zero if that is later.
    pub const fn since(self, earlier: Timestamp) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// As a point on the clock of the controller, in nanoseconds.
    pub(crate) fn time(self) -> Time {
        Time(self.0.saturating_mul(1000))
    }
}

impl From<Time> for Timestamp {
    /// Rounds down to whole microseconds.
    fn from(time: Time) -> Self {
        Timestamp(time.0 / 1000)
    }
}

/// A point on the wall clock, in whole microseconds since 1970-01-01 00:00 UTC. The clock can be set forward or back;
/// it is the one that is stored, that survives a restart and that other hosts share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnixTime(pub u64);

impl UnixTime {
    /// This many whole milliseconds after 1970-01-01 00:00 UTC.
    pub const fn millis(ms: u64) -> Self {
        UnixTime(ms.saturating_mul(1000))
    }

    /// This much later.
    pub const fn plus(self, by: Micros) -> Self {
        UnixTime(self.0.saturating_add(by.0))
    }

    /// This much earlier; 1970-01-01 00:00 UTC if that would be before it.
    pub const fn minus(self, by: Micros) -> Self {
        UnixTime(self.0.saturating_sub(by.0))
    }

    /// The time since `earlier`; zero if that is later.
    pub const fn since(self, earlier: UnixTime) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

/// A moment on both clocks. The monotonic one can't be set; the wall clock is the one that survives a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moment {
    /// Monotonic time of this process.
    pub mono: Timestamp,
    /// Unix time.
    pub wall: UnixTime,
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
