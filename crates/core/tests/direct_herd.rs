//! Herding: many entries with stale load figures choose among many engines.
//!
//! The tests guard against entries that all send to the same engine. It comes about when entries
//! gossip their loads several times more slowly than requests arrive: the engine that looks least
//! loaded to one entry then looks so to all of them.

// Each test file uses only some of the helpers.
#[allow(dead_code)]
mod direct_support;

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::direct::{
    FirstToken, PlacementPolicy, PlacementRequest, PlacementStage, PromptPart, PromptShape,
    ServerTable, VersionBound,
};
use applefold_core::id::{BackendId, InstanceId};
use applefold_core::routing::BackendRole::{Decode, Prefill};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use direct_support::{domain, service, table};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};

const ENTRIES: usize = 40;
const PREFILL_ENGINES: usize = 60;
const REQUESTS: u64 = 3_000;
const SHARED_PARTS: u64 = 300;
/// The time between two requests, in microseconds.
const ARRIVAL_INTERVAL_US: u64 = 1_000;
/// The prompt tokens that an engine prefills in a millisecond.
const TOKENS_PER_MS: u64 = 60;

/// A request in flight at an engine.
struct Flight {
    entry: usize,
    backend: BackendId,
    id: applefold_core::direct::FlightId,
    done_at: u64,
    prompt: PromptShape,
}

/// The figures of one simulation.
#[derive(Debug, Default)]
struct HerdResult {
    /// The queueing times in microseconds, sorted.
    waits: Vec<u64>,
    /// The number of shared parts that were prefilled although another engine had them cached.
    recomputed: u64,
}

fn prompt(rng: &mut Pcg64Mcg) -> PromptShape {
    let subject = rng.gen_range(0..SHARED_PARTS);
    let own_tokens = rng.gen_range(500..3_000);
    let part = |name: SmolStr, tokens| PromptPart {
        name,
        tokens: TokenCount(tokens),
    };
    PromptShape {
        model: SmolStr::new("m"),
        prompt_tokens: TokenCount(1_000 + own_tokens),
        answer_tokens: TokenCount(20),
        parts: vec![
            part(format_smolstr!("subject-{subject}"), 1_000),
            part(format_smolstr!("own-{}", rng.gen::<u64>()), own_tokens),
        ],
    }
}

/// Simulates the load, with gossip of each entry every `interval` microseconds.
fn simulate(shortlist_size: usize, interval: u64, seed: u64) -> HerdResult {
    let policy = PlacementPolicy {
        shortlist_size,
        ..PlacementPolicy::default()
    };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let roles = [[Prefill; PREFILL_ENGINES].as_slice(), &[Decode; 4]].concat();
    let mut tables: Vec<ServerTable> = (0..ENTRIES).map(|_| table(&roles)).collect();
    let names = (0..ENTRIES).map(|number| format!("entry-{number}").parse());
    let names: Vec<InstanceId> = names.collect::<Result<_, _>>().unwrap();
    let mut free_at: BTreeMap<BackendId, u64> = BTreeMap::new();
    let mut read: BTreeMap<SmolStr, BTreeSet<BackendId>> = BTreeMap::new();
    let mut prefills: Vec<Vec<(BackendId, PromptPart)>> = vec![Vec::new(); ENTRIES];
    let mut tokens: Vec<Vec<FirstToken>> = vec![Vec::new(); ENTRIES];
    let mut flights: Vec<Flight> = Vec::new();
    let mut result = HerdResult::default();
    let (service, domain) = (service(), domain());
    for number in 0..REQUESTS {
        let now = 1_000_000 + number * ARRIVAL_INTERVAL_US;
        let at = TimePoint(now);
        let (done, open): (Vec<Flight>, Vec<Flight>) = flights
            .into_iter()
            .partition(|flight| flight.done_at <= now);
        flights = open;
        for flight in done {
            let table = &mut tables[flight.entry];
            let token = table.first_token(flight.id, &flight.prompt.parts, at);
            table.finish(flight.id, true, at);
            tokens[flight.entry].extend(token);
            prefills[flight.entry].push((flight.backend, flight.prompt.parts[0].clone()));
        }
        // Each entry gossips once in each interval.
        let sender = (now % interval / ARRIVAL_INTERVAL_US) as usize;
        if sender < ENTRIES {
            let loads = tables[sender].own_loads(at);
            let prefills = std::mem::take(&mut prefills[sender]);
            let tokens = std::mem::take(&mut tokens[sender]);
            for (other, table) in tables.iter_mut().enumerate() {
                if other != sender {
                    table.record_peer_loads(&names[sender], &loads, at);
                    for token in &tokens {
                        table.record_peer_token(token.backend, &token.observation, at);
                    }
                    for (backend, part) in &prefills {
                        table.record_prefill(backend, std::slice::from_ref(part), at);
                    }
                }
            }
        }
        let entry = rng.gen_range(0..ENTRIES);
        let prompt = prompt(&mut rng);
        let name = format!("r-{number}");
        let request = PlacementRequest {
            name: &name,
            service: &service,
            prompt: Some(&prompt),
            stage: PlacementStage::Splittable,
            excluded: &BTreeSet::new(),
            versions: VersionBound::Any,
            time_left: TimeSpan::from_secs(8),
            latency_objective: TimeSpan::from_millis(400),
            competitor: None,
        };
        let placed = policy.choose(&tables[entry], &request, &domain, at);
        let Ok(placed) = placed else {
            continue;
        };
        let shared = &prompt.parts[0].name;
        let holders = read.entry(shared.clone()).or_default();
        let cached = holders.contains(&placed.backend);
        if !cached && !holders.is_empty() {
            result.recomputed += 1;
        }
        holders.insert(placed.backend.clone());
        let tokens = prompt.prompt_tokens.0 - if cached { 1_000 } else { 0 };
        let free = free_at.entry(placed.backend.clone()).or_default();
        let starts_at = now.max(*free);
        *free = starts_at + tokens * 1_000 / TOKENS_PER_MS;
        result.waits.push(starts_at - now);
        let id = tables[entry]
            .begin(&placed.backend, placed.uncached, at)
            .unwrap();
        flights.push(Flight {
            entry,
            backend: placed.backend,
            id,
            done_at: *free,
            prompt,
        });
    }
    result.waits.sort_unstable();
    result
}

fn mean_wait(result: &HerdResult) -> u64 {
    result.waits.iter().sum::<u64>() / result.waits.len() as u64
}

fn median_wait(result: &HerdResult) -> u64 {
    result.waits[result.waits.len() / 2]
}

#[test]
fn entries_with_stale_loads_do_not_herd_to_the_engine_that_looks_idle() {
    for seed in 0..3 {
        let unlimited = simulate(usize::MAX, 200_000, seed);
        let shortlisted = simulate(PlacementPolicy::default().shortlist_size, 200_000, seed);
        println!(
            "seed {seed}: median wait {} us without a shortlist, {} us with one; \
             shared parts prefilled again {} and {}",
            median_wait(&unlimited),
            median_wait(&shortlisted),
            unlimited.recomputed,
            shortlisted.recomputed
        );
        assert!(
            3 * median_wait(&shortlisted) < 2 * median_wait(&unlimited),
            "{seed}"
        );
        assert!(
            3 * shortlisted.recomputed < 2 * unlimited.recomputed,
            "{seed}"
        );
    }
}

#[test]
fn gossip_twice_as_often_shortens_waits() {
    for seed in 0..3 {
        let shortlist_size = PlacementPolicy::default().shortlist_size;
        let slow = mean_wait(&simulate(shortlist_size, 200_000, seed));
        let fast = mean_wait(&simulate(shortlist_size, 100_000, seed));
        println!("seed {seed}: mean wait {slow} us with gossip each 200 ms, {fast} us each 100 ms");
        assert!(10 * fast < 9 * slow, "{seed}");
    }
}
