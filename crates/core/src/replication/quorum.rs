//! Quorum checks of one process: whether to serve, to accept a ticket and to acknowledge it.

use crate::code::{CallRefusal, ResultCode};
use crate::id::Revision;
use crate::quorum::QuorumCount;
use crate::replication::replica::ConfigReplica;
use crate::unit::{TimePoint, TimeSpan};

/// How long a process keeps counting the fleet after a ticket has arrived.
const FILING_WINDOW: TimeSpan = TimeSpan::from_secs(10);
const QUORUM_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(2);

impl ConfigReplica {
    /// Counts the part of the fleet whose heartbeat replies are recent.
    ///
    /// A process whose configuration has not been confirmed since its start does not count: a
    /// restart may have lost a revision that its predecessor acknowledged.
    pub fn reachable_count(&self, now: TimePoint) -> QuorumCount {
        let timeout = self.settings.peer_timeout;
        self.peers
            .count_where(&self.fleet, self.quorum_unit(), |id| {
                let established = || {
                    self.peers
                        .row(id)
                        .is_some_and(|row| row.confirmation.is_established())
                };
                match *id == self.me {
                    true => self.freshness.is_established(),
                    false => self.peers.is_alive(id, timeout, now) && established(),
                }
            })
    }

    /// Counts the part of the fleet that is known to run `revision` or a later one.
    pub fn count_at_revision(&self, revision: Revision) -> QuorumCount {
        self.peers
            .count_where(&self.fleet, self.quorum_unit(), |id| {
                let is_own_at = || self.config().revision >= revision;
                let is_peer_at = || {
                    self.peers
                        .row(id)
                        .is_some_and(|row| row.revision >= revision)
                };
                if *id == self.me {
                    is_own_at()
                } else {
                    is_peer_at()
                }
            })
    }

    /// Returns whether this process counts a quorum to serve by: enough of the fleet replies, and no
    /// peer has a later revision.
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

    /// Decides whether to serve a request that carries a caller key.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::ConfigUnconfirmed`] if the configuration may be outdated.
    pub fn serves_keyed(&self, now: TimePoint) -> Result<(), CallRefusal> {
        let quorum = self.has_quorum(now);
        self.freshness
            .check(&self.settings, self.config().revision, quorum, now)
    }

    /// Starts counting the fleet for a while, before a ticket is filed.
    pub fn begin_filing(&mut self, now: TimePoint) {
        self.filing_until = Some(now + FILING_WINDOW);
    }

    /// Decides whether a ticket may be filed through this process.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::ReachTooSmall`] if too few instances reply.
    pub fn may_file(&self, now: TimePoint) -> Result<(), CallRefusal> {
        match self.reachable_count(now).has_accept_quorum() {
            true => Ok(()),
            false => Err(CallRefusal::retryable(
                ResultCode::ReachTooSmall,
                QUORUM_RETRY_AFTER,
            )),
        }
    }

    /// Returns whether a ticket in the log may be acknowledged: so much of the fleet runs its
    /// revision that the rest of the fleet has no quorum to serve without it.
    pub fn may_acknowledge(&self, revision: Revision) -> bool {
        self.count_at_revision(revision).has_accept_quorum()
    }
}
