//! Requests that were running while a backend server crashed.

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::id::BackendId;
use applefold_core::quarantine::SuspectReport;
use applefold_core::response::AttemptEnd;
use applefold_core::unit::TimePoint;

use super::RequestDriver;

impl RequestDriver<'_> {
    /// Records that a backend server crashed while running the request, and sends the report to all
    /// peers at once.
    pub(super) fn record_crash(&self, backend: &BackendId) {
        let now = self.state.now();
        let mut decisions = self.state.decisions.borrow_mut();
        decisions
            .suspects
            .note_crash(now, &backend.clone().into(), &[self.plan.fingerprint]);
        self.state.urgent.send_modify(|count| *count += 1);
    }

    /// Returns the crash reports on this request. A sidecar needs them to decide whether it runs
    /// the request beside others.
    pub(super) fn suspect_reports(&self, now: TimePoint) -> Vec<SuspectReport> {
        let decisions = self.state.decisions.borrow();
        decisions.suspects.reports_for(self.plan.fingerprint, now)
    }

    /// Returns whether the attempt was refused because the request has to run in isolation: it is
    /// suspected of a crash and must not run beside another suspect.
    pub(super) fn needs_isolation(&self, end: AttemptEnd) -> bool {
        let busy = |refusal: CallRefusal| refusal.code == ResultCode::BackendBusy;
        let refused = matches!(end, AttemptEnd::NotRun(refusal) if busy(refusal));
        refused && !self.suspect_reports(self.state.now()).is_empty()
    }

    /// Checks the request against the quarantine.
    ///
    /// # Errors
    ///
    /// Refuses a request that has crashed too many backend servers.
    pub(super) fn check_quarantine(&self) -> Result<(), CallRefusal> {
        let decisions = self.state.decisions.borrow();
        decisions.suspects.admit(self.plan.fingerprint, &[])
    }
}
