//! The versioned list of backend servers and the deltas that entries exchange.

// Each test file uses only some of the helpers.
#[allow(dead_code)]
mod direct_support;

use std::collections::BTreeMap;

use applefold_core::direct::{ChangeOrigin, ListChange, ListedState, StorePosition, VersionedList};
use applefold_core::routing::BackendRole;
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
