//! Retries are bounded, and only what may be repeated is repeated.

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

/// Makes attempts until the ledger gives up, and returns how many they were.
fn attempts_of(ledger: &mut RetryController, failing: bool) -> u64 {
    let mut attempts = ledger.begin(service(), true);
    while failing
        && matches!(
            ledger.decide(&mut attempts, busy(), LEFT),
            RetryDecision::Retry(_)
        )
    {}
    attempts.current().0
}

fn code_after(repeatable: bool, codes: &[ResultCode]) -> ResultCode {
    let mut ledger = RetryController::new(RetryPolicy::default());
    let mut attempts: RequestAttempts = ledger.begin(service(), repeatable);
    for code in codes {
        match ledger.decide(&mut attempts, CallRefusal::permanent(*code), LEFT) {
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
fn only_what_has_not_run_or_may_repeat_is_sent_again() {
    for code in ResultCode::ALL {
        let mut ledger = RetryController::new(RetryPolicy::default());
        let mut attempts = ledger.begin(service(), false);
        let decision = ledger.decide(&mut attempts, CallRefusal::permanent(*code), LEFT);
        let again = matches!(decision, RetryDecision::Retry(_));
        assert!(!again || code.run_state() == RunState::NotRun, "{code}");
    }
}

#[test]
fn nothing_is_sent_again_past_the_deadline() {
    let mut ledger = RetryController::new(RetryPolicy::default());
    let mut attempts = ledger.begin(service(), true);
    let decision = ledger.decide(&mut attempts, busy(), TimeSpan::ZERO);
    assert_eq!(decision, RetryDecision::GiveUp(busy()));
}

#[test]
fn a_spent_budget_says_so_and_keeps_the_time_to_come_back() {
    let policy = RetryPolicy {
        burst: 0,
        ..RetryPolicy::default()
    };
    let mut ledger = RetryController::new(policy);
    let mut attempts = ledger.begin(service(), true);
    let RetryDecision::GiveUp(refusal) = ledger.decide(&mut attempts, busy(), LEFT) else {
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
        let mut ledger = RetryController::new(policy);
        let total: u64 = failing.iter().map(|one| attempts_of(&mut ledger, *one)).sum();
        let first = failing.len() as u64;
        prop_assert!(total <= first + first * share / 1_000 + burst);
    }
}

#[test]
fn a_total_outage_multiplies_attempts_only_without_the_budget() {
    let outage = |policy: RetryPolicy| {
        let mut ledger = RetryController::new(policy);
        (0..1_000)
            .map(|_| attempts_of(&mut ledger, true))
            .sum::<u64>()
    };
    let boundless = RetryPolicy {
        share_permille: 2_000,
        burst: 1_000,
        max_attempts: 3,
    };
    assert_eq!(outage(boundless), 3_000);
    assert!(outage(RetryPolicy::default()) <= 1_110);
}

/// Second attempts of six entries that are all started so many times within ten seconds, while every
/// attempt fails; the budget is a fixed part and a share of the requests.
fn spent_over_starts(starts: u64, begin: fn(RetryPolicy) -> RetryBudget) -> (u64, u64) {
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
fn entries_that_start_again_and_again_stay_within_the_budget() {
    for starts in 1..=4 {
        let (spent, budget) = spent_over_starts(starts, RetryBudget::after_restart);
        assert!(spent <= budget, "{spent} of {budget} with {starts} starts");
    }
    let (spent, budget) = spent_over_starts(4, RetryBudget::new);
    assert!(spent > budget, "full budgets at each start are too much");
}
