//! Whether a failed attempt is followed by another one.
//!
//! Two rules bind: an attempt that may have run is repeated only where the
//! route allows it, and second attempts are a bounded share of first ones, so
//! that retries cannot turn an overload into a larger one. See
//! [docs/design/routing.md](../../../docs/design/routing.md).

use std::collections::BTreeMap;

use crate::code::{CallRefusal, ResultCode, RunState};
use crate::id::{AttemptNumber, ServiceId};
use crate::unit::TimeSpan;

/// What one whole retry costs in the budget's own unit, so that shares stay whole numbers.
const RETRY_COST: u64 = 1_000;
/// The part of a full budget that a process starts with: four starts within the time that second
/// attempts are counted over have one full budget together.
const RESTART_DIVISOR: u64 = 4;
const BUDGET_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// How many second attempts a service may cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Second attempts for each thousand first attempts.
    pub share_permille: u64,
    /// Second attempts that may follow each other after a quiet time.
    pub burst: u64,
    /// The most attempts at one request, the first one included.
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

/// The second attempts that a service may still cause.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
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

    /// Creates the budget of a process that has just started. Its earlier runs may have spent
    /// theirs a moment ago, so it begins with a part, and earns the rest.
    pub fn after_restart(policy: RetryPolicy) -> Self {
        Self {
            policy,
            balance: policy.burst * RETRY_COST / RESTART_DIVISOR,
        }
    }

    /// Goes by another policy; what is left is kept, up to the new burst.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.balance = self.balance.min(policy.burst * RETRY_COST);
    }

    /// Notes a first attempt, which earns its share of a second one.
    pub fn deposit(&mut self) {
        let full = self.policy.burst * RETRY_COST;
        self.balance = full.min(self.balance + self.policy.share_permille);
    }

    /// Takes one second attempt out of the budget, if there is one.
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
    /// Returns the number of the attempt that is being made.
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
    /// Another attempt under this number, at another backend server.
    Retry(AttemptNumber),
    /// The caller gets this refusal.
    GiveUp(CallRefusal),
}

/// The retry budgets of all services of one entry.
#[derive(Clone, Debug, Default)]
pub struct RetryController {
    policy: RetryPolicy,
    budgets: BTreeMap<ServiceId, RetryBudget>,
}

impl RetryController {
    /// Creates a ledger whose services all start with a full budget.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            budgets: BTreeMap::new(),
        }
    }

    /// Begins the first attempt at a request of `service`.
    pub fn begin(&mut self, service: ServiceId, repeatable: bool) -> RequestAttempts {
        self.budget_of(&service).deposit();
        RequestAttempts {
            service,
            repeatable,
            current: AttemptNumber(1),
            may_have_run: false,
        }
    }

    /// Decides what follows an attempt that came back with `refusal`, with `time_left` to
    /// the caller's deadline.
    pub fn decide(
        &mut self,
        attempts: &mut RequestAttempts,
        refusal: CallRefusal,
        time_left: TimeSpan,
    ) -> RetryDecision {
        attempts.may_have_run |= refusal.code.run_state() != RunState::NotRun;
        let allowed = attempts.repeatable || !attempts.may_have_run;
        let spent = attempts.current.0 >= self.policy.max_attempts || time_left == TimeSpan::ZERO;
        if !allowed || spent || !is_retryable(refusal.code) {
            return RetryDecision::GiveUp(final_refusal(attempts, refusal));
        }
        if self.budget_of(&attempts.service).try_withdraw() {
            attempts.current = attempts.current.next();
            return RetryDecision::Retry(attempts.current);
        }
        let span = refusal.retry_after.unwrap_or(BUDGET_RETRY_AFTER);
        let exhausted = CallRefusal::retryable(ResultCode::RetryExhausted, span);
        let refusal = match attempts.may_have_run {
            true => refusal,
            false => exhausted,
        };
        RetryDecision::GiveUp(final_refusal(attempts, refusal))
    }

    /// Forgets a service that the configuration no longer has.
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

/// A refusal that says "not run" must be true of all attempts, not only of the last one.
fn final_refusal(attempts: &RequestAttempts, refusal: CallRefusal) -> CallRefusal {
    let says_not_run = refusal.code.run_state() == RunState::NotRun;
    if says_not_run && attempts.may_have_run {
        return CallRefusal::permanent(ResultCode::OutcomeUnknown);
    }
    refusal
}

/// Another backend server can only help with what is wrong with this one.
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
