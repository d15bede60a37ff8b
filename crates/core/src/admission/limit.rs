use std::cell::Cell;
use std::rc::Rc;

use crate::unit::{CallRate, TimePoint, TimeSpan, TokenCount, TokenRate};

const MAX_BURST: TimeSpan = TimeSpan::from_secs(1);
const ONE_CALL: f64 = 1.0;

/// The limits of a team over all entries; `None` stands for no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamLimit {
    /// Requests per second.
    pub call_rate: Option<CallRate>,
    /// Prompt and generated tokens per second.
    pub token_rate: Option<TokenRate>,
    /// Requests that run at the same time.
    pub max_running: Option<u64>,
}

/// A token bucket whose rate may change between calls.
///
/// A charge is allowed whenever the balance is positive, so that the balance can become
/// negative by at most one charge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateBucket {
    balance: f64,
    refilled_at: TimePoint,
}

impl RateBucket {
    /// Creates a full bucket, which allows a burst of one second like an idle one.
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            balance: f64::INFINITY,
            refilled_at: now,
        }
    }

    /// Refills the bucket at `rate` and returns the time until a charge is allowed.
    pub(crate) fn wait_time(&mut self, rate: f64, now: TimePoint) -> TimeSpan {
        let burst = (rate * MAX_BURST.as_secs_f64()).max(ONE_CALL);
        let refill = rate * now.since(self.refilled_at).as_secs_f64();
        self.balance = burst.min(self.balance + refill);
        self.refilled_at = now;
        if self.balance > 0.0 {
            return TimeSpan::ZERO;
        }
        let debt = -self.balance;
        TimeSpan::from_secs_f64(debt / rate.max(f64::MIN_POSITIVE)).max(TimeSpan::from_millis(1))
    }

    pub(crate) fn charge(&mut self, amount: f64) {
        self.balance -= amount;
    }
}

/// The running requests and the consumed rate limits of a team at this entry.
#[derive(Clone, Debug)]
pub(crate) struct TeamMeter {
    pub(crate) limit: TeamLimit,
    pub(crate) call_bucket: RateBucket,
    pub(crate) token_bucket: RateBucket,
    pub(crate) running: Rc<Cell<u64>>,
    /// Tokens that were charged but not used, to be refunded; tickets add to it.
    pub(crate) unused: Rc<Cell<u64>>,
}

impl TeamMeter {
    pub(crate) fn new(limit: TeamLimit, now: TimePoint) -> Self {
        Self {
            limit,
            call_bucket: RateBucket::new(now),
            token_bucket: RateBucket::new(now),
            running: Rc::default(),
            unused: Rc::default(),
        }
    }

    /// Returns the time until a request fits into this entry's `share` of the limits.
    pub(crate) fn wait_time(&mut self, share: f64, now: TimePoint) -> TimeSpan {
        let unused = self.unused.take();
        self.token_bucket.charge(-(unused as f64));
        let mut wait = TimeSpan::ZERO;
        if let Some(rate) = self.limit.call_rate {
            wait = wait.max(self.call_bucket.wait_time(rate.0 as f64 * share, now));
        }
        if let Some(rate) = self.limit.token_rate {
            wait = wait.max(self.token_bucket.wait_time(rate.0 as f64 * share, now));
        }
        if self.is_at_capacity(share) {
            wait = wait.max(MAX_BURST);
        }
        wait
    }

    pub(crate) fn charge(&mut self, tokens: TokenCount) {
        self.call_bucket.charge(ONE_CALL);
        self.token_bucket.charge(tokens.0 as f64);
        self.running.set(self.running.get() + 1);
    }

    fn is_at_capacity(&self, share: f64) -> bool {
        let scaled = |limit: u64| (limit as f64 * share).ceil() as u64;
        let limit = self.limit.max_running;
        limit.is_some_and(|limit| self.running.get() >= scaled(limit))
    }
}
