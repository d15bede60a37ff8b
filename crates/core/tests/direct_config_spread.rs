//! Spreading large configurations over narrow links, in virtual time: entries whose links are shared by all their
//! transfers, a store that refuses a third of them, and a storm of changes. All times are in microseconds.

use std::collections::BTreeSet;

use applefold_core::direct::{
    batch_size, ConfigSource, HolderRotation, ReadPolicy, ReplicaAction, ReplicaDigest,
    SourceInputs, StorePosition, StoreReplica,
};
use applefold_core::rank::NameRank;
use applefold_core::unit::{ByteSize, TimePoint, TimeSpan};

/// The time between two simulation steps.
const STEP: u64 = 5_000;
/// The rate of a narrow link, 10 Mbit/s, and of a wide one, 200 Mbit/s, in bytes a second.
const NARROW: f64 = 1_250_000.0;
const WIDE: f64 = 25_000_000.0;
/// The rate of the store's link.
const STORE_RATE: f64 = 125_000_000.0;
/// The time until the first byte of a response arrives.
const LATENCY: u64 = 10_000;
/// The time from the last byte of a configuration of 1 MiB until it is in force, at 0.07 of a core.
const PARSE_PER_MIB: u64 = 200_000;
/// The size of a part of a configuration.
const PART_BYTES: u64 = 8 << 10;
/// The size of the name of a part.
const NAME_BYTES: u64 = 18;
/// How many parts a change touches.
const CHANGED_PARTS: usize = 2;
/// The versions of a storm, and the time between them.
const STORM: usize = 10;
const STORM_GAP: u64 = 400_000;
/// When the first change comes.
const FIRST_CHANGE: u64 = 2_000_000;
/// How long a change may take to be in force, where links are narrow.
const APPLY_LIMIT: u64 = 3_000_000;
/// How long changes are awaited.
const LENGTH: u64 = FIRST_CHANGE + STORM as u64 * STORM_GAP + 12_000_000;
/// The largest value of the store.
const MAX_VALUE: u64 = 1 << 20;
const POLICY: ReadPolicy = ReadPolicy {
    interval: TimeSpan::ZERO,
    failover_margin: TimeSpan::from_millis(500),
    rank_step: TimeSpan::from_millis(100),
    retry_delay: TimeSpan::from_millis(170),
};
/// The graces of the daemon, see `config_sync.rs`.
const FIRST_BYTE_GRACE: u64 = 300_000;
const TRANSFER_GRACE: u64 = 1_100_000;

/// How entries that are behind catch up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    /// Whole copies of all versions since the last one, with a limit on the whole transfer; from the store, and after a
    /// while from the last of the entries that have the newest version.
    WholeCopies,
    /// The newest version from the store, or the parts that are missing, for as long as there is progress.
    Parts,
}

/// What a transfer brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Payload {
    /// A version, whole.
    Version(usize),
    /// The names of the parts of a version.
    Offer(usize),
    /// So many of the missing parts of a version.
    Batch(usize, usize),
}

#[derive(Clone, Debug)]
struct Transfer {
    /// The sending entry; `None` for the store.
    from: Option<usize>,
    payload: Payload,
    left: f64,
    received: bool,
    started_at: u64,
    /// When it is given up although it makes progress.
    limit: Option<u64>,
    /// What the sender's replica had reached at its start, and when the store confirmed that.
    position: StorePosition,
    confirmed_at: u64,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    rate: f64,
    refused: bool,
    version: usize,
    parts: BTreeSet<u64>,
    replica: StoreReplica,
    /// The version and digest that each other entry has gossiped last.
    heard: Vec<Option<(usize, ReplicaDigest, u64)>>,
    store: Option<Transfer>,
    peers: Option<Transfer>,
    /// The version whose parts are fetched.
    offer: Option<Offer>,
    failed: Option<ConfigSource>,
    rotation: HolderRotation<usize>,
    backoff_until: u64,
    behind_since: Option<u64>,
    parsing: Option<Parsing>,
}

/// A version that another entry has told the parts of.
#[derive(Clone, Copy, Debug)]
struct Offer {
    version: usize,
    position: StorePosition,
    confirmed_at: u64,
}

/// A version that is being parsed.
#[derive(Clone, Copy, Debug)]
struct Parsing {
    offer: Offer,
    /// When it is in force.
    done_at: u64,
}

struct Simulation {
    strategy: Strategy,
    entries: Vec<Entry>,
    /// The parts of each version, and when the store acknowledged it.
    versions: Vec<(Vec<u64>, u64)>,
    size: u64,
    round: u64,
    /// The longest time from the acknowledgement of a version until an entry had it or a newer one.
    latest: u64,
    /// All bytes that the entries received.
    bytes: f64,
}

impl Simulation {
    /// All entries have the first version. One in four has a wide link, and the store refuses one in three.
    fn new(strategy: Strategy, count: usize, size: u64) -> Self {
        let parts: Vec<u64> = (0..size.div_ceil(PART_BYTES)).collect();
        let entries = (0..count).map(|number| {
            let mut replica = StoreReplica::default();
            replica.confirm(StorePosition(1), StorePosition(1), TimePoint(0));
            Entry {
                rate: if number % 4 == 3 { WIDE } else { NARROW },
                refused: number % 3 == 1,
                parts: parts.iter().copied().collect(),
                replica,
                heard: vec![None; count],
                ..Entry::default()
            }
        });
        Self {
            strategy,
            entries: entries.collect(),
            versions: vec![(parts, 0)],
            size,
            round: if count > 64 { 100_000 } else { 50_000 },
            latest: 0,
            bytes: 0.0,
        }
    }

    /// Adds a version. The first change replaces half of the parts, as many new routes do, and later ones a few.
    fn change(&mut self, now: u64) {
        let number = self.versions.len();
        let mut parts = self.versions[number - 1].0.clone();
        let touched = match number {
            1 => parts.len().div_ceil(2),
            _ => CHANGED_PARTS.min(parts.len()),
        };
        let count = parts.len();
        for at in 0..touched {
            parts[(number * 7 + at) % count] = (number * 10_000 + at) as u64;
        }
        self.versions.push((parts, now));
    }

    fn newest(&self) -> usize {
        self.versions.len() - 1
    }

    fn position(&self) -> StorePosition {
        StorePosition(self.versions.len() as u64)
    }

    fn missing(&self, number: usize, version: usize) -> u64 {
        let entry = &self.entries[number];
        let parts = self.versions[version].0.iter();
        parts.filter(|part| !entry.parts.contains(part)).count() as u64 * PART_BYTES
    }

    /// Returns the newest version that others have gossiped and the entries that have it.
    fn holders(&self, number: usize) -> (usize, Vec<usize>) {
        let entry = &self.entries[number];
        let heard = entry.heard.iter().enumerate();
        let heard: Vec<(usize, usize)> = heard
            .filter_map(|(other, heard)| Some((other, heard.as_ref()?.0)))
            .collect();
        let newest = heard.iter().map(|(_, version)| *version).max().unwrap_or(0);
        if newest <= entry.version {
            return (newest, Vec::new());
        }
        let holders = heard.iter().filter(|(_, version)| *version == newest);
        (newest, holders.map(|(other, _)| *other).collect())
    }

    fn read_store(&mut self, number: usize, now: u64) {
        let (size, position, newest) = (self.size, self.position(), self.newest());
        let strategy = self.strategy;
        let entry = &mut self.entries[number];
        if entry.refused {
            entry.backoff_until = now + POLICY.retry_delay(number).0;
            entry.failed = Some(ConfigSource::Store);
            return;
        }
        let copy = size as f64 * 1.34;
        let versions = newest.saturating_sub(entry.version);
        let copies = match strategy {
            Strategy::WholeCopies => versions as f64,
            // A watch of one version, or a read of the newest.
            Strategy::Parts => 1.0,
        };
        if versions == 0 {
            entry
                .replica
                .confirm(position, StorePosition(0), TimePoint(now));
            return;
        }
        entry.store = Some(Transfer {
            from: None,
            payload: Payload::Version(newest),
            left: copy * copies,
            received: false,
            started_at: now,
            limit: (strategy == Strategy::WholeCopies).then(|| now + 900_000),
            position,
            confirmed_at: now,
        });
    }

    fn ask(&mut self, number: usize, from: usize, payload: Payload, bytes: u64, now: u64) {
        let limited = self.strategy == Strategy::WholeCopies;
        let replica = &self.entries[from].replica;
        let position = replica.position().unwrap_or_default();
        let confirmed_at = replica.confirmed_at().map_or(0, |at| at.0);
        self.entries[number].peers = Some(Transfer {
            from: Some(from),
            payload,
            left: bytes as f64,
            received: false,
            started_at: now,
            limit: limited.then(|| now + 800_000),
            position,
            confirmed_at,
        });
    }

    /// Goes on fetching parts: names first, then batches.
    fn fetch_parts(&mut self, number: usize, now: u64) {
        let (newest, holders) = self.holders(number);
        let seed = NameRank::of("reader", &format!("entry-{number}"));
        let next = self.entries[number]
            .rotation
            .next(&holders, seed, TimePoint(now));
        let Some(holder) = next else {
            self.entries[number].offer = None;
            return;
        };
        match self.entries[number].offer {
            None => {
                let bytes = self.versions[newest].0.len() as u64 * NAME_BYTES;
                self.ask(number, holder, Payload::Offer(newest), bytes, now);
            }
            Some(offer) => {
                let size = batch_size(holders.len(), self.entries.len() - holders.len());
                let parts = (size.0 / PART_BYTES).max(1);
                let parts = parts.min(self.missing(number, offer.version) / PART_BYTES);
                let payload = Payload::Batch(offer.version, parts as usize);
                self.ask(number, holder, payload, parts * PART_BYTES, now);
            }
        }
    }

    /// Decides what an entry does next.
    fn decide(&mut self, number: usize, now: u64) {
        if self.entries[number].parsing.is_some() {
            return;
        }
        let (_, holders) = self.holders(number);
        let entry = &mut self.entries[number];
        let behind = !holders.is_empty();
        match behind {
            true => entry.behind_since = entry.behind_since.or(Some(now)),
            false => entry.behind_since = None,
        }
        let since = entry.behind_since.map_or(0, |since| now - since);
        let waiting = entry.backoff_until > now;
        let due = entry.replica.next_read_at(&POLICY, number).0 <= now && !waiting;
        match self.strategy {
            Strategy::WholeCopies => {
                if entry.store.is_none() && !waiting && (behind || due) {
                    self.read_store(number, now);
                }
                if behind && since >= 300_000 && self.entries[number].peers.is_none() {
                    let last = holders[holders.len() - 1];
                    let newest = self.holders(number).0;
                    self.ask(number, last, Payload::Version(newest), self.size, now);
                }
            }
            Strategy::Parts => self.decide_parts(number, &holders, due, now),
        }
    }

    fn decide_parts(&mut self, number: usize, holders: &[usize], due: bool, now: u64) {
        let entry = &self.entries[number];
        if entry.peers.is_some() {
            return;
        }
        if let Some(read) = &entry.store {
            let grace = if read.received {
                TRANSFER_GRACE
            } else {
                FIRST_BYTE_GRACE
            };
            if !holders.is_empty() && now - read.started_at >= grace {
                self.fetch_parts(number, now);
            }
            return;
        }
        if holders.is_empty() {
            if due {
                self.read_store(number, now);
            }
            return;
        }
        let mut inputs = SourceInputs {
            holders: holders.len(),
            lagging: self.entries.len() - holders.len(),
            size: ByteSize(self.size),
            missing: None,
            store_failing: entry.backoff_until > now,
            failed: entry.failed,
        };
        if let Some(offer) = entry.offer {
            inputs.missing = Some(ByteSize(self.missing(number, offer.version)));
        } else if inputs.needs_parts() {
            return self.fetch_parts(number, now);
        }
        match inputs.choose() {
            ConfigSource::Store => self.read_store(number, now),
            ConfigSource::Peers => self.fetch_parts(number, now),
        }
    }

    /// Moves the bytes of all transfers for one step; each link is shared equally.
    fn transfer(&mut self, now: u64) {
        let count = self.entries.len();
        let (mut down, mut up, mut store) = (vec![0.0; count], vec![0.0; count], 0.0);
        for (number, entry) in self.entries.iter().enumerate() {
            for moving in [&entry.store, &entry.peers].into_iter().flatten() {
                down[number] += 1.0;
                match moving.from {
                    Some(from) => up[from] += 1.0,
                    None => store += 1.0,
                }
            }
        }
        let rates: Vec<f64> = self.entries.iter().map(|entry| entry.rate).collect();
        let mut moved = 0.0;
        for (number, entry) in self.entries.iter_mut().enumerate() {
            for moving in [&mut entry.store, &mut entry.peers].into_iter().flatten() {
                if now < moving.started_at + LATENCY {
                    continue;
                }
                let far = match moving.from {
                    Some(from) => rates[from] / up[from],
                    None => STORE_RATE / store,
                };
                let rate = far.min(rates[number] / down[number]);
                let bytes = (rate * STEP as f64 / 1e6).min(moving.left);
                moving.left -= bytes;
                moving.received = true;
                moved += bytes;
            }
        }
        self.bytes += moved;
    }

    /// Ends the transfers that are complete or have reached their limit.
    fn finish(&mut self, number: usize, now: u64) {
        let read = self.entries[number].store.clone();
        if let Some(read) = read {
            if read.left <= 0.0 {
                self.entries[number].store = None;
                self.complete(number, &read, now);
            } else if read.limit.is_some_and(|limit| limit <= now) {
                let entry = &mut self.entries[number];
                entry.store = None;
                entry.backoff_until = now + POLICY.retry_delay(number).0;
            }
        }
        let fetch = self.entries[number].peers.clone();
        if let Some(fetch) = fetch {
            if fetch.left <= 0.0 {
                self.entries[number].peers = None;
                self.complete(number, &fetch, now);
            } else if fetch.limit.is_some_and(|limit| limit <= now) {
                self.entries[number].peers = None;
            }
        }
    }

    fn complete(&mut self, number: usize, transfer: &Transfer, now: u64) {
        let done_at = now + PARSE_PER_MIB * self.size / MAX_VALUE;
        let offer = |version| Offer {
            version,
            position: transfer.position,
            confirmed_at: transfer.confirmed_at,
        };
        if let Some(from) = transfer.from {
            let took = TimeSpan(now - transfer.started_at);
            let entry = &mut self.entries[number];
            entry.rotation.record(from, Some(took), TimePoint(now));
        }
        match transfer.payload {
            Payload::Offer(version) => self.entries[number].offer = Some(offer(version)),
            Payload::Batch(version, count) => {
                let parts = &self.versions[version].0;
                // The sender may have gone on to a newer version, which lacks some of the parts.
                let kept = transfer.from.map(|from| self.entries[from].parts.clone());
                let kept = kept.unwrap_or_default();
                let entry = &mut self.entries[number];
                let missing = parts.iter().filter(|part| !entry.parts.contains(part));
                let batch = missing.take(count).copied();
                let held: Vec<u64> = batch.filter(|one| kept.contains(one)).collect();
                let is_stale = held.is_empty();
                entry.parts.extend(held);
                if parts.iter().all(|part| entry.parts.contains(part)) {
                    let offer = entry.offer.take();
                    entry.parsing = offer.map(|offer| Parsing { offer, done_at });
                } else if is_stale {
                    entry.offer = None;
                }
            }
            Payload::Version(version) => {
                let entry = &mut self.entries[number];
                if version > entry.version {
                    let offer = offer(version);
                    entry.parsing = Some(Parsing { offer, done_at });
                    if self.strategy == Strategy::Parts {
                        entry.peers = None;
                        entry.offer = None;
                    }
                }
            }
        }
    }

    /// Puts a parsed version in force. A read of the store that was sent later than that version was confirmed goes
    /// on, since it may bring a newer one.
    fn apply(&mut self, number: usize, now: u64) {
        let strategy = self.strategy;
        let entry = &mut self.entries[number];
        let Some(parsed) = entry.parsing.filter(|parsed| parsed.done_at <= now) else {
            return;
        };
        let version = parsed.offer.version;
        entry.parsing = None;
        entry.failed = None;
        for late in entry.version + 1..=version {
            self.latest = self.latest.max(now - self.versions[late].1);
        }
        entry.version = entry.version.max(version);
        entry.parts = self.versions[entry.version].0.iter().copied().collect();
        let at = parsed.offer.confirmed_at;
        let position = parsed.offer.position;
        if position > StorePosition(version as u64) {
            entry.replica.confirm(position, position, TimePoint(at));
        }
        if strategy == Strategy::Parts {
            let read = entry.store.take();
            entry.store = read.filter(|read| read.started_at > at);
        }
    }

    fn gossip(&mut self, number: usize, now: u64) {
        let entry = &self.entries[number];
        let Some(digest) = entry.replica.digest(TimePoint(now)) else {
            return;
        };
        let version = entry.version;
        for other in (0..self.entries.len()).filter(|other| *other != number) {
            let peer = &mut self.entries[other];
            peer.heard[number] = Some((version, digest, now));
            let action = peer
                .replica
                .receive(&digest, TimeSpan::ZERO, TimePoint(now));
            debug_assert!(matches!(action, ReplicaAction::Keep | ReplicaAction::Fetch));
        }
    }

    fn run(mut self, changes: usize) -> Self {
        for now in (0..LENGTH).step_by(STEP as usize) {
            let since = now.checked_sub(FIRST_CHANGE);
            if since.is_some_and(|since| since.is_multiple_of(STORM_GAP))
                && self.versions.len() <= changes
            {
                self.change(now);
            }
            self.transfer(now);
            for number in 0..self.entries.len() {
                self.finish(number, now);
                self.apply(number, now);
                self.decide(number, now);
                if (now + number as u64 * STEP).is_multiple_of(self.round) {
                    self.gossip(number, now);
                }
            }
        }
        let newest = self.newest();
        for entry in &self.entries {
            for late in entry.version + 1..=newest {
                self.latest = self.latest.max(LENGTH - self.versions[late].1);
            }
        }
        self
    }
}

/// The sizes of configurations: a usual one, one with 2,800 more routes, and the largest value of the store.
const SIZES: [u64; 3] = [25_000, 543_609, MAX_VALUE];

#[test]
fn changes_are_in_force_in_time_whatever_their_size_and_whomever_the_store_refuses() {
    for count in [6, 22, 103] {
        for size in SIZES {
            for changes in [1, STORM] {
                let played = Simulation::new(Strategy::Parts, count, size).run(changes);
                println!(
                    "{count} entries, {size} bytes, {changes} changes: {} us, {:.0} bytes",
                    played.latest, played.bytes
                );
                assert!(
                    played.latest <= APPLY_LIMIT,
                    "{count} entries, {size} bytes, {changes} changes: {} us",
                    played.latest
                );
            }
        }
    }
}

/// Limits on whole transfers, whole copies of all versions, and one source for all: some entries stay behind for as
/// long as changes come, and longer.
#[test]
fn whole_copies_with_a_limit_come_too_late() {
    for count in [6, 22, 103] {
        let played = Simulation::new(Strategy::WholeCopies, count, MAX_VALUE).run(STORM);
        println!(
            "{count} entries: {} us, {:.0} bytes",
            played.latest, played.bytes
        );
        assert!(played.latest > APPLY_LIMIT, "{count}: {}", played.latest);
    }
}

/// The other side: entries that are behind do not take the links from all else. What a storm of changes moves is
/// bounded by a few copies for each entry.
#[test]
fn a_storm_of_changes_does_not_take_the_links() {
    for count in [6, 22, 103] {
        for size in [SIZES[1], MAX_VALUE] {
            let parts = Simulation::new(Strategy::Parts, count, size).run(STORM);
            let whole = Simulation::new(Strategy::WholeCopies, count, size).run(STORM);
            assert!(2.0 * parts.bytes < whole.bytes, "{count}: {size}");
        }
    }
}
