//! Quarantine of requests that crash backend servers, and of requests that run beside them.

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

fn code(tracker: &CrashTracker, fingerprint: RequestFingerprint) -> Option<ResultCode> {
    tracker
        .admit(fingerprint, &[])
        .err()
        .map(|refusal| refusal.code)
}

#[test]
fn a_second_crash_elsewhere_quarantines_a_request() {
    let mut tracker = CrashTracker::new(CrashOptions::default());
    tracker.note_crash(at(0), &run(1), &[CRASHER]);
    tracker.note_crash(at(1), &run(1), &[CRASHER]);
    assert_eq!(code(&tracker, CRASHER), None, "one backend server, twice");
    tracker.note_crash(at(2), &run(2), &[CRASHER]);
    assert_eq!(
        code(&tracker, CRASHER),
        Some(ResultCode::RequestQuarantined)
    );
    tracker.tick(at(600));
    assert_eq!(
        code(&tracker, CRASHER),
        Some(ResultCode::RequestQuarantined)
    );
    tracker.tick(at(602));
    assert_eq!(code(&tracker, CRASHER), None, "the quarantine has expired");
    assert_eq!(tracker.row_count(), 0);
}

/// An engine restarts under the same identifier, and affinity may send a crashing request to it again.
#[test]
fn each_crash_of_one_backend_server_counts_where_incarnations_are_known() {
    let options = CrashOptions {
        crash_limit: 3,
        count_each_run: true,
        ..CrashOptions::default()
    };
    let (mut here, mut there) = (CrashTracker::new(options), CrashTracker::new(options));
    let incarnation = |incarnation| BackendRun {
        backend: backend(1),
        incarnation,
    };
    let half = TimeSpan::from_millis(500);
    here.note_crash(at(0), &incarnation(7), &[CRASHER]);
    here.note_crash(at(0) + half, &incarnation(7), &[CRASHER]);
    assert_eq!(
        here.crash_count(CRASHER),
        1,
        "both connections broke in one crash"
    );
    here.note_crash(at(4), &incarnation(7), &[CRASHER]);
    assert_eq!(
        here.crash_count(CRASHER),
        2,
        "the backend list still has the old incarnation"
    );
    here.note_crash(at(8), &incarnation(90), &[CRASHER]);
    assert_eq!(here.crash_count(CRASHER), 3);
    for seconds in [9, 20, 40] {
        for report in here.next_reports(at(seconds)) {
            there.merge_report(at(seconds), report);
        }
        assert_eq!(
            there.crash_count(CRASHER),
            3,
            "reported again, counted once"
        );
    }
    assert_eq!(code(&there, CRASHER), Some(ResultCode::RequestQuarantined));
}

/// A registration may name any start time, also the largest number.
#[test]
fn crashes_are_counted_at_the_largest_incarnation() {
    let options = CrashOptions {
        crash_limit: 3,
        count_each_run: true,
        ..CrashOptions::default()
    };
    let mut tracker = CrashTracker::new(options);
    let last = BackendRun {
        backend: backend(1),
        incarnation: u64::MAX,
    };
    for round in 0..3 {
        tracker.note_crash(at(3 * round), &last, &[CRASHER]);
    }
    assert_eq!(tracker.crash_count(CRASHER), 3);
}

/// A backend server that breaks every connection for seconds is not one crash.
#[test]
fn crashes_in_quick_succession_are_not_merged_into_one() {
    let options = CrashOptions {
        crash_limit: 3,
        count_each_run: true,
        ..CrashOptions::default()
    };
    let mut tracker = CrashTracker::new(options);
    for round in 0..12 {
        let now = at(0) + TimeSpan::from_millis(300 * round);
        tracker.note_crash(now, &run(1), &[CRASHER]);
    }
    assert_eq!(
        code(&tracker, CRASHER),
        Some(ResultCode::RequestQuarantined)
    );
}

/// A lost, corrupted or reset answer looks like a crash. The next answer of the backend server
/// disproves it.
#[test]
fn a_backend_server_that_still_answers_has_not_crashed() {
    let mut tracker = CrashTracker::new(CrashOptions::default());
    tracker.note_crash(at(0), &run(1), &[CRASHER]);
    tracker.note_answer(&backend(1), at(0) + TimeSpan::from_millis(100));
    tracker.note_crash(at(2), &run(2), &[CRASHER]);
    assert_eq!(code(&tracker, CRASHER), None);
    tracker.note_answer(&backend(2), at(3));
    tracker.note_crash(at(5), &run(3), &[CRASHER]);
    let quarantined = Some(ResultCode::RequestQuarantined);
    assert_eq!(
        code(&tracker, CRASHER),
        quarantined,
        "an answer after a restart disproves nothing"
    );
}

/// An answer of a backend server that crashes may be read only after the crash.
#[test]
fn an_answer_to_a_request_sent_before_a_crash_disproves_nothing() {
    let mut tracker = CrashTracker::new(CrashOptions::default());
    tracker.note_crash(at(1), &run(1), &[CRASHER]);
    assert_eq!(tracker.note_answer(&backend(1), at(0)), []);
    assert_eq!(tracker.note_answer(&backend(1), at(1)), []);
    let sent_at = at(1) + TimeSpan::from_millis(1);
    let cleared = tracker.note_answer(&backend(1), sent_at);
    assert_eq!(cleared, [CRASHER]);
}

#[test]
fn reports_reach_all_processes_and_gossip_does_not_extend_their_life() {
    let mut trackers: Vec<CrashTracker> = (0..3)
        .map(|_| CrashTracker::new(CrashOptions::default()))
        .collect();
    trackers[0].note_crash(at(0), &run(1), &[CRASHER]);
    trackers[1].note_crash(at(1), &run(2), &[CRASHER]);
    // Each heartbeat takes two seconds.
    let mut sent: VecDeque<Vec<Vec<SuspectReport>>> = VecDeque::new();
    for second in 2..700 {
        sent.push_back(
            trackers
                .iter_mut()
                .map(|from| from.next_reports(at(second)))
                .collect(),
        );
        if sent.len() > 2 {
            for (from, reports) in sent.pop_front().unwrap().into_iter().enumerate() {
                for report in reports {
                    trackers[(from + 1) % 3].merge_report(at(second), report);
                }
            }
        }
        for tracker in &mut trackers {
            tracker.tick(at(second));
        }
        let codes = trackers.iter().map(|tracker| code(tracker, CRASHER));
        let quarantined = codes.filter(|code| code.is_some()).count();
        match second {
            9..=598 => assert_eq!(quarantined, 3, "at {second} s"),
            610.. => assert_eq!(quarantined, 0, "at {second} s"),
            _ => {}
        }
    }
}

/// An entry may end within the second in which an answer could still disprove a crash, so a quarantine
/// must not wait for it.
#[test]
fn a_quarantine_is_reported_at_once() {
    let options = CrashOptions {
        crash_limit: 3,
        count_each_run: true,
        gossip_delay: TimeSpan::from_secs(1),
        gossip_ttl: TimeSpan::from_secs(5),
        ..CrashOptions::default()
    };
    let mut tracker = CrashTracker::new(options);
    for server in 0..3 {
        assert_eq!(tracker.next_reports(at(1)), []);
        tracker.note_crash(at(1), &run(server), &[CRASHER]);
    }
    assert_eq!(tracker.next_reports(at(1)).len(), 3);
}

/// A crash breaks all requests on a backend server, so all of them become suspects at once. Each must
/// be reported although only a few fit in one message.
#[test]
fn each_of_many_simultaneous_suspicions_is_reported() {
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
            // A different entry observes each crash.
            for server in 0..3 {
                let mut here = CrashTracker::new(options);
                let others = (1..60).map(RequestFingerprint);
                let running: Vec<_> = others.chain([crasher]).collect();
                here.note_crash(at(0), &run(server), &running);
                for round in 0..rounds {
                    let now = at(1) + TimeSpan::from_millis(round * 50);
                    let peer = &mut there[round as usize % peers];
                    for report in here.next_reports(now) {
                        peer.merge_report(now, report);
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
fn a_completion_clears_everywhere() {
    let innocent = RequestFingerprint(7);
    let mut here = CrashTracker::new(CrashOptions::default());
    let mut there = CrashTracker::new(CrashOptions::default());
    for tracker in [&mut here, &mut there] {
        tracker.note_crash(at(0), &run(1), &[CRASHER, innocent]);
    }
    here.note_completion(at(5), innocent);
    for report in here.next_reports(at(6)) {
        there.merge_report(at(6), report);
    }
    let stale = SuspectReport {
        fingerprint: innocent,
        crashed: Some(run(1)),
        age: TimeSpan::from_secs(7),
    };
    for tracker in [&mut here, &mut there] {
        tracker.merge_report(at(7), stale.clone());
        tracker.note_crash(at(8), &run(2), &[innocent]);
        assert_eq!(code(tracker, innocent), None);
    }
}

#[test]
fn suspects_are_isolated_from_each_other_only() {
    let mut tracker = CrashTracker::new(CrashOptions::default());
    let (one, two, other) = (
        RequestFingerprint(1),
        RequestFingerprint(2),
        RequestFingerprint(3),
    );
    tracker.note_crash(at(0), &run(1), &[one, two]);
    let refusal = tracker.admit(one, &[two]).unwrap_err();
    assert_eq!(refusal.code, ResultCode::BackendBusy);
    assert_eq!(tracker.admit(one, &[other]), Ok(()));
    assert_eq!(tracker.admit(other, &[one]), Ok(()));
}

#[test]
fn the_table_is_bounded_and_keeps_the_quarantined() {
    let options = CrashOptions {
        max_fingerprints: 100,
        ..CrashOptions::default()
    };
    let mut tracker = CrashTracker::new(options);
    for server in [1, 2] {
        tracker.note_crash(at(0), &run(server), &[CRASHER]);
    }
    for number in 1..1_000 {
        tracker.note_crash(at(1), &run(3), &[RequestFingerprint(number)]);
        assert!(tracker.row_count() <= 100);
    }
    assert_eq!(
        code(&tracker, CRASHER),
        Some(ResultCode::RequestQuarantined)
    );
}

/// The effect of one crashing request among others on a fleet.
struct FleetOutcome {
    crashes: usize,
    /// Other requests that are quarantined in the end.
    quarantined: usize,
}

/// Runs `count` requests that all start on one backend server with the crashing request. What a crash
/// breaks is sent again.
fn run_fleet(count: u64, isolate: bool, seed: u64) -> FleetOutcome {
    let mut tracker = CrashTracker::new(CrashOptions::default());
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
            tracker.note_crash(now, &run(server), &lost);
            waiting.extend(lost);
        }
        // Requests complete after one second.
        for fingerprint in running.values_mut().flat_map(std::mem::take) {
            tracker.note_completion(now, fingerprint);
        }
        for fingerprint in std::mem::take(&mut waiting) {
            let first = (second as usize + seed as usize) % SERVERS;
            let servers = (0..SERVERS).map(|step| (first + step) % SERVERS);
            let up = servers.filter(|server| back_at.get(server).is_none_or(|at| *at <= second));
            let mut servers = up.filter(|server| {
                let beside = running.get(server).map_or(&[][..], Vec::as_slice);
                let beside = if isolate { beside } else { &[] };
                tracker.admit(fingerprint, beside).is_ok()
            });
            match servers.next() {
                Some(server) => running.entry(server).or_default().push(fingerprint),
                None => waiting.push(fingerprint),
            }
        }
    }
    let innocents = all.iter().filter(|fingerprint| **fingerprint != CRASHER);
    let quarantined = innocents.filter(|fingerprint| code(&tracker, **fingerprint).is_some());
    FleetOutcome {
        crashes,
        quarantined: quarantined.count(),
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
    fn a_crasher_costs_two_backend_servers_and_quarantines_no_neighbour(count in 0..14u64, seed in 0..50u64) {
        let outcome = run_fleet(count, true, seed);
        prop_assert_eq!(outcome.crashes, 2);
        prop_assert_eq!(outcome.quarantined, 0);
    }

    #[test]
    fn of_many_neighbours_few_are_quarantined_with_it(count in 14..100u64, seed in 0..50u64) {
        let outcome = run_fleet(count, true, seed);
        prop_assert_eq!(outcome.crashes, 2);
        prop_assert!(outcome.quarantined as u64 <= count / 8, "{} of {count}", outcome.quarantined);
    }
}

#[test]
fn without_isolation_the_neighbours_are_quarantined_too() {
    let outcome = run_fleet(10, false, 3);
    assert_eq!(outcome.quarantined, 10);
}
