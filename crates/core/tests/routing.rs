//! Requests are routed to the backend server with the lowest predicted time to first token.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::id::{BackendId, InstanceId};
use applefold_core::routing::{
    BackendAvailability, BackendRole, BackendSpec, BackendSubset, BackendTable, BlockHash,
    CacheChange, CacheEvent, InstanceLocality, LoadReport, PrefixHashes, RoutePhase, RoutePlanner,
    RoutePolicy, RouteRequest, MAX_BLOCKS_PER_BACKEND,
};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const NOW: TimePoint = TimePoint(10_000_000);

fn id(number: usize) -> BackendId {
    format!("b{number}").parse().expect("a valid identifier")
}

fn spec(number: usize, domain: &str, region: &str) -> BackendSpec {
    BackendSpec {
        id: id(number),
        pool: "chat".parse().expect("a valid identifier"),
        domain: domain.parse().expect("a valid identifier"),
        region: region.parse().expect("a valid identifier"),
        role: BackendRole::Both,
        models: BTreeSet::from(["m1".parse().expect("a valid identifier")]),
    }
}

fn report(waiting_tokens: u64) -> LoadReport {
    LoadReport {
        running: 2,
        waiting: 1,
        waiting_tokens: TokenCount(waiting_tokens),
        free_tokens: TokenCount(1_000_000),
        prefill_rate: TokenRate(10_000),
        decode_rate: TokenRate(1_000),
    }
}

fn table_of(size: usize) -> BackendTable {
    let mut table = BackendTable::new();
    for number in 0..size {
        table.upsert(spec(number, "d1", "r1"));
        table.record_load(&id(number), report(0), TimeSpan::ZERO, NOW);
    }
    table
}

fn planner() -> RoutePlanner {
    let locality = InstanceLocality {
        domain: "d1".parse().expect("a valid identifier"),
        region: "r1".parse().expect("a valid identifier"),
    };
    RoutePlanner::new(locality, RoutePolicy::default())
}

fn request(prompt: u64, prefix: &[u64]) -> RouteRequest {
    RouteRequest {
        pool: "chat".parse().expect("a valid identifier"),
        model: Some("m1".parse().expect("a valid identifier")),
        phase: RoutePhase::Unsplit,
        prompt_tokens: TokenCount(prompt),
        answer_tokens: TokenCount(100),
        prefix_hashes: PrefixHashes::from_hashes(prefix.iter().copied().map(BlockHash).collect()),
        deadline: TimeSpan::from_millis(430),
        excluded: BTreeSet::new(),
    }
}

fn stored(sequence: u64, blocks: &[u64]) -> CacheEvent {
    CacheEvent {
        sequence,
        change: CacheChange::Stored(blocks.iter().copied().map(BlockHash).collect()),
    }
}

fn best(table: &BackendTable, request: &RouteRequest, seed: u64) -> Option<BackendId> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let choice = planner().choose(table, request, &mut rng);
    choice.best().map(|candidate| candidate.backend.clone())
}

#[test]
fn a_cached_prefix_outweighs_a_queue_shorter_than_the_prefill_it_saves() {
    for (waiting, expected_holder) in [(0, true), (1_900, true), (2_200, false)] {
        let mut table = table_of(8);
        table.apply_cache_event(&id(5), &stored(1, &[11, 12]));
        table.record_load(&id(5), report(waiting), TimeSpan::ZERO, NOW);
        let request = request(3_000, &[11, 12]);
        for seed in 0..50 {
            let holder = best(&table, &request, seed) == Some(id(5));
            assert_eq!(holder, expected_holder, "{waiting} tokens queued");
        }
    }
}

#[test]
fn other_failure_domains_cost_little_and_other_regions_much() {
    let cases = [
        (0, 0, 0),
        (15, 0, 0),
        (30, 0, 1),
        (4_000, 4_000, 0),
        (5_000, 5_000, 2),
    ];
    for (local, neighbour, expected) in cases {
        let mut table = table_of(1);
        table.upsert(spec(1, "d2", "r1"));
        table.upsert(spec(2, "d9", "r2"));
        table.record_load(&id(0), report(local), TimeSpan::ZERO, NOW);
        table.record_load(&id(1), report(neighbour), TimeSpan::ZERO, NOW);
        table.record_load(&id(2), report(0), TimeSpan::ZERO, NOW);
        let found = best(&table, &request(100, &[]), 1);
        assert_eq!(
            found,
            Some(id(expected)),
            "{local} and {neighbour} tokens queued"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(61),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn only_eligible_backend_servers_are_chosen(
        kinds in prop::collection::vec(0_u8..6, 1..30),
        holder in 0_usize..30,
        seed in any::<u64>(),
    ) {
        let mut table = table_of(kinds.len());
        let mut request = request(2_000, &[1]);
        for (number, kind) in kinds.iter().enumerate() {
            let mut other = spec(number, "d1", "r1");
            match kind {
                0 => table.set_availability(&id(number), BackendAvailability::Ejected),
                1 => table.set_availability(&id(number), BackendAvailability::Draining),
                2 => { request.excluded.insert(id(number)); }
                3 => other.models.clear(),
                4 => other.pool = "till".parse().expect("a valid identifier"),
                _ => {}
            }
            table.upsert(other);
        }
        table.apply_cache_event(&id(holder), &stored(1, &[1]));
        let choice = planner().choose(&table, &request, &mut Pcg64Mcg::seed_from_u64(seed));
        let again = planner().choose(&table, &request, &mut Pcg64Mcg::seed_from_u64(seed));
        prop_assert_eq!(&choice, &again);
        let usable: BTreeSet<BackendId> =
            (0..kinds.len()).filter(|number| kinds[*number] == 5).map(id).collect();
        prop_assert!(choice.candidates.iter().all(|one| usable.contains(&one.backend)));
        prop_assert!(choice.candidates.len() >= usable.len().min(2));
    }

    /// Compares the index, from which events are lost, with the true content of the cache.
    #[test]
    fn lost_cache_events_leave_no_stale_blocks_in_the_index(
        steps in prop::collection::vec((0_u8..8, 0_u64..12, any::<bool>()), 1..200),
    ) {
        let mut table = table_of(1);
        let mut cached = BTreeSet::new();
        for (sequence, (kind, block, lost)) in (1..).zip(steps) {
            let change = match kind {
                0 => CacheChange::Cleared,
                1..=2 => CacheChange::Evicted(vec![BlockHash(block)]),
                _ => CacheChange::Stored(vec![BlockHash(block)]),
            };
            match &change {
                CacheChange::Cleared => cached.clear(),
                CacheChange::Evicted(_) => { cached.remove(&block); }
                CacheChange::Stored(_) => { cached.insert(block); }
            }
            if lost && kind != 3 {
                continue;
            }
            table.apply_cache_event(&id(0), &CacheEvent { sequence, change });
            for block in 0..12 {
                let prefix = PrefixHashes::from_hashes(vec![BlockHash(block)]);
                let held = table.prefixes().cached_tokens(&id(0), &prefix) > TokenCount::ZERO;
                prop_assert!(!held || cached.contains(&block), "block {block} is no longer cached");
            }
        }
    }
}

#[test]
fn duplicate_cache_events_are_ignored_and_a_gap_clears_the_index() {
    let mut table = table_of(1);
    table.apply_cache_event(&id(0), &stored(7, &[1, 2]));
    let cleared = CacheEvent {
        sequence: 7,
        change: CacheChange::Cleared,
    };
    table.apply_cache_event(&id(0), &cleared);
    assert_eq!(table.prefixes().block_count(&id(0)).0, 2);
    table.apply_cache_event(&id(0), &stored(9, &[3]));
    assert_eq!(table.prefixes().block_count(&id(0)).0, 1);
}

#[test]
fn the_index_is_bounded_and_drops_removed_backend_servers() {
    let mut table = table_of(1);
    for sequence in 0..2 * MAX_BLOCKS_PER_BACKEND as u64 {
        table.apply_cache_event(&id(0), &stored(sequence, &[sequence]));
    }
    let held = table.prefixes().block_count(&id(0));
    assert_eq!(held.0, MAX_BLOCKS_PER_BACKEND as u64);
    table.remove(&id(0));
    let prefix = PrefixHashes::from_hashes(vec![BlockHash(MAX_BLOCKS_PER_BACKEND as u64 + 1)]);
    assert!(table.prefixes().best_holders(&prefix).is_empty());
}

#[test]
fn prefix_hashes_cover_full_blocks_and_all_blocks_before_them() {
    let prompt = vec![b'a'; 3 * 4_096 + 100];
    let mut other = prompt.clone();
    other[5_000] = b'b';
    let original = PrefixHashes::of_prompt(&prompt);
    let changed = PrefixHashes::of_prompt(&other);
    assert_eq!(original.hashes().len(), 3);
    assert_eq!(original.hashes()[0], changed.hashes()[0]);
    assert_ne!(original.hashes()[1], changed.hashes()[1]);
    assert_ne!(original.hashes()[2], changed.hashes()[2]);
    assert_ne!(original.hashes()[0], original.hashes()[1]);
}

#[test]
fn an_old_report_does_not_replace_a_newer_one() {
    let mut table = table_of(1);
    table.record_load(
        &id(0),
        report(100),
        TimeSpan::from_millis(10),
        NOW + TimeSpan::from_secs(1),
    );
    table.record_load(
        &id(0),
        report(900),
        TimeSpan::from_secs(1),
        NOW + TimeSpan::from_secs(1),
    );
    let row = table.get(&id(0)).expect("the row exists");
    assert_eq!(row.backlog(), TokenCount(100));
}

#[test]
fn in_flight_requests_count_until_a_report_includes_them() {
    let mut table = table_of(1);
    let later = NOW + TimeSpan::from_millis(200);
    let early = table.begin(&id(0), TokenCount(700), NOW + TimeSpan::from_millis(50));
    let late = table.begin(&id(0), TokenCount(300), later);
    let backlog = |table: &BackendTable| table.get(&id(0)).map(|row| row.backlog().0);
    assert_eq!(backlog(&table), Some(1_000));
    let age = TimeSpan::from_millis(100);
    table.record_load(&id(0), report(700), age, later);
    assert_eq!(backlog(&table), Some(1_000));
    table.record_first_token(late.expect("the row exists"));
    assert_eq!(backlog(&table), Some(700));
    table.finish(early.expect("the row exists"), later);
    assert_eq!(table.get(&id(0)).map(|row| row.in_flight()), Some(1));
}

#[test]
fn subsets_are_balanced_and_change_little() {
    let backends: Vec<BackendId> = (0..190).map(id).collect();
    let name = |number: usize| format!("e{number}").parse().expect("a valid identifier");
    let entries: BTreeSet<InstanceId> = (0..48).map(name).collect();
    let later: BTreeSet<InstanceId> = (0..49).map(name).collect();
    let mut kept: BTreeMap<BackendId, usize> = BTreeMap::new();
    let mut by_backend = 0;
    let mut by_entry = 0;
    for entry in &entries {
        let subset = BackendSubset::pick(entry, &entries, &backends, 24);
        let fewer = BackendSubset::pick(entry, &entries, &backends[1..], 24);
        let more = BackendSubset::pick(entry, &later, &backends, 24);
        by_backend += subset.backends().difference(fewer.backends()).count();
        by_entry += subset.backends().difference(more.backends()).count();
        for backend in subset.backends() {
            *kept.entry(backend.clone()).or_default() += 1;
        }
    }
    assert_eq!(
        kept.len(),
        190,
        "each backend server belongs to the subset of an entry"
    );
    assert!(
        kept.values().all(|entries| (5..=8).contains(entries)),
        "{kept:?}"
    );
    assert!(
        by_backend <= 48,
        "{by_backend} of 1152 connections change with a backend server"
    );
    assert!(
        by_entry <= 4 * 48,
        "{by_entry} of 1152 connections change with an entry"
    );
}
