//! Tracks requests that are suspected of crashing backend servers, and logs each change.

use std::cell::RefCell;
use std::collections::BTreeSet;

use applefold_core::claim::RequestFingerprint;
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::{AttemptEnd, PlacementWork, PromptPart};
use applefold_core::id::BackendId;
use applefold_core::quarantine::{
    BackendRun, CrashOptions, CrashTracker, ExplainedCrashes, RunFate, SuspectReport,
};
use applefold_core::unit::{TimePoint, TimeSpan};
use opentelemetry::KeyValue;

use crate::metrics::MetricSet;

/// How long after a crash a response of the backend server may still disprove it.
pub(crate) const DISPROVE_TIME: TimeSpan = TimeSpan::from_secs(1);
/// The most parts of a prompt that are named in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// How far a request had come when the connection to its backend server broke.
pub(crate) struct CrashProgress<'a> {
    /// The part of its work that the backend server was asked for.
    pub(crate) work: PlacementWork,
    /// The complete events that were received of this attempt.
    pub(crate) events: u64,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: &'a [PromptPart],
}

/// The least `Retry-After` of a request that is refused until its crashes are settled.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// Returns the refusal of what is suspected of crashes, the last of them at `last_crash`, that are settled
/// `settle_time` after they happened.
pub(super) fn unsettled_refusal(
    last_crash: Option<TimePoint>,
    settle_time: TimeSpan,
    now: TimePoint,
) -> CallRefusal {
    let settled_at = last_crash.map_or(now, |at| at + settle_time);
    let retry_after = settled_at.since(now).max(MIN_RETRY_AFTER);
    CallRefusal::retryable(ResultCode::RequestSuspected, retry_after)
}

/// Returns the names of the parts for the log, up to [`MAX_LOGGED_PARTS`].
fn part_names(parts: &[PromptPart]) -> String {
    let names = parts.iter().take(MAX_LOGGED_PARTS);
    let names: Vec<&str> = names.map(|part| part.name.as_str()).collect();
    names.join(",")
}

/// The crash tracker of an entry, with metrics and logs, and the quarantined requests that are
/// still to be written to the store.
pub(crate) struct SuspectTracker {
    tracker: RefCell<CrashTracker>,
    /// Fingerprints of crashes that this entry has observed itself and has not yet written to the
    /// store.
    unpersisted: RefCell<BTreeSet<RequestFingerprint>>,
    metrics: MetricSet,
}

impl SuspectTracker {
    pub(crate) fn new(metrics: MetricSet) -> Self {
        Self {
            tracker: RefCell::new(CrashTracker::new(CrashOptions::inferred())),
            unpersisted: RefCell::default(),
            metrics,
        }
    }

    /// Refuses a request that is quarantined for crashing backend servers, for good only if these are
    /// known to have ended. What is suspected is settled `settle_time` after a crash.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::RequestQuarantined`] or [`ResultCode::RequestSuspected`].
    pub(crate) fn check(
        &self,
        request: &str,
        fingerprint: RequestFingerprint,
        settle_time: TimeSpan,
        now: TimePoint,
    ) -> Result<(), CallRefusal> {
        let tracker = self.tracker.borrow();
        tracker.admit(fingerprint, &[]).map_err(|refusal| {
            let crashes = tracker.crash_count(fingerprint);
            let last = tracker.last_crash(fingerprint);
            let age_ms = last.map_or(0, |at| now.since(at).as_millis());
            if refusal.code != ResultCode::RequestSuspected {
                self.count("refused");
                log::info!(request, fingerprint = fingerprint.to_string(), crashes,
                    crash_age_ms = age_ms;
                    "request refused: quarantined because it crashed backend servers");
                return refusal;
            }
            self.count("held");
            log::info!(request, fingerprint = fingerprint.to_string(), crashes,
                crash_age_ms = age_ms;
                "request refused for now: whether it crashed backend servers is not known yet");
            unsettled_refusal(last, settle_time, now)
        })
    }

    /// Settles suspicions by what has become of the backend servers.
    pub(crate) fn settle<Fate>(&self, fate: Fate)
    where
        Fate: Fn(&BackendRun, TimePoint) -> RunFate,
    {
        for settled in self.tracker.borrow_mut().settle(fate) {
            let (fingerprint, backend) = (settled.fingerprint.to_string(), settled.run.backend);
            match settled.fate {
                RunFate::Running => {
                    self.count("cleared");
                    log::info!(fingerprint, backend = backend.as_str(),
                        incarnation = settled.run.incarnation;
                        "suspicion cleared: the backend server has registered since");
                }
                RunFate::Ended | RunFate::Unknown => {
                    self.count("confirmed");
                    log::info!(fingerprint, backend = backend.as_str(),
                        incarnation = settled.run.incarnation;
                        "suspicion confirmed: the backend server has ended");
                }
            }
        }
    }

    /// Records that a connection to a backend server broke while it ran the request. `progress` is
    /// what the log says of the request besides.
    pub(crate) fn note_crash(
        &self,
        request: &str,
        fingerprint: RequestFingerprint,
        crashed: &BackendRun,
        progress: &CrashProgress<'_>,
        now: TimePoint,
    ) {
        let mut tracker = self.tracker.borrow_mut();
        tracker.note_crash(now, crashed, &[fingerprint]);
        let crashes = tracker.crash_count(fingerprint);
        self.unpersisted.borrow_mut().insert(fingerprint);
        self.count("seen");
        log::info!(request, fingerprint = fingerprint.to_string(),
            backend = crashed.backend.as_str(), crashes, events = progress.events,
            work = format!("{:?}", progress.work), parts = part_names(progress.parts);
            "request suspected of crashing a backend server");
    }

    /// Logs that a response was lost in a way that is not held against the request.
    pub(crate) fn note_other_cause(
        &self,
        request: &str,
        fingerprint: RequestFingerprint,
        backend: &BackendId,
        end: AttemptEnd,
    ) {
        self.count("other cause");
        log::info!(request, fingerprint = fingerprint.to_string(), backend = backend.as_str(),
            end = format!("{end:?}");
            "request not suspected: its connection was not closed by the backend server");
    }

    /// Returns the crashes of the quarantined requests.
    pub(crate) fn quarantined_crashes(&self) -> ExplainedCrashes {
        self.tracker.borrow().quarantined_crashes()
    }

    /// Records that a request completed, which clears its suspicion.
    pub(crate) fn note_completion(&self, fingerprint: RequestFingerprint, now: TimePoint) {
        let mut tracker = self.tracker.borrow_mut();
        if tracker.crash_count(fingerprint) > 0 {
            self.count("completed");
            log::info!(fingerprint = fingerprint.to_string();
                "suspicion cleared: the request completed");
        }
        tracker.note_completion(now, fingerprint);
    }

    /// Records a response to a request that was sent at `sent_at`, here or by the entry `source`.
    /// The backend server has not crashed shortly before that time, so suspicions of such a crash
    /// are cleared.
    pub(crate) fn note_response(&self, source: &str, backend: &BackendId, sent_at: TimePoint) {
        let cleared = self.tracker.borrow_mut().note_answer(backend, sent_at);
        for fingerprint in cleared {
            self.count("cleared");
            log::info!(source, fingerprint = fingerprint.to_string(),
                backend = backend.as_str();
                "suspicion cleared: the backend server still responds");
        }
    }

    /// Merges a report from another entry or from the store; `source` is named in the log.
    pub(crate) fn merge_report(&self, source: &str, report: SuspectReport, now: TimePoint) {
        let fingerprint = report.fingerprint;
        let crashed = report.crashed.clone();
        let age_ms = report.age.as_millis();
        let mut tracker = self.tracker.borrow_mut();
        if !tracker.merge_report(now, report) {
            return;
        }
        self.count("learned");
        log::info!(source, fingerprint = fingerprint.to_string(),
            backend = crashed.as_ref().map_or("", |run| run.backend.as_str()), age_ms,
            crashes = tracker.crash_count(fingerprint); "suspicion learned from elsewhere");
    }

    /// Returns the reports for the next round of gossip.
    pub(crate) fn next_reports(&self, now: TimePoint) -> Vec<SuspectReport> {
        self.tracker.borrow_mut().next_reports(now)
    }

    /// Returns all reports about one fingerprint.
    pub(crate) fn reports_for(
        &self,
        fingerprint: RequestFingerprint,
        now: TimePoint,
    ) -> Vec<SuspectReport> {
        self.tracker.borrow().reports_for(fingerprint, now)
    }

    /// Returns up to `limit` quarantined fingerprints that are to be written to the store. A
    /// fingerprint waits as long as a response may still disprove its last crash.
    pub(crate) fn unpersisted(&self, limit: usize, now: TimePoint) -> Vec<RequestFingerprint> {
        let tracker = self.tracker.borrow();
        let is_due = |fingerprint: &&RequestFingerprint| {
            let last = tracker.last_crash(**fingerprint);
            tracker.is_quarantined(**fingerprint)
                && last.is_some_and(|at| now.since(at) >= DISPROVE_TIME)
        };
        let unpersisted = self.unpersisted.borrow();
        unpersisted
            .iter()
            .filter(is_due)
            .take(limit)
            .copied()
            .collect()
    }

    /// Returns whether a quarantine has ended that was stored for `recorded` crashes, of which those at
    /// these times are not disproved: too few are later than the last completion, and there are no others.
    pub(crate) fn has_ended(
        &self,
        fingerprint: RequestFingerprint,
        crashes: &[TimePoint],
        recorded: usize,
    ) -> bool {
        let tracker = self.tracker.borrow();
        let cleared_at = tracker.cleared_at(fingerprint);
        let left = crashes.iter().filter(|at| Some(**at) > cleared_at);
        let left = left.count();
        let limit = tracker.crash_limit();
        left < limit && left < recorded && tracker.crash_count(fingerprint) < limit
    }

    /// Records that the store holds the quarantine of a fingerprint.
    pub(crate) fn mark_persisted(&self, fingerprint: RequestFingerprint) {
        self.unpersisted.borrow_mut().remove(&fingerprint);
    }

    /// Records that the store has lost the quarantined requests; returns their number.
    pub(crate) fn forget_persisted(&self) -> usize {
        let tracker = self.tracker.borrow();
        let mut unpersisted = self.unpersisted.borrow_mut();
        unpersisted.extend(tracker.quarantined());
        unpersisted.len()
    }

    /// Returns how long a request stays quarantined after its last crash.
    pub(crate) fn retention(&self) -> TimeSpan {
        CrashOptions::inferred().quarantine_ttl
    }

    /// Drops expired crashes.
    pub(crate) fn expire(&self, now: TimePoint) {
        let mut tracker = self.tracker.borrow_mut();
        tracker.tick(now);
        let mut unpersisted = self.unpersisted.borrow_mut();
        unpersisted.retain(|fingerprint| tracker.crash_count(*fingerprint) > 0);
    }

    fn count(&self, event: &'static str) {
        let event = KeyValue::new("event", event);
        self.metrics.suspicions.add(1, &[event]);
    }
}
