//! Requests that are suspected of crashing backend servers, with a log line for each change.

use std::cell::RefCell;
use std::collections::BTreeSet;

use applefold_core::claim::RequestFingerprint;
use applefold_core::code::CallRefusal;
use applefold_core::id::BackendId;
use applefold_core::quarantine::{BackendRun, CrashOptions, CrashTracker, SuspectReport};
use applefold_core::unit::{TimePoint, TimeSpan};
use opentelemetry::KeyValue;

use crate::metrics::MetricSet;

/// How long an answer of the backend server may still end a suspicion.
const CONFIRM_TIME: TimeSpan = TimeSpan::from_secs(1);
/// For how long a suspicion is told, longer than an entry takes to start again.
const TELL_TIME: TimeSpan = TimeSpan::from_secs(10);

/// A broken connection is weaker evidence here than a crash that a sidecar sees, so it takes
/// one more, and a few of them are forgotten sooner.
fn ledger_options() -> CrashOptions {
    CrashOptions {
        crash_limit: 3,
        count_each_run: true,
        gossip_delay: CONFIRM_TIME,
        gossip_ttl: TELL_TIME,
        suspicion_ttl: TimeSpan::from_secs(60),
        ..CrashOptions::default()
    }
}

/// The crash ledger of an entry.
pub(crate) struct SuspectTracker {
    ledger: RefCell<CrashTracker>,
    /// Fingerprints whose crashes this entry has seen itself and that the store does not hold.
    unkept: RefCell<BTreeSet<RequestFingerprint>>,
    metrics: MetricSet,
}

impl SuspectTracker {
    pub(crate) fn new(metrics: MetricSet) -> Self {
        Self {
            ledger: RefCell::new(CrashTracker::new(ledger_options())),
            unkept: RefCell::default(),
            metrics,
        }
    }

    /// Refuses a request like those that have crashed backend servers.
    ///
    /// # Errors
    ///
    /// Refuses with [`applefold_core::code::ResultCode::RequestQuarantined`].
    pub(crate) fn check(
        &self,
        request: &str,
        fingerprint: RequestFingerprint,
        now: TimePoint,
    ) -> Result<(), CallRefusal> {
        let ledger = self.ledger.borrow();
        ledger.admit(fingerprint, &[]).inspect_err(|_| {
            let crashes = ledger.crash_count(fingerprint);
            let age = ledger.last_crash(fingerprint).map(|at| now.since(at));
            self.count("refused");
            log::info!(request, fingerprint = fingerprint.to_string(), crashes,
                crash_age_ms = age.map_or(0, TimeSpan::as_millis);
                "request refused: crashed backend servers before");
        })
    }

    /// Notes that a backend server went away under a request.
    pub(crate) fn note_crash(
        &self,
        request: &str,
        fingerprint: RequestFingerprint,
        crashed: &BackendRun,
        now: TimePoint,
    ) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.note_crash(now, crashed, &[fingerprint]);
        let crashes = ledger.crash_count(fingerprint);
        self.unkept.borrow_mut().insert(fingerprint);
        self.count("seen");
        log::info!(request, fingerprint = fingerprint.to_string(),
            backend = crashed.backend.as_str(), crashes; "request suspected of a crash");
    }

    /// Notes that a request completed whole.
    pub(crate) fn note_completion(&self, fingerprint: RequestFingerprint, now: TimePoint) {
        let mut ledger = self.ledger.borrow_mut();
        if ledger.crash_count(fingerprint) > 0 {
            self.count("completed");
            log::info!(fingerprint = fingerprint.to_string();
                "suspicion ended: the request completed");
        }
        ledger.note_completion(now, fingerprint);
    }

    /// Notes that a backend server has answered what was sent at `sent_at`, and so has not
    /// crashed just before.
    pub(crate) fn note_response(&self, backend: &BackendId, sent_at: TimePoint, now: TimePoint) {
        let cleared = self.ledger.borrow_mut().note_answer(now, backend, sent_at);
        for fingerprint in cleared {
            self.count("cleared");
            log::info!(fingerprint = fingerprint.to_string(), backend = backend.as_str();
                "suspicion ended: the backend server answers");
        }
    }

    /// Takes what another entry tells, or the store.
    pub(crate) fn merge_report(&self, source: &str, news: SuspectReport, now: TimePoint) {
        let fingerprint = news.fingerprint;
        let crashed = news.crashed.clone();
        let age_ms = news.age.as_millis();
        let mut ledger = self.ledger.borrow_mut();
        if !ledger.merge_report(now, news) {
            return;
        }
        self.count("learned");
        log::info!(source, fingerprint = fingerprint.to_string(),
            backend = crashed.as_ref().map_or("", |run| run.backend.as_str()), age_ms,
            crashes = ledger.crash_count(fingerprint); "suspicion learned");
    }

    /// Returns what to tell the other entries now.
    pub(crate) fn next_reports(&self, now: TimePoint) -> Vec<SuspectReport> {
        self.ledger.borrow_mut().next_reports(now)
    }

    /// Returns what is known of one fingerprint.
    pub(crate) fn reports_for(
        &self,
        fingerprint: RequestFingerprint,
        now: TimePoint,
    ) -> Vec<SuspectReport> {
        self.ledger.borrow().reports_for(fingerprint, now)
    }

    /// Returns up to `most` refused fingerprints that are to be kept in the store. Those whose
    /// last crash an answer may still disprove wait.
    pub(crate) fn unpersisted(&self, most: usize, now: TimePoint) -> Vec<RequestFingerprint> {
        let ledger = self.ledger.borrow();
        let is_due = |fingerprint: &&RequestFingerprint| {
            let last = ledger.last_crash(**fingerprint);
            ledger.is_quarantined(**fingerprint)
                && last.is_some_and(|at| now.since(at) >= CONFIRM_TIME)
        };
        let unkept = self.unkept.borrow();
        unkept.iter().filter(is_due).take(most).copied().collect()
    }

    /// Notes that the store holds a refusal.
    pub(crate) fn mark_persisted(&self, fingerprint: RequestFingerprint) {
        self.unkept.borrow_mut().remove(&fingerprint);
    }

    /// Returns how long a refusal is remembered.
    pub(crate) fn retention(&self) -> TimeSpan {
        ledger_options().quarantine_ttl
    }

    /// Forgets what is too long ago.
    pub(crate) fn expire(&self, now: TimePoint) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.tick(now);
        let mut unkept = self.unkept.borrow_mut();
        unkept.retain(|fingerprint| ledger.crash_count(*fingerprint) > 0);
    }

    fn count(&self, event: &'static str) {
        let event = KeyValue::new("event", event);
        self.metrics.suspicions.add(1, &[event]);
    }
}
