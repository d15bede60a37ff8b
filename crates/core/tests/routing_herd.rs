//! A report does not draw a herd, and the planner beats round robin on a mixed pool.

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

fn request(prompt: u64, chain: Vec<BlockHash>) -> RouteRequest {
    RouteRequest {
        pool: "chat".parse().expect("a valid identifier"),
        model: None,
        phase: RoutePhase::Unsplit,
        prompt_tokens: TokenCount(prompt),
        answer_tokens: TokenCount(50),
        prefix_hashes: PrefixHashes::from_hashes(chain),
        deadline: TimeSpan::from_secs(60),
        excluded: BTreeSet::new(),
    }
}

fn planner() -> RoutePlanner {
    let place = InstanceLocality {
        domain: "d1".parse().expect("a valid identifier"),
        region: "r1".parse().expect("a valid identifier"),
    };
    RoutePlanner::new(place, RoutePolicy::default())
}

/// One report says that a single backend server is free; returns how many of
/// `requests` from `entries` land on it before the next report.
fn landed_on_the_free_one(entries: usize, requests: usize, counting_own: bool) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut landed = 0;
    for _ in 0..entries {
        let mut table = table();
        for number in 0..POOL {
            let waiting = if number == 0 { 0 } else { 2_000 };
            let load = report(waiting, PREFILL_RATE);
            table.record_load(&id(number), load, TimeSpan::ZERO, TimePoint(1_000_000));
        }
        for _ in 0..requests {
            let asked = request(500, vec![]);
            let choice = planner().choose(&table, &asked, &mut rng);
            let found = choice.best().expect("the pool serves").backend.clone();
            if counting_own {
                table.begin(&found, TokenCount(500), TimePoint(1_100_000));
            }
            landed += usize::from(found == id(0));
        }
    }
    landed
}

#[test]
fn a_report_draws_no_herd() {
    let fair_part = 200 / POOL;
    let counted = landed_on_the_free_one(1, 200, true);
    let uncounted = landed_on_the_free_one(1, 200, false);
    assert!(counted <= fair_part + 2_000 / 500 + 2, "{counted}");
    assert!(uncounted >= 3 * fair_part / 2, "{uncounted}");
    let many = landed_on_the_free_one(10, 20, true);
    assert!(many <= 4 * fair_part, "{many}");
}

/// A pool that computes prompts in the order in which they come.
struct EnginePool {
    rates: Vec<u64>,
    queued: Vec<u64>,
    caches: BTreeMap<usize, Vec<BlockHash>>,
}

impl EnginePool {
    /// Adds a prompt and returns the time to its first token in microseconds.
    fn add(&mut self, engine: usize, prompt: u64, piece: BlockHash) -> u64 {
        let cache = self.caches.entry(engine).or_default();
        let hit = cache.contains(&piece);
        if !hit {
            cache.push(piece);
            if cache.len() > 4 {
                cache.remove(0);
            }
        }
        self.queued[engine] += if hit { prompt - 1_024 } else { prompt };
        self.queued[engine] * 1_000_000 / self.rates[engine]
    }

    fn work(&mut self, span: TimeSpan) {
        for (queued, rate) in self.queued.iter_mut().zip(&self.rates) {
            *queued = queued.saturating_sub(rate * span.0 / 1_000_000);
        }
    }
}

/// Returns the 95th percentile of the time to the first token in microseconds.
fn late_first_token(naive: bool) -> u64 {
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
        pool.work(STEP);
        if round % 20 == 0 {
            tell(&mut table, &pool, round / 20, now);
        }
        let piece = BlockHash(rng.gen_range(0..40));
        let prompt = rng.gen_range(1_024..1_600);
        let asked = request(prompt, vec![piece]);
        let choice = planner().choose(&table, &asked, &mut rng);
        let found = match naive {
            true => router.choose(&table, &asked).expect("the pool serves"),
            false => choice.best().expect("the pool serves").backend.clone(),
        };
        let engine = found.as_str()[1..]
            .parse()
            .expect("a numbered backend server");
        table.begin(&found, asked.prompt_tokens, now);
        times.push(pool.add(engine, prompt, piece));
    }
    times.sort_unstable();
    times[times.len() * 95 / 100]
}

/// Reports and cache events come every tenth of a second, 50 ms late.
fn tell(table: &mut BackendTable, pool: &EnginePool, round: u64, now: TimePoint) {
    let age = TimeSpan::from_millis(50);
    for number in 0..POOL {
        let load = report(pool.queued[number], pool.rates[number]);
        table.record_load(&id(number), load, age, now);
        let pieces = pool.caches.get(&number).cloned().unwrap_or_default();
        let changes = [CacheChange::Cleared, CacheChange::Stored(pieces)];
        for (offset, change) in (0..).zip(changes) {
            let sequence = round * 2 + offset;
            table.apply_cache_event(&id(number), &CacheEvent { sequence, change });
        }
    }
}

#[test]
fn first_tokens_come_sooner_than_by_round_robin() {
    let planned = late_first_token(false);
    let naive = late_first_token(true);
    assert!(planned * 2 < naive, "{planned} us against {naive} us");
}
