//! Quantities with their units.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The error for a text that is not a quantity. Its message says what is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitError {
    expected: &'static str,
}

impl fmt::Display for UnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.expected)
    }
}

impl std::error::Error for UnitError {}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Returns the difference, or zero if `other` is larger.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0 + other.0)
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                self.0 += other.0;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                Self(self.0 - other.0)
            }
        }

        impl Sum for $name {
            fn sum<I>(quantities: I) -> Self
            where
                I: Iterator<Item = Self>,
            {
                quantities.fold(Self::ZERO, Self::add)
            }
        }
    };
}

macro_rules! text_format {
    ($name:ident, $suffix:literal, $expected:literal) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $suffix)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let digits = text.strip_suffix($suffix).unwrap_or(text);
                let number = digits.parse();
                number.map(Self).map_err(|_| UnitError {
                    expected: $expected,
                })
            }
        }
    };
}

quantity! {
    /// A number of tokens.
    TokenCount
}
quantity! {
    /// A number of bytes.
    ByteSize
}
quantity! {
    /// Tokens per second.
    TokenRate
}
quantity! {
    /// Calls per second.
    CallRate
}
quantity! {
    /// Requests per second, in thousandths: a backend server may take less than one.
    RequestRate
}
quantity! {
    /// A length of time in microseconds.
    TimeSpan
}

text_format!(
    TokenCount,
    "tok",
    "a whole number of tokens, such as 512 or 512tok"
);
text_format!(
    ByteSize,
    "B",
    "a whole number of bytes, such as 1048576 or 1048576B"
);
text_format!(
    TokenRate,
    "tok/s",
    "a whole number of tokens per second, such as 800 or 800tok/s"
);
text_format!(
    CallRate,
    "/s",
    "a whole number of calls per second, such as 50 or 50/s"
);

/// The parts of a request per second that [`RequestRate`] counts.
const RATE_PARTS: u64 = 1_000;
/// The highest rate that is parsed; higher ones are lowered to it.
const MAX_REQUEST_RATE: RequestRate = RequestRate(1_000_000 * RATE_PARTS);

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0 as f64 / RATE_PARTS as f64)
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let error = UnitError {
            expected: "a decimal number of requests per second, such as 5.8 or 5.8/s",
        };
        let is_digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let number = text.strip_suffix("/s").unwrap_or(text);
        let (integer, fraction) = number.split_once('.').unwrap_or((number, "0"));
        if !is_digits(integer) || !is_digits(fraction) {
            return Err(error);
        }
        let rate: f64 = number.parse().map_err(|_| error)?;
        let parts = (rate * RATE_PARTS as f64).round() as u64;
        Ok(Self(parts).min(MAX_REQUEST_RATE))
    }
}

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SEC: u64 = 1_000_000;

impl TimeSpan {
    /// Creates a span of milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * MICROS_PER_MILLI)
    }

    /// Creates a span of seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * MICROS_PER_SEC)
    }

    /// Returns the span in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SEC as f64
    }

    /// Creates a span of seconds; negative and too large values are clamped.
    pub fn from_secs_f64(secs: f64) -> Self {
        Self((secs.max(0.0) * MICROS_PER_SEC as f64) as u64)
    }

    /// Returns the span in seconds, rounded up, as the `Retry-After` header requires.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(MICROS_PER_SEC)
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            micros if micros % MICROS_PER_SEC == 0 => write!(f, "{}s", micros / MICROS_PER_SEC),
            micros if micros % MICROS_PER_MILLI == 0 => {
                write!(f, "{}ms", micros / MICROS_PER_MILLI)
            }
            micros => write!(f, "{micros}us"),
        }
    }
}

impl FromStr for TimeSpan {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let expected = "a time such as 250ms, 5s or 100us";
        let error = UnitError { expected };
        let (digits, factor) = match text {
            _ if text.ends_with("ms") => (text.strip_suffix("ms"), MICROS_PER_MILLI),
            _ if text.ends_with("us") => (text.strip_suffix("us"), 1),
            _ => (text.strip_suffix('s'), MICROS_PER_SEC),
        };
        let number: u64 = digits.ok_or(error)?.parse().map_err(|_| error)?;
        number.checked_mul(factor).map(Self).ok_or(error)
    }
}

/// A point in time that the caller passes in, in microseconds since the start of its clock.
///
/// This library never reads a clock. A process passes the time of its monotonic clock, and a test
/// that of a virtual one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// The start of the clock.
    pub const START: Self = Self(0);

    /// Returns the time since `earlier`, or zero if that is later.
    pub fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for TimePoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "@{}us", self.0)
    }
}

impl Add<TimeSpan> for TimePoint {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeSpan> for TimePoint {
    type Output = Self;

    fn sub(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}
