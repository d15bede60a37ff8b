//! Random histories of replicas of the backend list that restart, read snapshots and exchange
//! updates which are lost, delayed and reordered.
//!
//! The tests guard against a replica that claims to be complete but has missed a change, so that
//! the entry goes on using a backend server that has left.

// Each test file uses only some of the helpers.
#[allow(dead_code)]
mod direct_support;

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::direct::{
    ChangeSource, ListChange, ListReplica, ListUpdate, ListedState, ReplicaAction, ReplicaDigest,
    StorePosition, StoreReplica,
};
use applefold_core::id::BackendId;
use applefold_core::routing::BackendRole;
use applefold_core::unit::{TimePoint, TimeSpan};
use direct_support::{backend, spec};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENTRIES: usize = 5;
const BACKENDS: usize = 6;
const STEPS: usize = 300;
const SEEDS: u64 = 300;
/// The time between two steps.
const STEP: TimeSpan = TimeSpan::from_millis(20);

/// A message of one entry to another.
#[derive(Clone)]
struct Message {
    from: usize,
    to: usize,
    update: Option<ListUpdate>,
    digest: Option<ReplicaDigest>,
    sent_at: TimePoint,
}

#[derive(Default)]
struct Entry {
    list: ListReplica,
    replica: StoreReplica,
    /// The entry whose digest announced changes.
    source: Option<usize>,
    compacted: bool,
}

struct History {
    rng: Pcg64Mcg,
    now: TimePoint,
    /// The changes of the store; the position of each is its index and one.
    changes: Vec<(BackendId, ListedState)>,
    entries: Vec<Entry>,
    messages: Vec<Message>,
}

impl History {
    fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: TimePoint(10_000_000),
            changes: Vec::new(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            messages: Vec::new(),
        }
    }

    fn position(&self) -> StorePosition {
        StorePosition(self.changes.len() as u64)
    }

    /// Returns the registrations at a position, with the position of each.
    fn registered(&self, position: StorePosition) -> BTreeMap<BackendId, ListChange> {
        let mut rows = BTreeMap::new();
        let changes = self.changes.iter().take(position.0 as usize).enumerate();
        for (index, (id, state)) in changes {
            let change = ListChange {
                id: id.clone(),
                position: StorePosition(index as u64 + 1),
                state: state.clone(),
            };
            match state {
                ListedState::Listed(_) => rows.insert(id.clone(), change),
                ListedState::Expired | ListedState::Removed => rows.remove(id),
            };
        }
        rows
    }

    fn change_store(&mut self) {
        let number = self.rng.gen_range(0..BACKENDS);
        let registered = self.registered(self.position());
        let state = match registered.get(&backend(number)).map(|row| &row.state) {
            Some(ListedState::Listed(_)) if self.rng.gen_ratio(1, 2) => ListedState::Removed,
            Some(ListedState::Listed(known)) => {
                let mut changed = known.clone();
                changed.draining = true;
                ListedState::Listed(changed)
            }
            _ => {
                let mut added = spec(number, BackendRole::Plain);
                added.started_at_ms = self.position().0;
                ListedState::Listed(added)
            }
        };
        self.changes.push((backend(number), state));
    }

    /// Lets an entry read the store: the changes, or the complete list.
    fn read(&mut self, number: usize) {
        let position = self.position();
        let rows = self.registered(position);
        let changes = &self.changes;
        let entry = &mut self.entries[number];
        match entry.replica.position().filter(|_| !entry.compacted) {
            Some(after) => {
                let events = changes.iter().enumerate().skip(after.0 as usize);
                for (index, (id, state)) in events {
                    let change = ListChange {
                        id: id.clone(),
                        position: StorePosition(index as u64 + 1),
                        state: state.clone(),
                    };
                    entry.list.apply(&change, ChangeSource::StoreEvent);
                }
            }
            None => {
                for change in rows.values() {
                    entry.list.apply(change, ChangeSource::StoreScan);
                }
                let present: BTreeSet<BackendId> = rows.keys().cloned().collect();
                for id in entry.list.missing(&present) {
                    let change = ListChange {
                        id,
                        position,
                        state: ListedState::Removed,
                    };
                    entry.list.apply(&change, ChangeSource::StoreScan);
                }
                entry.list.finish_snapshot(position);
            }
        }
        entry.compacted = false;
        let changed = entry.list.last_change();
        entry.replica.confirm(position, changed, self.now);
    }

    fn gossip(&mut self, from: usize) {
        let entry = &mut self.entries[from];
        let confirmed_at = entry.replica.confirmed_at();
        let position = entry.replica.position();
        let update = position.zip(confirmed_at).and_then(|(position, at)| {
            let age = self.now.since(at);
            entry.list.next_update(position, age)
        });
        let digest = entry.replica.digest(self.now);
        for to in (0..ENTRIES).filter(|to| *to != from) {
            if self.rng.gen_ratio(2, 3) {
                self.messages.push(Message {
                    from,
                    to,
                    update: update.clone(),
                    digest,
                    sent_at: self.now,
                });
            }
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.gen_range(0..self.messages.len().min(8));
        let message = self.messages.remove(index);
        let delay = self.now.since(message.sent_at);
        if let Some(update) = &message.update {
            self.apply(message.to, update, delay);
        }
        let entry = &mut self.entries[message.to];
        if let Some(digest) = &message.digest {
            if entry.replica.receive(digest, delay, self.now) == ReplicaAction::Fetch {
                entry.source = Some(message.from);
            }
        }
    }

    fn apply(&mut self, number: usize, update: &ListUpdate, delay: TimeSpan) {
        let entry = &mut self.entries[number];
        let own = entry.replica.position();
        if entry.list.apply_update(update, own, delay).is_none() {
            return;
        }
        let at = match update.age {
            Some(age) => self.now - (age + delay),
            None => entry.replica.confirmed_at().unwrap_or_default(),
        };
        let changed = entry.list.last_change();
        entry.replica.confirm(update.position, changed, at);
    }

    /// Fetches what an entry lacks from the entry that announced it.
    fn fetch(&mut self, number: usize) {
        let Some(source) = self.entries[number].source.take() else {
            return;
        };
        let after = self.entries[number].replica.position();
        let sender = &self.entries[source];
        let state = sender.replica.position().zip(sender.replica.confirmed_at());
        if let Some((position, at)) = state {
            let age = self.now.since(at);
            let update = sender.list.delta_since(after, position, age);
            self.apply(number, &update, STEP);
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let number = self.rng.gen_range(0..ENTRIES);
        match self.rng.gen_range(0..20) {
            0..=3 => self.change_store(),
            4..=5 => self.read(number),
            6..=9 => self.gossip(number),
            10..=15 => self.deliver(),
            16..=17 => self.fetch(number),
            18 => self.entries[number] = Entry::default(),
            _ => self.entries[number].compacted = true,
        }
    }

    /// Checks that each replica holds, of each backend server, the state at its position or a later
    /// one.
    fn check(&self, seed: u64, step: usize) {
        for (number, entry) in self.entries.iter().enumerate() {
            let Some(position) = entry.replica.position() else {
                continue;
            };
            let rows = entry.list.delta_since(None, position, TimeSpan::ZERO);
            let rows = rows.changes.into_iter().map(|row| (row.id, row.state));
            let rows: BTreeMap<BackendId, ListedState> = rows.collect();
            let registered = self.registered(position);
            for id in (0..BACKENDS).map(backend) {
                let held = rows.get(&id).cloned().unwrap_or(ListedState::Removed);
                let expected = registered.get(&id).map(|row| row.state.clone());
                let later = self.changes.iter().skip(position.0 as usize);
                let later = later.filter(|(other, _)| *other == id);
                let later = later.map(|(_, state)| state.clone());
                let mut valid = later.chain([expected.unwrap_or(ListedState::Removed)]);
                assert!(
                    valid.any(|state| state == held),
                    "seed {seed}, step {step}: entry {number} claims to be complete up to \
                     {position:?} and holds {id} as {held:?}"
                );
            }
        }
    }
}

#[test]
fn no_replica_claims_to_be_complete_after_missing_a_change() {
    for seed in 0..SEEDS {
        let mut history = History::new(seed);
        for step in 0..STEPS {
            history.step();
            history.check(seed, step);
        }
    }
}

/// A backend server leaves while those that read the store stop. The next reader reads the list as
/// a snapshot, in which the backend server is missing.
#[test]
fn a_removal_before_the_snapshot_of_a_new_reader_reaches_the_others() {
    let mut history = History::new(1);
    history.changes = (0..3)
        .map(|number| {
            let listed = ListedState::Listed(spec(number, BackendRole::Plain));
            (backend(number), listed)
        })
        .collect();
    history.read(0);
    history.changes.push((backend(1), ListedState::Removed));
    history.read(1);
    let digest = history.entries[1].replica.digest(history.now);
    let digest = digest.expect("a replica that has read the store");
    let now = history.now;
    let behind = &mut history.entries[0].replica;
    assert_eq!(behind.receive(&digest, STEP, now), ReplicaAction::Fetch);
    history.entries[0].source = Some(1);
    history.fetch(0);
    history.check(0, 0);
    assert_eq!(
        history.entries[0].replica.position(),
        Some(StorePosition(4))
    );
}
