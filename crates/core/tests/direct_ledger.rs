//! The list of backend servers as entries pass it on.

// Each file of tests uses a part of this.
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

fn note(ledger: &mut VersionedList, row: &ListChange) -> bool {
    ledger.apply(row, ChangeOrigin::Change)
}

fn listed(number: usize, started_at_ms: u64) -> ListedState {
    let mut spec = spec(number, BackendRole::Decode);
    spec.started_at_ms = started_at_ms;
    ListedState::Listed(spec)
}

fn contents(ledger: &VersionedList) -> BTreeMap<String, ListedState> {
    let rows = ledger.delta(None).changes.into_iter();
    rows.map(|row| (row.id.to_string(), row.state)).collect()
}

#[test]
fn changes_in_any_order_and_more_than_once_give_the_same_list() {
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
        let mut straight = VersionedList::default();
        for change in &changes {
            note(&mut straight, change);
        }
        let mut shuffled = changes.clone();
        shuffled.extend(changes.iter().take(60).cloned());
        shuffled.shuffle(&mut rng);
        let mut other = VersionedList::default();
        for change in &shuffled {
            note(&mut other, change);
        }
        assert_eq!(contents(&straight), contents(&other), "{seed}");
        // What a copy misses from any position on brings it to the same list.
        let middle = rng.gen_range(0..200);
        let mut behind = VersionedList::default();
        for change in changes.iter().filter(|one| one.position.0 <= middle) {
            note(&mut behind, change);
        }
        let delta = straight.delta(Some(StorePosition(middle)));
        assert!(!delta.complete);
        for change in &delta.changes {
            note(&mut behind, change);
        }
        assert_eq!(contents(&straight), contents(&behind), "{seed}");
    }
}

#[test]
fn a_line_that_says_the_same_again_is_no_change() {
    let mut ledger = VersionedList::default();
    assert!(note(&mut ledger, &row(1, 5, listed(1, 1))));
    assert!(!note(&mut ledger, &row(1, 9, listed(1, 1))));
    assert_eq!(ledger.last_change(), StorePosition(5));
    assert!(note(&mut ledger, &row(1, 10, listed(1, 2))));
    assert!(!note(&mut ledger, &row(1, 7, ListedState::Removed)));
    assert_eq!(ledger.present_ids().count(), 1);
}

#[test]
fn a_snapshot_hides_changes_so_that_copies_look_again() {
    let mut ledger = VersionedList::default();
    note(&mut ledger, &row(1, 5, listed(1, 1)));
    // It was gone and has come back as it was, as another copy has half seen.
    let again = row(1, 9, listed(1, 1));
    assert!(!ledger.apply(&again, ChangeOrigin::Snapshot));
    let delta = ledger.delta(Some(StorePosition(7)));
    assert_eq!(delta.changes, std::slice::from_ref(&again));
    // What the same snapshot says again is no change.
    assert!(!ledger.apply(&again, ChangeOrigin::Snapshot));
    assert_eq!(ledger.last_change(), StorePosition(9));
}

#[test]
fn a_copy_from_before_what_is_forgotten_gets_the_whole_list() {
    let mut ledger = VersionedList::default();
    for number in 0..2_000 {
        let position = 2 * number as u64 + 1;
        note(&mut ledger, &row(number, position, listed(number, 1)));
        if number % 2 == 0 {
            note(
                &mut ledger,
                &row(number, position + 1, ListedState::Removed),
            );
        }
    }
    let delta = ledger.delta(Some(StorePosition(1)));
    assert!(delta.complete);
    assert_eq!(delta.changes.len(), 1_000);
    let last = ledger.last_change();
    let delta = ledger.delta(Some(last));
    assert!(!delta.complete);
    assert!(delta.changes.is_empty());
}

#[test]
fn a_lapsed_line_is_gone_once_it_is_settled() {
    let mut ledger = VersionedList::default();
    note(&mut ledger, &row(1, 5, listed(1, 1)));
    note(&mut ledger, &row(1, 6, ListedState::Expired));
    assert_eq!(ledger.present_ids().count(), 1);
    ledger.confirm_removed(&backend(1));
    assert_eq!(ledger.present_ids().count(), 0);
}
