//! Points in time and time spans, in microseconds.

use std::{
    fmt,
    ops::{
        Add,
        Sub, //
    },
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A point in time: microseconds on the instance's monotonic clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Returns the span from `earlier` to this point, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

/// A time span in microseconds. It is displayed and serialized in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct Span(pub u64);

impl Span {
    /// Creates a span of whole milliseconds.
    pub const fn millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Creates a span of whole seconds.
    pub const fn seconds(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1_000_000))
    }

    /// Returns the span in milliseconds, rounded up.
    pub const fn as_millis(self) -> u64 {
        self.0.div_ceil(1_000)
    }

    /// Returns the span as a [`std::time::Duration`].
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }

    /// Returns the span multiplied by a factor, at most the longest span.
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl From<u64> for Span {
    fn from(millis: u64) -> Self {
        Self::millis(millis)
    }
}

impl From<Span> for u64 {
    fn from(span: Span) -> u64 {
        span.as_millis()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.as_millis())
    }
}

impl FromStr for Span {
    type Err = crate::id::ParseError;

    /// Parses whole milliseconds, with or without the unit `ms`, or whole seconds with the unit `s`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.trim();
        let (digits, unit) = match text.strip_suffix("ms") {
            Some(digits) => (digits, 1),
            None => match text.strip_suffix('s') {
                Some(digits) => (digits, 1_000),
                None => (text, 1),
            },
        };
        let count: u64 = digits
            .trim()
            .parse()
            .map_err(|_| crate::id::ParseError::Number)?;
        Ok(Self::millis(count.saturating_mul(unit)))
    }
}
