//! Graceful shutdown, in which no running request is aborted without an answer.

use applefold_core::code::{ResultCode, RunState};
use applefold_core::drain::{DrainAction, DrainOptions, DrainPhase, DrainState, WorkGuard};
use applefold_core::unit::{TimePoint, TimeSpan};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

#[test]
fn an_entry_accepts_work_until_its_shutdown_is_known() {
    let mut state = DrainState::new(DrainOptions::entry());
    let first = state.admit().unwrap();
    assert_eq!(state.begin(at(0)), [DrainAction::Announce]);
    assert_eq!(state.begin(at(1)), []);
    let second = state.admit().unwrap();
    state.tick(at(4_999), true);
    assert_eq!(state.phase(), DrainPhase::LameDuck);
    assert_eq!(state.tick(at(5_000), true), []);
    let refusal = state.admit().unwrap_err();
    assert_eq!(refusal.code, ResultCode::InstanceDraining);
    assert_eq!(refusal.code.run_state(), RunState::NotRun);
    drop(first);
    assert_eq!(state.tick(at(60_000), true), []);
    drop(second);
    assert_eq!(state.tick(at(60_001), true), [DrainAction::HandOver]);
    assert_eq!(state.tick(at(60_002), false), []);
    assert_eq!(state.tick(at(60_003), true), [DrainAction::Exit]);
    assert_eq!(state.tick(at(60_004), true), []);
}

#[test]
fn a_sidecar_refuses_at_once() {
    let mut state = DrainState::new(DrainOptions::sidecar());
    state.begin(at(0));
    assert_eq!(state.admit().unwrap_err().code, ResultCode::ServiceShutting);
}

#[test]
fn work_that_outlasts_its_limit_is_ended_before_the_process_exits() {
    let limited = DrainOptions {
        work_limit: Some(TimeSpan::from_millis(7_600)),
        ..DrainOptions::entry()
    };
    for finishes in [true, false] {
        let mut state = DrainState::new(limited);
        let work = state.admit().unwrap();
        state.begin(at(0));
        state.tick(at(5_000), true);
        state.tick(at(7_599), true);
        assert_eq!(state.phase(), DrainPhase::Draining);
        let kept = if finishes {
            drop(work);
            None
        } else {
            Some(work)
        };
        let actions = state.tick(at(7_600), true);
        assert_eq!(state.phase(), DrainPhase::Ending);
        assert_eq!(actions.is_empty(), kept.is_some());
        assert_eq!(state.admit().unwrap_err(), state.refusal());
        drop(kept);
        let mut rest = actions;
        rest.extend(state.tick(at(7_650), true));
        rest.extend(state.tick(at(7_700), true));
        assert_eq!(rest, [DrainAction::HandOver, DrainAction::Exit]);
    }
    // A limit below the lame duck phase ends work all the same.
    let mut state = DrainState::new(DrainOptions {
        work_limit: Some(TimeSpan::from_millis(100)),
        ..DrainOptions::entry()
    });
    state.begin(at(0));
    state.tick(at(100), true);
    assert!(state.phase() >= DrainPhase::Ending);
}

#[derive(Clone, Debug)]
enum Step {
    Admit,
    Finish(usize),
    Begin,
    Tick { millis: u64, settled: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Admit),
        (0..5usize).prop_map(Step::Finish),
        Just(Step::Begin),
        (1..3_000u64, any::<bool>()).prop_map(|(millis, settled)| Step::Tick { millis, settled }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(81),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_is_cut(steps in prop::collection::vec(step(), 1..80)) {
        let mut state = DrainState::new(DrainOptions::entry());
        let mut guards: Vec<WorkGuard> = Vec::new();
        let mut now = TimePoint::START;
        let mut seen = Vec::new();
        for step in steps {
            match step {
                Step::Admit => guards.extend(state.admit().ok()),
                Step::Finish(at) if !guards.is_empty() => {
                    guards.remove(at % guards.len());
                }
                Step::Finish(_) => {}
                Step::Begin => seen.extend(state.begin(now)),
                Step::Tick { millis, settled } => {
                    now = now + TimeSpan::from_millis(millis);
                    let actions = state.tick(now, settled);
                    prop_assert!(actions.is_empty() || guards.is_empty());
                    seen.extend(actions);
                }
            }
            prop_assert_eq!(state.running(), guards.len());
        }
        let order = [DrainAction::Announce, DrainAction::HandOver, DrainAction::Exit];
        prop_assert_eq!(&seen[..], &order[..seen.len()]);
    }
}
