//! What has become of backend servers that are suspected of having crashed, by their registrations.
//!
//! See [docs/design/quarantine.md](../../../../docs/design/quarantine.md#settling-a-suspicion).

use applefold_core::quarantine::{registration_life, BackendRun, ListProof, RunFate, RunListing};
use applefold_core::unit::{TimePoint, TimeSpan};

use super::state::GatewayState;

/// The time until an entry has learned what the store shows, with gossip between reads of the list.
const LIST_DELAY: TimeSpan = TimeSpan::from_millis(800);

impl GatewayState {
    /// Returns what has become of an incarnation that may have crashed at `crashed_at`.
    pub(crate) fn run_fate(&self, run: &BackendRun, crashed_at: TimePoint) -> RunFate {
        let listing = match self.table.borrow().get(&run.backend) {
            None => RunListing::Missing,
            Some(row) if row.expired => RunListing::Expired,
            Some(row) => RunListing::Listed(row.spec.started_at_ms),
        };
        self.list_proof().fate(run, listing, crashed_at)
    }

    /// Settles the suspicions whose backend servers are known to have ended, or to have registered since.
    pub(crate) fn settle_suspicions(&self) {
        let fate = |run: &BackendRun, crashed_at| self.run_fate(run, crashed_at);
        self.suspects.settle(fate);
        self.suspect_parts.settle(fate);
    }

    /// Returns how long after a crash the list has shown what has become of the backend server, unless the
    /// store is not available.
    pub(crate) fn settle_time(&self) -> TimeSpan {
        registration_life(self.settings().heartbeat_interval) + LIST_DELAY
    }

    fn list_proof(&self) -> ListProof {
        let list = &self.replicas.list;
        let now = self.now();
        let available = list.continuity().span(now);
        let available_since = available.map(|span| now - span);
        let heartbeat_interval = self.settings().heartbeat_interval;
        ListProof::new(list.confirmed_at(), available_since, heartbeat_interval)
    }
}
