//! Crashes that a response may still disprove.

use std::collections::VecDeque;

use super::{BackendRun, DISPROOF_WINDOW};
use crate::claim::RequestFingerprint;
use crate::id::BackendId;
use crate::unit::TimePoint;

#[derive(Debug)]
struct RecentCrash {
    at: TimePoint,
    fingerprint: RequestFingerprint,
    run: BackendRun,
}

/// The crashes of the last [`DISPROOF_WINDOW`], the latest one last.
#[derive(Debug, Default)]
pub(super) struct RecentCrashes(VecDeque<RecentCrash>);

impl RecentCrashes {
    pub(super) fn push(
        &mut self,
        now: TimePoint,
        fingerprint: RequestFingerprint,
        run: BackendRun,
    ) {
        self.drop_settled(now);
        self.0.push_back(RecentCrash {
            at: now,
            fingerprint,
            run,
        });
    }

    /// Removes and returns the crashes that a response of `backend` to a request that was sent at
    /// `sent_at` disproves.
    pub(super) fn take_disproved(
        &mut self,
        now: TimePoint,
        backend: &BackendId,
        sent_at: TimePoint,
    ) -> Vec<(RequestFingerprint, BackendRun)> {
        self.drop_settled(now);
        let mut disproved = Vec::new();
        self.0.retain(|crash| {
            let is_disproved = crash.run.backend == *backend && crash.at < sent_at;
            if is_disproved {
                disproved.push((crash.fingerprint, crash.run.clone()));
            }
            !is_disproved
        });
        disproved
    }

    /// Drops the crashes that a response can no longer disprove.
    fn drop_settled(&mut self, now: TimePoint) {
        while let Some(oldest) = self.0.front() {
            if now.since(oldest.at) < DISPROOF_WINDOW {
                break;
            }
            self.0.pop_front();
        }
    }
}
