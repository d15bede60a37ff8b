//! Quarantine of prompt parts in fleets of two sizes whose engines lose answers by resets, or crash
//! under one part.
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

fn check_resets(size: FleetSize, seed: u64) {
    let outcome = QuarantineFleet::new(size, seed).play(Trouble::Resets);
    let allowed = allowed_refusals(outcome.sound);
    assert!(
        outcome.refused <= allowed,
        "seed {seed}: {} of {} sound requests refused, {allowed} allowed",
        outcome.refused,
        outcome.sound
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
        check_resets(SMALL, seed);
    }
}

#[test]
fn resets_refuse_no_sound_requests_at_103_entries() {
    check_resets(LARGE, 1);
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
