//! The wall clock time that entries agree on while the clocks of instances step.

use applefold_core::direct::WallClock;
use applefold_core::id::InstanceId;
use applefold_core::unit::{TimePoint, TimeSpan};

const EPOCH: TimeSpan = TimeSpan::from_secs(1_000_000);
const START: TimePoint = TimePoint(1_000_000);

fn at(millis: u64) -> TimePoint {
    START + TimeSpan::from_millis(millis)
}

fn wall(millis: u64) -> TimeSpan {
    EPOCH + TimeSpan::from_millis(millis)
}

fn peer(number: usize) -> InstanceId {
    format!("entry-{number}").parse().unwrap()
}

/// Returns the error of a time in milliseconds.
fn error_ms(time: TimeSpan, millis: u64) -> u64 {
    time.0.abs_diff(wall(millis).0) / 1_000
}

#[test]
fn a_step_of_the_instances_clock_is_not_followed() {
    let table = [("ahead", 2_500_i64), ("back", -2_500)];
    for (name, step) in table {
        let mut clock = WallClock::new(START, EPOCH);
        for millis in (100..=6_000).step_by(100) {
            let stepped = wall(millis).0 as i64 + step * 1_000;
            clock.observe(at(millis), TimeSpan(stepped as u64));
        }
        let error = error_ms(clock.local(at(6_000)), 6_000);
        assert!(error <= 6, "{name}: {error} ms");
    }
}

#[test]
fn a_clock_drift_is_followed() {
    let mut clock = WallClock::new(START, EPOCH);
    for millis in (100..=100_000).step_by(100) {
        let drifted = wall(millis) + TimeSpan(millis * 200 / 1_000);
        clock.observe(at(millis), drifted);
    }
    let drifted = wall(100_000) + TimeSpan(100_000 * 200 / 1_000);
    let error = clock.local(at(100_000)).0.abs_diff(drifted.0);
    assert!(error <= 1_000, "{error} us");
}

#[test]
fn a_process_that_starts_during_a_step_uses_the_median() {
    for step in [-2_500_i64, 2_500] {
        let stepped = (EPOCH.0 as i64 + step * 1_000) as u64;
        let mut clock = WallClock::new(START, TimeSpan(stepped));
        for number in 0..4 {
            clock.record_peer(&peer(number), wall(50), at(50));
        }
        let error = error_ms(clock.median(at(80)), 80);
        assert_eq!(error, 0, "step {step}");
        assert!(error_ms(clock.local(at(80)), 80) > 2_000, "step {step}");
    }
}

#[test]
fn unresponsive_peers_no_longer_count() {
    let mut clock = WallClock::new(START, EPOCH);
    let wrong = EPOCH + TimeSpan::from_secs(9);
    for number in 0..3 {
        clock.record_peer(&peer(number), wrong, START);
    }
    assert!(error_ms(clock.median(at(100)), 100) > 8_000);
    assert_eq!(error_ms(clock.median(at(4_000)), 4_000), 0);
}
