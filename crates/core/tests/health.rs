//! Unhealthy backend servers are ejected and probed, and a pool is never emptied.

use applefold_core::health::{
    EjectionReason, HealthAction, HealthPolicy, HealthSample, HealthTracker,
};
use applefold_core::id::{BackendId, PoolId};
use applefold_core::unit::{TimePoint, TimeSpan};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn backend(number: usize) -> BackendId {
    format!("b{number}").parse().expect("a valid identifier")
}

fn pool() -> PoolId {
    "chat".parse().expect("a valid identifier")
}

fn tracker_of(size: usize) -> HealthTracker {
    let mut tracker = HealthTracker::new(HealthPolicy::default());
    for number in 0..size {
        tracker.add(backend(number), pool(), TimePoint::START);
    }
    tracker
}

fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Records the same sample several times and returns the last action.
fn repeat(
    tracker: &mut HealthTracker,
    id: &BackendId,
    sample: HealthSample,
    times: usize,
    now: TimePoint,
) -> Option<HealthAction> {
    (0..times)
        .filter_map(|_| tracker.record(id, sample, now))
        .last()
}

/// The caller whose request is the probe may disconnect before there is a result.
#[test]
fn a_probe_without_a_result_is_repeated() {
    let policy = HealthPolicy {
        silence_timeout: TimeSpan::from_secs(86_400),
        ..HealthPolicy::default()
    };
    let mut tracker = HealthTracker::new(policy);
    for number in 0..4 {
        tracker.add(backend(number), pool(), TimePoint::START);
    }
    let id = backend(1);
    repeat(&mut tracker, &id, HealthSample::Failed, 3, at(0));
    let probes = (0..200).map(|tick| tracker.tick(at(tick * 100)).len());
    assert!(probes.sum::<usize>() > 1, "probed once in 20 s");
}

#[test]
fn consecutive_failures_eject_a_backend_server() {
    let mut tracker = tracker_of(4);
    let id = backend(1);
    assert_eq!(
        repeat(&mut tracker, &id, HealthSample::Failed, 2, at(1)),
        None
    );
    let answered = HealthSample::Answered(TimeSpan::from_millis(5));
    assert_eq!(tracker.record(&id, answered, at(2)), None);
    assert_eq!(
        repeat(&mut tracker, &id, HealthSample::Failed, 2, at(3)),
        None
    );
    let action = tracker.record(&id, HealthSample::Failed, at(4));
    let expected = HealthAction::Eject(id.clone(), EjectionReason::Erring);
    assert_eq!(action, Some(expected));
    assert!(!tracker.is_serving(&id));
}

#[test]
fn slowness_is_relative_to_the_pool() {
    for (slow_millis, ejected) in [(20, false), (39, false), (100, true)] {
        let mut tracker = tracker_of(5);
        for number in 0..4 {
            let sample = HealthSample::Answered(TimeSpan::from_millis(10));
            repeat(&mut tracker, &backend(number), sample, 10, at(1));
        }
        let sample = HealthSample::Answered(TimeSpan::from_millis(slow_millis));
        let action = repeat(&mut tracker, &backend(4), sample, 10, at(1));
        let expected = HealthAction::Eject(backend(4), EjectionReason::Slow);
        assert_eq!(action, ejected.then_some(expected), "{slow_millis} ms");
    }
}

#[test]
fn a_pool_that_is_slow_as_a_whole_loses_no_server() {
    let mut tracker = tracker_of(5);
    for millis in [10, 100] {
        for number in 0..5 {
            let sample = HealthSample::Answered(TimeSpan::from_millis(millis));
            let action = repeat(&mut tracker, &backend(number), sample, 2, at(millis));
            assert_eq!(action, None);
        }
    }
}

#[test]
fn silence_is_detected_and_probes_back_off() {
    let mut tracker = tracker_of(3);
    let alive = |tracker: &mut HealthTracker, now: TimePoint| {
        for number in 1..3 {
            tracker.record(&backend(number), HealthSample::Alive, now);
        }
    };
    let mut probes = Vec::new();
    for millis in (0..20_000).step_by(100) {
        alive(&mut tracker, at(millis));
        for action in tracker.tick(at(millis)) {
            match action {
                HealthAction::Eject(id, reason) => {
                    assert_eq!((id, reason), (backend(0), EjectionReason::Silent));
                    assert_eq!(millis, 3_100);
                }
                HealthAction::Probe(id) => {
                    probes.push(millis);
                    tracker.record(&id, HealthSample::Failed, at(millis));
                }
                HealthAction::Reinstate(id) => panic!("{id} was reinstated"),
            }
        }
    }
    assert_eq!(probes, [3_600, 4_600, 6_600, 10_600, 18_600]);
}

#[test]
fn one_probe_is_open_at_a_time_and_its_success_reinstates() {
    let mut tracker = tracker_of(3);
    let id = backend(0);
    repeat(&mut tracker, &id, HealthSample::Failed, 3, at(0));
    assert_eq!(tracker.tick(at(499)), []);
    assert_eq!(tracker.tick(at(500)), [HealthAction::Probe(id.clone())]);
    assert_eq!(tracker.tick(at(501)), []);
    let action = tracker.record(&id, HealthSample::Alive, at(510));
    assert_eq!(action, Some(HealthAction::Reinstate(id.clone())));
    assert!(tracker.is_serving(&id));
}

#[derive(Clone, Copy, Debug)]
enum HealthStep {
    Sample(usize, HealthSample),
    Wait(u64),
    Remove(usize),
}

fn step() -> BoxedStrategy<HealthStep> {
    let sample = prop_oneof![
        4 => Just(HealthSample::Failed),
        1 => Just(HealthSample::Alive),
        2 => (1_u64..500).prop_map(|ms| HealthSample::Answered(TimeSpan::from_millis(ms))),
    ];
    prop_oneof![
        20 => (0_usize..9, sample).prop_map(|(id, sample)| HealthStep::Sample(id, sample)),
        4 => (1_u64..4_000).prop_map(HealthStep::Wait),
        1 => (0_usize..9).prop_map(HealthStep::Remove),
    ]
    .boxed()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(33),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_least_half_of_a_pool_serves(steps in prop::collection::vec(step(), 1..200)) {
        let mut tracker = tracker_of(9);
        let mut now = TimePoint::START;
        for step in steps {
            match step {
                HealthStep::Sample(id, sample) => {
                    tracker.record(&backend(id), sample, now);
                }
                HealthStep::Wait(millis) => {
                    now = now + TimeSpan::from_millis(millis);
                    tracker.tick(now);
                }
                HealthStep::Remove(id) => {
                    let _ = tracker.remove(&backend(id));
                }
            }
            let tracked = (0..9).filter(|id| tracker.contains(&backend(*id))).count();
            prop_assert!(tracker.ejected_count(&pool()) * 2 <= tracked);
        }
    }
}
