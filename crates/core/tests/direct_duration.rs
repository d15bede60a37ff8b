//! Expected durations follow the requests of their own route.

use applefold_core::direct::DurationTable;
use applefold_core::unit::TimeSpan;
use smol_str::SmolStr;

fn millis(count: u64) -> TimeSpan {
    TimeSpan::from_millis(count)
}

#[test]
fn equal_durations_are_expected_again_and_other_routes_say_nothing() {
    let mut table = DurationTable::default();
    assert_eq!(table.expected("a"), None);
    for _ in 0..50 {
        table.record(&SmolStr::new("a"), millis(3_000));
    }
    assert_eq!(table.expected("a"), Some(millis(3_000)));
    assert_eq!(table.expected("b"), None);
}

#[test]
fn a_spread_of_durations_is_expected_to_reach_beyond_the_mean() {
    let mut table = DurationTable::default();
    for round in 0..400 {
        table.record(&SmolStr::new("a"), millis(1_000 + round % 5 * 1_000));
    }
    let expected = table.expected("a").expect("a duration");
    assert!(expected > millis(4_000) && expected < millis(7_000));
}

#[test]
fn a_change_of_durations_is_followed() {
    let mut table = DurationTable::default();
    let route = SmolStr::new("a");
    for duration in [6_000, 100, 6_000] {
        for _ in 0..60 {
            table.record(&route, millis(duration));
        }
        let expected = table.expected("a").expect("a duration").0;
        assert!(expected.abs_diff(millis(duration).0) < millis(100).0);
    }
}

#[test]
fn the_number_of_routes_is_bounded() {
    let mut table = DurationTable::default();
    for number in 0..5_000 {
        table.record(&SmolStr::new(format!("r-{number}")), millis(1));
    }
    let known = (0..5_000).filter(|number| table.expected(&format!("r-{number}")).is_some());
    assert!(known.count() <= 1_024);
}
