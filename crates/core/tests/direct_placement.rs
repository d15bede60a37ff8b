//! Placement and refusal of requests under overload and partial failure.

mod direct_support;

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{
    Placement, PlacementPolicy, PlacementRequest, PlacementStage, PlacementWork, PromptPart,
    PromptShape, ResponseStage, RetryRule, RouteRule, SendDecision, SendEvent, ServerTable,
    VersionBound,
};
use applefold_core::id::BackendId;
use applefold_core::routing::BackendRole::{self, Decode, Plain, Prefill};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use direct_support::{backend, domain, record_loads, service, spec, table};
use smol_str::SmolStr;

const NOW: TimePoint = TimePoint(10_000_000);
const OBJECTIVE: TimeSpan = TimeSpan::from_millis(300);

/// Returns a prompt with a shared part and a part of its own.
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
        versions: VersionBound::Any,
        time_left: TimeSpan::from_secs(2),
        latency_objective: OBJECTIVE,
        competitor: None,
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
fn requests_that_share_a_prompt_part_go_to_one_engine() {
    let mut engines = self::table(&[Prefill; 6]);
    engines.upsert(spec(6, Decode), NOW);
    let mut counts = BTreeMap::new();
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
        *counts.entry(first.backend).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 6, "{counts:?}");
}

/// Guards against a shared part that many engines prefill. It comes about when the engine that the
/// part is assigned to is busy: each entry knows few of the requests, and without the reports of the
/// other entries it sends the part to one more engine.
#[test]
fn requests_for_a_busy_engine_go_to_another_that_has_the_part_cached() {
    let mut engines = table(&[Prefill; 6]);
    engines.upsert(spec(6, Decode), NOW);
    let prompt = prompt("part", 5_000, 2_000);
    let assigned = place(&engines, Some(&prompt)).unwrap().backend;
    let other = (0..6).map(backend).find(|id| *id != assigned).unwrap();
    for holder in [&assigned, &other] {
        engines.record_prefill(holder, prompt.shared(), NOW);
    }
    let index = (0..6)
        .position(|number| backend(number) == assigned)
        .unwrap();
    record_loads(&mut engines, &[(index, 3, 9_000)], NOW);
    let placed = place(&engines, Some(&prompt)).unwrap();
    assert_eq!(placed.backend, other);
    assert_eq!(placed.uncached, TokenCount(2_000));
}

#[test]
fn a_long_prompt_gets_a_separate_prefill_and_a_short_one_does_not() {
    let table = table(&[Prefill, Decode]);
    let long = place(&table, Some(&prompt("p", 10, 8_000))).unwrap();
    assert_eq!(long.work, PlacementWork::Prefill);
    let short = place(&table, Some(&prompt("p", 10, 40))).unwrap();
    assert_eq!(short.work, PlacementWork::Run);
    assert_eq!(short.backend, backend(1));
}

#[test]
fn the_decode_goes_to_the_engine_with_the_fewest_requests_in_flight() {
    let mut table = table(&[Prefill, Decode, Decode]);
    record_loads(&mut table, &[(1, 6, 0), (2, 2, 0)], NOW);
    let cache_domain = domain();
    let stage = PlacementStage::Decode(&cache_domain);
    let prompt = prompt("p", 10, 8_000);
    let placed = place_at(&table, Some(&prompt), stage, &BTreeSet::new(), NOW).unwrap();
    assert_eq!(
        (placed.backend, placed.uncached),
        (backend(2), TokenCount::ZERO)
    );
}

/// Six entries send to the same engines. The loads that peers report count like the entry's own.
#[test]
fn loads_of_peers_count_until_they_are_stale() {
    let mut table = table(&[Decode, Decode]);
    record_loads(&mut table, &[(0, 4, 3_000)], NOW);
    let prompt = prompt("p", 10, 100);
    let placed = place(&table, Some(&prompt)).unwrap();
    assert_eq!(placed.backend, backend(1));
    let later = NOW + TimeSpan::from_secs(5);
    record_loads(&mut table, &[(1, 4, 3_000)], later);
    let placed = place_at(
        &table,
        Some(&prompt),
        PlacementStage::Splittable,
        &BTreeSet::new(),
        later,
    );
    assert_eq!(placed.unwrap().backend, backend(0));
}

/// Guards against a queue that makes all requests late. It comes about when 1.7 times the usual
/// prompts arrive for seconds and a naive entry admits all of them in order: once the queue is as
/// long as the latency objective, every request is late.
#[test]
fn in_a_burst_admitted_requests_are_on_time_unlike_with_naive_admission() {
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
        record_loads(&mut table, &[(0, 1, waiting as u64), (1, 8, 4_000)], now);
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
fn a_prompt_that_is_late_by_itself_is_served_while_none_is_queued() {
    let mut table = table(&[Prefill, Decode]);
    let long = prompt("p", 10, 40_000);
    let placed = place(&table, Some(&long)).unwrap();
    assert!(placed.predicted > OBJECTIVE);
    record_loads(&mut table, &[(0, 3, 12_000), (1, 6, 12_000)], NOW);
    let refusal = place(&table, Some(&long)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::DeadlineHopeless);
}

#[test]
fn a_late_decode_is_not_refused_after_its_prefill() {
    let mut table = table(&[Prefill, Decode]);
    record_loads(&mut table, &[(1, 8, 12_000)], NOW);
    let prompt = prompt("p", 10, 4_000);
    let cache_domain = domain();
    let stage = PlacementStage::Decode(&cache_domain);
    assert!(place_at(&table, Some(&prompt), stage, &BTreeSet::new(), NOW).is_ok());
    let unsplit = PlacementStage::Unsplit;
    assert!(place_at(&table, Some(&prompt), unsplit, &BTreeSet::new(), NOW).is_err());
}

#[test]
fn an_engine_that_rejected_a_request_gets_none_during_a_backoff() {
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

/// Guards against requests to an engine that has changed its role. When the list could not be read
/// at that time, such an engine was sent 240 requests, which it rejected.
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

/// Returns the end of the first backend server's backoff.
fn backoff_end(table: &ServerTable, now: TimePoint) -> TimePoint {
    match table.get(&backend(0)).unwrap().decision(now) {
        SendDecision::Wait(until) => until,
        other => panic!("{other:?} instead of a backoff"),
    }
}

#[test]
fn each_further_refusal_doubles_the_pause_until_an_answer_comes() {
    let mut table = table(&[Plain]);
    let mut now = NOW;
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        table.record_rejection(&backend(0), now);
        table.record_rejection(&backend(0), now);
        let until = backoff_end(&table, now);
        backoffs.push(until.since(now).as_millis());
        now = until + TimeSpan::from_millis(1);
    }
    assert_eq!(backoffs, [150, 300, 600, 1_200, 1_200, 1_200]);
    let flight = table.begin(&backend(0), TokenCount(1), now).unwrap();
    table.finish(flight, true, now);
    table.record_rejection(&backend(0), now);
    assert_eq!(backoff_end(&table, now).since(now).as_millis(), 150);
}

#[test]
fn draining_excluded_and_removed_backend_servers_get_no_requests() {
    let mut table = table(&[Plain, Plain, Plain]);
    let mut draining = spec(0, Plain);
    draining.draining = true;
    table.upsert(draining, NOW);
    let excluded: BTreeSet<BackendId> = [backend(1)].into();
    let placed = place_at(&table, None, PlacementStage::Splittable, &excluded, NOW).unwrap();
    assert_eq!(placed.backend, backend(2));
    table.remove(&backend(2));
    let refusal = place_at(&table, None, PlacementStage::Splittable, &excluded, NOW).unwrap_err();
    assert_eq!(refusal.code, ResultCode::BackendMissing);
}

#[test]
fn ejected_backend_servers_get_requests_if_there_are_no_others() {
    let mut table = table(&[Plain, Plain]);
    table.apply(&backend(0), SendEvent::Ejected, NOW);
    assert_eq!(place(&table, None).unwrap().backend, backend(1));
    table.apply(&backend(1), SendEvent::Ejected, NOW);
    assert!(place(&table, None).is_ok());
}

/// Guards against dropping all backend servers in a store outage. If one registration of three
/// expires, its backend server is gone; if all expire, they only missed their heartbeats.
#[test]
fn an_expired_registration_counts_only_if_fewer_than_half_are_expired() {
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

/// Guards against an estimate that stays bad. A bad estimate once made the entry refuse all
/// requests, so that no further sample could correct it.
#[test]
fn a_bad_estimate_decays_without_new_samples() {
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
    let place_later = |table: &ServerTable, now| {
        place_at(
            table,
            Some(&prompt),
            PlacementStage::Splittable,
            &BTreeSet::new(),
            now,
        )
    };
    let bad = place_later(&table, now).map(|placed| placed.predicted);
    assert!(bad.is_ok_and(|time| time > TimeSpan::from_millis(250)));
    let later = place_later(&table, now + TimeSpan::from_secs(10)).unwrap();
    assert!(
        later.predicted < TimeSpan::from_millis(200),
        "{}",
        later.predicted
    );
}

#[test]
fn a_restarted_engine_has_an_empty_cache() {
    let mut table = table(&[BackendRole::Both]);
    let prompt = prompt("p", 3_000, 100);
    let flight = table.begin(&backend(0), TokenCount(3_100), NOW).unwrap();
    table.first_token(flight, &prompt.parts, NOW + TimeSpan::from_millis(100));
    let cached = |table: &ServerTable| table.get(&backend(0)).unwrap().cached(&prompt.parts);
    assert_eq!(cached(&table), TokenCount(3_100));
    let mut restarted = spec(0, BackendRole::Both);
    restarted.started_at_ms = 2;
    table.upsert(restarted, NOW);
    assert_eq!(cached(&table), TokenCount::ZERO);
    assert_eq!(table.get(&backend(0)).unwrap().in_flight(), 0);
}

/// Guards against sending many requests to a crashed engine. It comes about because such an engine
/// looks idle, so that it would be chosen for all requests for as long as it is probed.
#[test]
fn an_engine_that_is_left_out_gets_one_request_for_each_probe() {
    let mut engines = table(&[Decode, Decode, Decode]);
    record_loads(&mut engines, &[(1, 5, 4_000), (2, 5, 4_000)], NOW);
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

/// A route whose streams may be resumed, with these objectives for the first event and for gaps.
fn stream_route() -> RouteRule {
    RouteRule {
        name: SmolStr::new("chat"),
        host: SmolStr::new("h.example"),
        prefix: SmolStr::new("/chat/"),
        retry_rule: RetryRule::Stream { resumable: true },
        timeout: TimeSpan::from_secs(8),
        latency_objective: OBJECTIVE,
        max_event_gap: Some(TimeSpan::from_millis(250)),
        priority: 1,
        max_attempts: 2,
        public: false,
        shares: Vec::new(),
    }
}

/// Places a stream at one version of a service whose engines of that version are busy.
fn place_stage(
    engines: &ServerTable,
    stage: ResponseStage,
    versions: VersionBound<'_>,
    time_left: TimeSpan,
) -> Result<Placement, CallRefusal> {
    let goal = stream_route().time_goal(stage, time_left);
    let (service, prompt) = (service(), prompt("part", 500, 300));
    let request = PlacementRequest {
        name: "r-1",
        service: &service,
        prompt: Some(&prompt),
        stage: PlacementStage::Unsplit,
        excluded: &BTreeSet::new(),
        versions,
        time_left: goal.time_left,
        latency_objective: goal.latency_objective,
        competitor: None,
    };
    PlacementPolicy::default().choose(engines, &request, &domain(), NOW)
}

/// Returns engines of which the first third has another version and this many tokens queued each.
fn two_versions(engines: usize, queued: u64) -> ServerTable {
    let mut table = self::table(&vec![Decode; engines]);
    let newer: Vec<usize> = (0..engines / 3).collect();
    for number in &newer {
        let mut spec = spec(*number, Decode);
        spec.version = Some("v2".parse().expect("a valid version"));
        table.upsert(spec, NOW);
    }
    let loads: Vec<(usize, u32, u64)> = newer.iter().map(|number| (*number, 1, queued)).collect();
    record_loads(&mut table, &loads, NOW);
    table
}

/// LOST: a stream that a caller resumes at the few engines of its version was refused as late for its
/// first event, which the caller has, while new streams began at the other version.
#[test]
fn a_resumed_stream_is_not_refused_for_the_objective_of_its_first_event() {
    let version = "v2".parse().expect("a valid version");
    let bound = VersionBound::Only(&version);
    let left = TimeSpan::from_secs(7);
    // As on small and on large deployments.
    for engines in [9, 180] {
        let busy = two_versions(engines, 6_000);
        let new = place_stage(&busy, ResponseStage::New, bound, left);
        let refusal = new.expect_err("a control: a new stream would be late there");
        assert_eq!(refusal.code, ResultCode::DeadlineHopeless);
        let elsewhere = place_stage(&busy, ResponseStage::New, VersionBound::Any, left);
        elsewhere.expect("new streams begin at the other version");
        let resumed = place_stage(&busy, ResponseStage::ResumedByCaller, bound, left);
        resumed.expect("the caller waits for the next event");
    }
}

/// The other side: a resumption is refused at once where its caller gives up, or the deadline passes,
/// before the next event comes.
#[test]
fn a_resumed_stream_is_refused_where_its_caller_would_give_up() {
    let version = "v2".parse().expect("a valid version");
    let bound = VersionBound::Only(&version);
    for engines in [9, 180] {
        let cases = [
            (two_versions(engines, 60_000), TimeSpan::from_secs(60)),
            (two_versions(engines, 6_000), TimeSpan::from_millis(350)),
        ];
        for (table, left) in cases {
            let resumed = place_stage(&table, ResponseStage::ResumedByCaller, bound, left);
            let refusal = resumed.expect_err("the caller would not wait so long");
            assert_eq!(refusal.code, ResultCode::DeadlineHopeless);
            assert!(refusal.retry_after.is_some());
        }
    }
}

/// The other side: with one version, a resumption finds no room that a new stream would not have had,
/// beyond the wait for which its caller stays.
#[test]
fn resumed_streams_of_one_version_are_bounded_by_the_patience_of_callers() {
    for engines in [9, 180] {
        let busy = two_versions(engines, 6_000);
        let goal =
            stream_route().time_goal(ResponseStage::ResumedByCaller, TimeSpan::from_secs(60));
        assert_eq!(goal.time_left, TimeSpan::from_secs(2));
        let resumed = place_stage(
            &busy,
            ResponseStage::ResumedByCaller,
            VersionBound::Any,
            TimeSpan::from_secs(60),
        );
        let placement = resumed.expect("a free engine");
        assert!(placement.predicted <= OBJECTIVE, "a free engine goes first");
    }
}
