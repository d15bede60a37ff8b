//! Retries are bounded, and only attempts that may be repeated are repeated.

use applefold_core::code::{CallRefusal, ResultCode, RunState};
use applefold_core::id::ServiceId;
use applefold_core::retry::{
    RequestAttempts, RetryBudget, RetryController, RetryDecision, RetryPolicy,
};
use applefold_core::unit::TimeSpan;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LEFT: TimeSpan = TimeSpan::from_secs(1);

fn service() -> ServiceId {
    "chat".parse().expect("a valid identifier")
}

fn busy() -> CallRefusal {
    CallRefusal::retryable(ResultCode::BackendBusy, TimeSpan::from_millis(80))
}

/// Makes attempts until the controller gives up, and returns their number.
fn attempts_of(controller: &mut RetryController, failing: bool) -> u64 {
    let mut attempts = controller.begin(service(), true);
    while failing
        && matches!(
            controller.decide(&mut attempts, busy(), LEFT),
            RetryDecision::Retry(_)
        )
    {}
    attempts.current().0
}

fn code_after(repeatable: bool, codes: &[ResultCode]) -> ResultCode {
    let mut controller = RetryController::new(RetryPolicy::default());
    let mut attempts: RequestAttempts = controller.begin(service(), repeatable);
    for code in codes {
        match controller.decide(&mut attempts, CallRefusal::permanent(*code), LEFT) {
            RetryDecision::Retry(_) => continue,
            RetryDecision::GiveUp(refusal) => return refusal.code,
        }
    }
    panic!("{codes:?} do not end the attempts");
}

#[test]
fn the_final_refusal_is_true_of_all_attempts() {
    use ResultCode::{BackendBusy, BackendFailed, OutcomeUnknown, TeamForbidden};
    let cases: &[(bool, &[ResultCode], ResultCode)] = &[
        (true, &[TeamForbidden], TeamForbidden),
        (false, &[OutcomeUnknown], OutcomeUnknown),
        (false, &[BackendBusy, OutcomeUnknown], OutcomeUnknown),
        (false, &[BackendBusy, BackendFailed], BackendFailed),
        (true, &[BackendBusy, BackendBusy, BackendBusy], BackendBusy),
        (
            true,
            &[OutcomeUnknown, BackendBusy, BackendBusy],
            OutcomeUnknown,
        ),
    ];
    for (repeatable, codes, expected) in cases {
        assert_eq!(code_after(*repeatable, codes), *expected, "{codes:?}");
    }
}

#[test]
fn only_requests_that_did_not_run_or_may_repeat_are_retried() {
    for code in ResultCode::ALL {
        let mut controller = RetryController::new(RetryPolicy::default());
        let mut attempts = controller.begin(service(), false);
        let decision = controller.decide(&mut attempts, CallRefusal::permanent(*code), LEFT);
        let retried = matches!(decision, RetryDecision::Retry(_));
        assert!(!retried || code.run_state() == RunState::NotRun, "{code}");
    }
}

#[test]
fn nothing_is_retried_past_the_deadline() {
    let mut controller = RetryController::new(RetryPolicy::default());
    let mut attempts = controller.begin(service(), true);
    let decision = controller.decide(&mut attempts, busy(), TimeSpan::ZERO);
    assert_eq!(decision, RetryDecision::GiveUp(busy()));
}

#[test]
fn an_exhausted_budget_has_its_own_code_and_keeps_the_retry_time() {
    let policy = RetryPolicy {
        burst: 0,
        ..RetryPolicy::default()
    };
    let mut controller = RetryController::new(policy);
    let mut attempts = controller.begin(service(), true);
    let RetryDecision::GiveUp(refusal) = controller.decide(&mut attempts, busy(), LEFT) else {
        panic!("an empty budget allows no second attempt");
    };
    assert_eq!(refusal.code, ResultCode::RetryExhausted);
    assert_eq!(refusal.retry_after, busy().retry_after);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(32),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn attempts_stay_within_the_share(
        share in 0_u64..500,
        burst in 1_u64..20,
        failing in prop::collection::vec(any::<bool>(), 1..400),
    ) {
        let policy = RetryPolicy { share_permille: share, burst, max_attempts: 3 };
        let mut controller = RetryController::new(policy);
        let total: u64 = failing.iter().map(|one| attempts_of(&mut controller, *one)).sum();
        let first = failing.len() as u64;
        prop_assert!(total <= first + first * share / 1_000 + burst);
    }
}

#[test]
fn a_total_outage_multiplies_attempts_only_without_the_budget() {
    let outage = |policy: RetryPolicy| {
        let mut controller = RetryController::new(policy);
        (0..1_000)
            .map(|_| attempts_of(&mut controller, true))
            .sum::<u64>()
    };
    let unbounded = RetryPolicy {
        share_permille: 2_000,
        burst: 1_000,
        max_attempts: 3,
    };
    assert_eq!(outage(unbounded), 3_000);
    assert!(outage(RetryPolicy::default()) <= 1_110);
}

/// Returns the retries of six entries that all start `starts` times within ten seconds while every
/// attempt fails, and the bound on them: a fixed part and a share of the requests.
fn retries_over_starts(starts: u64, begin: fn(RetryPolicy) -> RetryBudget) -> (u64, u64) {
    const ENTRIES: u64 = 6;
    const SLACK: u64 = 58;
    const REQUESTS: u64 = 372;
    let policy = RetryPolicy {
        share_permille: 140,
        burst: SLACK * 7 / 10 / ENTRIES,
        ..RetryPolicy::default()
    };
    let mut spent = 0;
    for _ in 0..ENTRIES * starts {
        let mut budget = begin(policy);
        for _ in 0..REQUESTS / ENTRIES / starts {
            budget.deposit();
            while budget.try_withdraw() {
                spent += 1;
            }
        }
    }
    (spent, SLACK + REQUESTS / 5)
}

#[test]
fn entries_that_restart_repeatedly_stay_within_the_budget() {
    for starts in 1..=4 {
        let (spent, budget) = retries_over_starts(starts, RetryBudget::after_restart);
        assert!(spent <= budget, "{spent} of {budget} with {starts} starts");
    }
    let (spent, budget) = retries_over_starts(4, RetryBudget::new);
    assert!(
        spent > budget,
        "a full budget at each start exceeds the bound"
    );
}
