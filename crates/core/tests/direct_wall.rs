//! The time of day that entries agree on while clocks step.

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

/// Returns how far a time is from the true one, in milliseconds.
fn error_ms(time: TimeSpan, millis: u64) -> u64 {
    time.0.abs_diff(wall(millis).0) / 1_000
}

#[test]
fn a_step_of_the_instances_clock_does_not_move_it() {
    let table = [("ahead", 2_500_i64), ("back", -2_500)];
    for (name, step) in table {
        let mut reference = WallClock::new(START, EPOCH);
        for millis in (100..=6_000).step_by(100) {
            let stepped = wall(millis).0 as i64 + step * 1_000;
            reference.observe(at(millis), TimeSpan(stepped as u64));
        }
        let error = error_ms(reference.local(at(6_000)), 6_000);
        assert!(error <= 6, "{name}: {error} ms");
    }
}

#[test]
fn it_follows_a_clock_that_drifts() {
    let mut reference = WallClock::new(START, EPOCH);
    for millis in (100..=100_000).step_by(100) {
        let drifted = wall(millis) + TimeSpan(millis * 200 / 1_000);
        reference.observe(at(millis), drifted);
    }
    let drifted = wall(100_000) + TimeSpan(100_000 * 200 / 1_000);
    let error = reference.local(at(100_000)).0.abs_diff(drifted.0);
    assert!(error <= 1_000, "{error} us");
}

#[test]
fn a_process_that_starts_during_a_step_goes_by_the_others() {
    for step in [-2_500_i64, 2_500] {
        let off = (EPOCH.0 as i64 + step * 1_000) as u64;
        let mut reference = WallClock::new(START, TimeSpan(off));
        for number in 0..4 {
            reference.record_peer(&peer(number), wall(50), at(50));
        }
        let error = error_ms(reference.median(at(80)), 80);
        assert_eq!(error, 0, "step {step}");
        assert!(error_ms(reference.local(at(80)), 80) > 2_000, "step {step}");
    }
}

#[test]
fn peers_that_are_silent_no_longer_count() {
    let mut reference = WallClock::new(START, EPOCH);
    let wrong = EPOCH + TimeSpan::from_secs(9);
    for number in 0..3 {
        reference.record_peer(&peer(number), wrong, START);
    }
    assert!(error_ms(reference.median(at(100)), 100) > 8_000);
    assert_eq!(error_ms(reference.median(at(4_000)), 4_000), 0);
}
