use std::cell::Cell;
use std::rc::Rc;

use crate::unit::{CallRate, TimePoint, TimeSpan, TokenCount, TokenRate};

const MAX_BURST: TimeSpan = TimeSpan::from_secs(1);
const WHOLE: f64 = 1.0;

/// The limits of a team over all entries; `None` where there is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamLimit {
    /// Requests per second.
    pub call_rate: Option<CallRate>,
    /// Prompt and answer tokens per second.
    pub token_rate: Option<TokenRate>,
    /// Requests that run at once.
    pub max_running: Option<u64>,
}

/// A token bucket whose rate may change while it runs; it may go into debt by one charge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateBucket {
    balance: f64,
    filled_at: TimePoint,
}

impl RateBucket {
    /// A bucket starts with room for one second, as one that was idle has.
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            balance: f64::INFINITY,
            filled_at: now,
        }
    }

    /// Returns how long until a charge is allowed, zero where it is now.
    pub(crate) fn wait(&mut self, rate: f64, now: TimePoint) -> TimeSpan {
        let burst = (rate * MAX_BURST.as_secs_f64()).max(WHOLE);
        let gained = rate * now.since(self.filled_at).as_secs_f64();
        self.balance = burst.min(self.balance + gained);
        self.filled_at = now;
        if self.balance > 0.0 {
            return TimeSpan::ZERO;
        }
        let missing = -self.balance;
        TimeSpan::from_secs_f64(missing / rate.max(f64::MIN_POSITIVE)).max(TimeSpan::from_millis(1))
    }

    pub(crate) fn charge(&mut self, amount: f64) {
        self.balance -= amount;
    }
}

/// What a team has in progress and has used at this entry.
#[derive(Clone, Debug)]
pub(crate) struct TeamMeter {
    pub(crate) limit: TeamLimit,
    pub(crate) calls: RateBucket,
    pub(crate) tokens: RateBucket,
    pub(crate) running: Rc<Cell<u64>>,
    /// Tokens that were charged and not used, handed back by tickets.
    pub(crate) unused: Rc<Cell<u64>>,
}

impl TeamMeter {
    pub(crate) fn new(limit: TeamLimit, now: TimePoint) -> Self {
        Self {
            limit,
            calls: RateBucket::new(now),
            tokens: RateBucket::new(now),
            running: Rc::default(),
            unused: Rc::default(),
        }
    }

    /// Returns how long until a request fits in this entry's `share` of the limits.
    pub(crate) fn wait(&mut self, share: f64, now: TimePoint) -> TimeSpan {
        let unused = self.unused.take();
        self.tokens.charge(-(unused as f64));
        let mut wait = TimeSpan::ZERO;
        if let Some(rate) = self.limit.call_rate {
            wait = wait.max(self.calls.wait(rate.0 as f64 * share, now));
        }
        if let Some(rate) = self.limit.token_rate {
            wait = wait.max(self.tokens.wait(rate.0 as f64 * share, now));
        }
        if self.is_full(share) {
            wait = wait.max(MAX_BURST);
        }
        wait
    }

    pub(crate) fn charge(&mut self, tokens: TokenCount) {
        self.calls.charge(WHOLE);
        self.tokens.charge(tokens.0 as f64);
        self.running.set(self.running.get() + 1);
    }

    fn is_full(&self, share: f64) -> bool {
        let most = |limit: u64| (limit as f64 * share).ceil() as u64;
        let limit = self.limit.max_running;
        limit.is_some_and(|limit| self.running.get() >= most(limit))
    }
}
