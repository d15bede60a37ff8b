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

    /// Notes a first attempt, which earns its share of a second one.
    pub fn earn(&mut self) {
        let full = self.policy.burst * RETRY_COST;
        self.balance = full.min(self.balance + self.policy.share_permille);
    }

    /// Takes one second attempt out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        let Some(balance) = self.balance.checked_sub(RETRY_COST) else {
            return false;
        };
        self.balance = balance;
        true
    }
}

/// How an attempt ended other than with a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The refusal that the attempt came back with; its code says whether it ran.
    pub refusal: CallRefusal,
    /// Whether the route lets the call be run more than once.
    pub repeatable: bool,
    /// The time left to the caller's deadline.
    pub time_left: TimeSpan,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt under this number, at another backend server.
    Again(AttemptNumber),
    /// The caller gets this refusal.
    GiveUp(CallRefusal),
}

/// The retry budgets of all services of one entry.
#[derive(Clone, Debug, Default)]
pub struct RetryLedger {
    policy: RetryPolicy,
    budgets: BTreeMap<ServiceId, RetryBudget>,
}

impl RetryLedger {
    /// Creates a ledger whose services all start with a full budget.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            budgets: BTreeMap::new(),
        }
    }

    /// Notes the first attempt at a request of `service`.
    pub fn first_attempt(&mut self, service: &ServiceId) {
        self.budget_of(service).earn();
    }

    /// Decides what follows `failed`.
    pub fn decide(&mut self, service: &ServiceId, failed: &FailedAttempt) -> RetryDecision {
        let not_run = failed.refusal.code.run_state() == RunState::NotRun;
        let allowed = failed.repeatable || not_run;
        if !allowed || !is_movable(failed.refusal.code) {
            return RetryDecision::GiveUp(failed.refusal);
        }
        let spent_attempts = failed.attempt.0 >= self.policy.max_attempts;
        if spent_attempts || failed.time_left == TimeSpan::ZERO {
            return RetryDecision::GiveUp(failed.refusal);
        }
        if self.budget_of(service).spend() {
            return RetryDecision::Again(failed.attempt.next());
        }
        RetryDecision::GiveUp(exhausted(failed, not_run))
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

/// Only a code that says "not run" may stand for an attempt that has not run.
fn exhausted(failed: &FailedAttempt, not_run: bool) -> CallRefusal {
    if !not_run {
        return failed.refusal;
    }
    let span = failed.refusal.retry_after.unwrap_or(BUDGET_RETRY_AFTER);
    CallRefusal::passing(ResultCode::RetryExhausted, span)
}

/// Another backend server can only help with what is wrong with this one.
fn is_movable(code: ResultCode) -> bool {
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
