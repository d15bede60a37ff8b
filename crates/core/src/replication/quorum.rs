//! What one process may do, by its count of the fleet.

use crate::code::{CallRefusal, ResultCode};
use crate::id::Revision;
use crate::quorum::QuorumCount;
use crate::replication::replica::ConfigReplica;
use crate::unit::{TimePoint, TimeSpan};

const FILING_WINDOW: TimeSpan = TimeSpan::from_secs(10);
const REACH_RETRY: TimeSpan = TimeSpan::from_secs(2);

impl ConfigReplica {
    /// Returns the share of the fleet that is heard; a process without standing may have
    /// forgotten what it acknowledged, and does not count.
    pub fn reachable_count(&self, now: TimePoint) -> QuorumCount {
        let timeout = self.settings.peer_timeout;
        self.peers
            .count_where(&self.fleet, self.quorum_unit(), |id| {
                let standing = || {
                    self.peers
                        .row(id)
                        .is_some_and(|row| row.confirmation.is_established())
                };
                match *id == self.me {
                    true => self.freshness.is_established(),
                    false => self.peers.is_alive(id, timeout, now) && standing(),
                }
            })
    }

    /// Returns the share of the fleet that is known to run `revision` or a later one.
    pub fn count_at_revision(&self, revision: Revision) -> QuorumCount {
        self.peers
            .count_where(&self.fleet, self.quorum_unit(), |id| {
                let own = || self.config().revision >= revision;
                let runs = || {
                    self.peers
                        .row(id)
                        .is_some_and(|row| row.revision >= revision)
                };
                if *id == self.me {
                    own()
                } else {
                    runs()
                }
            })
    }

    /// A count holds if enough is heard and nobody heard is ahead.
    pub(super) fn has_quorum(&self, now: TimePoint) -> bool {
        let own = self.config().revision;
        let ahead = self.peers.rows().values().any(|row| row.revision > own);
        self.is_counting_quorum(now) && !ahead && self.reachable_count(now).has_serve_quorum()
    }

    pub(super) fn record_quorum(&mut self, now: TimePoint) {
        if self.has_quorum(now) {
            self.freshness.record_quorum(now);
        }
    }

    /// Decides whether to serve a request that carries a key.
    pub fn serves_keyed(&self, now: TimePoint) -> Result<(), CallRefusal> {
        let counted = self.has_quorum(now);
        self.freshness
            .check(&self.settings, self.config().revision, counted, now)
    }

    /// Starts to count, ahead of a ticket.
    pub fn begin_filing(&mut self, now: TimePoint) {
        self.filing_until = Some(now + FILING_WINDOW);
    }

    /// Decides whether a ticket may be filed from here.
    pub fn may_file(&self, now: TimePoint) -> Result<(), CallRefusal> {
        match self.reachable_count(now).has_accept_quorum() {
            true => Ok(()),
            false => Err(CallRefusal::retryable(
                ResultCode::ReachTooSmall,
                REACH_RETRY,
            )),
        }
    }

    /// Decides whether a ticket in the log may be acknowledged: enough of the fleet runs it
    /// that no other part of the fleet can serve on without it.
    pub fn may_acknowledge(&self, revision: Revision) -> bool {
        self.count_at_revision(revision).has_accept_quorum()
    }
}
