//! Clearings and signs of life that do not reach those who hold the suspicion, or that clear a crash.

use applefold_core::claim::RequestFingerprint;
use applefold_core::id::BackendId;
use applefold_core::quarantine::{
    BackendRun, CrashOptions, CrashTracker, ExplainedCrashes, LifeSigns, PartTracker, SuspectReport,
};
use applefold_core::unit::{TimePoint, TimeSpan};

const SIGN_LIMIT: usize = 16;
const REQUEST: RequestFingerprint = RequestFingerprint(7);

fn at_ms(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

fn backend(number: usize) -> BackendId {
    format!("engine-{number}").parse().expect("a valid name")
}

fn run(number: usize) -> BackendRun {
    BackendRun {
        backend: backend(number),
        incarnation: 1,
    }
}

fn part() -> RequestFingerprint {
    RequestFingerprint::of_prompt_part("part")
}

/// The options of entries without sidecars.
fn options() -> CrashOptions {
    CrashOptions {
        crash_limit: 3,
        count_each_run: true,
        gossip_delay: TimeSpan::from_secs(1),
        gossip_ttl: TimeSpan::from_secs(10),
        suspicion_ttl: TimeSpan::from_secs(60),
        ..CrashOptions::default()
    }
}

/// An entry as the gateway combines them.
#[derive(Default)]
struct Entry {
    tracker: PartTracker,
    signs: LifeSigns,
}

impl Entry {
    fn note_crash(&mut self, now: TimePoint, number: usize) {
        self.signs.note_suspicion(now, &backend(number), now);
        self.tracker.note_crash(now, &run(number), &[part()]);
    }

    fn note_response(&mut self, now: TimePoint, number: usize, sent_at: TimePoint) {
        self.signs.note_response(now, &backend(number), sent_at);
        self.tracker.note_response(&backend(number), sent_at);
    }

    fn send(&mut self, now: TimePoint, to: &mut [&mut Entry]) {
        let (reports, signs) = (
            self.tracker.next_reports(now),
            self.signs.next_reports(now, SIGN_LIMIT),
        );
        for peer in to {
            peer.receive(now, &reports);
            for sign in &signs {
                let sent_at = peer.signs.merge_report(now, sign);
                peer.tracker.note_response(&sign.backend, sent_at);
            }
        }
    }

    fn receive(&mut self, now: TimePoint, reports: &[SuspectReport]) {
        for report in reports {
            let crashed_at = now - report.age;
            if let Some(run) = &report.crashed {
                self.signs.note_suspicion(now, &run.backend, crashed_at);
                if self.signs.is_disproved(&run.backend, crashed_at) {
                    continue;
                }
            }
            self.tracker.merge_report(now, report.clone());
        }
    }

    fn tick(&mut self, now: TimePoint) {
        self.tracker.tick(now);
        self.signs.tick(now);
    }

    fn refuses(&self) -> bool {
        self.tracker
            .blamed_part(&[part()], &ExplainedCrashes::default())
            .is_some()
    }
}

/// Whole requests: a completion that was seen before the suspicion was heard of is not remembered.
#[test]
fn a_completion_before_the_report_of_the_crash_clears_it() {
    let mut holder = CrashTracker::new(options());
    for number in 0..3 {
        holder.note_crash(at_ms(1_000 + 300 * number as u64), &run(number), &[REQUEST]);
    }
    let mut other = CrashTracker::new(options());
    other.note_completion(at_ms(1_800), REQUEST);
    for report in holder.next_reports(at_ms(2_000)) {
        other.merge_report(at_ms(2_000), report);
    }
    assert!(!other.is_quarantined(REQUEST), "refused after a completion");
}

/// Whole requests: of two completions within 30 s, the second does not reach others.
#[test]
fn a_second_completion_clears_the_crashes_since_the_first_at_other_entries() {
    let mut holder = CrashTracker::new(options());
    let mut other = CrashTracker::new(options());
    holder.note_crash(at_ms(500), &run(9), &[REQUEST]);
    holder.note_completion(at_ms(1_000), REQUEST);
    for report in holder.next_reports(at_ms(1_100)) {
        other.merge_report(at_ms(1_100), report);
    }
    for number in 0..3 {
        let now = at_ms(5_000 + 300 * number as u64);
        holder.note_crash(now, &run(number), &[REQUEST]);
    }
    for report in holder.next_reports(at_ms(6_800)) {
        other.merge_report(at_ms(6_800), report);
    }
    assert!(other.is_quarantined(REQUEST));
    holder.note_completion(at_ms(7_000), REQUEST);
    for round in 0..20 {
        let now = at_ms(7_200 + 200 * round);
        for report in holder.next_reports(now) {
            other.merge_report(now, report);
        }
    }
    assert!(!holder.is_quarantined(REQUEST));
    assert!(!other.is_quarantined(REQUEST), "the completion was dropped");
}

/// An answer that takes longer than 10 s, as in a queue, disproves nothing, though it was sent in time.
#[test]
fn a_slow_answer_still_disproves_a_crash() {
    let mut entry = Entry::default();
    for number in 0..3 {
        entry.note_crash(at_ms(1_000 + 300 * number as u64), number);
    }
    entry.tick(at_ms(12_000));
    for number in 0..3 {
        let sent_at = at_ms(1_500 + 300 * number as u64);
        entry.note_response(at_ms(12_100), number, sent_at);
    }
    assert!(
        !entry.refuses(),
        "no sign is taken after 10 s, the refusal lasts 600 s"
    );
}

/// Of two crashes within 50 ms, the later one is never answered with a sign.
#[test]
fn both_of_two_crashes_that_are_close_are_answered() {
    let mut signs = LifeSigns::default();
    let engine = backend(1);
    for sent_ms in [1_020, 1_200] {
        signs.note_response(at_ms(sent_ms + 100), &engine, at_ms(sent_ms));
    }
    let (first, second) = (at_ms(1_000), at_ms(1_040));
    signs.note_suspicion(at_ms(2_100), &engine, first);
    signs.note_suspicion(at_ms(2_100), &engine, second);
    assert!(signs.is_disproved(&engine, second));
    let now = at_ms(2_200);
    let reports = signs.next_reports(now, SIGN_LIMIT);
    let tells = reports.iter().any(|report| now - report.age > second);
    assert!(tells, "this process knows a sign and does not report it");
}

/// A response to a request sent shortly before a crash hides the one to a request sent after it.
#[test]
fn a_sign_just_before_a_crash_does_not_hide_the_one_after_it() {
    let mut signs = LifeSigns::default();
    let engine = backend(1);
    signs.note_response(at_ms(1_100), &engine, at_ms(1_000));
    signs.note_response(at_ms(1_130), &engine, at_ms(1_030));
    signs.note_suspicion(at_ms(2_100), &engine, at_ms(1_010));
    assert!(
        signs.is_disproved(&engine, at_ms(1_010)),
        "the sign was dropped"
    );
    assert!(!signs.next_reports(at_ms(2_200), SIGN_LIMIT).is_empty());
}

/// Plays three breaks of three engines, for which an entry has the disproving answers, until `end_ms`.
/// Another entry that saw the breaks is cut off until `cut_ms`. A third one saw them too and is not.
fn play_cut(cut_ms: u64, end_ms: u64) -> [Entry; 3] {
    let (mut cut, mut answered, mut third) = (Entry::default(), Entry::default(), Entry::default());
    for number in 0..3 {
        let crash_ms = 1_000 + 300 * number as u64;
        cut.note_crash(at_ms(crash_ms), number);
        third.note_crash(at_ms(crash_ms + 10), number);
        answered.note_response(at_ms(crash_ms + 300), number, at_ms(crash_ms + 100));
    }
    for ms in (1_800..end_ms).step_by(200) {
        let now = at_ms(ms);
        third.send(now, &mut [&mut answered]);
        answered.send(now, &mut [&mut third]);
        if ms >= cut_ms {
            cut.send(now, &mut [&mut answered, &mut third]);
            answered.send(now, &mut [&mut cut]);
            third.send(now, &mut [&mut cut]);
        }
        for entry in [&mut cut, &mut answered, &mut third] {
            entry.tick(now);
        }
    }
    [cut, answered, third]
}

/// As a control: entries that hear each other clear what one of them disproves.
#[test]
fn entries_in_touch_clear_what_one_of_them_disproves() {
    let entries = play_cut(1_800, 30_000);
    assert_eq!(entries.map(|entry| entry.refuses()), [false; 3]);
}

/// An entry that was cut off for 4 s never hears of the signs that were reported meanwhile.
#[test]
fn a_healed_entry_hears_of_signs_reported_while_it_was_cut_off() {
    let entries = play_cut(6_000, 9_000);
    assert_eq!(entries.map(|entry| entry.refuses()), [false; 3]);
}

/// What one entry was not told within 12 s it teaches all others, who have forgotten the signs.
#[test]
fn a_healed_entry_does_not_spread_what_others_had_disproved() {
    let entries = play_cut(6_000, 20_000);
    assert_eq!(entries.map(|entry| entry.refuses()), [false; 3]);
}

/// Many suspicions make an entry forget which parts answers began on.
#[test]
fn answers_outlive_a_wave_of_suspicions() {
    let mut tracker = PartTracker::default();
    tracker.note_answer(at_ms(3_000), &[part()]);
    for number in 0..4_097_usize {
        let report = SuspectReport {
            fingerprint: RequestFingerprint::of_prompt_part(&format!("other-{number}")),
            crashed: Some(run(number % 1_500)),
            age: TimeSpan::from_millis(1_200),
        };
        tracker.merge_report(at_ms(4_000), report);
    }
    for number in 0..3 {
        let report = SuspectReport {
            fingerprint: part(),
            crashed: Some(run(number)),
            age: TimeSpan::from_millis(4_000 - 300 * number as u64),
        };
        tracker.merge_report(at_ms(5_000), report);
    }
    let refused = tracker
        .blamed_part(&[part()], &ExplainedCrashes::default())
        .is_some();
    assert!(!refused, "refused for crashes before an answer of 2 s ago");
}

/// BUDGET: a break that is seen 1.6 s late is cleared by the engine that has come back.
#[test]
fn a_crash_that_is_seen_late_is_not_cleared_by_the_restarted_engine() {
    let mut entry = Entry::default();
    for number in 0..3 {
        let crash_ms = 1_000 + 3_000 * number as u64;
        entry.note_crash(at_ms(crash_ms + 1_600), number);
        // Back after 2 s; another entry speaks to it.
        entry.note_response(at_ms(crash_ms + 2_300), number, at_ms(crash_ms + 2_200));
    }
    assert!(entry.refuses(), "the crashing part goes on");
}

/// BUDGET: signs whose transit is overestimated by 2 s clear real crashes of engines that are back.
#[test]
fn an_overestimated_transit_does_not_clear_a_real_crash() {
    let mut entry = Entry::default();
    for number in 0..3 {
        let crash_ms = 1_000 + 3_000 * number as u64;
        entry.note_crash(at_ms(crash_ms), number);
        let mut other = LifeSigns::default();
        other.note_suspicion(
            at_ms(crash_ms + 1_200),
            &backend(number),
            at_ms(crash_ms + 2_000),
        );
        other.note_response(
            at_ms(crash_ms + 2_700),
            &backend(number),
            at_ms(crash_ms + 2_600),
        );
        let now = at_ms(crash_ms + 2_800);
        for mut sign in other.next_reports(now, SIGN_LIMIT) {
            sign.age += TimeSpan::from_secs(2);
            let sent_at = entry.signs.merge_report(now, &sign);
            entry.tracker.note_response(&sign.backend, sent_at);
        }
    }
    assert!(entry.refuses(), "the crashing part goes on");
}

/// BUDGET, as a control: exact clocks and an engine that is back after 1.05 s clear nothing.
#[test]
fn a_restarted_engine_clears_no_crash() {
    let mut entry = Entry::default();
    for number in 0..3 {
        let crash_ms = 1_000 + 3_000 * number as u64;
        entry.note_response(at_ms(crash_ms - 10), number, at_ms(crash_ms - 100));
        entry.note_crash(at_ms(crash_ms), number);
        entry.note_response(at_ms(crash_ms + 1_200), number, at_ms(crash_ms + 1_050));
    }
    assert!(entry.refuses());
}

/// A stored record, kept for 600 s, comes back once the answer that cleared it is forgotten after 60 s.
#[test]
fn an_answer_outlives_the_record_of_the_quarantine_that_it_ended() {
    let mut tracker = PartTracker::default();
    for number in 0..3 {
        tracker.note_crash(at_ms(1_000 + 300 * number as u64), &run(number), &[part()]);
    }
    let record = tracker.reports_for(part(), at_ms(3_000));
    tracker.note_answer(at_ms(4_000), &[part()]);
    for read_ms in [6_000, 66_000] {
        tracker.tick(at_ms(read_ms));
        for report in &record {
            let mut report = report.clone();
            report.age += TimeSpan::from_millis(read_ms - 3_000);
            tracker.merge_report(at_ms(read_ms), report);
        }
        let refused = tracker
            .blamed_part(&[part()], &ExplainedCrashes::default())
            .is_some();
        assert!(!refused, "refused again at {read_ms} ms");
    }
}
