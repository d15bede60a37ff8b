//! Where requests go when load is at its worst, and what is turned away.

mod direct_support;

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{
    Placement, PlacementPolicy, PlacementRequest, PlacementStage, PlacementWork, PromptPart,
    PromptShape, SendDecision, SendEvent, ServerTable,
};
use applefold_core::id::BackendId;
use applefold_core::routing::BackendRole::{self, Decode, Plain, Prefill};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use direct_support::{backend, domain, load, service, spec, table};
use smol_str::SmolStr;

const NOW: TimePoint = TimePoint(10_000_000);
const OBJECTIVE: TimeSpan = TimeSpan::from_millis(300);

/// A prompt of a shared part and a part of its own.
fn prompt(shared: &str, shared_tokens: u64, own_tokens: u64) -> PromptShape {
    let part = |name: &str, tokens: u64| PromptPart {
        name: SmolStr::new(name),
        tokens: TokenCount(tokens),
    };
    PromptShape {
        model: SmolStr::new("m"),
        prompt_tokens: TokenCount(shared_tokens + own_tokens),
        answer_tokens: TokenCount(100),
        parts: vec![part(shared, shared_tokens), part("own", own_tokens)],
    }
}

fn place_at(
    table: &ServerTable,
    prompt: Option<&PromptShape>,
    stage: PlacementStage<'_>,
    excluded: &BTreeSet<BackendId>,
    now: TimePoint,
) -> Result<Placement, CallRefusal> {
    let service = service();
    let request = PlacementRequest {
        name: "r-1",
        service: &service,
        prompt,
        stage,
        excluded,
        time_left: TimeSpan::from_secs(2),
        latency_objective: OBJECTIVE,
    };
    PlacementPolicy::default().choose(table, &request, &domain(), now)
}

fn place(table: &ServerTable, prompt: Option<&PromptShape>) -> Result<Placement, CallRefusal> {
    place_at(
        table,
        prompt,
        PlacementStage::Splittable,
        &BTreeSet::new(),
        NOW,
    )
}

#[test]
fn requests_that_share_a_part_go_to_one_engine_and_others_elsewhere() {
    let mut engines = self::table(&[Prefill; 6]);
    engines.upsert(spec(6, Decode), NOW);
    let mut homes = BTreeMap::new();
    for number in 0..40 {
        let prompt = prompt(&format!("part-{number}"), 5_000, 2_000);
        let first = place(&engines, Some(&prompt)).unwrap();
        let other = place(&engines, Some(&prompt)).unwrap();
        assert_eq!(first.backend, other.backend);
        assert_eq!(first.work, PlacementWork::Prefill);
        assert_eq!(first.uncached, TokenCount(7_000));
        engines.record_prefill(&first.backend, prompt.shared(), NOW);
        let second = place(&engines, Some(&prompt)).unwrap();
        assert_eq!(second.backend, first.backend);
        assert_eq!(second.uncached, TokenCount(2_000));
        *homes.entry(first.backend).or_insert(0) += 1;
    }
    assert_eq!(homes.len(), 6, "{homes:?}");
}

/// The load that this answers: a part whose home is busy is asked for again and again. Each
/// entry knows of few of those requests, and without the others' word reads it at one more engine.
#[test]
fn what_a_busy_home_cannot_take_goes_where_another_entry_has_had_it_read() {
    let mut engines = table(&[Prefill; 6]);
    engines.upsert(spec(6, Decode), NOW);
    let prompt = prompt("part", 5_000, 2_000);
    let home = place(&engines, Some(&prompt)).unwrap().backend;
    let other = (0..6).map(backend).find(|one| *one != home).unwrap();
    for holder in [&home, &other] {
        engines.record_prefill(holder, prompt.shared(), NOW);
    }
    let index = (0..6).position(|number| backend(number) == home).unwrap();
    load(&mut engines, &[(index, 3, 9_000)], NOW);
    let placed = place(&engines, Some(&prompt)).unwrap();
    assert_eq!(placed.backend, other);
    assert_eq!(placed.uncached, TokenCount(2_000));
}

#[test]
fn a_long_prompt_is_read_apart_and_a_short_one_is_not() {
    let table = table(&[Prefill, Decode]);
    let long = place(&table, Some(&prompt("p", 10, 8_000))).unwrap();
    assert_eq!(long.work, PlacementWork::Prefill);
    let short = place(&table, Some(&prompt("p", 10, 40))).unwrap();
    assert_eq!(short.work, PlacementWork::Run);
    assert_eq!(short.backend, backend(1));
}

#[test]
fn the_answer_goes_to_the_engine_with_the_least_beside_it() {
    let mut table = table(&[Prefill, Decode, Decode]);
    load(&mut table, &[(1, 6, 0), (2, 2, 0)], NOW);
    let stage_domain = domain();
    let stage = PlacementStage::Decode(&stage_domain);
    let prompt = prompt("p", 10, 8_000);
    let placed = place_at(&table, Some(&prompt), stage, &BTreeSet::new(), NOW).unwrap();
    assert_eq!(
        (placed.backend, placed.uncached),
        (backend(2), TokenCount::ZERO)
    );
}

/// Six entries send to the same engines; what they told each other counts like one's own.
#[test]
fn what_peers_have_sent_counts_until_it_is_old() {
    let mut table = table(&[Decode, Decode]);
    load(&mut table, &[(0, 4, 3_000)], NOW);
    let prompt = prompt("p", 10, 100);
    let placed = place(&table, Some(&prompt)).unwrap();
    assert_eq!(placed.backend, backend(1));
    let later = NOW + TimeSpan::from_secs(5);
    load(&mut table, &[(1, 4, 3_000)], later);
    let placed = place_at(
        &table,
        Some(&prompt),
        PlacementStage::Splittable,
        &BTreeSet::new(),
        later,
    );
    assert_eq!(placed.unwrap().backend, backend(0));
}

/// The load that this answers: 1.7 times the usual prompts for seconds. Admitting all of them
/// in turn, as a naive entry does, makes every one late once the queue is a whole latency_objective long.
#[test]
fn in_a_burst_the_admitted_are_on_time_where_a_naive_entry_serves_all_late() {
    let rate = 60_000_f64;
    let arrivals = 200;
    let gap = TimeSpan::from_millis(20);
    let tokens = 2_000;
    let (mut on_time, mut refused) = (0, 0);
    let mut table = table(&[Prefill, Decode]);
    let mut busy_until = NOW;
    let mut naive_until = NOW;
    let mut naive_on_time = 0;
    for number in 0..arrivals {
        let now = TimePoint(NOW.0 + gap.0 * number);
        let work = TimeSpan::from_secs_f64(f64::from(tokens as u32) / rate);
        naive_until = naive_until.max(now) + work;
        naive_on_time += u64::from(naive_until.since(now) <= OBJECTIVE);
        let waiting = busy_until.since(now).as_secs_f64() * rate;
        load(&mut table, &[(0, 1, waiting as u64), (1, 8, 4_000)], now);
        let prompt = prompt("p", 10, tokens - 10);
        match place_at(
            &table,
            Some(&prompt),
            PlacementStage::Splittable,
            &BTreeSet::new(),
            now,
        ) {
            Ok(_) => {
                busy_until = busy_until.max(now) + work;
                on_time += u64::from(busy_until.since(now) <= OBJECTIVE);
            }
            Err(refusal) => {
                assert_eq!(refusal.code, ResultCode::DeadlineHopeless);
                assert!(refusal.retry_after.is_some());
                refused += 1;
            }
        }
    }
    assert_eq!(on_time + refused, arrivals);
    assert!(on_time >= 110, "{on_time}");
    assert!(naive_on_time <= 30, "{naive_on_time}");
}

#[test]
fn a_prompt_that_is_late_by_itself_is_served_while_nothing_waits() {
    let mut table = table(&[Prefill, Decode]);
    let long = prompt("p", 10, 40_000);
    let placed = place(&table, Some(&long)).unwrap();
    assert!(placed.predicted > OBJECTIVE);
    load(&mut table, &[(0, 3, 12_000), (1, 6, 12_000)], NOW);
    let refusal = place(&table, Some(&long)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::DeadlineHopeless);
}

#[test]
fn a_prompt_that_has_been_read_is_answered_although_late() {
    let mut table = table(&[Prefill, Decode]);
    load(&mut table, &[(1, 8, 12_000)], NOW);
    let prompt = prompt("p", 10, 4_000);
    let read_in = domain();
    let stage = PlacementStage::Decode(&read_in);
    assert!(place_at(&table, Some(&prompt), stage, &BTreeSet::new(), NOW).is_ok());
    let whole = PlacementStage::Unsplit;
    assert!(place_at(&table, Some(&prompt), whole, &BTreeSet::new(), NOW).is_err());
}

#[test]
fn an_engine_that_turned_a_request_away_is_left_alone_for_a_moment() {
    let mut table = table(&[Plain, Plain]);
    table.record_rejection(&backend(0), NOW);
    assert_eq!(place(&table, None).unwrap().backend, backend(1));
    table.record_rejection(&backend(1), NOW);
    let refusal = place(&table, None).unwrap_err();
    assert_eq!(refusal.code, ResultCode::BackendBusy);
    let later = NOW + refusal.retry_after.unwrap() + TimeSpan::from_millis(1);
    assert!(place_at(
        &table,
        None,
        PlacementStage::Splittable,
        &BTreeSet::new(),
        later
    )
    .is_ok());
}

/// An engine that changed what it does while the list could not be read was sent 240
/// requests that it turned away.
#[test]
fn an_engine_that_no_longer_does_this_is_left_alone() {
    let mut table = table(&[Plain, Plain]);
    table.mark_unavailable(&backend(0), NOW);
    let soon = NOW + TimeSpan::from_millis(900);
    for now in [NOW, soon] {
        let placed = place_at(
            &table,
            None,
            PlacementStage::Splittable,
            &BTreeSet::new(),
            now,
        );
        assert_eq!(placed.unwrap().backend, backend(1));
    }
}

/// Returns when the first backend server may be sent requests again.
fn open_at(table: &ServerTable, now: TimePoint) -> TimePoint {
    match table.get(&backend(0)).unwrap().decision(now) {
        SendDecision::Wait(until) => until,
        other => panic!("{other:?} instead of a pause"),
    }
}

#[test]
fn each_further_refusal_doubles_the_pause_until_an_answer_comes() {
    let mut table = table(&[Plain]);
    let mut now = NOW;
    let mut pauses = Vec::new();
    for _ in 0..6 {
        table.record_rejection(&backend(0), now);
        table.record_rejection(&backend(0), now);
        let until = open_at(&table, now);
        pauses.push(until.since(now).as_millis());
        now = until + TimeSpan::from_millis(1);
    }
    assert_eq!(pauses, [150, 300, 600, 1_200, 1_200, 1_200]);
    let flight = table.begin(&backend(0), TokenCount(1), now).unwrap();
    table.finish(flight, true, now);
    table.record_rejection(&backend(0), now);
    assert_eq!(open_at(&table, now).since(now).as_millis(), 150);
}

#[test]
fn leaving_failed_and_unknown_backend_servers_get_nothing() {
    let mut table = table(&[Plain, Plain, Plain]);
    let mut leaving = spec(0, Plain);
    leaving.draining = true;
    table.upsert(leaving, NOW);
    let excluded: BTreeSet<BackendId> = [backend(1)].into();
    let placed = place_at(&table, None, PlacementStage::Splittable, &excluded, NOW).unwrap();
    assert_eq!(placed.backend, backend(2));
    table.remove(&backend(2));
    let refusal = place_at(&table, None, PlacementStage::Splittable, &excluded, NOW).unwrap_err();
    assert_eq!(refusal.code, ResultCode::BackendMissing);
}

#[test]
fn health_counts_only_while_it_leaves_any() {
    let mut table = table(&[Plain, Plain]);
    table.apply(&backend(0), SendEvent::Ejected, NOW);
    assert_eq!(place(&table, None).unwrap().backend, backend(1));
    table.apply(&backend(1), SendEvent::Ejected, NOW);
    assert!(place(&table, None).is_ok());
}

/// One entry of three that vanishes while this process misses the store has left; all of
/// them at once only missed their heartbeats.
#[test]
fn a_lapsed_entry_is_believed_only_with_many_others() {
    let mut table = table(&[Plain, Plain, Plain]);
    table.mark_expired(&backend(0));
    let others: BTreeSet<BackendId> = [backend(1), backend(2)].into();
    let refusal = place_at(&table, None, PlacementStage::Splittable, &others, NOW).unwrap_err();
    assert_eq!(refusal.code, ResultCode::BackendMissing);
    table.mark_expired(&backend(1));
    table.mark_expired(&backend(2));
    assert!(place(&table, None).is_ok());
    table.upsert(spec(1, Plain), NOW);
    table.upsert(spec(2, Plain), NOW);
    let excluded: BTreeSet<BackendId> = [backend(1)].into();
    let placed = place_at(&table, None, PlacementStage::Splittable, &excluded, NOW).unwrap();
    assert_eq!(placed.backend, backend(2));
}

/// An estimate that went bad once refused everything, so that nothing was learned any more.
#[test]
fn a_bad_estimate_is_forgotten_while_nothing_is_learned() {
    let mut table = table(&[Prefill, Decode]);
    let prompt = prompt("p", 10, 4_000);
    let begin = |table: &mut ServerTable, number| {
        let tokens = TokenCount(4_000);
        table.begin(&backend(number), tokens, NOW).unwrap()
    };
    let flights: Vec<_> = (0..80)
        .map(|number| begin(&mut table, number % 2))
        .collect();
    let now = NOW + TimeSpan::from_secs(30);
    for flight in flights {
        table.finish(flight, false, now);
    }
    let open = |table: &ServerTable, now| {
        place_at(
            table,
            Some(&prompt),
            PlacementStage::Splittable,
            &BTreeSet::new(),
            now,
        )
    };
    let bad = open(&table, now).map(|placed| placed.predicted);
    assert!(bad.is_ok_and(|time| time > TimeSpan::from_millis(250)));
    let later = open(&table, now + TimeSpan::from_secs(10)).unwrap();
    assert!(
        later.predicted < TimeSpan::from_millis(200),
        "{}",
        later.predicted
    );
}

#[test]
fn a_restarted_engine_holds_nothing() {
    let mut table = table(&[BackendRole::Both]);
    let prompt = prompt("p", 3_000, 100);
    let flight = table.begin(&backend(0), TokenCount(3_100), NOW).unwrap();
    table.first_token(flight, &prompt.parts, NOW + TimeSpan::from_millis(100));
    let held = |table: &ServerTable| table.get(&backend(0)).unwrap().cached(&prompt.parts);
    assert_eq!(held(&table), TokenCount(3_100));
    let mut again = spec(0, BackendRole::Both);
    again.started_at_ms = 2;
    table.upsert(again, NOW);
    assert_eq!(held(&table), TokenCount::ZERO);
    assert_eq!(table.get(&backend(0)).unwrap().in_flight(), 0);
}

/// The load that this answers: an engine that has crashed looks idle, so that everything falls to it
/// for as long as it is tried.
#[test]
fn an_engine_that_is_left_out_gets_one_request_for_each_probe() {
    let mut engines = table(&[Decode, Decode, Decode]);
    load(&mut engines, &[(1, 5, 4_000), (2, 5, 4_000)], NOW);
    let prompt = prompt("p", 10, 100);
    engines.apply(&backend(0), SendEvent::Ejected, NOW);
    assert_ne!(place(&engines, Some(&prompt)).unwrap().backend, backend(0));
    engines.apply(&backend(0), SendEvent::ProbeDue, NOW);
    let probe = place(&engines, Some(&prompt)).unwrap();
    assert_eq!(probe.backend, backend(0));
    let flight = engines.begin(&backend(0), probe.uncached, NOW).unwrap();
    assert_ne!(place(&engines, Some(&prompt)).unwrap().backend, backend(0));
    engines.finish(flight, false, NOW);
    assert_ne!(place(&engines, Some(&prompt)).unwrap().backend, backend(0));
    engines.apply(&backend(0), SendEvent::Reinstated, NOW);
    assert_eq!(place(&engines, Some(&prompt)).unwrap().backend, backend(0));
}
