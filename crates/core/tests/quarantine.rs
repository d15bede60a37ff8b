//! Requests that crash backend servers, and those that run beside them.

use std::collections::{BTreeMap, VecDeque};

use applefold_core::claim::RequestFingerprint;
use applefold_core::code::ResultCode;
use applefold_core::id::BackendId;
use applefold_core::quarantine::{BackendRun, CrashOptions, CrashTracker, SuspectReport};
use applefold_core::unit::{TimePoint, TimeSpan};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CRASHER: RequestFingerprint = RequestFingerprint(0);
const SERVERS: usize = 12;

fn backend(number: usize) -> BackendId {
    format!("engine-{number}").parse().unwrap()
}

fn run(number: usize) -> BackendRun {
    backend(number).into()
}

fn at(secs: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_secs(secs)
}

fn code(ledger: &CrashTracker, fingerprint: RequestFingerprint) -> Option<ResultCode> {
    ledger
        .admit(fingerprint, &[])
        .err()
        .map(|refusal| refusal.code)
}

#[test]
fn the_second_backend_server_is_the_last() {
    let mut ledger = CrashTracker::new(CrashOptions::default());
    ledger.note_crash(at(0), &run(1), &[CRASHER]);
    ledger.note_crash(at(1), &run(1), &[CRASHER]);
    assert_eq!(code(&ledger, CRASHER), None, "one backend server, twice");
    ledger.note_crash(at(2), &run(2), &[CRASHER]);
    assert_eq!(code(&ledger, CRASHER), Some(ResultCode::RequestQuarantined));
    ledger.tick(at(600));
    assert_eq!(code(&ledger, CRASHER), Some(ResultCode::RequestQuarantined));
    ledger.tick(at(602));
    assert_eq!(code(&ledger, CRASHER), None, "for a time");
    assert_eq!(ledger.row_count(), 0);
}

/// Engines come back under their identifier, and an affinity may draw a request to one of them.
#[test]
fn crashes_of_one_backend_server_count_each_where_runs_are_told_apart() {
    let options = CrashOptions {
        crash_limit: 3,
        count_each_run: true,
        ..CrashOptions::default()
    };
    let (mut here, mut there) = (CrashTracker::new(options), CrashTracker::new(options));
    let listed = |incarnation| BackendRun {
        backend: backend(1),
        incarnation,
    };
    let half = TimeSpan::from_millis(500);
    here.note_crash(at(0), &listed(7), &[CRASHER]);
    here.note_crash(at(0) + half, &listed(7), &[CRASHER]);
    assert_eq!(
        here.crash_count(CRASHER),
        1,
        "both connections broke with it"
    );
    here.note_crash(at(4), &listed(7), &[CRASHER]);
    assert_eq!(here.crash_count(CRASHER), 2, "the list is behind");
    here.note_crash(at(8), &listed(90), &[CRASHER]);
    assert_eq!(here.crash_count(CRASHER), 3);
    for seconds in [9, 20, 40] {
        for news in here.next_reports(at(seconds)) {
            there.merge_report(at(seconds), news);
        }
        assert_eq!(there.crash_count(CRASHER), 3, "told again, counted once");
    }
    assert_eq!(code(&there, CRASHER), Some(ResultCode::RequestQuarantined));
}

/// A backend server that breaks every connection for seconds is not one crash without end.
#[test]
fn crashes_in_quick_succession_do_not_run_into_one() {
    let options = CrashOptions {
        crash_limit: 3,
        count_each_run: true,
        ..CrashOptions::default()
    };
    let mut ledger = CrashTracker::new(options);
    for round in 0..12 {
        let now = at(0) + TimeSpan::from_millis(300 * round);
        ledger.note_crash(now, &run(1), &[CRASHER]);
    }
    assert_eq!(code(&ledger, CRASHER), Some(ResultCode::RequestQuarantined));
}

/// Answers that are lost, spoilt or reset look like crashes; the backend server's next answer
/// tells them apart.
#[test]
fn a_backend_server_that_answers_on_has_not_crashed() {
    let mut ledger = CrashTracker::new(CrashOptions::default());
    ledger.note_crash(at(0), &run(1), &[CRASHER]);
    let (sent_at, now) = (TimeSpan::from_millis(100), TimeSpan::from_millis(300));
    ledger.note_answer(at(0) + now, &backend(1), at(0) + sent_at);
    ledger.note_crash(at(2), &run(2), &[CRASHER]);
    assert_eq!(code(&ledger, CRASHER), None);
    ledger.note_answer(at(4), &backend(2), at(3));
    ledger.note_crash(at(5), &run(3), &[CRASHER]);
    let refused = Some(ResultCode::RequestQuarantined);
    assert_eq!(
        code(&ledger, CRASHER),
        refused,
        "an answer after a restart clears nothing"
    );
}

/// Answers of a backend server that dies are read after its end as well as before it.
#[test]
fn an_answer_to_what_was_sent_before_a_crash_clears_nothing() {
    let mut ledger = CrashTracker::new(CrashOptions::default());
    let read_at = at(1) + TimeSpan::from_millis(2);
    ledger.note_crash(at(1), &run(1), &[CRASHER]);
    assert_eq!(ledger.note_answer(read_at, &backend(1), at(0)), []);
    assert_eq!(ledger.note_answer(read_at, &backend(1), at(1)), []);
    let sent_at = at(1) + TimeSpan::from_millis(1);
    let cleared = ledger.note_answer(read_at, &backend(1), sent_at);
    assert_eq!(cleared, [CRASHER]);
}

#[test]
fn news_reach_everyone_and_do_not_live_longer_by_being_told() {
    let mut ledgers: Vec<CrashTracker> = (0..3)
        .map(|_| CrashTracker::new(CrashOptions::default()))
        .collect();
    ledgers[0].note_crash(at(0), &run(1), &[CRASHER]);
    ledgers[1].note_crash(at(1), &run(2), &[CRASHER]);
    // Each heartbeat is two seconds on its way.
    let mut sent: VecDeque<Vec<Vec<SuspectReport>>> = VecDeque::new();
    for second in 2..700 {
        sent.push_back(
            ledgers
                .iter_mut()
                .map(|from| from.next_reports(at(second)))
                .collect(),
        );
        if sent.len() > 2 {
            for (from, news) in sent.pop_front().unwrap().into_iter().enumerate() {
                for one in news {
                    ledgers[(from + 1) % 3].merge_report(at(second), one);
                }
            }
        }
        for ledger in &mut ledgers {
            ledger.tick(at(second));
        }
        let refused = ledgers.iter().map(|ledger| code(ledger, CRASHER));
        let refused = refused.filter(|code| code.is_some()).count();
        match second {
            9..=598 => assert_eq!(refused, 3, "at {second} s"),
            610.. => assert_eq!(refused, 0, "at {second} s"),
            _ => {}
        }
    }
}

/// An entry may end within the second in which an answer could still disprove a crash.
#[test]
fn what_is_refused_is_told_at_once() {
    let options = CrashOptions {
        crash_limit: 3,
        count_each_run: true,
        gossip_delay: TimeSpan::from_secs(1),
        gossip_ttl: TimeSpan::from_secs(5),
        ..CrashOptions::default()
    };
    let mut ledger = CrashTracker::new(options);
    for server in 0..3 {
        assert_eq!(ledger.next_reports(at(1)), []);
        ledger.note_crash(at(1), &run(server), &[CRASHER]);
    }
    assert_eq!(ledger.next_reports(at(1)).len(), 3);
}

/// What runs on a backend server breaks with it, and all of it is suspected at one moment.
#[test]
fn each_of_many_suspicions_of_one_moment_is_told() {
    let options = CrashOptions {
        crash_limit: 3,
        count_each_run: true,
        gossip_limit: 8,
        gossip_delay: TimeSpan::from_secs(1),
        gossip_ttl: TimeSpan::from_secs(5),
        ..CrashOptions::default()
    };
    for crasher in [0, 30, 100].map(RequestFingerprint) {
        for (peers, rounds) in [(1, 20), (3, 60)] {
            let mut there: Vec<CrashTracker> =
                (0..peers).map(|_| CrashTracker::new(options)).collect();
            // Each crash is seen by another entry.
            for server in 0..3 {
                let mut here = CrashTracker::new(options);
                let others = (1..60).map(RequestFingerprint);
                let running: Vec<_> = others.chain([crasher]).collect();
                here.note_crash(at(0), &run(server), &running);
                for round in 0..rounds {
                    let now = at(1) + TimeSpan::from_millis(round * 50);
                    let peer = &mut there[round as usize % peers];
                    for news in here.next_reports(now) {
                        peer.merge_report(now, news);
                    }
                }
            }
            for peer in &there {
                let crashes = peer.crash_count(crasher);
                assert_eq!(crashes, 3, "{crasher} with {peers} peers");
            }
        }
    }
}

#[test]
fn completing_whole_clears_everywhere() {
    let innocent = RequestFingerprint(7);
    let mut here = CrashTracker::new(CrashOptions::default());
    let mut there = CrashTracker::new(CrashOptions::default());
    for ledger in [&mut here, &mut there] {
        ledger.note_crash(at(0), &run(1), &[CRASHER, innocent]);
    }
    here.note_completion(at(5), innocent);
    for news in here.next_reports(at(6)) {
        there.merge_report(at(6), news);
    }
    let stale = SuspectReport {
        fingerprint: innocent,
        crashed: Some(run(1)),
        age: TimeSpan::from_secs(7),
    };
    for ledger in [&mut here, &mut there] {
        ledger.merge_report(at(7), stale.clone());
        ledger.note_crash(at(8), &run(2), &[innocent]);
        assert_eq!(code(ledger, innocent), None);
    }
}

#[test]
fn suspects_run_apart_and_others_beside_them() {
    let mut ledger = CrashTracker::new(CrashOptions::default());
    let (one, two, other) = (
        RequestFingerprint(1),
        RequestFingerprint(2),
        RequestFingerprint(3),
    );
    ledger.note_crash(at(0), &run(1), &[one, two]);
    let refusal = ledger.admit(one, &[two]).unwrap_err();
    assert_eq!(refusal.code, ResultCode::BackendBusy);
    assert_eq!(ledger.admit(one, &[other]), Ok(()));
    assert_eq!(ledger.admit(other, &[one]), Ok(()));
}

#[test]
fn the_table_is_bounded_and_keeps_the_refused() {
    let options = CrashOptions {
        max_fingerprints: 100,
        ..CrashOptions::default()
    };
    let mut ledger = CrashTracker::new(options);
    for server in [1, 2] {
        ledger.note_crash(at(0), &run(server), &[CRASHER]);
    }
    for number in 1..1_000 {
        ledger.note_crash(at(1), &run(3), &[RequestFingerprint(number)]);
        assert!(ledger.row_count() <= 100);
    }
    assert_eq!(code(&ledger, CRASHER), Some(ResultCode::RequestQuarantined));
}

/// What a fleet makes of a stream of requests with one crasher in it.
struct FleetOutcome {
    crashes: usize,
    condemned: usize,
}

/// Runs `count` requests that all begin on one backend server with the crasher,
/// which is sent again whenever its backend server has died.
fn run_fleet(count: u64, isolate: bool, seed: u64) -> FleetOutcome {
    let mut ledger = CrashTracker::new(CrashOptions::default());
    let mut running: BTreeMap<usize, Vec<RequestFingerprint>> = BTreeMap::new();
    let all: Vec<RequestFingerprint> = (0..=count).map(RequestFingerprint).collect();
    let mut waiting = all.clone();
    waiting.rotate_left(seed as usize % all.len());
    running.insert(0, std::mem::take(&mut waiting));
    let mut crashes = 0;
    let mut back_at: BTreeMap<usize, u64> = BTreeMap::new();
    for second in 0..200 {
        let now = at(second);
        let crasher_at = running.iter().find(|(_, r)| r.contains(&CRASHER));
        if let Some(server) = crasher_at.map(|(server, _)| *server) {
            crashes += 1;
            back_at.insert(server, second + 20);
            let lost = running.remove(&server).unwrap_or_default();
            ledger.note_crash(now, &run(server), &lost);
            waiting.extend(lost);
        }
        // Whatever has run for a second has completed.
        for fingerprint in running.values_mut().flat_map(std::mem::take) {
            ledger.note_completion(now, fingerprint);
        }
        for fingerprint in std::mem::take(&mut waiting) {
            let first = (second as usize + seed as usize) % SERVERS;
            let servers = (0..SERVERS).map(|step| (first + step) % SERVERS);
            let up = servers.filter(|server| back_at.get(server).is_none_or(|at| *at <= second));
            let mut servers = up.filter(|server| {
                let beside = running.get(server).map_or(&[][..], Vec::as_slice);
                let beside = if isolate { beside } else { &[] };
                ledger.admit(fingerprint, beside).is_ok()
            });
            match servers.next() {
                Some(server) => running.entry(server).or_default().push(fingerprint),
                None => waiting.push(fingerprint),
            }
        }
    }
    let innocents = all.iter().filter(|fingerprint| **fingerprint != CRASHER);
    let condemned = innocents.filter(|fingerprint| code(&ledger, **fingerprint).is_some());
    FleetOutcome {
        crashes,
        condemned: condemned.count(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(61),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_crasher_takes_two_backend_servers_and_no_neighbour(count in 0..14u64, seed in 0..50u64) {
        let outcome = run_fleet(count, true, seed);
        prop_assert_eq!(outcome.crashes, 2);
        prop_assert_eq!(outcome.condemned, 0);
    }

    #[test]
    fn of_many_neighbours_few_are_refused_with_it(count in 14..100u64, seed in 0..50u64) {
        let outcome = run_fleet(count, true, seed);
        prop_assert_eq!(outcome.crashes, 2);
        prop_assert!(outcome.condemned as u64 <= count / 8, "{} of {count}", outcome.condemned);
    }
}

#[test]
fn without_running_apart_the_neighbours_are_refused_too() {
    let outcome = run_fleet(10, false, 3);
    assert_eq!(outcome.condemned, 10);
}
