//! Durations and clock tolerances of leases.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::unit::TimeSpan;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// The time after which a lease expires without a renewal.
pub const LEASE_TTL: TimeSpan = TimeSpan::from_secs(6);

/// The safety margin: how long before its lease expires a holder stops acting.
pub const LEASE_MARGIN: TimeSpan = TimeSpan::from_secs(1);

/// The number of renewals per lease duration.
pub const RENEWALS_PER_LEASE: u64 = 3;

/// The maximum time between the sending and the arrival of an order.
pub const ORDER_DELIVERY_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// The maximum difference between the rates of two clocks.
pub const MAX_CLOCK_DRIFT: DriftRate = DriftRate(1_000);

/// A difference between the rates of two clocks, in parts per million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DriftRate(pub u32);

impl DriftRate {
    /// Returns the least time that has passed on another clock when `span` has passed on this one.
    pub fn shorten(self, span: TimeSpan) -> TimeSpan {
        span.saturating_sub(self.error(span))
    }

    /// Returns the most time that has passed on another clock when `span` has passed on this one.
    pub fn lengthen(self, span: TimeSpan) -> TimeSpan {
        span + self.error(span)
    }

    fn error(self, span: TimeSpan) -> TimeSpan {
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

/// How long a new holder waits before it first acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverRule {
    /// It waits until an earlier holder's lease has expired and all its orders have arrived.
    AfterExpiry,
    /// It waits until all orders of an earlier holder have arrived. This suffices if the store
    /// grants the lease only after the earlier one has expired, because the earlier holder stopped
    /// acting before that on its own clock.
    AfterDelivery,
    /// It acts at once. This suffices if all effects are fenced by compare-and-swap.
    Immediate,
}

/// Durations and clock tolerances of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// The time after which the lease expires without a renewal.
    pub ttl: TimeSpan,
    /// How long before the lease expires its holder stops acting; also the
    /// maximum time between two steps of the holder.
    pub margin: TimeSpan,
    /// The time between renewals.
    pub renewal_interval: TimeSpan,
    /// The timeout of a lease call.
    pub call_timeout: TimeSpan,
    /// The maximum time between the sending and the arrival of an order.
    pub delivery_timeout: TimeSpan,
    /// The maximum difference between the rates of two clocks.
    pub max_drift: DriftRate,
    /// How long a new holder waits before it first acts.
    pub takeover: TakeoverRule,
}

impl LeaseOptions {
    /// Returns options for a lease of `ttl` whose effects have no other fencing.
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

    /// Returns options for a lease whose holder writes only by compare-and-swap.
    pub fn store_fenced() -> Self {
        Self {
            takeover: TakeoverRule::Immediate,
            ..Self::default()
        }
    }

    /// Returns how long the holder may act, from the time it sent a successful renewal.
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
