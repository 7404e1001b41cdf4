//! Timestamps and durations in microseconds, as separate types.

use std::ops::{Add, Sub};

/// A timestamp of the clock that the host reads, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(u64);

/// A duration in microseconds; never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Moment {
    /// Creates a timestamp from microseconds since the clock's epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the clock's epoch.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the clock's epoch.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// No time.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a duration from milliseconds; saturates.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Creates a duration from seconds; negative numbers and NaN become zero.
    pub fn from_secs(secs: f64) -> Self {
        Self((secs * 1e6) as u64)
    }

    /// Returns the duration in microseconds.
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the duration multiplied by `factor`; zero if the result is negative or NaN.
    pub fn times(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl Add<Span> for Moment {
    type Output = Self;
    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Self;
    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}
