//! Crashes that a response may still disprove.

use std::collections::{BTreeMap, VecDeque};

use super::life::disproves;
use super::BackendRun;
use crate::claim::RequestFingerprint;
use crate::id::BackendId;
use crate::unit::{TimePoint, TimeSpan};

/// How long a crash can be disproved: as long as something may be quarantined for it.
const RETENTION: TimeSpan = TimeSpan::from_secs(600);
/// The most crashes that are kept of one backend server. The oldest ones are dropped first.
const MAX_CRASHES: usize = 256;

#[derive(Debug)]
struct RecentCrash {
    at: TimePoint,
    fingerprint: RequestFingerprint,
    run: BackendRun,
}

/// The crashes of the last [`RETENTION`] by backend server.
#[derive(Debug, Default)]
pub(super) struct RecentCrashes(BTreeMap<BackendId, VecDeque<RecentCrash>>);

impl RecentCrashes {
    /// Records a crash at `at`, which this process saw or received at `now`.
    pub(super) fn push(
        &mut self,
        now: TimePoint,
        at: TimePoint,
        fingerprint: RequestFingerprint,
        run: BackendRun,
    ) {
        let crashes = self.0.entry(run.backend.clone()).or_default();
        crashes.retain(|crash| now.since(crash.at) < RETENTION);
        if crashes.len() >= MAX_CRASHES {
            crashes.pop_front();
        }
        crashes.push_back(RecentCrash {
            at,
            fingerprint,
            run,
        });
    }

    /// Removes and returns the crashes that a response of `backend` to a request that was sent at
    /// `sent_at` disproves.
    pub(super) fn take_disproved(
        &mut self,
        backend: &BackendId,
        sent_at: TimePoint,
    ) -> Vec<(RequestFingerprint, BackendRun)> {
        let Some(crashes) = self.0.get_mut(backend) else {
            return Vec::new();
        };
        let mut disproved = Vec::new();
        crashes.retain(|crash| {
            let is_disproved = disproves(sent_at, crash.at);
            if is_disproved {
                disproved.push((crash.fingerprint, crash.run.clone()));
            }
            !is_disproved
        });
        disproved
    }

    /// Drops the crashes that a response can no longer disprove.
    pub(super) fn tick(&mut self, now: TimePoint) {
        for crashes in self.0.values_mut() {
            crashes.retain(|crash| now.since(crash.at) < RETENTION);
        }
        self.0.retain(|_, crashes| !crashes.is_empty());
    }
}
