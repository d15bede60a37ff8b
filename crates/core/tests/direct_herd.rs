//! Many entries that each know a little choose among many engines.
//!
//! The load that this replays: entries hear from each other several times slower than requests
//! come. What looks least loaded to one of them looks so to all, and they meet there.

// Each file of tests uses a part of this.
#[allow(dead_code)]
mod direct_support;

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::direct::{
    PlacementPolicy, PlacementRequest, PlacementStage, PromptPart, PromptShape, ServerTable,
};
use applefold_core::id::{BackendId, InstanceId};
use applefold_core::routing::BackendRole::{Decode, Prefill};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use direct_support::{domain, service, table};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::{format_smolstr, SmolStr};

const ENTRIES: usize = 40;
const READERS: usize = 60;
const REQUESTS: u64 = 3_000;
const SUBJECTS: u64 = 300;
/// Microseconds between two requests.
const ARRIVAL: u64 = 1_000;
/// Prompt tokens that an engine reads in a millisecond.
const RATE: u64 = 60;

/// Where one request ended up.
struct Flight {
    entry: usize,
    backend: BackendId,
    id: applefold_core::direct::FlightId,
    done_at: u64,
    prompt: PromptShape,
}

#[derive(Debug, Default)]
struct HerdResult {
    waits: Vec<u64>,
    /// Shared parts that were read where another engine had read them.
    reread: u64,
}

fn prompt(rng: &mut Pcg64Mcg) -> PromptShape {
    let subject = rng.gen_range(0..SUBJECTS);
    let own = rng.gen_range(500..3_000);
    let part = |name: SmolStr, tokens| PromptPart {
        name,
        tokens: TokenCount(tokens),
    };
    PromptShape {
        model: SmolStr::new("m"),
        prompt_tokens: TokenCount(1_000 + own),
        answer_tokens: TokenCount(20),
        parts: vec![
            part(format_smolstr!("subject-{subject}"), 1_000),
            part(format_smolstr!("own-{}", rng.gen::<u64>()), own),
        ],
    }
}

/// Plays the load with news of each entry every `news` microseconds.
fn play(shortlist_size: usize, news: u64, seed: u64) -> HerdResult {
    let policy = PlacementPolicy {
        shortlist_size,
        ..PlacementPolicy::default()
    };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let roles = [[Prefill; READERS].as_slice(), &[Decode; 4]].concat();
    let mut tables: Vec<ServerTable> = (0..ENTRIES).map(|_| table(&roles)).collect();
    let names = (0..ENTRIES).map(|number| format!("entry-{number}").parse());
    let names: Vec<InstanceId> = names.collect::<Result<_, _>>().unwrap();
    let mut free_at: BTreeMap<BackendId, u64> = BTreeMap::new();
    let mut read: BTreeMap<SmolStr, BTreeSet<BackendId>> = BTreeMap::new();
    let mut reads: Vec<Vec<(BackendId, PromptPart)>> = vec![Vec::new(); ENTRIES];
    let mut flights: Vec<Flight> = Vec::new();
    let mut result = HerdResult::default();
    let (service, domain) = (service(), domain());
    for number in 0..REQUESTS {
        let now = 1_000_000 + number * ARRIVAL;
        let at = TimePoint(now);
        let (done, open): (Vec<Flight>, Vec<Flight>) = flights
            .into_iter()
            .partition(|flight| flight.done_at <= now);
        flights = open;
        for flight in done {
            let table = &mut tables[flight.entry];
            table.first_token(flight.id, &flight.prompt.parts, at);
            table.finish(flight.id, true, at);
            reads[flight.entry].push((flight.backend, flight.prompt.parts[0].clone()));
        }
        // Each entry has its turn to tell within a round.
        let teller = (now % news / ARRIVAL) as usize;
        if teller < ENTRIES {
            let loads = tables[teller].own_loads();
            let reads = std::mem::take(&mut reads[teller]);
            for (other, table) in tables.iter_mut().enumerate() {
                if other != teller {
                    table.record_peer_loads(&names[teller], &loads, at);
                    for (backend, part) in &reads {
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
            time_left: TimeSpan::from_secs(8),
            latency_objective: TimeSpan::from_millis(400),
        };
        let placed = policy.choose(&tables[entry], &request, &domain, at);
        let Ok(placed) = placed else {
            continue;
        };
        let shared = &prompt.parts[0].name;
        let holders = read.entry(shared.clone()).or_default();
        let held = holders.contains(&placed.backend);
        if !held && !holders.is_empty() {
            result.reread += 1;
        }
        holders.insert(placed.backend.clone());
        let tokens = prompt.prompt_tokens.0 - if held { 1_000 } else { 0 };
        let free = free_at.entry(placed.backend.clone()).or_default();
        let begins = now.max(*free);
        *free = begins + tokens * 1_000 / RATE;
        result.waits.push(begins - now);
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

fn usual_wait(result: &HerdResult) -> u64 {
    result.waits[result.waits.len() / 2]
}

#[test]
fn entries_with_old_news_do_not_meet_at_the_engine_that_looks_idle() {
    for seed in 0..3 {
        let least = play(usize::MAX, 200_000, seed);
        let listed = play(PlacementPolicy::default().shortlist_size, 200_000, seed);
        println!(
            "seed {seed}: usual wait {} us at the least of all, {} us at the least of a few; \
             shared parts read again {} and {}",
            usual_wait(&least),
            usual_wait(&listed),
            least.reread,
            listed.reread
        );
        assert!(3 * usual_wait(&listed) < 2 * usual_wait(&least), "{seed}");
        assert!(3 * listed.reread < 2 * least.reread, "{seed}");
    }
}

#[test]
fn news_told_twice_as_often_shorten_waits() {
    for seed in 0..3 {
        let shortlist_size = PlacementPolicy::default().shortlist_size;
        let slow = mean_wait(&play(shortlist_size, 200_000, seed));
        let fast = mean_wait(&play(shortlist_size, 100_000, seed));
        println!("seed {seed}: mean wait {slow} us with news each 200 ms, {fast} us each 100 ms");
        assert!(10 * fast < 9 * slow, "{seed}");
    }
}
