//! What one process may do, by its count of the fleet.

use crate::code::{CallRefusal, ResultCode};
use crate::id::Revision;
use crate::reach::ReachShare;
use crate::spread::keeper::ConfigKeeper;
use crate::unit::{TimePoint, TimeSpan};

const FILING_SPAN: TimeSpan = TimeSpan::from_secs(10);
const REACH_RETRY: TimeSpan = TimeSpan::from_secs(2);

impl ConfigKeeper {
    /// Returns the share of the fleet that is heard; a process without standing may have
    /// forgotten what it acknowledged, and does not count.
    pub fn reach(&self, now: TimePoint) -> ReachShare {
        let timeout = self.settings.peer_timeout;
        self.peers.share(&self.fleet, self.unit(), |id| {
            let standing = || {
                self.peers
                    .row(id)
                    .is_some_and(|row| row.said.has_standing())
            };
            match *id == self.me {
                true => self.standing.is_founded(),
                false => self.peers.is_heard(id, timeout, now) && standing(),
            }
        })
    }

    /// Returns the share of the fleet that is known to run `revision` or a later one.
    pub fn holders(&self, revision: Revision) -> ReachShare {
        self.peers.share(&self.fleet, self.unit(), |id| {
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
    pub(super) fn count_holds(&self, now: TimePoint) -> bool {
        let own = self.config().revision;
        let ahead = self.peers.rows().values().any(|row| row.revision > own);
        self.is_counting(now) && !ahead && self.reach(now).may_serve()
    }

    pub(super) fn count_vouch(&mut self, now: TimePoint) {
        if self.count_holds(now) {
            self.standing.vouch(now);
        }
    }

    /// Decides whether to serve a request that carries a key.
    pub fn serves_keyed(&self, now: TimePoint) -> Result<(), CallRefusal> {
        let counted = self.count_holds(now);
        self.standing
            .check(&self.settings, self.config().revision, counted, now)
    }

    /// Starts to count, ahead of a ticket.
    pub fn begin_filing(&mut self, now: TimePoint) {
        self.filing_until = Some(now + FILING_SPAN);
    }

    /// Decides whether a ticket may be filed from here.
    pub fn may_file(&self, now: TimePoint) -> Result<(), CallRefusal> {
        match self.reach(now).may_accept() {
            true => Ok(()),
            false => Err(CallRefusal::passing(ResultCode::ReachTooSmall, REACH_RETRY)),
        }
    }

    /// Decides whether a ticket in the log may be acknowledged: enough of the fleet runs it
    /// that no other part of the fleet can serve on without it.
    pub fn may_acknowledge(&self, revision: Revision) -> bool {
        self.holders(revision).may_accept()
    }
}
