//! Quarantine of prompt parts that crash engines, and of nothing that is sent with them.

use applefold_core::claim::RequestFingerprint;
use applefold_core::id::BackendId;
use applefold_core::quarantine::{
    BackendRun, CrashOptions, CrashTracker, ExplainedCrashes, PartTracker, SuspectReport,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const ENTRIES: usize = 6;
const ENGINES: usize = 12;
const STEP: TimeSpan = TimeSpan::from_millis(10);
/// The number of crashes after which entries have to know the part, and how long that may take.
const CRASHES_TO_LEARN: usize = 5;
const LEARN_TIME: TimeSpan = TimeSpan::from_secs(3);
/// How many requests with the part may be sent later.
const LATE_SENDS: usize = 3;

fn at_ms(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn backend(number: usize) -> BackendId {
    format!("engine-{number}").parse().expect("a valid name")
}

fn run(number: usize, incarnation: u64) -> BackendRun {
    BackendRun {
        backend: backend(number),
        incarnation,
    }
}

fn parts(names: &[&str]) -> Vec<RequestFingerprint> {
    names
        .iter()
        .map(|name| RequestFingerprint::of_prompt_part(name))
        .collect()
}

fn is_refused(tracker: &PartTracker, names: &[&str]) -> bool {
    tracker
        .blamed_part(&parts(names), &ExplainedCrashes::default())
        .is_some()
}

/// Crashes one backend server after the other, a second apart, each under a prompt of these parts.
fn crash_under(tracker: &mut PartTracker, names: &[&str], first: usize, count: usize) {
    for number in first..first + count {
        let now = at_ms(1_000 * number as u64);
        tracker.note_crash(now, &run(number, 1), &parts(names));
    }
}

#[test]
fn a_part_is_refused_after_three_crashes_under_different_requests() {
    let mut tracker = PartTracker::default();
    for number in 0..3 {
        assert!(!is_refused(&tracker, &["bad"]));
        let own = format!("own-{number}");
        let now = at_ms(1_000 * number as u64);
        tracker.note_crash(now, &run(number, 1), &parts(&["bad", &own]));
    }
    assert!(is_refused(&tracker, &["bad", "another"]));
    assert!(!is_refused(&tracker, &["own-1"]));
}

#[test]
fn a_sound_part_is_not_refused_for_a_crashing_one_beside_it() {
    let mut tracker = PartTracker::default();
    tracker.note_answer(at_ms(0), &parts(&["common", "sound"]));
    crash_under(&mut tracker, &["common", "bad"], 1, 4);
    assert!(is_refused(&tracker, &["common", "bad"]));
    assert!(!is_refused(&tracker, &["common", "sound"]));
}

#[test]
fn a_sound_part_is_not_refused_for_an_unrelated_crash() {
    let mut tracker = PartTracker::default();
    tracker.note_answer(at_ms(0), &parts(&["common", "sound"]));
    crash_under(&mut tracker, &["common", "bad"], 1, 3);
    crash_under(&mut tracker, &["common", "new"], 4, 1);
    assert!(!is_refused(&tracker, &["common", "sound"]));
    assert!(!is_refused(&tracker, &["common", "new"]));
}

#[test]
fn parts_that_were_only_seen_together_are_told_apart_by_the_next_request() {
    let mut tracker = PartTracker::default();
    crash_under(&mut tracker, &["common", "bad"], 0, 3);
    assert!(is_refused(&tracker, &["common", "bad"]));
    assert!(
        !is_refused(&tracker, &["common"]),
        "the other part explains it"
    );
    tracker.note_answer(at_ms(4_000), &parts(&["common"]));
    assert!(!is_refused(&tracker, &["common"]));
    assert!(is_refused(&tracker, &["bad"]));
}

#[test]
fn backend_servers_that_fail_together_count_once() {
    let mut tracker = PartTracker::default();
    for number in 0..8 {
        let now = at_ms(1_000 + 20 * number as u64);
        tracker.note_crash(now, &run(number, 1), &parts(&["new"]));
    }
    assert_eq!(
        tracker.crash_count(RequestFingerprint::of_prompt_part("new")),
        1
    );
    assert!(!is_refused(&tracker, &["new"]));
}

#[test]
fn an_answer_at_another_process_ends_a_wrong_quarantine() {
    let (mut here, mut there) = (PartTracker::default(), PartTracker::default());
    crash_under(&mut here, &["new"], 0, 3);
    let now = at_ms(3_100);
    for report in here.next_reports(now) {
        there.merge_report(now, report);
    }
    assert!(is_refused(&there, &["new"]));
    assert_eq!(
        there.note_answer(at_ms(3_200), &parts(&["new"])),
        parts(&["new"])
    );
    let now = at_ms(3_300);
    for report in there.next_reports(now) {
        here.merge_report(now, report);
    }
    assert!(!is_refused(&here, &["new"]));
    assert!(here.next_reports(at_ms(3_400)).is_empty());
}

#[test]
fn a_backend_server_that_still_responds_has_not_crashed() {
    let mut tracker = PartTracker::default();
    for number in 0..6 {
        let now = 1_000 * number as u64;
        tracker.note_crash(at_ms(now), &run(number, 1), &parts(&["new"]));
        tracker.note_response(&backend(number), at_ms(now + 100));
    }
    assert!(!is_refused(&tracker, &["new"]));
}

#[test]
fn the_table_is_bounded_and_keeps_the_quarantined() {
    let mut tracker = PartTracker::default();
    crash_under(&mut tracker, &["bad"], 0, 3);
    for number in 0..20_000 {
        let name = format!("part-{number}");
        tracker.note_answer(at_ms(3_000 + number), &parts(&[&name]));
        assert!(tracker.row_count() <= 4_096);
    }
    assert!(is_refused(&tracker, &["bad"]));
    tracker.tick(at_ms(700_000));
    assert_eq!(tracker.row_count(), 0);
}

/// A request that waits for the first event of its answer.
struct Waiting {
    entry: usize,
    engine: usize,
    names: Vec<String>,
    sent_at: TimePoint,
    begins_at: TimePoint,
    crashing: bool,
}

#[derive(Default)]
struct Outcome {
    late: usize,
    crashes: usize,
    /// Sound requests in the last five seconds, and those of them that were refused.
    sound: usize,
    refused: usize,
}

/// Plays 30 s of a fleet in which requests with one part crash engines. They share their first part
/// with sound requests, and the second one too if `own` says so.
fn play(seed: u64, crash_rate: f64, own: bool) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut trackers: Vec<PartTracker> = (0..ENTRIES).map(|_| PartTracker::default()).collect();
    let mut down_until = [TimePoint::START; ENGINES];
    let mut incarnations = [1_u64; ENGINES];
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut crash_times: Vec<TimePoint> = Vec::new();
    let mut sends: Vec<TimePoint> = Vec::new();
    let mut outcome = Outcome::default();
    for tick in 0..3_000_u64 {
        let now = at_ms(10 * tick);
        if rng.gen_bool(0.002) {
            trackers[rng.gen_range(0..ENTRIES)] = PartTracker::default();
        }
        let crashing = tick > 600 && rng.gen_bool(crash_rate);
        let sound = (0..2).filter(|_| rng.gen_bool(0.5)).count();
        for number in 0..sound + usize::from(crashing) {
            let crashing = crashing && number == 0;
            let mut names = vec![format!("first-{}", rng.gen_range(0..10))];
            names.push(format!("own-{}", rng.gen_range(0..100)));
            if crashing {
                names[0] = "first-0".to_owned();
                names[1] = if own { "own-0" } else { "bad" }.to_owned();
                names.push("bad".to_owned());
            }
            let entry = rng.gen_range(0..ENTRIES);
            let names_ref: Vec<&str> = names.iter().map(String::as_str).collect();
            let refused = is_refused(&trackers[entry], &names_ref);
            if !crashing && tick >= 2_500 {
                outcome.sound += 1;
                outcome.refused += usize::from(refused);
            }
            let up: Vec<usize> = (0..ENGINES)
                .filter(|engine| down_until[*engine] <= now)
                .collect();
            if refused || up.is_empty() {
                continue;
            }
            if crashing {
                sends.push(now);
            }
            waiting.push(Waiting {
                entry,
                engine: up[rng.gen_range(0..up.len())],
                names,
                sent_at: now,
                begins_at: now + TimeSpan::from_millis(rng.gen_range(40..400)),
                crashing,
            });
        }
        let crashed: Vec<usize> = waiting
            .iter()
            .filter(|request| request.crashing && request.begins_at <= now)
            .map(|request| request.engine)
            .chain(rng.gen_bool(0.003).then(|| rng.gen_range(0..ENGINES)))
            .collect();
        let by_part = waiting
            .iter()
            .filter(|request| request.crashing && request.begins_at <= now);
        crash_times.extend(by_part.map(|_| now));
        waiting.retain(|request| {
            let names: Vec<&str> = request.names.iter().map(String::as_str).collect();
            let tracker = &mut trackers[request.entry];
            if crashed.contains(&request.engine) {
                let run = run(request.engine, incarnations[request.engine]);
                tracker.note_crash(now, &run, &parts(&names));
                return false;
            }
            if request.begins_at > now {
                return true;
            }
            tracker.note_answer(now, &parts(&names));
            tracker.note_response(&backend(request.engine), request.sent_at);
            false
        });
        for engine in crashed {
            down_until[engine] = now + TimeSpan::from_millis(2_500);
            incarnations[engine] += 1;
        }
        if tick % 10 == 0 {
            for sender in 0..ENTRIES {
                let reports = trackers[sender].next_reports(now);
                for receiver in (0..ENTRIES).filter(|receiver| *receiver != sender) {
                    if rng.gen_bool(0.05) {
                        continue;
                    }
                    for report in &reports {
                        let delayed = now + STEP;
                        trackers[receiver].merge_report(delayed, report.clone());
                    }
                }
            }
        }
    }
    outcome.crashes = crash_times.len();
    if let Some(fifth) = crash_times.get(CRASHES_TO_LEARN - 1) {
        let limit = *fifth + LEARN_TIME;
        outcome.late = sends.iter().filter(|sent| **sent > limit).count();
    }
    outcome
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(33),
        cases: 60,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_crashing_part_is_refused_everywhere_and_sound_requests_are_not(
        seed in 0..100_000_u64,
        crash_rate in 0.005..0.05_f64,
        own in any::<bool>(),
    ) {
        let outcome = play(seed, crash_rate, own);
        prop_assert!(outcome.crashes >= 3, "{} crashes", outcome.crashes);
        prop_assert!(outcome.late <= LATE_SENDS, "{} sent late", outcome.late);
        prop_assert!(
            outcome.refused * 20 <= outcome.sound,
            "{} of {} sound requests refused", outcome.refused, outcome.sound
        );
    }
}

/// Returns a tracker that has heard of a crash of each of 400 parts, at 3.8 s.
fn tracker_with_suspicions() -> PartTracker {
    let mut tracker = PartTracker::default();
    for number in 0..400_u64 {
        let report = SuspectReport {
            fingerprint: RequestFingerprint::of_prompt_part(&format!("part-{number}")),
            crashed: Some(run(number as usize % ENGINES, 1)),
            age: TimeSpan::from_millis(1_200),
        };
        tracker.merge_report(at_ms(5_000), report);
    }
    tracker
}

#[test]
fn an_answer_is_reported_first_among_many_suspicions() {
    let mut tracker = tracker_with_suspicions();
    tracker.note_answer(at_ms(5_010), &parts(&["part-7"]));
    let reports = tracker.next_reports(at_ms(5_020));
    let answered = parts(&["part-7"])[0];
    assert!(
        reports
            .iter()
            .any(|report| report.fingerprint == answered && report.crashed.is_none()),
        "other entries go on refusing the part"
    );
}

#[test]
fn what_an_entry_saw_itself_is_reported_before_what_it_heard() {
    let mut tracker = tracker_with_suspicions();
    tracker.note_crash(at_ms(5_010), &run(3, 1), &parts(&["seen here"]));
    let reports = tracker.next_reports(at_ms(6_100));
    let seen = parts(&["seen here"])[0];
    assert!(reports.iter().any(|report| report.fingerprint == seen));
}

/// DENIED: one crashing request, which is refused by itself, has all others with its part refused.
#[test]
fn the_crashes_of_one_request_are_not_held_against_its_part() {
    let mut requests = CrashTracker::new(CrashOptions::inferred());
    let mut tracker = PartTracker::default();
    let request = RequestFingerprint(7);
    for number in 0..4 {
        let now = at_ms(1_000 * number as u64);
        requests.note_crash(now, &run(number, 1), &[request]);
        tracker.note_crash(now, &run(number, 1), &parts(&["shared"]));
    }
    assert!(requests.is_quarantined(request));
    assert!(is_refused(&tracker, &["shared"]), "as a control");
    let explained = requests.quarantined_crashes();
    let blamed = tracker.blamed_part(&parts(&["shared"]), &explained);
    assert_eq!(blamed, None);
    assert!(tracker.culprits(&explained).is_empty(), "stored");
    // The other side: further crashes under other requests.
    for number in 4..6 {
        let now = at_ms(1_000 * number as u64);
        tracker.note_crash(now, &run(number, 1), &parts(&["shared"]));
    }
    assert!(tracker
        .blamed_part(&parts(&["shared"]), &explained)
        .is_some());
}
