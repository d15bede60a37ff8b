//! Retries and retry budgets.
//!
//! Two rules apply. An attempt that may have run is retried only where the route
//! allows it. And retries are a bounded share of the first attempts, so that they
//! cannot amplify an overload. See
//! [docs/design/routing.md](../../../docs/design/routing.md).

use std::collections::BTreeMap;

use crate::code::{CallRefusal, ResultCode, RunState};
use crate::id::{AttemptNumber, ServiceId};
use crate::unit::TimeSpan;

/// The cost of one retry in the budget's unit, a thousandth of a retry, so that shares are integers.
const RETRY_COST: u64 = 1_000;
/// A process starts with this fraction of a full budget. Four starts within the period over which
/// retries are counted have one full budget together.
const RESTART_DIVISOR: u64 = 4;
/// When a caller may come back after an exhausted budget, unless the backend server said when.
const BUDGET_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// How many retries a service may cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Retries for each thousand first attempts.
    pub share_permille: u64,
    /// The size of a full budget: the retries that may follow each other after a quiet time.
    pub burst: u64,
    /// The most attempts at one request, including the first.
    pub max_attempts: u64,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            share_permille: 100,
            burst: 10,
            max_attempts: 3,
        }
    }
}

/// The retry budget of a service: a token bucket that first attempts fill.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    /// The retries left, in units of 1 / [`RETRY_COST`] of a retry.
    balance: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            balance: policy.burst * RETRY_COST,
        }
    }

    /// Creates the budget of a process that has just started. Before a restart it may have spent
    /// a full budget, so it starts with a fraction and earns the rest.
    pub fn after_restart(policy: RetryPolicy) -> Self {
        Self {
            policy,
            balance: policy.burst * RETRY_COST / RESTART_DIVISOR,
        }
    }

    /// Replaces the policy. The balance is kept, up to the new burst.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.balance = self.balance.min(policy.burst * RETRY_COST);
    }

    /// Records a first attempt, which adds its share of a retry.
    pub fn deposit(&mut self) {
        let full = self.policy.burst * RETRY_COST;
        self.balance = full.min(self.balance + self.policy.share_permille);
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = balance;
        true
    }
}

/// The attempts at one request so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestAttempts {
    service: ServiceId,
    repeatable: bool,
    current: AttemptNumber,
    may_have_run: bool,
}

impl RequestAttempts {
    /// Returns the number of the current attempt.
    pub fn current(&self) -> AttemptNumber {
        self.current
    }

    /// Returns whether an attempt that failed may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt, with this number, at another backend server.
    Retry(AttemptNumber),
    /// No retry: the caller gets this refusal.
    GiveUp(CallRefusal),
}

/// Decides on retries, with the budgets of all services of one entry.
#[derive(Clone, Debug, Default)]
pub struct RetryController {
    policy: RetryPolicy,
    budgets: BTreeMap<ServiceId, RetryBudget>,
}

impl RetryController {
    /// Creates a controller whose services all start with a full budget.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            budgets: BTreeMap::new(),
        }
    }

    /// Begins the first attempt at a request of `service`. `repeatable` says whether the route
    /// allows to retry an attempt that may have run.
    pub fn begin(&mut self, service: ServiceId, repeatable: bool) -> RequestAttempts {
        self.budget_of(&service).deposit();
        RequestAttempts {
            service,
            repeatable,
            current: AttemptNumber(1),
            may_have_run: false,
        }
    }

    /// Decides what follows an attempt that ended with `refusal`, with `time_left` until the
    /// caller's deadline.
    pub fn decide(
        &mut self,
        attempts: &mut RequestAttempts,
        refusal: CallRefusal,
        time_left: TimeSpan,
    ) -> RetryDecision {
        attempts.may_have_run |= refusal.code.run_state() != RunState::NotRun;
        let allowed = attempts.repeatable || !attempts.may_have_run;
        let exhausted =
            attempts.current.0 >= self.policy.max_attempts || time_left == TimeSpan::ZERO;
        if !allowed || exhausted || !is_retryable(refusal.code) {
            return RetryDecision::GiveUp(final_refusal(attempts, refusal));
        }
        if self.budget_of(&attempts.service).try_withdraw() {
            attempts.current = attempts.current.next();
            return RetryDecision::Retry(attempts.current);
        }
        let span = refusal.retry_after.unwrap_or(BUDGET_RETRY_AFTER);
        let over_budget = CallRefusal::retryable(ResultCode::RetryExhausted, span);
        let refusal = match attempts.may_have_run {
            true => refusal,
            false => over_budget,
        };
        RetryDecision::GiveUp(final_refusal(attempts, refusal))
    }

    /// Removes a service that the configuration no longer has.
    pub fn remove(&mut self, service: &ServiceId) {
        self.budgets.remove(service);
    }

    fn budget_of(&mut self, service: &ServiceId) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            let budget = RetryBudget::new(self.policy);
            self.budgets.insert(service.clone(), budget);
        }
        self.budgets
            .get_mut(service)
            .expect("the budget was inserted above")
    }
}

/// Returns the refusal for the caller. One that says "not run" has to be true of all attempts, not
/// only of the last one.
fn final_refusal(attempts: &RequestAttempts, refusal: CallRefusal) -> CallRefusal {
    let reports_not_run = refusal.code.run_state() == RunState::NotRun;
    if reports_not_run && attempts.may_have_run {
        return CallRefusal::permanent(ResultCode::OutcomeUnknown);
    }
    refusal
}

/// Returns whether another backend server may succeed: the cause lies with the one that failed.
fn is_retryable(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::BackendMissing
            | ResultCode::BackendBusy
            | ResultCode::BackendMismatch
            | ResultCode::BackendFailed
            | ResultCode::ServiceShutting
            | ResultCode::InstanceDraining
            | ResultCode::OutcomeUnknown
            | ResultCode::AnswerBroken
            | ResultCode::PeerSilent
            | ResultCode::PeerRefused
            | ResultCode::AnswerCrossed
            | ResultCode::DeadlineHopeless
    )
}
