//! A token bucket in integers, for rate limits and quotas.

use crate::unit::{RequestRate, TimePoint, TimeSpan};

/// One token in the unit of a balance: a thousandth of a token per second, for a microsecond.
pub(super) const TOKEN_COST: i128 = 1_000_000_000;

/// A token bucket. It starts empty, since a former issuer may have just issued what it had.
#[derive(Clone, Debug)]
pub(super) struct RateBucket {
    /// The tokens left, in units of 1 / [`TOKEN_COST`]; negative after a forced withdrawal.
    balance: i128,
    refilled_at: TimePoint,
}

impl RateBucket {
    /// Creates an empty bucket.
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            balance: 0,
            refilled_at: now,
        }
    }

    /// Returns the balance.
    pub(super) fn balance(&self) -> i128 {
        self.balance
    }

    /// Returns when the bucket was last refilled.
    pub(super) fn refilled_at(&self) -> TimePoint {
        self.refilled_at
    }

    /// Refills the bucket for the time since the last refill, up to `max_span`, and cuts the balance
    /// to `full`.
    pub(super) fn refill(
        &mut self,
        rate: RequestRate,
        full: i128,
        max_span: TimeSpan,
        now: TimePoint,
    ) {
        let span = now.since(self.refilled_at).min(max_span);
        self.refilled_at = self.refilled_at.max(now);
        let refill = i128::from(rate.0) * i128::from(span.0);
        self.balance = full.min(self.balance + refill);
    }

    /// Withdraws `cost`, whatever the balance.
    pub(super) fn force(&mut self, cost: i128) {
        self.balance -= cost;
    }

    /// Adds tokens that another bucket has given up.
    pub(super) fn deposit(&mut self, amount: i128) {
        self.balance += amount;
    }

    /// Withdraws `cost` if the balance is at least `price`; returns whether it was.
    pub(super) fn try_take(&mut self, cost: i128, price: i128) -> bool {
        let covered = self.balance >= price;
        if covered {
            self.force(cost);
        }
        covered
    }
}

/// Returns the time in which a rate yields `missing`.
pub(super) fn refill_time(missing: i128, rate: RequestRate) -> TimeSpan {
    let rate = i128::from(rate.0.max(1));
    let micros = (missing.max(0) + rate - 1) / rate;
    TimeSpan(u64::try_from(micros).unwrap_or(u64::MAX))
}
