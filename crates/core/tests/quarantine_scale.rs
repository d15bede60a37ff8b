//! Quarantine in fleets of two sizes whose engines lose answers by resets, fail together, or crash under
//! one part or one request.
//!
//! Each entry sees a sample of what happens at an engine. The larger the fleet, the fewer entries see
//! both a broken connection and the response that shows that the engine has not crashed.

mod quarantine_fleet;

use quarantine_fleet::{FleetSize, QuarantineFleet, Trouble};

const SMALL: FleetSize = FleetSize {
    entries: 6,
    engines: 12,
};
const LARGE: FleetSize = FleetSize {
    entries: 103,
    engines: 180,
};

/// How many requests with the crashing part may be sent late.
const LATE_SENDS: usize = 3;

/// Returns how many of these sound requests may be refused as wrong: five and one in 500.
fn allowed_refusals(sound: usize) -> usize {
    5 + sound / 500
}

fn check_sound(size: FleetSize, seed: u64, trouble: Trouble) {
    let outcome = QuarantineFleet::new(size, seed).play(trouble);
    let allowed = allowed_refusals(outcome.sound);
    assert!(
        outcome.refused <= allowed,
        "seed {seed}: {} of {} sound requests refused, {allowed} allowed",
        outcome.refused,
        outcome.sound
    );
}

fn check_crashing_request(size: FleetSize, seed: u64) {
    let outcome = QuarantineFleet::new(size, seed).play(Trouble::CrashingRequest);
    assert!(
        outcome.crashes >= 3,
        "seed {seed}: {} crashes",
        outcome.crashes
    );
    assert!(
        outcome.late <= LATE_SENDS,
        "seed {seed}: the request was sent {} times late",
        outcome.late
    );
    let allowed = 1 + outcome.rare / 20;
    assert!(
        outcome.rare_refused <= allowed,
        "seed {seed}: {} of {} sound requests with its part refused, {allowed} allowed",
        outcome.rare_refused,
        outcome.rare
    );
}

fn check_crashing_part(size: FleetSize, seed: u64) {
    let outcome = QuarantineFleet::new(size, seed).play(Trouble::CrashingPart);
    assert!(
        outcome.crashes >= 3,
        "seed {seed}: {} crashes",
        outcome.crashes
    );
    assert!(
        outcome.late <= LATE_SENDS,
        "seed {seed}: {} requests with the part sent late",
        outcome.late
    );
    let allowed = allowed_refusals(outcome.sound);
    assert!(
        outcome.refused <= allowed,
        "seed {seed}: {} of {} sound requests refused, {allowed} allowed",
        outcome.refused,
        outcome.sound
    );
}

#[test]
fn resets_refuse_no_sound_requests_at_6_entries() {
    for seed in 0..8 {
        check_sound(SMALL, seed, Trouble::Resets);
    }
}

#[test]
fn resets_refuse_no_sound_requests_at_103_entries() {
    check_sound(LARGE, 1, Trouble::Resets);
}

/// DENIED: requests that meet several silent engines are refused as if they had crashed them.
#[test]
fn silent_engines_refuse_no_sound_requests_at_6_entries() {
    for seed in 0..8 {
        check_sound(SMALL, seed, Trouble::Silence);
    }
}

#[test]
fn silent_engines_refuse_no_sound_requests_at_103_entries() {
    check_sound(LARGE, 1, Trouble::Silence);
}

/// DENIED: what many callers ask for runs at each engine that crashes, and is refused for all of them.
#[test]
fn engines_that_crash_together_refuse_no_sound_requests_at_6_entries() {
    for seed in 0..8 {
        check_sound(SMALL, seed, Trouble::Crashes);
    }
}

#[test]
fn engines_that_crash_together_refuse_no_sound_requests_at_103_entries() {
    check_sound(LARGE, 1, Trouble::Crashes);
}

/// DENIED: the crashes of one request are held against the parts of its prompt, and so against others.
#[test]
fn a_crashing_request_is_refused_and_not_its_parts_at_6_entries() {
    for seed in 0..8 {
        check_crashing_request(SMALL, seed);
    }
}

#[test]
fn a_crashing_request_is_refused_and_not_its_parts_at_103_entries() {
    check_crashing_request(LARGE, 1);
}

#[test]
fn a_crashing_part_is_refused_and_nothing_else_at_6_entries() {
    for seed in 0..8 {
        check_crashing_part(SMALL, seed);
    }
}

#[test]
fn a_crashing_part_is_refused_and_nothing_else_at_103_entries() {
    check_crashing_part(LARGE, 1);
}
