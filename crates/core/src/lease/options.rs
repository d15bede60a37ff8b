//! The times that a lease goes by.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::unit::TimeSpan;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// How long the platform keeps a lease without a renewal.
pub const LEASE_TTL: TimeSpan = TimeSpan::from_secs(6);

/// How long before its lease ends a holder stops acting.
pub const LEASE_MARGIN: TimeSpan = TimeSpan::from_secs(1);

/// How many renewals fall into one lease.
pub const RENEWALS_PER_LEASE: u64 = 3;

/// The longest time that an order may stay on its way.
pub const ORDER_DELIVERY_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// By how much the rates of two clocks may differ.
pub const MAX_CLOCK_DRIFT: DriftRate = DriftRate(1_000);

/// How far apart two clocks may run, in parts per million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DriftRate(pub u32);

impl DriftRate {
    /// Returns `span` less what a slow clock may have missed of it.
    pub fn shorten(self, span: TimeSpan) -> TimeSpan {
        span.saturating_sub(self.share(span))
    }

    /// Returns `span` and what a fast clock may have run ahead in it.
    pub fn lengthen(self, span: TimeSpan) -> TimeSpan {
        span + self.share(span)
    }

    fn share(self, span: TimeSpan) -> TimeSpan {
        TimeSpan((span.0 * u64::from(self.0)).div_ceil(PARTS_PER_MILLION))
    }
}

impl fmt::Display for DriftRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ppm", self.0)
    }
}

impl FromStr for DriftRate {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let digits = text.strip_suffix("ppm").unwrap_or(text);
        digits.parse().map(Self)
    }
}

/// What a new holder does before it first acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverRule {
    /// It waits until nothing of an earlier holder can still take effect.
    AfterExpiry,
    /// It waits until an order that an earlier holder sent has arrived. The store gives the
    /// lease only once the earlier one has ended, which its holder saw coming by its own clock.
    AfterDelivery,
    /// It acts at once, because every effect is fenced by compare-and-swap.
    Immediate,
}

/// The times that a lease goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// How long the platform keeps the lease without a renewal.
    pub ttl: TimeSpan,
    /// How long before the lease ends its holder stops acting; also the
    /// longest time between two steps of the holder.
    pub margin: TimeSpan,
    /// The time between renewals.
    pub renewal_interval: TimeSpan,
    /// How long an answer is waited for.
    pub call_timeout: TimeSpan,
    /// The longest time that an order may stay on its way.
    pub delivery_timeout: TimeSpan,
    /// By how much the rates of two clocks may differ.
    pub max_drift: DriftRate,
    /// What a new holder does before it first acts.
    pub takeover: TakeoverRule,
}

impl LeaseOptions {
    /// Options for a lease of `ttl` whose effects are not fenced otherwise.
    pub fn new(ttl: TimeSpan, margin: TimeSpan) -> Self {
        let renewal_interval = TimeSpan(ttl.0 / RENEWALS_PER_LEASE);
        Self {
            ttl,
            margin,
            renewal_interval,
            call_timeout: renewal_interval,
            delivery_timeout: ORDER_DELIVERY_TIMEOUT,
            max_drift: MAX_CLOCK_DRIFT,
            takeover: TakeoverRule::AfterExpiry,
        }
    }

    /// Options for a lease whose holder only writes by compare-and-swap.
    pub fn store_fenced() -> Self {
        Self {
            takeover: TakeoverRule::Immediate,
            ..Self::default()
        }
    }

    /// Returns how long the holder may act after it sent a renewal that succeeded.
    pub fn authority_span(&self) -> TimeSpan {
        self.max_drift.shorten(self.ttl).saturating_sub(self.margin)
    }

    /// Returns how long a new holder waits before it first acts.
    pub fn takeover_delay(&self) -> TimeSpan {
        match self.takeover {
            TakeoverRule::Immediate => TimeSpan::ZERO,
            TakeoverRule::AfterDelivery => self.max_drift.lengthen(self.delivery_timeout),
            TakeoverRule::AfterExpiry => {
                let span = self.ttl + self.margin + self.delivery_timeout;
                self.max_drift.lengthen(span)
            }
        }
    }
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self::new(LEASE_TTL, LEASE_MARGIN)
    }
}
