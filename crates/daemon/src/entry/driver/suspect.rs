//! Requests that were running when a backend server died.

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::id::BackendId;
use applefold_core::quarantine::SuspectReport;
use applefold_core::response::AttemptEnd;
use applefold_core::unit::TimePoint;

use super::RequestDriver;

impl RequestDriver<'_> {
    /// Every peer hears at once of a request that a backend server died of.
    pub(super) fn record_crash(&self, backend: &BackendId) {
        let now = self.state.now();
        let mut decisions = self.state.decisions.borrow_mut();
        decisions
            .suspects
            .note_crash(now, &backend.clone().into(), &[self.plan.fingerprint]);
        self.state.urgent.send_modify(|count| *count += 1);
    }

    /// What a sidecar has to know of this request before it lets it run beside others.
    pub(super) fn suspect_reports(&self, now: TimePoint) -> Vec<SuspectReport> {
        let decisions = self.state.decisions.borrow();
        decisions.suspects.reports_for(self.plan.fingerprint, now)
    }

    /// A request that ran where a backend server died waits until no other such one
    /// runs beside it.
    pub(super) fn needs_isolation(&self, end: AttemptEnd) -> bool {
        let busy = |refusal: CallRefusal| refusal.code == ResultCode::BackendBusy;
        let refused = matches!(end, AttemptEnd::NotRun(refusal) if busy(refusal));
        refused && !self.suspect_reports(self.state.now()).is_empty()
    }

    /// Refuses what has crashed too many backend servers.
    pub(super) fn check_quarantine(&self) -> Result<(), CallRefusal> {
        let decisions = self.state.decisions.borrow();
        decisions.suspects.admit(self.plan.fingerprint, &[])
    }
}
