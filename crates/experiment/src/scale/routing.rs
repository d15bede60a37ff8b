use std::collections::BTreeSet;
use std::hint::black_box;

use applefold_core::health::{HealthPolicy, HealthSample, HealthTracker};
use applefold_core::id::{BackendId, InstanceId};
use applefold_core::routing::{
    BackendRole, BackendSpec, BackendSubset, BackendTable, BlockHash, CacheChange, CacheEvent,
    InstanceLocality, LoadReport, PrefixHashes, RoutePhase, RoutePlanner, RoutePolicy,
    RouteRequest,
};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::probe::{ScaleProbe, SeriesPlan};
use crate::member::named;

const BACKENDS: &[u64] = &[10, 30, 100, 300, 1_000, 3_000];
const FLIGHTS: &[u64] = &[10, 100, 1_000, 3_000, 10_000];
const PIECES: &[u64] = &[1_000, 3_000, 10_000, 30_000, 90_000];
const CHAIN_PIECES: u64 = 32;
const SUBSET: u64 = 24;
const ENTRIES: u64 = 48;
const NOW: TimePoint = TimePoint(1_000_000);

struct RouteBench {
    table: BackendTable,
    planner: RoutePlanner,
    request: RouteRequest,
    rng: Pcg64Mcg,
    ids: Vec<BackendId>,
}

pub(super) fn grow(probe: &mut ScaleProbe) -> eyre::Result<()> {
    grow_backends(probe)?;
    grow_contents(probe)?;
    grow_health(probe)
}

fn grow_backends(probe: &mut ScaleProbe) -> eyre::Result<()> {
    let plan = |event| SeriesPlan {
        table: "backend servers",
        row: "backend server",
        event,
        sizes: BACKENDS,
    };
    probe.measure(plan("choose a route"), bench, choose)?;
    probe.measure(plan("take in a load report"), bench, report)?;
    probe.measure(plan("begin and end a flight"), bench, fly)?;
    let shared = SeriesPlan {
        table: "backend servers that all hold 32 pieces",
        ..plan("choose a route for those pieces")
    };
    probe.measure(shared, shared_prefix, choose)?;
    let subset = SeriesPlan {
        table: "names on the list",
        ..plan("pick the subset")
    };
    probe.measure(subset, backend_ids, |ids, turn| pick(ids, turn))
}

fn grow_contents(probe: &mut ScaleProbe) -> eyre::Result<()> {
    let flights = SeriesPlan {
        table: "flights to 24 backend servers",
        row: "request in flight",
        event: "choose a route",
        sizes: FLIGHTS,
    };
    probe.measure(flights, flying, choose)?;
    let pieces = SeriesPlan {
        table: "prefix index of 24 backend servers",
        row: "piece",
        event: "take in a stored and an evicted piece",
        sizes: PIECES,
    };
    probe.measure(pieces, indexed, cache)
}

fn grow_health(probe: &mut ScaleProbe) -> eyre::Result<()> {
    let plan = |event| SeriesPlan {
        table: "health of one pool",
        row: "backend server",
        event,
        sizes: BACKENDS,
    };
    probe.measure(plan("take in an answer"), tracked, |tracker, turn| {
        let id = backend(turn % 10);
        let sample = HealthSample::Answered(TimeSpan::from_millis(200));
        black_box(tracker.record(&id, sample, NOW));
    })?;
    probe.measure(plan("tick"), tracked, |tracker, _| {
        black_box(tracker.tick(NOW));
    })
}

fn backend(number: u64) -> BackendId {
    named(&format!("engine-{number:04}.eu-1a"))
}

fn backend_ids(rows: u64) -> Vec<BackendId> {
    (0..rows).map(backend).collect()
}

fn spec(id: &BackendId) -> BackendSpec {
    BackendSpec {
        id: id.clone(),
        pool: named("assistant"),
        domain: named("eu-1a"),
        region: named("eu-1"),
        role: BackendRole::Both,
        models: BTreeSet::from([named("base-70b"), named("adapter-a")]),
    }
}

fn bench(rows: u64) -> RouteBench {
    let place = InstanceLocality {
        domain: named("eu-1a"),
        region: named("eu-1"),
    };
    let mut bench = RouteBench {
        table: BackendTable::new(),
        planner: RoutePlanner::new(place, RoutePolicy::default()),
        request: request(),
        rng: Pcg64Mcg::seed_from_u64(1),
        ids: backend_ids(rows),
    };
    for id in &bench.ids {
        bench.table.upsert(spec(id));
        bench.table.record_load(id, load(0), TimeSpan::ZERO, NOW);
    }
    bench
}

fn request() -> RouteRequest {
    RouteRequest {
        pool: named("assistant"),
        model: Some(named("base-70b")),
        phase: RoutePhase::Unsplit,
        prompt_tokens: TokenCount(33_000),
        answer_tokens: TokenCount(500),
        prefix_hashes: PrefixHashes::from_hashes((0..CHAIN_PIECES).map(BlockHash).collect()),
        deadline: TimeSpan::from_secs(60),
        excluded: BTreeSet::new(),
    }
}

fn load(waiting_tokens: u64) -> LoadReport {
    LoadReport {
        running: 8,
        waiting: 1,
        waiting_tokens: TokenCount(waiting_tokens),
        free_tokens: TokenCount(400_000),
        prefill_rate: TokenRate(10_000),
        decode_rate: TokenRate(800),
    }
}

fn shared_prefix(rows: u64) -> RouteBench {
    let mut bench = bench(rows);
    for id in &bench.ids {
        let pieces = (0..CHAIN_PIECES).map(BlockHash).collect();
        let event = CacheEvent {
            sequence: 1,
            change: CacheChange::Stored(pieces),
        };
        bench.table.apply_cache_event(id, &event);
    }
    bench
}

fn flying(rows: u64) -> RouteBench {
    let mut bench = bench(SUBSET);
    for number in 0..rows {
        let id = &bench.ids[(number % SUBSET) as usize];
        bench.table.begin(id, TokenCount(100), NOW);
    }
    bench
}

fn indexed(rows: u64) -> RouteBench {
    let mut bench = bench(SUBSET);
    for number in 0..rows {
        let id = &bench.ids[(number % SUBSET) as usize];
        let event = CacheEvent {
            sequence: 1 + number / SUBSET,
            change: CacheChange::Stored(vec![scattered(number)]),
        };
        bench.table.apply_cache_event(id, &event);
    }
    bench
}

/// Hashes do not come in order, so neither do these.
fn scattered(number: u64) -> BlockHash {
    BlockHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn tracked(rows: u64) -> HealthTracker {
    let mut tracker = HealthTracker::new(HealthPolicy::default());
    for id in backend_ids(rows) {
        tracker.add(id.clone(), named("assistant"), NOW);
        let sample = HealthSample::Answered(TimeSpan::from_millis(200));
        tracker.record(&id, sample, NOW);
    }
    tracker
}

fn choose(bench: &mut RouteBench, _turn: u64) {
    let RouteBench {
        planner,
        table,
        request,
        rng,
        ..
    } = bench;
    black_box(planner.choose(table, request, rng));
}

fn report(bench: &mut RouteBench, turn: u64) {
    let id = &bench.ids[turn as usize % bench.ids.len()];
    let now = NOW + TimeSpan(turn);
    bench
        .table
        .record_load(id, load(turn % 100), TimeSpan::ZERO, now);
}

fn fly(bench: &mut RouteBench, turn: u64) {
    let id = &bench.ids[turn as usize % bench.ids.len()];
    if let Some(flight) = bench.table.begin(id, TokenCount(100), NOW) {
        bench.table.record_first_token(flight);
        bench.table.finish(flight, NOW + TimeSpan::from_millis(200));
    }
}

fn cache(bench: &mut RouteBench, turn: u64) {
    let id = &bench.ids[0];
    let piece = BlockHash(turn | 1 << 60);
    let sequence = 1_000_000 + turn * 2;
    let stored = CacheChange::Stored(vec![piece]);
    let evicted = CacheChange::Evicted(vec![piece]);
    for (offset, change) in (0..).zip([stored, evicted]) {
        let event = CacheEvent {
            sequence: sequence + offset,
            change,
        };
        bench.table.apply_cache_event(id, &event);
    }
}

fn pick(ids: &[BackendId], turn: u64) {
    let entries: BTreeSet<InstanceId> = (0..ENTRIES).map(|n| named(&format!("e{n}"))).collect();
    let entry = named(&format!("e{}", turn % ENTRIES));
    black_box(BackendSubset::pick(
        &entry,
        &entries,
        ids.iter(),
        SUBSET as usize,
    ));
}
