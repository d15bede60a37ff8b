//! The versioned list of backend servers and the deltas that entries exchange.

// Each test file uses only some of the helpers.
#[allow(dead_code)]
mod direct_support;

use std::collections::BTreeMap;

use applefold_core::direct::{
    ChangeOrigin, ChangeSource, ListChange, ListReplica, ListedState, StoreEra, StorePosition,
    VersionedList,
};
use applefold_core::routing::BackendRole;
use applefold_core::unit::TimeSpan;
use direct_support::{backend, spec};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn row(number: usize, position: u64, state: ListedState) -> ListChange {
    ListChange {
        id: backend(number),
        position: StorePosition(position),
        state,
    }
}

fn apply(list: &mut VersionedList, row: &ListChange) -> bool {
    list.apply(row, ChangeOrigin::Change)
}

fn listed(number: usize, started_at_ms: u64) -> ListedState {
    let mut spec = spec(number, BackendRole::Decode);
    spec.started_at_ms = started_at_ms;
    ListedState::Listed(spec)
}

fn contents(list: &VersionedList) -> BTreeMap<String, ListedState> {
    let rows = list.delta(None).changes.into_iter();
    rows.map(|row| (row.id.to_string(), row.state)).collect()
}

#[test]
fn changes_in_any_order_and_repeated_give_the_same_list() {
    for seed in 0..50 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let changes: Vec<ListChange> = (1..200)
            .map(|position| {
                let number = rng.gen_range(0..20);
                let state = match rng.gen_range(0..4) {
                    0 => ListedState::Removed,
                    1 => ListedState::Expired,
                    _ => listed(number, position),
                };
                row(number, position, state)
            })
            .collect();
        let mut in_order = VersionedList::default();
        for change in &changes {
            apply(&mut in_order, change);
        }
        let mut shuffled = changes.clone();
        shuffled.extend(changes.iter().take(60).cloned());
        shuffled.shuffle(&mut rng);
        let mut unordered = VersionedList::default();
        for change in &shuffled {
            apply(&mut unordered, change);
        }
        assert_eq!(contents(&in_order), contents(&unordered), "{seed}");
        // A replica at any position gets the same list by applying its delta.
        let middle = rng.gen_range(0..200);
        let mut behind = VersionedList::default();
        for change in changes.iter().filter(|change| change.position.0 <= middle) {
            apply(&mut behind, change);
        }
        let delta = in_order.delta(Some(StorePosition(middle)));
        assert!(!delta.complete);
        for change in &delta.changes {
            apply(&mut behind, change);
        }
        assert_eq!(contents(&in_order), contents(&behind), "{seed}");
    }
}

#[test]
fn a_row_with_the_same_state_is_no_change() {
    let mut list = VersionedList::default();
    assert!(apply(&mut list, &row(1, 5, listed(1, 1))));
    assert!(!apply(&mut list, &row(1, 9, listed(1, 1))));
    assert_eq!(list.last_change(), StorePosition(5));
    assert!(apply(&mut list, &row(1, 10, listed(1, 2))));
    assert!(!apply(&mut list, &row(1, 7, ListedState::Removed)));
    assert_eq!(list.present_ids().count(), 1);
}

#[test]
fn a_row_from_a_snapshot_counts_as_changed_for_other_replicas() {
    let mut list = VersionedList::default();
    apply(&mut list, &row(1, 5, listed(1, 1)));
    // The row was removed and added again in the same state. Another replica may have seen the
    // removal only.
    let again = row(1, 9, listed(1, 1));
    assert!(!list.apply(&again, ChangeOrigin::Snapshot));
    let delta = list.delta(Some(StorePosition(7)));
    assert_eq!(delta.changes, std::slice::from_ref(&again));
    // The same row of the same snapshot is no change.
    assert!(!list.apply(&again, ChangeOrigin::Snapshot));
    assert_eq!(list.last_change(), StorePosition(9));
}

#[test]
fn a_replica_from_before_dropped_tombstones_gets_the_complete_list() {
    let mut list = VersionedList::default();
    for number in 0..2_000 {
        let position = 2 * number as u64 + 1;
        apply(&mut list, &row(number, position, listed(number, 1)));
        if number % 2 == 0 {
            apply(&mut list, &row(number, position + 1, ListedState::Removed));
        }
    }
    let delta = list.delta(Some(StorePosition(1)));
    assert!(delta.complete);
    assert_eq!(delta.changes.len(), 1_000);
    let last = list.last_change();
    let delta = list.delta(Some(last));
    assert!(!delta.complete);
    assert!(delta.changes.is_empty());
}

#[test]
fn an_expired_row_is_removed_once_that_is_confirmed() {
    let mut list = VersionedList::default();
    apply(&mut list, &row(1, 5, listed(1, 1)));
    apply(&mut list, &row(1, 6, ListedState::Expired));
    assert_eq!(list.present_ids().count(), 1);
    list.confirm_removed(&backend(1));
    assert_eq!(list.present_ids().count(), 0);
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::new(era), revision)
}

fn change(number: usize, position: StorePosition, state: ListedState) -> ListChange {
    ListChange {
        id: backend(number),
        position,
        state,
    }
}

fn draining(number: usize) -> ListedState {
    let mut spec = spec(number, BackendRole::Decode);
    spec.draining = true;
    ListedState::Listed(spec)
}

#[test]
fn positions_are_ordered_by_era_and_then_by_revision() {
    assert!(at(1, 5) > at(0, 900_000));
    assert!(at(1, 5) < at(1, 6));
    assert_eq!((at(3, 7).era(), at(3, 7).revision()), (StoreEra::new(3), 7));
    assert_eq!(at(0, 7), StorePosition(7), "as an older build sends it");
}

/// The store comes back from a copy in which a server that left is still registered.
#[test]
fn an_older_copy_does_not_undo_a_drain_or_a_removal() {
    for state in [draining(1), ListedState::Removed] {
        for origin in [ChangeOrigin::Snapshot, ChangeOrigin::Replica] {
            let mut list = VersionedList::default();
            apply(&mut list, &change(1, at(0, 50), listed(1, 1)));
            apply(&mut list, &change(1, at(0, 90), state.clone()));
            assert!(!list.apply(&change(1, at(1, 50), listed(1, 1)), origin));
            // The server itself writes again, or a new incarnation registers.
            assert!(apply(&mut list, &change(1, at(1, 60), listed(1, 1))));
        }
        let mut list = VersionedList::default();
        apply(&mut list, &change(1, at(0, 50), listed(1, 1)));
        apply(&mut list, &change(1, at(0, 90), state.clone()));
        let reborn = change(1, at(1, 55), listed(1, 2));
        assert!(list.apply(&reborn, ChangeOrigin::Snapshot));
    }
}

#[test]
fn a_change_of_a_former_era_is_ignored() {
    let mut list = VersionedList::default();
    apply(&mut list, &change(1, at(1, 10), listed(1, 2)));
    assert!(!apply(
        &mut list,
        &change(1, at(0, 900), ListedState::Removed)
    ));
    assert_eq!(list.present_ids().count(), 1);
}

/// A peer's list of the new era lacks a server that registered after the copy was taken.
#[test]
fn a_list_of_a_new_era_keeps_servers_that_have_not_written_again() {
    let (mut old, mut new) = (ListReplica::default(), ListReplica::default());
    for number in 0..2 {
        let row = change(number, at(0, 10 + number as u64), listed(number, 1));
        old.apply(&row, ChangeSource::StoreEvent);
    }
    let row = change(0, at(1, 10), listed(0, 1));
    new.apply(&row, ChangeSource::StoreScan);
    new.finish_snapshot(at(1, 10));
    let update = new.delta_since(Some(at(0, 11)), at(1, 10), TimeSpan::ZERO);
    assert_eq!(update.after, None, "the complete list");
    let applied = old.apply_update(&update, Some(at(0, 11)), TimeSpan::ZERO);
    let applied = applied.expect("an update without a gap");
    assert_eq!(applied.len(), 1);
    assert_eq!(applied[0].state, ListedState::Expired);
}
