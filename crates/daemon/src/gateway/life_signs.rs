//! Signs of life of backend servers, which clear suspicions of a crash here and at the other entries.
//!
//! See [docs/design/answers.md](../../../../docs/design/answers.md#signs-of-life).

use applefold_core::id::BackendId;
use applefold_core::quarantine::{BackendRun, LifeReport, RunFate};
use applefold_core::unit::TimePoint;

use super::state::GatewayState;

impl GatewayState {
    /// Records that a backend server has answered a request that this entry sent at `sent_at`.
    pub(crate) fn note_life_sign(&self, backend: &BackendId, sent_at: TimePoint) {
        let mut signs = self.life_signs.borrow_mut();
        signs.note_response(self.now(), backend, sent_at);
        self.clear_suspicions("", backend, sent_at);
    }

    /// Merges a sign of life that the entry `source` has seen.
    pub(crate) fn merge_life_sign(&self, source: &str, report: &LifeReport) {
        let mut signs = self.life_signs.borrow_mut();
        let sent_at = signs.merge_report(self.now(), report);
        self.clear_suspicions(source, &report.backend, sent_at);
    }

    /// Records that a backend server is suspected of a crash at `crashed_at`, for which this entry
    /// reports signs of life.
    pub(crate) fn note_suspicion(&self, backend: &BackendId, crashed_at: TimePoint) {
        let mut signs = self.life_signs.borrow_mut();
        signs.note_suspicion(self.now(), backend, crashed_at);
        let mut table = self.table.borrow_mut();
        table.record_break(backend, crashed_at);
    }

    /// Returns whether a sign of life, or a registration since, disproves that an incarnation crashed at
    /// `crashed_at`.
    pub(crate) fn is_disproved(&self, run: &BackendRun, crashed_at: TimePoint) -> bool {
        let signs = self.life_signs.borrow();
        signs.is_disproved(&run.backend, crashed_at)
            || self.run_fate(run, crashed_at) == RunFate::Running
    }

    /// Returns the signs of life for the next round of gossip, at most `limit`.
    pub(crate) fn next_life_reports(&self, limit: usize) -> Vec<LifeReport> {
        let mut signs = self.life_signs.borrow_mut();
        signs.next_reports(self.now(), limit)
    }

    fn clear_suspicions(&self, source: &str, backend: &BackendId, sent_at: TimePoint) {
        self.suspects.note_response(source, backend, sent_at);
        self.suspect_parts.note_response(source, backend, sent_at);
    }
}
