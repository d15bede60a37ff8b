//! Quarantines requests that crash backend servers.

use std::cell::RefCell;

use applefold_core::claim::RequestFingerprint;
use applefold_core::code::CallRefusal;
use applefold_core::id::{BackendId, InstanceId};
use applefold_core::quarantine::{CrashOptions, CrashTracker, SuspectReport};
use applefold_core::unit::TimePoint;

/// The crash tracker, and the requests that are running at the backend server.
pub(crate) struct SuspectTracker {
    backend: BackendId,
    tracker: RefCell<CrashTracker>,
    running: RefCell<Vec<RequestFingerprint>>,
}

/// A running request. Dropping the guard records that the request has ended.
pub(crate) struct RunningGuard<'a> {
    tracker: &'a SuspectTracker,
    fingerprint: RequestFingerprint,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let mut running = self.tracker.running.borrow_mut();
        let index = running
            .iter()
            .position(|running| *running == self.fingerprint);
        if let Some(index) = index {
            running.swap_remove(index);
        }
    }
}

impl SuspectTracker {
    pub(crate) fn new(instance: &InstanceId) -> Self {
        let backend = instance.as_str().parse();
        Self {
            backend: backend.expect("every instance name is a valid identifier"),
            tracker: RefCell::new(CrashTracker::new(CrashOptions::default())),
            running: RefCell::default(),
        }
    }

    /// Admits a request to run.
    ///
    /// # Errors
    ///
    /// Refuses a quarantined request, and a suspect while as many other suspects run as are allowed.
    pub(crate) fn admit(
        &self,
        fingerprint: RequestFingerprint,
        now: TimePoint,
    ) -> Result<RunningGuard<'_>, CallRefusal> {
        let mut tracker = self.tracker.borrow_mut();
        tracker.tick(now);
        tracker.admit(fingerprint, &self.running.borrow())?;
        self.running.borrow_mut().push(fingerprint);
        Ok(RunningGuard {
            tracker: self,
            fingerprint,
        })
    }

    /// Records that the backend server crashed while it ran a request.
    pub(crate) fn record_crash(&self, fingerprint: RequestFingerprint, now: TimePoint) {
        let mut tracker = self.tracker.borrow_mut();
        tracker.note_crash(now, &self.backend.clone().into(), &[fingerprint]);
    }

    /// Records that a request completed.
    pub(crate) fn record_completion(&self, fingerprint: RequestFingerprint, now: TimePoint) {
        self.tracker.borrow_mut().note_completion(now, fingerprint);
    }

    /// Merges the crash reports of a peer.
    pub(crate) fn merge_reports(&self, reports: &[SuspectReport], now: TimePoint) {
        let mut tracker = self.tracker.borrow_mut();
        for report in reports {
            tracker.merge_report(now, report.clone());
        }
    }

    /// Returns the crash reports to gossip now.
    pub(crate) fn next_reports(&self, now: TimePoint) -> Vec<SuspectReport> {
        self.tracker.borrow_mut().next_reports(now)
    }
}
