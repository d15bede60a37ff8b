//! Quarantine of requests that crash the backend servers that run them.
//!
//! Processes count crashes by request fingerprint and gossip the counts. A
//! fingerprint that was running when as many backend servers as
//! [`CrashOptions::crash_limit`] crashed is refused everywhere for a time. The other
//! requests that were running then are suspects too. Suspects are isolated from each
//! other until they complete, so that a further crash does not quarantine them all.
//! See [docs/design/answers.md](../../../docs/design/answers.md#requests-that-crash-backend-servers), and
//! [docs/design/quarantine.md](../../../docs/design/quarantine.md) for what is evidence and what is not.

mod fate;
mod life;
mod part;
mod recent;
mod row;
mod sound;
mod turns;

use std::collections::BTreeMap;

use crate::claim::RequestFingerprint;
use crate::code::{CallRefusal, ResultCode};
use crate::id::BackendId;
use crate::unit::{TimePoint, TimeSpan};

use recent::RecentCrashes;
use row::{CrashFilter, SuspectRow};
use sound::SoundMemory;
use turns::{DueReports, ReportTurns};

pub use fate::{registration_life, ListProof, RunFate, RunListing};
pub use life::{LifeReport, LifeSigns};
pub use part::{ExplainedCrashes, PartTracker};

/// When a caller may retry a suspect that was refused to isolate it.
const RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// A report within this time of a known event is about the same event. Each hop of the gossip delays
/// reports, and this must not extend the life of an event.
const SAME_EVENT_TOLERANCE: TimeSpan = TimeSpan::from_secs(30);

/// A backend server that answers a request sent within this time after a connection to it broke has
/// not crashed: one that crashes takes longer to serve again.
const DISPROOF_WINDOW: TimeSpan = TimeSpan::from_secs(1);

/// How long the completion of a fingerprint without crashes is remembered at least: longer than a
/// crash is reported that is not quarantined.
const COMPLETION_RETENTION: TimeSpan = TimeSpan::from_secs(12);

/// Of a fingerprint that is known to be sound, crashes within this time count as one, since what
/// fails there is the fleet.
const OUTAGE_SPAN: TimeSpan = TimeSpan::from_secs(2);

/// One incarnation of a backend server, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendRun {
    /// The backend server.
    pub backend: BackendId,
    /// The number that distinguishes its incarnations, such as its start time; zero if unknown.
    pub incarnation: u64,
}

impl From<BackendId> for BackendRun {
    fn from(backend: BackendId) -> Self {
        Self {
            backend,
            incarnation: 0,
        }
    }
}

/// A suspicion that has been settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledCrash {
    /// The fingerprint of the request or prompt part.
    pub fingerprint: RequestFingerprint,
    /// The incarnation that was suspected of having crashed.
    pub run: BackendRun,
    /// What has become of it.
    pub fate: RunFate,
}

/// The limits and times of a [`CrashTracker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashOptions {
    /// The number of crashes at which a fingerprint is quarantined.
    pub crash_limit: usize,
    /// Whether crashes are observed. Those that are inferred from a broken connection are suspicions
    /// until [`CrashTracker::settle`] has settled them.
    pub observed: bool,
    /// Whether each crash of one backend server counts. If not, a faulty machine alone cannot
    /// quarantine a request.
    pub count_each_run: bool,
    /// How long after its last crash a fingerprint is quarantined.
    pub quarantine_ttl: TimeSpan,
    /// How long the crashes of a fingerprint that is not quarantined are remembered.
    pub suspicion_ttl: TimeSpan,
    /// The most fingerprints tracked.
    pub max_fingerprints: usize,
    /// Of the suspects of one backend server's crashes, one in this many may run together on a
    /// backend server, and always at least one.
    pub isolation_divisor: usize,
    /// The most reports sent at one time.
    pub gossip_limit: usize,
    /// The age at which a suspicion is reported, so that an answer of the backend server can still
    /// disprove it. A quarantine is reported at once, since the reporting process may end within
    /// that time.
    pub gossip_delay: TimeSpan,
    /// The age up to which a suspicion is reported. A quarantine is reported while it lasts.
    pub gossip_ttl: TimeSpan,
    /// How long a fingerprint counts as sound after it completed. Zero if its crashes are observed
    /// and not inferred.
    pub sound_ttl: TimeSpan,
}

impl CrashOptions {
    /// Returns the options for crashes that are inferred from closed connections. They are weaker
    /// evidence than a crash that a sidecar observes: a request is quarantined one crash later, fewer
    /// crashes than that are forgotten sooner, and an earlier completion counts for it.
    pub fn inferred() -> Self {
        Self {
            crash_limit: 3,
            observed: false,
            count_each_run: true,
            gossip_delay: DISPROOF_WINDOW,
            gossip_ttl: TimeSpan::from_secs(10),
            suspicion_ttl: TimeSpan::from_secs(60),
            sound_ttl: TimeSpan::from_secs(600),
            ..Self::default()
        }
    }
}

impl Default for CrashOptions {
    fn default() -> Self {
        Self {
            crash_limit: 2,
            observed: true,
            count_each_run: false,
            quarantine_ttl: TimeSpan::from_secs(600),
            suspicion_ttl: TimeSpan::from_secs(600),
            max_fingerprints: 4_096,
            isolation_divisor: 8,
            gossip_limit: 32,
            gossip_delay: TimeSpan::ZERO,
            gossip_ttl: TimeSpan::from_secs(600),
            sound_ttl: TimeSpan::ZERO,
        }
    }
}

/// A report about a fingerprint that processes gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// The request's fingerprint.
    pub fingerprint: RequestFingerprint,
    /// The incarnation of a backend server that crashed while running it; `None` if the request
    /// completed.
    pub crashed: Option<BackendRun>,
    /// How long ago that happened.
    pub age: TimeSpan,
}

/// Counts the crashes of backend servers for each fingerprint that they were running.
#[derive(Debug)]
pub struct CrashTracker {
    options: CrashOptions,
    rows: BTreeMap<RequestFingerprint, SuspectRow>,
    /// When fingerprints completed last, in case that a crash is seen or reported.
    completions: SoundMemory,
    recent: RecentCrashes,
    turns: ReportTurns,
}

impl CrashTracker {
    /// Creates a tracker without crashes.
    pub fn new(options: CrashOptions) -> Self {
        Self {
            options,
            rows: BTreeMap::new(),
            completions: SoundMemory::new(options.max_fingerprints),
            recent: RecentCrashes::default(),
            turns: ReportTurns::default(),
        }
    }

    /// Returns how many fingerprints are tracked.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Records that a backend server crashed while it ran requests with these fingerprints.
    pub fn note_crash(
        &mut self,
        now: TimePoint,
        crashed: &BackendRun,
        running: &[RequestFingerprint],
    ) {
        for fingerprint in running {
            self.recall_completion(now, *fingerprint);
            let row = self.rows.get(fingerprint);
            let run = match (row, self.options.count_each_run) {
                (Some(row), true) => row.run_at(crashed.clone(), now),
                (None, true) => crashed.clone(),
                (_, false) => crashed.backend.clone().into(),
            };
            self.note(now, *fingerprint, Some(run.clone()), now);
            if let Some(row) = self.rows.get_mut(fingerprint) {
                row.mark_seen(&run);
            }
            self.recent.push(now, now, *fingerprint, run);
        }
    }

    /// Records that a request completed, which clears its fingerprint.
    pub fn note_completion(&mut self, now: TimePoint, fingerprint: RequestFingerprint) {
        if self.rows.contains_key(&fingerprint) {
            self.note(now, fingerprint, None, now);
        }
        self.completions.insert(fingerprint, now);
    }

    /// Records that `backend` has answered a request that was sent at `sent_at`, here or at another
    /// process. This disproves a crash that was recorded for it less than a second before: only a
    /// connection broke. An answer to an earlier request proves nothing, since it may have been
    /// under way when the backend server crashed.
    ///
    /// Returns the fingerprints that have one suspected crash less.
    pub fn note_answer(
        &mut self,
        backend: &BackendId,
        sent_at: TimePoint,
    ) -> Vec<RequestFingerprint> {
        let mut cleared = self.recent.take_disproved(backend, sent_at);
        cleared.retain(|(fingerprint, run)| {
            let row = self.rows.get_mut(fingerprint);
            row.is_some_and(|row| row.remove_before(run, sent_at))
        });
        self.rows.retain(|_, row| row.last_change().is_some());
        let cleared = cleared.into_iter().map(|(fingerprint, _)| fingerprint);
        cleared.collect()
    }

    /// Settles suspicions by what has become of the incarnations; returns those that are settled now.
    pub fn settle<Fate>(&mut self, fate: Fate) -> Vec<SettledCrash>
    where
        Fate: Fn(&BackendRun, TimePoint) -> RunFate,
    {
        let mut settled = Vec::new();
        for (fingerprint, row) in &mut self.rows {
            let crashes = row.settle(&fate).into_iter();
            settled.extend(crashes.map(|(run, fate)| SettledCrash {
                fingerprint: *fingerprint,
                run,
                fate,
            }));
        }
        self.rows.retain(|_, row| row.last_change().is_some());
        settled
    }

    /// Returns whether enough crashes of a fingerprint are settled for a final refusal.
    pub fn is_settled(&self, fingerprint: RequestFingerprint) -> bool {
        let filter = match self.options.observed {
            true => CrashFilter::Suspected,
            false => CrashFilter::Ended,
        };
        let row = self.rows.get(&fingerprint);
        row.is_some_and(|row| evidence(row, &self.options, filter) >= self.options.crash_limit)
    }

    /// Merges a report of another process; returns whether it was new.
    pub fn merge_report(&mut self, now: TimePoint, report: SuspectReport) -> bool {
        let at = now - report.age;
        let row = self.rows.get(&report.fingerprint);
        let known = row.is_some_and(|row| row.contains(report.crashed.as_ref(), at));
        // A report that is about to expire everywhere must not be taken as a new one.
        let unexpired = report.age + SAME_EVENT_TOLERANCE < self.options.quarantine_ttl;
        let new = unexpired && !known;
        if new {
            self.recall_completion(now, report.fingerprint);
            if let Some(run) = &report.crashed {
                self.recent.push(now, at, report.fingerprint, run.clone());
            }
            self.note(now, report.fingerprint, report.crashed, at);
        }
        new
    }

    /// Returns how many crashes a fingerprint is suspected of. If it is known to be sound, those that
    /// are close together count as one.
    pub fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        let row = self.rows.get(&fingerprint);
        row.map_or(0, |row| self.evidence(row))
    }

    /// Returns whether a fingerprint is quarantined.
    pub fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.crash_count(fingerprint) >= self.options.crash_limit
    }

    /// Returns the time of the last completion that cleared a fingerprint, if it is remembered.
    pub fn cleared_at(&self, fingerprint: RequestFingerprint) -> Option<TimePoint> {
        self.rows.get(&fingerprint)?.completed
    }

    /// Returns the number of crashes at which a fingerprint is quarantined.
    pub fn crash_limit(&self) -> usize {
        self.options.crash_limit
    }

    /// Returns the quarantined fingerprints.
    pub fn quarantined(&self) -> impl Iterator<Item = RequestFingerprint> + '_ {
        let fingerprints = self.rows.keys().copied();
        fingerprints.filter(|fingerprint| self.is_quarantined(*fingerprint))
    }

    /// Returns the crashes of the quarantined fingerprints, which need no other explanation.
    pub fn quarantined_crashes(&self) -> ExplainedCrashes {
        let rows = self.rows.values();
        let quarantined = rows.filter(|row| self.evidence(row) >= self.options.crash_limit);
        ExplainedCrashes::new(quarantined.flat_map(|row| row.crashes.iter()))
    }

    /// Returns the time of the last crash that a fingerprint is suspected of.
    pub fn last_crash(&self, fingerprint: RequestFingerprint) -> Option<TimePoint> {
        let row = self.rows.get(&fingerprint)?;
        row.crashes.values().map(|crash| crash.last).max()
    }

    /// Returns the reports to send now. If there are more than [`CrashOptions::gossip_limit`], they
    /// take turns, in the order of [`DueReports`].
    pub fn next_reports(&mut self, now: TimePoint) -> Vec<SuspectReport> {
        let mut due = DueReports::default();
        let options = self.options;
        for (fingerprint, row) in &self.rows {
            let reports = row.reports(*fingerprint, now);
            if self.is_quarantined(*fingerprint) {
                due.quarantined.extend(reports);
                continue;
            }
            let is_due = |report: &SuspectReport| {
                let may_be_disproved = report.crashed.is_some();
                let delay = if may_be_disproved {
                    options.gossip_delay
                } else {
                    TimeSpan::ZERO
                };
                report.age >= delay && report.age < options.gossip_ttl
            };
            // Others that hear of the crash have to know that the fingerprint completed before it.
            let last_crash = row.crashes.values().map(|crash| crash.last).max();
            let is_news = |at: TimePoint| now.since(at) < options.gossip_ttl;
            let is_suspected = last_crash.is_some_and(is_news);
            let is_due = |report: &SuspectReport| {
                is_due(report) || (report.crashed.is_none() && is_suspected)
            };
            for report in reports.filter(is_due) {
                match report.crashed {
                    None => due.cleared.push(report),
                    Some(_) => due.push_suspicion(row, report),
                }
            }
        }
        self.turns.take(due, options.gossip_limit)
    }

    /// Returns all reports on one fingerprint.
    pub fn reports_for(
        &self,
        fingerprint: RequestFingerprint,
        now: TimePoint,
    ) -> Vec<SuspectReport> {
        let row = self.rows.get(&fingerprint).into_iter();
        row.flat_map(|row| row.reports(fingerprint, now)).collect()
    }

    /// Decides whether a request may run on a backend server beside those that `running` lists.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::RequestQuarantined`] a quarantined request, with
    /// [`ResultCode::RequestSuspected`] one whose crashes are not settled yet, and with
    /// [`ResultCode::BackendBusy`] a suspect beside as many other suspects as allowed.
    pub fn admit(
        &self,
        fingerprint: RequestFingerprint,
        running: &[RequestFingerprint],
    ) -> Result<(), CallRefusal> {
        let Some(row) = self.rows.get(&fingerprint) else {
            return Ok(());
        };
        if self.is_quarantined(fingerprint) {
            return Err(match self.is_settled(fingerprint) {
                true => CallRefusal::permanent(ResultCode::RequestQuarantined),
                false => CallRefusal::retryable(ResultCode::RequestSuspected, RETRY_AFTER),
            });
        }
        let suspects = running.iter().filter(|other| self.is_suspect(**other));
        let limits = row
            .crashes
            .keys()
            .map(|run| self.max_concurrent_suspects(&run.backend));
        match limits.min() {
            Some(limit) if suspects.count() >= limit => {
                let refusal = CallRefusal::retryable(ResultCode::BackendBusy, RETRY_AFTER);
                Err(refusal)
            }
            _ => Ok(()),
        }
    }

    /// Removes expired crashes and completions.
    pub fn tick(&mut self, now: TimePoint) {
        self.recent.tick(now);
        let options = self.options;
        let retention = options.sound_ttl.max(COMPLETION_RETENTION);
        self.completions.tick(now, retention);
        for row in self.rows.values_mut() {
            let ttl = match evidence(row, &options, CrashFilter::Suspected) >= options.crash_limit {
                true => options.quarantine_ttl,
                false => options.suspicion_ttl,
            };
            row.crashes.retain(|_, crash| now.since(crash.last) < ttl);
            let completed_ttl = match row.crashes.is_empty() {
                true => options.suspicion_ttl,
                false => options.suspicion_ttl.max(options.sound_ttl),
            };
            row.completed = row.completed.filter(|at| now.since(*at) < completed_ttl);
        }
        self.rows.retain(|_, row| row.last_change().is_some());
    }

    fn evidence(&self, row: &SuspectRow) -> usize {
        evidence(row, &self.options, CrashFilter::Suspected)
    }

    /// Takes a completion that is remembered into the row of a fingerprint that is suspected now.
    fn recall_completion(&mut self, now: TimePoint, fingerprint: RequestFingerprint) {
        if let Some(completed_at) = self.completions.get(fingerprint) {
            self.note(now, fingerprint, None, completed_at);
        }
    }

    fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        let row = self.rows.get(&fingerprint);
        row.is_some_and(|row| !row.crashes.is_empty())
    }

    /// Returns how many suspects of the crashes of `backend` may run together.
    ///
    /// A few are isolated from each other completely. Of many, some run together, so that an
    /// ordinary crash does not hold up everything that ran on the backend server.
    fn max_concurrent_suspects(&self, backend: &BackendId) -> usize {
        let rows = self.rows.values();
        let suspects = rows.filter(|row| row.crashes.keys().any(|run| run.backend == *backend));
        let suspects = suspects.count();
        (suspects / self.options.isolation_divisor).max(1)
    }

    fn note(
        &mut self,
        now: TimePoint,
        fingerprint: RequestFingerprint,
        crashed: Option<BackendRun>,
        at: TimePoint,
    ) {
        let row = self.rows.entry(fingerprint).or_default();
        row.note(crashed, at);
        if self.rows.len() > self.options.max_fingerprints {
            self.tick(now);
            self.drop_oldest();
        }
    }

    /// Drops the row with the oldest last change if there are too many. Quarantined fingerprints are
    /// dropped last.
    fn drop_oldest(&mut self) {
        if self.rows.len() <= self.options.max_fingerprints {
            return;
        }
        let options = self.options;
        let oldest = self.rows.iter().min_by_key(|(_, row)| {
            let quarantined =
                evidence(row, &options, CrashFilter::Suspected) >= options.crash_limit;
            (quarantined, row.last_change())
        });
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.rows.remove(&fingerprint);
        }
    }
}

/// Returns how many crashes of a fingerprint count as evidence against it.
fn evidence(row: &SuspectRow, options: &CrashOptions, filter: CrashFilter) -> usize {
    match row.is_sound_before_crashes(options.sound_ttl) {
        true => row.crashes_apart(OUTAGE_SPAN, filter),
        false => row.crashes(filter),
    }
}
