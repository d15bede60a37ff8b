//! Tracks prompt parts that are suspected of crashing engines, and logs each change.

use std::cell::RefCell;
use std::collections::BTreeSet;

use applefold_core::claim::RequestFingerprint;
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::direct::PromptPart;
use applefold_core::id::BackendId;
use applefold_core::quarantine::{BackendRun, PartTracker, RunFate, SuspectReport};
use applefold_core::unit::{TimePoint, TimeSpan};
use opentelemetry::KeyValue;

use super::suspects::{unsettled_refusal, SuspectTracker, DISPROVE_TIME};
use crate::metrics::MetricSet;

/// Returns the fingerprints of prompt parts.
pub(crate) fn part_fingerprints(parts: &[PromptPart]) -> Vec<RequestFingerprint> {
    let names = parts.iter().map(|part| part.name.as_str());
    names.map(RequestFingerprint::of_prompt_part).collect()
}

/// The part tracker of an entry, with metrics and logs, and the quarantined parts that are still to
/// be written to the store.
pub(crate) struct SuspectParts {
    tracker: RefCell<PartTracker>,
    /// Parts under which this entry has seen a crash, and that it has not yet written to the store.
    unpersisted: RefCell<BTreeSet<RequestFingerprint>>,
    metrics: MetricSet,
}

impl SuspectParts {
    pub(crate) fn new(metrics: MetricSet) -> Self {
        Self {
            tracker: RefCell::default(),
            unpersisted: RefCell::default(),
            metrics,
        }
    }

    /// Refuses a request if a part of its prompt is quarantined for crashes that no quarantined
    /// request explains, for good only if the engines are known to have ended. What is suspected is
    /// settled `settle_time` after a crash.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::RequestQuarantined`] or [`ResultCode::RequestSuspected`].
    pub(crate) fn check(
        &self,
        request: &str,
        parts: &[RequestFingerprint],
        requests: &SuspectTracker,
        settle_time: TimeSpan,
        now: TimePoint,
    ) -> Result<(), CallRefusal> {
        let tracker = self.tracker.borrow();
        if !tracker.has_quarantined(parts) {
            return Ok(());
        }
        let Some(part) = tracker.blamed_part(parts, &requests.quarantined_crashes()) else {
            return Ok(());
        };
        let last = tracker.last_crash(part);
        let age_ms = last.map_or(0, |at| now.since(at).as_millis());
        if !tracker.is_settled(part) {
            self.count("held");
            log::info!(request, part = part.to_string(), crashes = tracker.crash_count(part),
                crash_age_ms = age_ms;
                "request refused for now: whether a part of its prompt crashed engines is not known yet");
            return Err(unsettled_refusal(last, settle_time, now));
        }
        self.count("refused");
        log::info!(request, part = part.to_string(), crashes = tracker.crash_count(part),
            crash_age_ms = age_ms;
            "request refused: a part of its prompt is quarantined because it crashed engines");
        Err(CallRefusal::permanent(ResultCode::RequestQuarantined))
    }

    /// Settles suspicions by what has become of the engines.
    pub(crate) fn settle<Fate>(&self, fate: Fate)
    where
        Fate: Fn(&BackendRun, TimePoint) -> RunFate,
    {
        for settled in self.tracker.borrow_mut().settle(fate) {
            let (part, backend) = (settled.fingerprint.to_string(), settled.run.backend);
            match settled.fate {
                RunFate::Running => {
                    self.count("cleared");
                    log::info!(part, backend = backend.as_str(),
                        incarnation = settled.run.incarnation;
                        "suspicion of a prompt part cleared: the engine has registered since");
                }
                RunFate::Ended | RunFate::Unknown => {
                    self.count("confirmed");
                    log::info!(part, backend = backend.as_str(),
                        incarnation = settled.run.incarnation;
                        "suspicion of a prompt part confirmed: the engine has ended");
                }
            }
        }
    }

    /// Records that a connection to an engine broke before it had begun to answer a prompt with
    /// these parts.
    pub(crate) fn note_crash(
        &self,
        request: &str,
        parts: &[RequestFingerprint],
        crashed: &BackendRun,
        now: TimePoint,
    ) {
        let mut tracker = self.tracker.borrow_mut();
        for part in tracker.note_crash(now, crashed, parts) {
            self.unpersisted.borrow_mut().insert(part);
            self.count("seen");
            log::info!(request, part = part.to_string(), backend = crashed.backend.as_str(),
                crashes = tracker.crash_count(part);
                "prompt part suspected of crashing an engine");
        }
    }

    /// Records that an engine has begun to answer a prompt with these parts, which clears them.
    pub(crate) fn note_answer(&self, request: &str, parts: &[RequestFingerprint], now: TimePoint) {
        for part in self.tracker.borrow_mut().note_answer(now, parts) {
            self.count("completed");
            log::info!(request, part = part.to_string();
                "suspicion of a prompt part cleared: an answer has begun");
        }
    }

    /// Records a response to a request that was sent at `sent_at`, here or by the entry `source`:
    /// the backend server has not crashed shortly before that time.
    pub(crate) fn note_response(&self, source: &str, backend: &BackendId, sent_at: TimePoint) {
        let cleared = self.tracker.borrow_mut().note_response(backend, sent_at);
        for part in cleared {
            self.count("cleared");
            log::info!(source, part = part.to_string(), backend = backend.as_str();
                "suspicion of a prompt part cleared: the backend server still responds");
        }
    }

    /// Merges a report from another entry or from the store; `source` is named in the log.
    pub(crate) fn merge_report(&self, source: &str, report: SuspectReport, now: TimePoint) {
        let part = report.fingerprint;
        let crashed = report.crashed.clone();
        let age_ms = report.age.as_millis();
        let mut tracker = self.tracker.borrow_mut();
        if !tracker.merge_report(now, report) {
            return;
        }
        self.count("learned");
        log::info!(source, part = part.to_string(),
            backend = crashed.as_ref().map_or("", |run| run.backend.as_str()), age_ms,
            crashes = tracker.crash_count(part); "state of a prompt part learned from elsewhere");
    }

    /// Returns the reports for the next round of gossip.
    pub(crate) fn next_reports(&self, now: TimePoint) -> Vec<SuspectReport> {
        self.tracker.borrow_mut().next_reports(now)
    }

    /// Returns the reports about the crashes of one part.
    pub(crate) fn reports_for(
        &self,
        part: RequestFingerprint,
        now: TimePoint,
    ) -> Vec<SuspectReport> {
        self.tracker.borrow().reports_for(part, now)
    }

    /// Returns up to `limit` quarantined parts that are to be written to the store: those that
    /// crashed engines by themselves. A part waits as long as a response may still disprove its
    /// last crash.
    pub(crate) fn unpersisted(
        &self,
        requests: &SuspectTracker,
        limit: usize,
        now: TimePoint,
    ) -> Vec<RequestFingerprint> {
        let unpersisted = self.unpersisted.borrow();
        if unpersisted.is_empty() {
            return Vec::new();
        }
        let tracker = self.tracker.borrow();
        let is_due = |part: &RequestFingerprint| {
            let last = tracker.last_crash(*part);
            unpersisted.contains(part) && last.is_some_and(|at| now.since(at) >= DISPROVE_TIME)
        };
        let culprits = tracker
            .culprits(&requests.quarantined_crashes())
            .into_iter();
        culprits.filter(is_due).take(limit).collect()
    }

    /// Returns whether a quarantine has ended that was stored for `recorded` crashes, of which those at
    /// these times are not disproved: too few are later than the last answer, and there are no others.
    pub(crate) fn has_ended(
        &self,
        part: RequestFingerprint,
        crashes: &[TimePoint],
        recorded: usize,
    ) -> bool {
        let tracker = self.tracker.borrow();
        let cleared_at = tracker.cleared_at(part);
        let left = crashes.iter().filter(|at| Some(**at) > cleared_at);
        let left = left.count();
        let limit = tracker.crash_limit();
        left < limit && left < recorded && tracker.crash_count(part) < limit
    }

    /// Records that the store holds the quarantine of a part.
    pub(crate) fn mark_persisted(&self, part: RequestFingerprint) {
        self.unpersisted.borrow_mut().remove(&part);
    }

    /// Records that the store has lost the quarantined parts; returns their number.
    pub(crate) fn forget_persisted(&self, requests: &SuspectTracker) -> usize {
        let mut unpersisted = self.unpersisted.borrow_mut();
        let explained = requests.quarantined_crashes();
        unpersisted.extend(self.tracker.borrow().culprits(&explained));
        unpersisted.len()
    }

    /// Returns how long a part stays quarantined after its last crash.
    pub(crate) fn retention(&self) -> TimeSpan {
        self.tracker.borrow().retention()
    }

    /// Drops expired crashes.
    pub(crate) fn expire(&self, now: TimePoint) {
        let mut tracker = self.tracker.borrow_mut();
        tracker.tick(now);
        let mut unpersisted = self.unpersisted.borrow_mut();
        unpersisted.retain(|part| tracker.crash_count(*part) > 0);
    }

    fn count(&self, event: &'static str) {
        let event = KeyValue::new("event", event);
        self.metrics.part_suspicions.add(1, &[event]);
    }
}
