//! A load report causes no thundering herd, and the planner outperforms round robin on a pool of
//! unequal engines.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::id::BackendId;
use applefold_core::naive::NaiveRouter;
use applefold_core::routing::{
    BackendRole, BackendSpec, BackendTable, BlockHash, CacheChange, CacheEvent, InstanceLocality,
    LoadReport, PrefixHashes, RoutePhase, RoutePlanner, RoutePolicy, RouteRequest,
};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const POOL: usize = 20;
const PREFILL_RATE: u64 = 10_000;
const STEP: TimeSpan = TimeSpan::from_millis(5);

fn id(number: usize) -> BackendId {
    format!("b{number}").parse().expect("a valid identifier")
}

fn table() -> BackendTable {
    let mut table = BackendTable::new();
    for number in 0..POOL {
        table.upsert(BackendSpec {
            id: id(number),
            pool: "chat".parse().expect("a valid identifier"),
            domain: "d1".parse().expect("a valid identifier"),
            region: "r1".parse().expect("a valid identifier"),
            role: BackendRole::Both,
            models: BTreeSet::new(),
        });
    }
    table
}

fn report(waiting_tokens: u64, prefill_rate: u64) -> LoadReport {
    LoadReport {
        running: 0,
        waiting: 0,
        waiting_tokens: TokenCount(waiting_tokens),
        free_tokens: TokenCount(10_000_000),
        prefill_rate: TokenRate(prefill_rate),
        decode_rate: TokenRate(1_000),
    }
}

fn request(prompt: u64, prefix: Vec<BlockHash>) -> RouteRequest {
    RouteRequest {
        pool: "chat".parse().expect("a valid identifier"),
        model: None,
        phase: RoutePhase::Unsplit,
        prompt_tokens: TokenCount(prompt),
        answer_tokens: TokenCount(50),
        prefix_hashes: PrefixHashes::from_hashes(prefix),
        deadline: TimeSpan::from_secs(60),
        excluded: BTreeSet::new(),
    }
}

fn planner() -> RoutePlanner {
    let locality = InstanceLocality {
        domain: "d1".parse().expect("a valid identifier"),
        region: "r1".parse().expect("a valid identifier"),
    };
    RoutePlanner::new(locality, RoutePolicy::default())
}

/// Returns how many requests are sent to the only idle backend server between two load reports.
///
/// Each of `entries` sends `requests` requests. Without `count_in_flight`, entries do not count
/// their own requests since the last report.
fn requests_to_idle_backend(entries: usize, requests: usize, count_in_flight: bool) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut received = 0;
    for _ in 0..entries {
        let mut table = table();
        for number in 0..POOL {
            let waiting = if number == 0 { 0 } else { 2_000 };
            let load = report(waiting, PREFILL_RATE);
            table.record_load(&id(number), load, TimeSpan::ZERO, TimePoint(1_000_000));
        }
        for _ in 0..requests {
            let request = request(500, vec![]);
            let choice = planner().choose(&table, &request, &mut rng);
            let found = choice.best().expect("the pool serves").backend.clone();
            if count_in_flight {
                table.begin(&found, TokenCount(500), TimePoint(1_100_000));
            }
            received += usize::from(found == id(0));
        }
    }
    received
}

#[test]
fn a_load_report_causes_no_thundering_herd() {
    let fair_share = 200 / POOL;
    let counted = requests_to_idle_backend(1, 200, true);
    let uncounted = requests_to_idle_backend(1, 200, false);
    assert!(counted <= fair_share + 2_000 / 500 + 2, "{counted}");
    assert!(uncounted >= 3 * fair_share / 2, "{uncounted}");
    let many = requests_to_idle_backend(10, 20, true);
    assert!(many <= 4 * fair_share, "{many}");
}

/// Simulates a pool whose engines run prefill in order of arrival.
struct EnginePool {
    rates: Vec<u64>,
    queued: Vec<u64>,
    caches: BTreeMap<usize, Vec<BlockHash>>,
}

impl EnginePool {
    /// Queues a prompt and returns its time to first token in microseconds.
    fn add(&mut self, engine: usize, prompt: u64, block: BlockHash) -> u64 {
        let cache = self.caches.entry(engine).or_default();
        let hit = cache.contains(&block);
        if !hit {
            cache.push(block);
            if cache.len() > 4 {
                cache.remove(0);
            }
        }
        self.queued[engine] += if hit { prompt - 1_024 } else { prompt };
        self.queued[engine] * 1_000_000 / self.rates[engine]
    }

    fn advance(&mut self, span: TimeSpan) {
        for (queued, rate) in self.queued.iter_mut().zip(&self.rates) {
            *queued = queued.saturating_sub(rate * span.0 / 1_000_000);
        }
    }
}

/// Returns the 95th percentile of the time to first token in microseconds.
fn p95_ttft(naive: bool) -> u64 {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut table = table();
    let mut router = NaiveRouter::default();
    let rates = (0..POOL).map(|number| if number % 5 == 0 { 4_000 } else { PREFILL_RATE });
    let mut pool = EnginePool {
        rates: rates.collect(),
        queued: vec![0; POOL],
        caches: BTreeMap::new(),
    };
    let mut times = Vec::new();
    let mut now = TimePoint(1_000_000);
    for round in 0..8_000_u64 {
        now = now + STEP;
        pool.advance(STEP);
        if round % 20 == 0 {
            deliver_reports(&mut table, &pool, round / 20, now);
        }
        let block = BlockHash(rng.gen_range(0..40));
        let prompt = rng.gen_range(1_024..1_600);
        let request = request(prompt, vec![block]);
        let choice = planner().choose(&table, &request, &mut rng);
        let found = match naive {
            true => router.choose(&table, &request).expect("the pool serves"),
            false => choice.best().expect("the pool serves").backend.clone(),
        };
        let engine = found.as_str()[1..]
            .parse()
            .expect("a numbered backend server");
        table.begin(&found, request.prompt_tokens, now);
        times.push(pool.add(engine, prompt, block));
    }
    times.sort_unstable();
    times[times.len() * 95 / 100]
}

/// Delivers load reports and cache events that are 50 ms old; called every 100 ms.
fn deliver_reports(table: &mut BackendTable, pool: &EnginePool, round: u64, now: TimePoint) {
    let age = TimeSpan::from_millis(50);
    for number in 0..POOL {
        let load = report(pool.queued[number], pool.rates[number]);
        table.record_load(&id(number), load, age, now);
        let blocks = pool.caches.get(&number).cloned().unwrap_or_default();
        let changes = [CacheChange::Cleared, CacheChange::Stored(blocks)];
        for (offset, change) in (0..).zip(changes) {
            let sequence = round * 2 + offset;
            table.apply_cache_event(&id(number), &CacheEvent { sequence, change });
        }
    }
}

#[test]
fn ttft_is_lower_than_with_round_robin() {
    let planned = p95_ttft(false);
    let naive = p95_ttft(true);
    assert!(planned * 2 < naive, "{planned} us, round robin {naive} us");
}
