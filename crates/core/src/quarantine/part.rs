//! Quarantine of prompt parts that crash the engines that begin to write an answer on them.
//!
//! Requests with such a part have nothing else in common, so their fingerprints never add up. Crashes
//! are counted by part instead, since the last answer that began on the part. Parts that are always
//! sent together with it, and parts of requests that ran beside it, are counted with it: a part whose
//! crashes another quarantined part explains is not held against a request without that part. Neither is
//! one whose crashes requests explain that are quarantined themselves.
//! See [docs/design/answers.md](../../../../docs/design/answers.md#prompt-parts).

use std::collections::{BTreeMap, BTreeSet};

use super::life::gap;
use super::recent::RecentCrashes;
use super::row::{CrashFilter, CrashSpan, SuspectRow};
use super::turns::{DueReports, ReportTurns};
use super::{
    BackendRun, RunFate, SettledCrash, SuspectReport, DISPROOF_WINDOW, OUTAGE_SPAN,
    SAME_EVENT_TOLERANCE,
};
use crate::claim::RequestFingerprint;
use crate::id::BackendId;
use crate::unit::{TimePoint, TimeSpan};

/// The distinct crashes at which a part is quarantined.
const CRASH_LIMIT: usize = 3;
/// Crashes that begin within this time of each other count as one, since several backend servers
/// may fail together for a reason of their own.
const BURST_SPAN: TimeSpan = TimeSpan::from_millis(200);
/// The crashes of a quarantined part that no quarantined request explains, at which it is held
/// against other requests: one more than a crash beside it.
const UNEXPLAINED_LIMIT: usize = 2;
/// How long a part counts as sound after an answer began on it.
const SOUND_TTL: TimeSpan = TimeSpan::from_secs(60);
/// How long the crashes of a part that is not quarantined are remembered.
const SUSPICION_TTL: TimeSpan = TimeSpan::from_secs(60);
/// How long after its last crash a part is quarantined.
const QUARANTINE_TTL: TimeSpan = TimeSpan::from_secs(600);
/// The age up to which a suspicion is reported: longer than an entry takes to restart.
const REPORT_TTL: TimeSpan = TimeSpan::from_secs(10);
/// How long it is reported that an answer has begun on a suspected part.
const ANSWER_REPORT_TIME: TimeSpan = TimeSpan::from_secs(2);
/// The most reports sent at one time.
const REPORT_LIMIT: usize = 32;
/// The most parts tracked.
const MAX_PARTS: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct PartRow {
    /// The crashes since the last answer that is known to have begun, and when that was.
    suspect: SuspectRow,
    /// When the last answer began here. Answers at other processes are not passed on, since each
    /// process reports its own to all.
    answered_here: Option<TimePoint>,
    /// The latest crash that this process saw or learned of.
    latest_crash: Option<HeardCrash>,
}

/// When a backend server crashed, and when this process heard of it.
#[derive(Clone, Copy, Debug)]
struct HeardCrash {
    at: TimePoint,
    heard_at: TimePoint,
}

/// What a row is kept for when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowClass {
    Quarantined,
    Answered,
    Suspected,
}

impl RowClass {
    /// Returns how many rows of this class are kept if this many may be.
    const fn share_of(self, room: usize) -> usize {
        match self {
            Self::Quarantined | Self::Suspected => room,
            Self::Answered => room / 2,
        }
    }
}

impl PartRow {
    fn class(&self) -> RowClass {
        match (self.is_quarantined(), self.suspect.completed) {
            (true, _) => RowClass::Quarantined,
            (false, Some(_)) => RowClass::Answered,
            (false, None) => RowClass::Suspected,
        }
    }

    /// Returns the number of crashes, of which those in one burst count once. If the part is known to
    /// be sound, those in one outage do.
    fn crash_count(&self, filter: CrashFilter) -> usize {
        let span = match self.suspect.is_sound_before_crashes(SOUND_TTL) {
            true => OUTAGE_SPAN,
            false => BURST_SPAN,
        };
        self.suspect.crashes_apart(span, filter)
    }

    /// Returns whether enough of the crashes have no other explanation.
    fn has_own_evidence(&self, explained: &ExplainedCrashes) -> bool {
        let crashes = self.crashes();
        let unexplained = crashes.filter(|(run, crash)| !explained.contains(run, crash));
        unexplained.count() >= UNEXPLAINED_LIMIT
    }

    fn is_quarantined(&self) -> bool {
        self.has_crashes(CrashFilter::Suspected)
    }

    fn has_crashes(&self, filter: CrashFilter) -> bool {
        self.suspect.crashes(filter) >= CRASH_LIMIT && self.crash_count(filter) >= CRASH_LIMIT
    }

    fn crashes(&self) -> impl Iterator<Item = (&BackendRun, &CrashSpan)> {
        self.suspect.crashes.iter()
    }

    fn is_sound(&self, now: TimePoint) -> bool {
        let answered = self.suspect.completed;
        answered.is_some_and(|at| now.since(at) < SOUND_TTL)
    }

    /// Returns whether each crash of this part is one of `other` too.
    fn is_explained_by(&self, other: &PartRow) -> bool {
        self.crashes().all(|(run, crash)| {
            other.crashes().any(|(other_run, other_crash)| {
                run.backend == other_run.backend && is_same_crash(crash.first, other_crash.first)
            })
        })
    }

    fn note_crash(&mut self, run: BackendRun, at: TimePoint, now: TimePoint) {
        self.suspect.note(Some(run), at);
        if self.latest_crash.is_none_or(|latest| latest.at < at) {
            self.latest_crash = Some(HeardCrash { at, heard_at: now });
        }
    }

    /// Returns when the last answer began here, if others should hear of it now: the part is
    /// suspected of a crash before.
    fn answer_to_report(&self, now: TimePoint) -> Option<TimePoint> {
        let crash = self.latest_crash?;
        let answered = self.answered_here.filter(|at| *at > crash.at)?;
        let news_at = answered.max(crash.heard_at);
        (now.since(news_at) < ANSWER_REPORT_TIME).then_some(answered)
    }
}

/// Returns whether crashes of one backend server that began at these times are the same.
fn is_same_crash(one: TimePoint, other: TimePoint) -> bool {
    gap(one, other) < DISPROOF_WINDOW
}

/// Crashes that requests explain which are quarantined themselves.
#[derive(Debug, Default)]
pub struct ExplainedCrashes(BTreeMap<BackendId, Vec<TimePoint>>);

impl ExplainedCrashes {
    pub(super) fn new<'a, Crashes>(crashes: Crashes) -> Self
    where
        Crashes: Iterator<Item = (&'a BackendRun, &'a CrashSpan)>,
    {
        let mut explained = Self::default();
        for (run, crash) in crashes {
            let times = explained.0.entry(run.backend.clone()).or_default();
            times.push(crash.first);
        }
        explained
    }

    fn contains(&self, run: &BackendRun, crash: &CrashSpan) -> bool {
        let times = self.0.get(&run.backend);
        let mut times = times.into_iter().flatten();
        times.any(|time| is_same_crash(*time, crash.first))
    }
}

/// Counts crashes of backend servers for each part of the prompts that they were to answer.
#[derive(Debug, Default)]
pub struct PartTracker {
    rows: BTreeMap<RequestFingerprint, PartRow>,
    recent: RecentCrashes,
    turns: ReportTurns,
}

impl PartTracker {
    /// Returns how many parts are tracked.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Records that a backend server crashed before an answer began on a prompt with these parts.
    /// Parts that are known to be sound are suspected only if all of them are. Returns the suspected
    /// ones.
    pub fn note_crash(
        &mut self,
        now: TimePoint,
        crashed: &BackendRun,
        parts: &[RequestFingerprint],
    ) -> Vec<RequestFingerprint> {
        let is_sound = |part: &RequestFingerprint| {
            let row = self.rows.get(part);
            row.is_some_and(|row| row.is_sound(now))
        };
        let mut suspects: Vec<_> = parts
            .iter()
            .copied()
            .filter(|part| !is_sound(part))
            .collect();
        if suspects.is_empty() {
            suspects = parts.to_vec();
        }
        for part in &suspects {
            let row = self.rows.entry(*part).or_default();
            let run = row.suspect.run_at(crashed.clone(), now);
            row.note_crash(run.clone(), now, now);
            row.suspect.mark_seen(&run);
            self.recent.push(now, now, *part, run);
        }
        self.limit_rows(now);
        suspects
    }

    /// Records that an answer has begun on a prompt with these parts, which shows that none of them
    /// crashes engines. Returns those that were suspected.
    pub fn note_answer(
        &mut self,
        now: TimePoint,
        parts: &[RequestFingerprint],
    ) -> Vec<RequestFingerprint> {
        let mut cleared = Vec::new();
        for part in parts {
            let row = self.rows.entry(*part).or_default();
            if !row.suspect.crashes.is_empty() {
                cleared.push(*part);
            }
            row.suspect.note(None, now);
            row.answered_here = Some(now);
        }
        self.limit_rows(now);
        cleared
    }

    /// Records that `backend` has responded to a request that was sent at `sent_at`, here or at
    /// another process, so that it has not crashed shortly before. Returns the parts that have one
    /// suspected crash less.
    pub fn note_response(
        &mut self,
        backend: &BackendId,
        sent_at: TimePoint,
    ) -> Vec<RequestFingerprint> {
        let mut disproved = self.recent.take_disproved(backend, sent_at);
        disproved.retain(|(part, run)| {
            let row = self.rows.get_mut(part);
            row.is_some_and(|row| row.suspect.remove_before(run, sent_at))
        });
        disproved.into_iter().map(|(part, _)| part).collect()
    }

    /// Settles suspicions by what has become of the incarnations; returns those that are settled now.
    pub fn settle<Fate>(&mut self, fate: Fate) -> Vec<SettledCrash>
    where
        Fate: Fn(&BackendRun, TimePoint) -> RunFate,
    {
        let mut settled = Vec::new();
        for (part, row) in &mut self.rows {
            let crashes = row.suspect.settle(&fate).into_iter();
            settled.extend(crashes.map(|(run, fate)| SettledCrash {
                fingerprint: *part,
                run,
                fate,
            }));
        }
        settled
    }

    /// Returns whether enough crashes of a part are settled for a final refusal.
    pub fn is_settled(&self, part: RequestFingerprint) -> bool {
        let row = self.rows.get(&part);
        row.is_some_and(|row| row.has_crashes(CrashFilter::Ended))
    }

    /// Merges a report of another process; returns whether it was new.
    pub fn merge_report(&mut self, now: TimePoint, report: SuspectReport) -> bool {
        let at = now - report.age;
        // A report that is about to expire everywhere must not be taken as a new one.
        if report.age + SAME_EVENT_TOLERANCE >= QUARANTINE_TTL {
            return false;
        }
        let row = self.rows.entry(report.fingerprint).or_default();
        let new = match report.crashed {
            None => {
                let new = !row.suspect.crashes.is_empty();
                row.suspect.note(None, at);
                new
            }
            Some(run) => {
                let known = row.suspect.contains(Some(&run), at);
                if !known {
                    row.note_crash(run.clone(), at, now);
                }
                let new = !known && row.suspect.crashes.contains_key(&run);
                if new {
                    self.recent.push(now, at, report.fingerprint, run);
                }
                new
            }
        };
        self.limit_rows(now);
        new
    }

    /// Returns whether any of these parts is quarantined.
    pub fn has_quarantined(&self, parts: &[RequestFingerprint]) -> bool {
        parts.iter().any(|part| self.is_quarantined(*part))
    }

    /// Returns the part for which a prompt with these parts is refused, if there is one. Crashes that
    /// are `explained` by quarantined requests count little.
    pub fn blamed_part(
        &self,
        parts: &[RequestFingerprint],
        explained: &ExplainedCrashes,
    ) -> Option<RequestFingerprint> {
        let mut quarantined = parts.iter().filter(|part| self.is_quarantined(**part));
        let blamed = quarantined.find(|part| {
            let row = &self.rows[*part];
            let mut others = self.quarantined_rows();
            let has_better = others
                .any(|(other, other_row)| !parts.contains(other) && row.is_explained_by(other_row));
            !has_better && row.has_own_evidence(explained)
        });
        blamed.copied()
    }

    /// Returns how many crashes a part is suspected of.
    pub fn crash_count(&self, part: RequestFingerprint) -> usize {
        let row = self.rows.get(&part);
        row.map_or(0, |row| row.crash_count(CrashFilter::Suspected))
    }

    /// Returns the time of the last crash that a part is suspected of.
    pub fn last_crash(&self, part: RequestFingerprint) -> Option<TimePoint> {
        let row = self.rows.get(&part)?;
        row.crashes().map(|(_, crash)| crash.last).max()
    }

    /// Returns when the last answer began on a part, if that is remembered.
    pub fn cleared_at(&self, part: RequestFingerprint) -> Option<TimePoint> {
        self.rows.get(&part)?.suspect.completed
    }

    /// Returns the number of crashes at which a part is quarantined.
    pub const fn crash_limit(&self) -> usize {
        CRASH_LIMIT
    }

    /// Returns the quarantined parts that no other part explains, or at most equally well while
    /// neither was sound before, and no quarantined request either.
    pub fn culprits(&self, explained: &ExplainedCrashes) -> Vec<RequestFingerprint> {
        let quarantined = self.quarantined_rows();
        let quarantined = quarantined.filter(|(_, row)| row.has_own_evidence(explained));
        let quarantined: Vec<_> = quarantined.collect();
        let is_culprit = |(part, row): &(&RequestFingerprint, &PartRow)| {
            !quarantined.iter().any(|(other, other_row)| {
                let equal = other_row.is_explained_by(row);
                let was_sound = row.suspect.completed.is_some();
                let other_was_sound = other_row.suspect.completed.is_some();
                let is_better = !equal || (was_sound && !other_was_sound);
                other != part && is_better && row.is_explained_by(other_row)
            })
        };
        let culprits = quarantined.iter().filter(|entry| is_culprit(entry));
        culprits.map(|(part, _)| **part).collect()
    }

    /// Returns the reports to send now. If there are more than fit, they take turns, in the order of
    /// [`DueReports`].
    pub fn next_reports(&mut self, now: TimePoint) -> Vec<SuspectReport> {
        let mut due = DueReports::default();
        let suspected = |row: &PartRow| row.latest_crash.is_some();
        for (part, row) in self.rows.iter().filter(|(_, row)| suspected(row)) {
            let reports = row.suspect.reports(*part, now);
            let crashes = reports.filter(|report| report.crashed.is_some());
            if row.is_quarantined() {
                due.quarantined.extend(crashes);
            } else {
                let is_due = |report: &SuspectReport| {
                    report.age >= DISPROOF_WINDOW && report.age < REPORT_TTL
                };
                for report in crashes.filter(is_due) {
                    due.push_suspicion(&row.suspect, report);
                }
            }
            let answered = row.answer_to_report(now).map(|at| SuspectReport {
                fingerprint: *part,
                crashed: None,
                age: now.since(at),
            });
            due.cleared.extend(answered);
        }
        self.turns.take(due, REPORT_LIMIT)
    }

    /// Returns a report for each crash that a part is suspected of.
    pub fn reports_for(&self, part: RequestFingerprint, now: TimePoint) -> Vec<SuspectReport> {
        let row = self.rows.get(&part).into_iter();
        let reports = row.flat_map(|row| row.suspect.reports(part, now));
        reports.filter(|report| report.crashed.is_some()).collect()
    }

    /// Returns how long a part stays quarantined after its last crash.
    pub const fn retention(&self) -> TimeSpan {
        QUARANTINE_TTL
    }

    /// Removes expired crashes and answers.
    pub fn tick(&mut self, now: TimePoint) {
        self.recent.tick(now);
        for row in self.rows.values_mut() {
            let ttl = match row.is_quarantined() {
                true => QUARANTINE_TTL,
                false => SUSPICION_TTL,
            };
            let suspect = &mut row.suspect;
            suspect
                .crashes
                .retain(|_, crash| now.since(crash.last) < ttl);
            // Another process may report a crash before the answer as long as it is quarantined.
            let answer_ttl = match row.latest_crash {
                Some(_) => QUARANTINE_TTL,
                None => SOUND_TTL,
            };
            suspect.completed = suspect.completed.filter(|at| now.since(*at) < answer_ttl);
        }
        self.rows
            .retain(|_, row| row.suspect.last_change().is_some());
    }

    fn is_quarantined(&self, part: RequestFingerprint) -> bool {
        self.rows.get(&part).is_some_and(PartRow::is_quarantined)
    }

    fn quarantined_rows(&self) -> impl Iterator<Item = (&RequestFingerprint, &PartRow)> {
        self.rows.iter().filter(|(_, row)| row.is_quarantined())
    }

    /// Drops expired rows once there are too many, and then those with the oldest last change, so that
    /// half of the room is left. Parts on which an answer began and those that are only suspected have
    /// separate room, since a wave of suspicions must not drive out what disproves them. Quarantined
    /// parts are dropped last.
    fn limit_rows(&mut self, now: TimePoint) {
        if self.rows.len() <= MAX_PARTS {
            return;
        }
        self.tick(now);
        let classes = [
            RowClass::Quarantined,
            RowClass::Answered,
            RowClass::Suspected,
        ];
        let mut room = MAX_PARTS / 2;
        let mut kept = BTreeSet::new();
        for class in classes {
            let rows = self.rows.iter().filter(|(_, row)| row.class() == class);
            let mut newest: Vec<_> = rows
                .map(|(part, row)| (row.suspect.last_change(), *part))
                .collect();
            newest.sort_unstable_by(|one, other| other.cmp(one));
            newest.truncate(class.share_of(room));
            room -= newest.len();
            kept.extend(newest.into_iter().map(|(_, part)| part));
        }
        self.rows.retain(|part, _| kept.contains(part));
    }
}
