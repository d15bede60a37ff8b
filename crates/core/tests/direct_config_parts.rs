//! The parts of a configuration: what an entry fetches of a newer one, and where from.

use applefold_core::direct::{
    batch_size, ConfigArchive, ConfigSource, HolderRotation, PartId, PartList, SourceInputs,
};
use applefold_core::rank::NameRank;
use applefold_core::unit::{ByteSize, TimePoint, TimeSpan};
use proptest::prelude::*;

/// Returns an encoded configuration with this many routes, like the operator's.
fn config(version: u64, routes: &[String]) -> Vec<u8> {
    let routes: Vec<String> = routes
        .iter()
        .map(|name| {
            let rank = NameRank::of("route", name).value();
            format!(
                "{{\"name\":\"{name}\",\"host\":\"h{rank:x}.example\",\"prefix\":\"/{name}/\",\
                 \"kind\":\"safe\",\"timeout\":8000,\"service\":\"s\",\"attempts\":2}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}]}}",
        routes.join(",")
    )
    .into_bytes()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("route-{number}")).collect()
}

fn archive_of(bytes: Vec<u8>) -> ConfigArchive {
    let mut archive = ConfigArchive::default();
    archive.replace(bytes);
    archive
}

/// Returns how many bytes of `newer` an entry with `older` lacks.
fn missing_bytes(older: Vec<u8>, newer: &[u8]) -> u64 {
    let missing = archive_of(older).missing(&PartList::of(newer));
    missing.iter().map(|part| u64::from(part.length)).sum()
}

/// Whole copies of large configurations, one for each change, kept links of 10 Mbit/s busy.
#[test]
fn a_small_change_of_a_large_configuration_moves_few_bytes() {
    let before = names(6_000);
    let base = config(41, &before);
    assert!(base.len() > 700_000);
    let mut added = before.clone();
    added.insert(3_000, "added".to_owned());
    let mut removed = before.clone();
    removed.remove(1_234);
    let mut renamed = before.clone();
    renamed[10] = "renamed".to_owned();
    for newer in [added, removed, renamed, before] {
        let newer = config(42, &newer);
        let missing = missing_bytes(base.clone(), &newer);
        assert!(missing <= 4 * (32 << 10), "{missing} of {}", newer.len());
    }
}

#[test]
fn many_new_routes_move_no_more_than_themselves_and_a_few_parts() {
    let base = config(1, &names(1_000));
    let newer = config(2, &names(3_000));
    let grown = (newer.len() - base.len()) as u64;
    assert!(missing_bytes(base, &newer) <= grown + 4 * (32 << 10));
}

/// What has arrived of a version that was replaced meanwhile is not fetched again.
#[test]
fn parts_stay_for_the_next_version_and_are_bounded_by_it() {
    let mut archive = archive_of(config(1, &names(10)));
    let second = config(2, &names(4_000));
    let third = config(3, &names(4_001));
    let holder = archive_of(second.clone());
    for part in archive.missing(&PartList::of(&second)) {
        let bytes = holder.part(&part.id).expect("a part of the second version");
        archive.insert(bytes.to_vec());
    }
    let missing = archive.missing(&PartList::of(&third));
    let missing: u64 = missing.iter().map(|part| u64::from(part.length)).sum();
    assert!(missing <= 4 * (32 << 10), "{missing}");
    // A version without these parts drops them.
    archive.missing(&PartList::of(&config(4, &names(10))));
    let again = archive.missing(&PartList::of(&third));
    let again: u64 = again.iter().map(|part| u64::from(part.length)).sum();
    assert!(again > third.len() as u64 / 2, "{again}");
}

#[test]
fn part_names_are_read_as_they_are_written() {
    let id = PartId::of(b"part");
    assert_eq!(id.to_string().parse(), Ok(id));
    for text in ["", "00", &"g".repeat(32), &"\u{e9}".repeat(16)] {
        assert!(text.parse::<PartId>().is_err(), "{text}");
    }
}

proptest! {
    /// Whatever changes, the parts that are here and the missing ones make the newer version.
    #[test]
    fn missing_parts_complete_a_version(
        older in prop::collection::vec(any::<u8>(), 0..60_000),
        start in 0_usize..60_000,
        removed in 0_usize..5_000,
        inserted in prop::collection::vec(any::<u8>(), 0..5_000),
    ) {
        let start = start.min(older.len());
        let end = (start + removed).min(older.len());
        let mut newer = older.clone();
        newer.splice(start..end, inserted);
        let wanted = PartList::of(&newer);
        prop_assert_eq!(wanted.size().0, newer.len() as u64);
        let holder = archive_of(newer.clone());
        let mut archive = archive_of(older);
        for part in archive.missing(&wanted) {
            let bytes = holder.part(&part.id).expect("a part of the newer version");
            archive.insert(bytes.to_vec());
        }
        prop_assert_eq!(archive.assemble(&wanted), Some(newer));
    }
}

const BASE: SourceInputs = SourceInputs {
    holders: 4,
    lagging: 18,
    size: ByteSize(543_609),
    missing: None,
    store_failing: false,
    failed: None,
};

/// Both sides: many copies on narrow links, and waiting for a source that is dead or has less.
#[test]
fn the_source_follows_from_what_each_one_costs_and_which_one_failed() {
    let missing = |kilobytes: u64| Some(ByteSize(kilobytes << 10));
    let (store, peers) = (ConfigSource::Store, ConfigSource::Peers);
    let cases = [
        ("nobody has it", SourceInputs { holders: 0, ..BASE }, store),
        (
            "nobody has it, and the store fails",
            SourceInputs {
                holders: 0,
                store_failing: true,
                ..BASE
            },
            store,
        ),
        (
            "a small change",
            SourceInputs {
                missing: missing(16),
                ..BASE
            },
            peers,
        ),
        (
            "many new routes, few holders",
            SourceInputs {
                missing: missing(270),
                ..BASE
            },
            store,
        ),
        (
            "many new routes, many holders",
            SourceInputs {
                missing: missing(270),
                holders: 12,
                lagging: 10,
                ..BASE
            },
            peers,
        ),
        (
            "a small configuration",
            SourceInputs {
                size: ByteSize(25_000),
                missing: missing(8),
                ..BASE
            },
            store,
        ),
        (
            "the store fails",
            SourceInputs {
                size: ByteSize(25_000),
                store_failing: true,
                ..BASE
            },
            peers,
        ),
        (
            "the store failed or had less",
            SourceInputs {
                failed: Some(store),
                missing: missing(270),
                ..BASE
            },
            peers,
        ),
        (
            "the holders failed",
            SourceInputs {
                failed: Some(peers),
                missing: missing(16),
                ..BASE
            },
            store,
        ),
        (
            "both failed",
            SourceInputs {
                failed: Some(peers),
                store_failing: true,
                ..BASE
            },
            peers,
        ),
        ("nothing is known of the parts", BASE, store),
    ];
    for (name, inputs, expected) in cases {
        assert_eq!(inputs.choose(), expected, "{name}");
    }
    assert!(BASE.needs_parts());
    assert!(!SourceInputs {
        size: ByteSize(25_000),
        ..BASE
    }
    .needs_parts());
    assert!(SourceInputs {
        size: ByteSize(25_000),
        store_failing: true,
        ..BASE
    }
    .needs_parts());
    assert!(!SourceInputs {
        failed: Some(peers),
        ..BASE
    }
    .needs_parts());
    assert!(!SourceInputs { holders: 0, ..BASE }.needs_parts());
}

#[test]
fn holders_that_fail_or_are_slow_are_left_alone_for_a_while() {
    let mut rotation = HolderRotation::default();
    let seed = NameRank::of("reader", "entry");
    let (quick, slow) = (TimeSpan::from_millis(20), TimeSpan::from_millis(500));
    rotation.record(1, None, TimePoint(0));
    rotation.record(2, Some(slow), TimePoint(0));
    rotation.record(3, Some(quick), TimePoint(0));
    let now = TimePoint(500_000);
    assert!((0..20).all(|_| rotation.next(&[1, 2, 3], seed, now) == Some(3)));
    // Without any other they are asked nevertheless.
    assert!(rotation.next(&[1, 2], seed, now).is_some());
    assert_eq!(rotation.next(&[], seed, now), None);
    let later = TimePoint(1_500_000);
    let asked = (0..60).filter_map(|_| rotation.next(&[1, 2, 3], seed, later));
    let asked: std::collections::BTreeSet<i32> = asked.collect();
    assert_eq!(asked.len(), 3);
}

/// Entries that all ask the only holder for much wait for each other.
#[test]
fn requests_are_small_while_many_share_few_holders() {
    assert_eq!(batch_size(20, 2), ByteSize(64 << 10));
    assert_eq!(batch_size(1, 4), ByteSize(16 << 10));
    assert!(batch_size(1, 102) < ByteSize(1 << 10));
    assert_eq!(batch_size(0, 0), ByteSize(64 << 10));
}
