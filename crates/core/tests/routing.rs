//! Requests go where their first token is predicted soonest.

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
    let place = InstanceLocality {
        domain: "d1".parse().expect("a valid identifier"),
        region: "r1".parse().expect("a valid identifier"),
    };
    RoutePlanner::new(place, RoutePolicy::default())
}

fn request(prompt: u64, chain: &[u64]) -> RouteRequest {
    RouteRequest {
        pool: "chat".parse().expect("a valid identifier"),
        model: Some("m1".parse().expect("a valid identifier")),
        phase: RoutePhase::Unsplit,
        prompt_tokens: TokenCount(prompt),
        answer_tokens: TokenCount(100),
        prefix_hashes: PrefixHashes::from_hashes(chain.iter().copied().map(BlockHash).collect()),
        deadline: TimeSpan::from_millis(430),
        excluded: BTreeSet::new(),
    }
}

fn stored(sequence: u64, pieces: &[u64]) -> CacheEvent {
    CacheEvent {
        sequence,
        change: CacheChange::Stored(pieces.iter().copied().map(BlockHash).collect()),
    }
}

fn best(table: &BackendTable, request: &RouteRequest, seed: u64) -> Option<BackendId> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let choice = planner().choose(table, request, &mut rng);
    choice.best().map(|candidate| candidate.backend.clone())
}

#[test]
fn a_prefix_is_worth_the_prefill_that_it_saves() {
    for (waiting, expected_holder) in [(0, true), (1_900, true), (2_200, false)] {
        let mut table = table_of(8);
        table.apply_cache_event(&id(5), &stored(1, &[11, 12]));
        table.record_load(&id(5), report(waiting), TimeSpan::ZERO, NOW);
        let request = request(3_000, &[11, 12]);
        for seed in 0..50 {
            let holder = best(&table, &request, seed) == Some(id(5));
            assert_eq!(holder, expected_holder, "{waiting} tokens wait");
        }
    }
}

#[test]
fn another_failure_domain_costs_little_and_another_region_much() {
    let cases = [
        (0, 0, 0),
        (15, 0, 0),
        (30, 0, 1),
        (4_000, 4_000, 0),
        (5_000, 5_000, 2),
    ];
    for (here, beside, expected) in cases {
        let mut table = table_of(1);
        table.upsert(spec(1, "d2", "r1"));
        table.upsert(spec(2, "d9", "r2"));
        table.record_load(&id(0), report(here), TimeSpan::ZERO, NOW);
        table.record_load(&id(1), report(beside), TimeSpan::ZERO, NOW);
        table.record_load(&id(2), report(0), TimeSpan::ZERO, NOW);
        let found = best(&table, &request(100, &[]), 1);
        assert_eq!(found, Some(id(expected)), "{here} and {beside} tokens wait");
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
    fn only_what_may_take_it_is_chosen(
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

    /// The index is compared with what a backend server would say if nothing was lost.
    #[test]
    fn the_index_never_remembers_what_it_cannot_know(
        steps in prop::collection::vec((0_u8..8, 0_u64..12, any::<bool>()), 1..200),
    ) {
        let mut table = table_of(1);
        let mut cached = BTreeSet::new();
        for (sequence, (kind, piece, lost)) in (1..).zip(steps) {
            let change = match kind {
                0 => CacheChange::Cleared,
                1..=2 => CacheChange::Evicted(vec![BlockHash(piece)]),
                _ => CacheChange::Stored(vec![BlockHash(piece)]),
            };
            match &change {
                CacheChange::Cleared => cached.clear(),
                CacheChange::Evicted(_) => { cached.remove(&piece); }
                CacheChange::Stored(_) => { cached.insert(piece); }
            }
            if lost && kind != 3 {
                continue;
            }
            table.apply_cache_event(&id(0), &CacheEvent { sequence, change });
            for piece in 0..12 {
                let chain = PrefixHashes::from_hashes(vec![BlockHash(piece)]);
                let held = table.prefixes().cached_tokens(&id(0), &chain) > TokenCount::ZERO;
                prop_assert!(!held || cached.contains(&piece), "piece {piece} is gone");
            }
        }
    }
}

#[test]
fn cache_events_seen_twice_or_late_change_nothing() {
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
fn the_index_is_bounded_and_empties_with_its_backend_servers() {
    let mut table = table_of(1);
    for sequence in 0..2 * MAX_BLOCKS_PER_BACKEND as u64 {
        table.apply_cache_event(&id(0), &stored(sequence, &[sequence]));
    }
    let held = table.prefixes().block_count(&id(0));
    assert_eq!(held.0, MAX_BLOCKS_PER_BACKEND as u64);
    table.remove(&id(0));
    let chain = PrefixHashes::from_hashes(vec![BlockHash(MAX_BLOCKS_PER_BACKEND as u64 + 1)]);
    assert!(table.prefixes().best_holders(&chain).is_empty());
}

#[test]
fn a_chain_covers_whole_pieces_and_all_before_them() {
    let prompt = vec![b'a'; 3 * 4_096 + 100];
    let mut other = prompt.clone();
    other[5_000] = b'b';
    let chain = PrefixHashes::of_prompt(&prompt);
    let changed = PrefixHashes::of_prompt(&other);
    assert_eq!(chain.hashes().len(), 3);
    assert_eq!(chain.hashes()[0], changed.hashes()[0]);
    assert_ne!(chain.hashes()[1], changed.hashes()[1]);
    assert_ne!(chain.hashes()[2], changed.hashes()[2]);
    assert_ne!(chain.hashes()[0], chain.hashes()[1]);
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
fn flights_count_until_a_report_has_seen_them() {
    let mut table = table_of(1);
    let later = NOW + TimeSpan::from_millis(200);
    let early = table.begin(&id(0), TokenCount(700), NOW + TimeSpan::from_millis(50));
    let late = table.begin(&id(0), TokenCount(300), later);
    let backlog = |table: &BackendTable| table.get(&id(0)).map(|row| row.backlog().0);
    assert_eq!(backlog(&table), Some(1_000));
    let seen = TimeSpan::from_millis(100);
    table.record_load(&id(0), report(700), seen, later);
    assert_eq!(backlog(&table), Some(1_000));
    table.record_first_token(late.expect("the row exists"));
    assert_eq!(backlog(&table), Some(700));
    table.finish(early.expect("the row exists"), later);
    assert_eq!(table.get(&id(0)).map(|row| row.in_flight()), Some(1));
}

#[test]
fn subsets_are_even_and_move_little() {
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
    assert_eq!(kept.len(), 190, "each backend server is kept by an entry");
    assert!(
        kept.values().all(|entries| (5..=8).contains(entries)),
        "{kept:?}"
    );
    assert!(
        by_backend <= 48,
        "{by_backend} of 1152 move with a backend server"
    );
    assert!(by_entry <= 4 * 48, "{by_entry} of 1152 move with an entry");
}
