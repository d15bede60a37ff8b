//! Requests that were running when the backend server died.

use std::cell::RefCell;

use applefold_core::claim::RequestFingerprint;
use applefold_core::code::CallRefusal;
use applefold_core::id::{BackendId, InstanceId};
use applefold_core::quarantine::{CrashOptions, CrashTracker, SuspectReport};
use applefold_core::unit::TimePoint;

/// The ledger, and what runs at the backend server now.
pub(crate) struct SuspectTracker {
    backend: BackendId,
    ledger: RefCell<CrashTracker>,
    running: RefCell<Vec<RequestFingerprint>>,
}

/// A request that runs; dropping it says that it has ended.
pub(crate) struct RunningGuard<'a> {
    desk: &'a SuspectTracker,
    fingerprint: RequestFingerprint,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let mut running = self.desk.running.borrow_mut();
        let place = running.iter().position(|one| *one == self.fingerprint);
        if let Some(place) = place {
            running.swap_remove(place);
        }
    }
}

impl SuspectTracker {
    pub(crate) fn new(instance: &InstanceId) -> Self {
        let backend = instance.as_str().parse();
        Self {
            backend: backend.expect("every instance name is an identifier"),
            ledger: RefCell::new(CrashTracker::new(CrashOptions::default())),
            running: RefCell::default(),
        }
    }

    /// Lets a request run, unless requests like it have crashed backend servers.
    pub(crate) fn admit(
        &self,
        fingerprint: RequestFingerprint,
        now: TimePoint,
    ) -> Result<RunningGuard<'_>, CallRefusal> {
        let mut ledger = self.ledger.borrow_mut();
        ledger.tick(now);
        ledger.admit(fingerprint, &self.running.borrow())?;
        self.running.borrow_mut().push(fingerprint);
        Ok(RunningGuard {
            desk: self,
            fingerprint,
        })
    }

    /// Notes that the backend server died while it ran a request.
    pub(crate) fn note_crash(&self, fingerprint: RequestFingerprint, now: TimePoint) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.note_crash(now, &self.backend.clone().into(), &[fingerprint]);
    }

    /// Notes that a request came to a whole end.
    pub(crate) fn note_completion(&self, fingerprint: RequestFingerprint, now: TimePoint) {
        self.ledger.borrow_mut().note_completion(now, fingerprint);
    }

    pub(crate) fn learn(&self, news: &[SuspectReport], now: TimePoint) {
        let mut ledger = self.ledger.borrow_mut();
        for one in news {
            ledger.merge_report(now, one.clone());
        }
    }

    pub(crate) fn news(&self, now: TimePoint) -> Vec<SuspectReport> {
        self.ledger.borrow_mut().next_reports(now)
    }
}
