//! The types for points in time and lengths of time. This crate reads no clock: the time is always passed as
//! an argument.
//!
//! Two units are in use. The node, the engine and all stored or sent data use whole microseconds; the
//! controller computes in nanoseconds, as the simulator's protocol does. Points in time and lengths of time
//! have separate types, and so have points on the two clocks, so that the compiler rejects mixing them:
//!
//! | | point, monotonic clock | point, wall clock | length |
//! | --- | --- | --- | --- |
//! | microseconds | [`Timestamp`] | [`UnixTime`] | [`Micros`] |
//! | nanoseconds (controller) | [`Time`] | | [`Span`] |
//!
//! A [`Moment`] is the same point in time on both clocks. All arithmetic saturates: a difference that would
//! be negative is zero, and a sum stops at the largest number. The types in the table are serialised as plain
//! numbers.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A point on the controller's clock, in nanoseconds. In a node this is the monotonic clock; in a simulation
/// it is the simulator's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Time(pub u64);

/// A length of time in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Span {
    /// A length of `ms` whole milliseconds.
    pub const fn millis(ms: u64) -> Self {
        Span(ms.saturating_mul(1_000_000))
    }

    /// This length in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// A length of `s` seconds, rounded down to nanoseconds; negative values and NaN give zero.
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

/// A length of time in whole microseconds. No method converts it to a point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// A length of `ms` whole milliseconds.
    pub const fn millis(ms: u64) -> Self {
        Micros(ms.saturating_mul(1000))
    }

    /// The sum of both lengths.
    pub const fn plus(self, other: Micros) -> Self {
        Micros(self.0.saturating_add(other.0))
    }

    /// This length in the controller's unit, nanoseconds.
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

/// A point on the monotonic clock, in whole microseconds. This clock cannot be set. Each process chooses its
/// origin, so points of two processes cannot be compared, except that a successor continues its predecessor's
/// clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The point `ms` whole milliseconds after the clock's origin.
    pub const fn millis(ms: u64) -> Self {
        Timestamp(ms.saturating_mul(1000))
    }

    /// The point that is later by `by`.
    pub const fn plus(self, by: Micros) -> Self {
        Timestamp(self.0.saturating_add(by.0))
    }

    /// The point that is earlier by `by`; the clock's origin if the result would be before it.
    pub const fn minus(self, by: Micros) -> Self {
        Timestamp(self.0.saturating_sub(by.0))
    }

    /// The time from `earlier` to this point; zero if `earlier` is later.
    pub const fn since(self, earlier: Timestamp) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// This point on the controller's clock, in nanoseconds.
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

/// A point on the wall clock, in whole microseconds since 1970-01-01 00:00 UTC. The wall clock can be set
/// forward or back. Stored times and times that other hosts see are on this clock, as its points stay valid
/// over a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnixTime(pub u64);

impl UnixTime {
    /// The point `ms` whole milliseconds after 1970-01-01 00:00 UTC.
    pub const fn millis(ms: u64) -> Self {
        UnixTime(ms.saturating_mul(1000))
    }

    /// The point that is later by `by`.
    pub const fn plus(self, by: Micros) -> Self {
        UnixTime(self.0.saturating_add(by.0))
    }

    /// The point that is earlier by `by`; 1970-01-01 00:00 UTC if the result would be before it.
    pub const fn minus(self, by: Micros) -> Self {
        UnixTime(self.0.saturating_sub(by.0))
    }

    /// The time from `earlier` to this point; zero if `earlier` is later.
    pub const fn since(self, earlier: UnixTime) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

/// One point in time on both clocks. The monotonic clock cannot be set; points on the wall clock stay valid
/// over a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moment {
    /// The monotonic time of this process.
    pub mono: Timestamp,
    /// The Unix time, from the wall clock.
    pub wall: UnixTime,
}

impl Moment {
    /// The moment that is later by `by` on both clocks.
    pub const fn plus(self, by: Micros) -> Self {
        Moment { mono: self.mono.plus(by), wall: self.wall.plus(by) }
    }

    /// Whether this moment is before `end`, the end of a window, on at least one of the two clocks. A clock
    /// that was set forward or back can thus lengthen a window, but never shorten it.
    pub fn is_before(self, end: Moment) -> bool {
        self.mono < end.mono || self.wall < end.wall
    }
}
