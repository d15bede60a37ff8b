//! Learned speeds of engines under uneven engines, long prompts, hidden queues, stalls and restarts.

// Each test file uses only some of the helpers.
#[allow(dead_code)]
mod direct_support;

use applefold_core::direct::{
    BackendHash, FirstToken, LoadSample, PrefillWork, ServerTable, SpeedObservation,
};
use applefold_core::routing::BackendRole::{Decode, Plain, Prefill};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use direct_support::{backend, spec, table};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const START: TimePoint = TimePoint(10_000_000);
/// The time of an engine of average speed: a fixed time, per token and per pair of tokens.
const BASE_US: f64 = 30_000.0;
const TOKEN_US: f64 = 15.0;
const PAIR_US: f64 = 0.000_25;
/// The sizes of a fleet: (entries, engines).
const FLEETS: [(usize, usize); 2] = [(6, 12), (103, 180)];
/// The relative speeds of engines, in turn.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];

fn work(uncached: u64, cached: u64) -> PrefillWork {
    PrefillWork {
        uncached: TokenCount(uncached),
        cached: TokenCount(cached),
    }
}

/// Returns the time that an engine takes to a first token.
fn truth(engine: usize, work: PrefillWork) -> TimeSpan {
    let time = BASE_US + TOKEN_US * work.uncached.0 as f64 + PAIR_US * work.pairs() as f64;
    TimeSpan((time / SPEEDS[engine % SPEEDS.len()]) as u64)
}

/// Returns the time that an entry predicts.
fn predicted(table: &ServerTable, engine: usize, work: PrefillWork, now: TimePoint) -> TimeSpan {
    let row = table.get(&backend(engine)).expect("a listed engine");
    row.base_ttft(now) + row.work_time(work, now)
}

/// Returns how far a prediction is from the truth, as a share of it.
fn error(table: &ServerTable, engine: usize, work: PrefillWork, now: TimePoint) -> f64 {
    let truth = truth(engine, work).0 as f64;
    (predicted(table, engine, work, now).0 as f64 - truth).abs() / truth
}

/// Sends one request, whose first token comes after `span`.
fn observe(
    table: &mut ServerTable,
    engine: usize,
    work: PrefillWork,
    span: TimeSpan,
    sent_at: TimePoint,
) -> FirstToken {
    let flight = table.begin(&backend(engine), work, sent_at);
    let flight = flight.expect("a listed engine");
    let token = table.first_token(flight, &[], sent_at + span);
    table.finish(flight, true, sent_at + span);
    token.expect("a request in flight")
}

fn draw_work(rng: &mut Pcg64Mcg) -> PrefillWork {
    let long = rng.gen_bool(0.3);
    let uncached = if long {
        rng.gen_range(2_000..30_000)
    } else {
        rng.gen_range(100..2_000)
    };
    work(uncached, if long { 5_000 } else { 200 })
}

/// Plays requests of all entries in turn at engines in turn, each observation told to all entries.
fn play(entries: usize, engines: usize, rounds: usize, shared: bool) -> Vec<ServerTable> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut tables: Vec<ServerTable> = (0..entries)
        .map(|_| table(&vec![Prefill; engines]))
        .collect();
    for number in 0..rounds * engines {
        let (entry, engine) = (rng.gen_range(0..entries), number % engines);
        let work = draw_work(&mut rng);
        let at = START + TimeSpan::from_millis(number as u64 * 2_000 / engines as u64);
        let token = observe(&mut tables[entry], engine, work, truth(engine, work), at);
        let peers = tables.iter_mut().enumerate();
        for (_, peer) in peers.filter(|(other, _)| shared && *other != entry) {
            peer.record_peer_token(token.backend, &token.observation, at);
        }
    }
    tables
}

fn mean_error(tables: &[ServerTable], engines: usize, now: TimePoint) -> f64 {
    let errors = tables.iter().flat_map(|table| {
        (0..engines).map(move |engine| error(table, engine, work(6_000, 5_000), now))
    });
    errors.sum::<f64>() / (tables.len() * engines) as f64
}

/// Guards against entries that send by a wrong speed. Each uses an engine only every few seconds, so
/// its own observations do not show that one engine takes more than twice as long as another.
#[test]
fn entries_know_the_speed_of_engines_that_others_use() {
    for (entries, engines) in FLEETS {
        let now = START + TimeSpan::from_secs(50);
        let alone = mean_error(&play(entries, engines, 20, false), engines, now);
        let together = mean_error(&play(entries, engines, 20, true), engines, now);
        println!("{entries} entries: mean error {alone:.2} alone, {together:.2} together");
        assert!(together < 0.15, "{entries} entries: {together}");
        assert!(together < alone / 1.5, "{entries} entries: {alone} alone");
    }
}

/// Guards against a prediction that is linear in the length of the prompt, by which the longest
/// prompts are sent where they are late.
#[test]
fn long_prompts_take_more_than_in_proportion() {
    let tables = play(1, 3, 60, false);
    let now = START + TimeSpan::from_secs(125);
    for (uncached, cached) in [(300, 200), (6_000, 5_000), (30_000, 5_000), (54_000, 500)] {
        for engine in 0..3 {
            let error = error(&tables[0], engine, work(uncached, cached), now);
            assert!(
                error < 0.25,
                "{uncached} tokens at engine {engine}: {error}"
            );
        }
    }
}

/// Guards against taking a busy engine for a slow one. Queues of which an entry does not know made all
/// entries avoid the same engines and then send to the others all at once.
#[test]
fn queues_that_an_entry_does_not_know_of_do_not_count_as_speed() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut table = table(&[Prefill; 4]);
    for number in 0..400u64 {
        let engine = number as usize % 4;
        let work = work(rng.gen_range(1_000..8_000), 2_000);
        let queue = TimeSpan::from_millis(if rng.gen_bool(0.5) {
            rng.gen_range(20..200)
        } else {
            0
        });
        let at = START + TimeSpan::from_millis(number * 50);
        let queue = if engine == 0 { queue } else { TimeSpan::ZERO };
        let span = truth(0, work) + queue;
        let observation = SpeedObservation {
            tokens: work.uncached,
            pairs: work.pairs(),
            span,
        };
        let hash = table.get(&backend(engine)).expect("a row").name_hash();
        table.record_peer_token(hash, &observation, at);
    }
    let now = START + TimeSpan::from_secs(20);
    let busy = predicted(&table, 0, work(6_000, 2_000), now).0 as f64;
    let idle = predicted(&table, 1, work(6_000, 2_000), now).0 as f64;
    assert!(busy / idle < 1.15, "{busy} and {idle} us");
}

/// Guards against an estimate that stays bad after an engine has recovered, although no request
/// reaches the engine that could show it.
#[test]
fn a_stalled_engine_is_trusted_again_and_gets_trial_requests() {
    let mut tables = play(1, 3, 80, false);
    let table = &mut tables[0];
    let stalled = START + TimeSpan::from_secs(162);
    for number in 0..20 {
        let at = stalled + TimeSpan::from_millis(number * 100);
        let span = TimeSpan(truth(0, work(3_000, 0)).0 * 5);
        observe(table, 0, work(3_000, 0), span, at);
        for other in [1, 2] {
            observe(
                table,
                other,
                work(3_000, 0),
                truth(other, work(3_000, 0)),
                at,
            );
        }
    }
    let now = stalled + TimeSpan::from_millis(2_500);
    let usual = truth(0, work(3_000, 0)).0;
    let slow = predicted(table, 0, work(3_000, 0), now).0;
    assert!(
        slow > 2 * usual,
        "a stall shows: {slow} us instead of {usual}"
    );
    let row = |table: &ServerTable| table.get(&backend(0)).expect("a row").clone();
    assert!(!row(table).is_trial_due(now), "it was observed just now");
    let later = now + TimeSpan::from_millis(600);
    assert!(row(table).is_trial_due(later));
    let flight = table.begin(&backend(0), work(3_000, 0), later);
    assert!(!row(table).is_trial_due(later), "one trial at a time");
    table.finish(flight.expect("a row"), false, later);
    let recovered = now + TimeSpan::from_secs(6);
    let time = predicted(table, 0, work(3_000, 0), recovered).0;
    assert!(time < usual * 14 / 10, "{time} us instead of {usual}");
}

/// A restarted engine starts from what its service is like, not from a constant; a restarted entry
/// learns from the next observations of the others.
#[test]
fn restarts_start_from_the_service_and_from_peers() {
    let mut tables = play(2, 6, 40, true);
    let now = START + TimeSpan::from_secs(81);
    let table = &mut tables[0];
    let mut restarted = spec(1, Prefill);
    restarted.started_at_ms = 2;
    table.upsert(restarted, now);
    let average = BASE_US + TOKEN_US * 6_000.0 + PAIR_US * work(6_000, 5_000).pairs() as f64;
    let time = predicted(table, 1, work(6_000, 5_000), now).0 as f64;
    assert!(
        (0.5..1.6).contains(&(time / average)),
        "{time} instead of about {average}"
    );
    let mut entry = self::table(&[Prefill; 6]);
    for number in 0..60 {
        let (engine, work) = (number % 6, work(1_000 + 300 * (number as u64 % 20), 500));
        let observation = SpeedObservation {
            tokens: work.uncached,
            pairs: work.pairs(),
            span: truth(engine, work),
        };
        let hash = entry.get(&backend(engine)).expect("a row").name_hash();
        entry.record_peer_token(hash, &observation, now);
    }
    let error = mean_error(std::slice::from_ref(&entry), 6, now);
    assert!(
        error < 0.3,
        "mean error {error} after ten observations of each engine"
    );
    entry.record_peer_token(BackendHash(1), &observation_of_nobody(), now);
}

fn observation_of_nobody() -> SpeedObservation {
    SpeedObservation {
        tokens: TokenCount(1),
        pairs: 0,
        span: TimeSpan::ZERO,
    }
}

fn load(slowdown_percent: Option<u32>) -> LoadSample {
    LoadSample {
        running: 1,
        waiting: 0,
        slots: 6,
        slowdown_percent,
    }
}

/// A reported slowdown counts while it is fresh, and is not learned as the usual speed.
#[test]
fn a_reported_slowdown_counts_while_it_is_fresh() {
    for role in [Plain, Decode] {
        let mut table = table(&[role]);
        let time = |table: &ServerTable, now| {
            let row = table.get(&backend(0)).expect("a row");
            match role {
                Plain => (row.mean_call_time().0 as f64 * row.slowdown(now)) as u64,
                _ => row.work_time(work(4_000, 0), now).0,
            }
        };
        let before = time(&table, START);
        table.record_load(&backend(0), load(Some(250)), START);
        assert_eq!(time(&table, START) / (before / 10), 25, "{role:?}");
        let half = START + TimeSpan::from_millis(200);
        assert_eq!(time(&table, half) / (before / 100), 175, "{role:?}");
        assert_eq!(time(&table, START + TimeSpan::from_millis(400)), before);
        table.record_load(&backend(0), load(None), START);
        assert_eq!(time(&table, START), before, "{role:?}: no figure");
    }
    let mut table = table(&[Plain]);
    for number in 0..30 {
        let at = START + TimeSpan::from_millis(number * 200);
        let flight = table
            .begin(&backend(0), TokenCount::ZERO, at)
            .expect("a row");
        let end = at + TimeSpan::from_millis(75);
        table.record_load(&backend(0), load(Some(250)), end);
        table.finish(flight, true, end);
    }
    let usual = table.get(&backend(0)).expect("a row").mean_call_time();
    assert!((29..33).contains(&usual.as_millis()), "{usual}");
}
