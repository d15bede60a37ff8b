//! Retry decisions over every sequence of up to four failed attempts, and the count and the seal of
//! usage windows.

use applefold_core::code::RunState;
use applefold_core::direct::{
    AttemptEnd, AttemptLimits, NextStep, RequestProgress, RetryRule, RunCounter, SealStep,
    WindowSealer,
};
use applefold_core::id::{TeamId, WindowId};
use applefold_core::retry::{RetryBudget, RetryPolicy};
use applefold_core::unit::TimeSpan;

const ENDS: [AttemptEnd; 6] = [
    AttemptEnd::NotSent,
    AttemptEnd::NotRun { misdirected: false },
    AttemptEnd::NotRun { misdirected: true },
    AttemptEnd::Broken,
    AttemptEnd::Failed,
    AttemptEnd::TimedOut,
];
const RULES: [RetryRule; 4] = [
    RetryRule::Idempotent,
    RetryRule::AtMostOnce,
    RetryRule::Stream { resumable: true },
    RetryRule::Stream { resumable: false },
];
const TIME_LEFT: TimeSpan = TimeSpan::from_secs(1);

fn limits() -> AttemptLimits {
    AttemptLimits {
        max_runs: 2,
        max_sends: 4,
        min_time_left: TimeSpan::from_millis(30),
        retry_after: TimeSpan::from_millis(400),
    }
}

fn ran(end: AttemptEnd) -> bool {
    matches!(
        end,
        AttemptEnd::Broken | AttemptEnd::Failed | AttemptEnd::TimedOut
    )
}

/// Runs a sequence of failed attempts until the request is given up; returns the number of attempts
/// and the last step.
fn run_history(
    rule: RetryRule,
    history: &[AttemptEnd],
    budget: &mut RetryBudget,
) -> (usize, NextStep) {
    let mut progress = RequestProgress::default();
    for (index, end) in history.iter().enumerate() {
        progress.begin();
        let step = progress.decide(*end, rule, &limits(), TIME_LEFT, budget);
        if step != NextStep::Retry {
            return (index + 1, step);
        }
    }
    (history.len(), NextStep::Retry)
}

fn histories() -> Vec<Vec<AttemptEnd>> {
    let mut all = Vec::new();
    for a in ENDS {
        for b in ENDS {
            for c in ENDS {
                for d in ENDS {
                    all.push(vec![a, b, c, d]);
                }
            }
        }
    }
    all
}

#[test]
fn over_all_histories_a_not_run_refusal_is_true() {
    for rule in RULES {
        for history in histories() {
            let mut budget = RetryBudget::new(RetryPolicy::default());
            let (attempts, step) = run_history(rule, &history, &mut budget);
            let any_ran = history[..attempts].iter().any(|end| ran(*end));
            if let NextStep::Refuse(refusal) = step {
                let states_not_run = refusal.code.run_state() == RunState::NotRun;
                assert_eq!(states_not_run, !any_ran, "{rule:?} {history:?}");
            }
        }
    }
}

#[test]
fn over_all_histories_an_at_most_once_request_is_not_retried_after_it_may_have_run() {
    for rule in [
        RetryRule::AtMostOnce,
        RetryRule::Stream { resumable: false },
    ] {
        for history in histories() {
            let mut budget = RetryBudget::new(RetryPolicy::default());
            let (attempts, _) = run_history(rule, &history, &mut budget);
            let first_run = history.iter().position(|end| ran(*end));
            assert!(
                first_run.is_none_or(|first| attempts <= first + 1),
                "{history:?}"
            );
        }
    }
}

#[test]
fn over_all_histories_runs_and_attempts_stay_within_their_limits() {
    for rule in RULES {
        for history in histories() {
            let mut budget = RetryBudget::new(RetryPolicy::default());
            let (attempts, _) = run_history(rule, &history, &mut budget);
            let runs = history[..attempts].iter().filter(|end| ran(**end)).count();
            assert!(runs <= limits().max_runs as usize);
            assert!(attempts <= limits().max_sends as usize);
        }
    }
}

#[test]
fn a_second_arrival_costs_a_retry_and_a_failed_connection_does_not() {
    let policy = RetryPolicy {
        burst: 1,
        share_permille: 0,
        ..RetryPolicy::default()
    };
    let not_run = AttemptEnd::NotRun { misdirected: false };
    let table = [
        (
            [
                AttemptEnd::NotSent,
                AttemptEnd::NotSent,
                AttemptEnd::NotSent,
            ],
            3,
        ),
        ([not_run, not_run, not_run], 2),
        ([AttemptEnd::NotSent, not_run, not_run], 3),
    ];
    for (history, expected) in table {
        let mut budget = RetryBudget::new(policy);
        let (attempts, _) = run_history(RetryRule::Idempotent, &history, &mut budget);
        assert_eq!(attempts, expected, "{history:?}");
    }
}

#[test]
fn a_new_retry_policy_does_not_refill_a_budget() {
    let policy = RetryPolicy {
        burst: 4,
        share_permille: 0,
        ..RetryPolicy::default()
    };
    let mut budget = RetryBudget::new(policy);
    while budget.try_withdraw() {}
    budget.set_policy(RetryPolicy { burst: 9, ..policy });
    assert!(!budget.try_withdraw());
}

#[test]
fn runs_are_counted_in_the_window_of_their_start() {
    let team: TeamId = "team-1".parse().unwrap();
    let mut counter = RunCounter::new(TimeSpan::from_secs(5), 3);
    for secs in [10, 14, 15, 19] {
        counter.count(&team, TimeSpan::from_secs(secs));
    }
    assert_eq!(counter.counts(WindowId(2))[&team], 2);
    assert_eq!(counter.counts(WindowId(3))[&team], 2);
    counter.count(&team, TimeSpan::from_secs(40));
    assert!(counter.counts(WindowId(2)).is_empty());
    assert_eq!(counter.end_of(WindowId(3)), TimeSpan::from_secs(20));
}

#[test]
fn a_window_is_sealed_before_it_is_reported_and_skipped_when_late() {
    let mut sealer = WindowSealer::new(
        TimeSpan::from_secs(5),
        TimeSpan::from_millis(500),
        TimeSpan::from_secs(10),
    );
    let at = TimeSpan::from_millis(20_600);
    let due = [1, 2, 3].map(|number| SealStep::Seal(WindowId(number)));
    assert_eq!(sealer.due(at), due[1..].to_vec());
    sealer.sealed(WindowId(2));
    sealer.reported(WindowId(3));
    assert_eq!(sealer.due(at), vec![SealStep::Report(WindowId(2))]);
    sealer.reset();
    assert_eq!(
        sealer.due(at).len(),
        2,
        "a new lease holder starts with the windows that are not late"
    );
}
