//! A process that reports by the decisions of `lease` and `usage`.

use applefold_core::claim::store::StoreCompletion;
use applefold_core::id::WindowId;
use applefold_core::lease::{HolderName, LeaseAction, LeaseCompletion, LeaseHolder, LeaseOptions};
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_core::usage::{
    SealerAction, SealerEvent, SealerOptions, UsageAggregator, UsageSealer,
};

use super::platform::BillingPlatform;
use super::{ended_window, keeper_id};
use crate::member::named;

/// Meters have this long after the end of a window to send what they counted in it.
const SEAL_GRACE: TimeSpan = TimeSpan::from_secs(3);

/// A lease holder and a sealer that acts under it.
pub(super) struct SealedReporter {
    holder: HolderName,
    lease: LeaseHolder,
    sealer: UsageSealer,
}

impl SealedReporter {
    pub(super) fn new(index: usize) -> Self {
        let holder = HolderName::new(&keeper_id(index), 1);
        Self {
            lease: LeaseHolder::new(named("usage"), holder.clone(), LeaseOptions::default()),
            sealer: UsageSealer::new(holder.clone(), SealerOptions::default()),
            holder,
        }
    }

    pub(super) fn step(
        &mut self,
        now: TimePoint,
        platform: &mut BillingPlatform,
        keepers: &mut [UsageAggregator],
    ) {
        let actions = self.lease.tick(now);
        self.apply_lease(now, platform, actions);
        let ended = ended_window(now - SEAL_GRACE);
        let mut actions = self.sealer.tick(now, ended, &self.lease);
        while !actions.is_empty() {
            let answers: Vec<SealerEvent> = actions
                .into_iter()
                .filter_map(|action| carry_out(action, platform, keepers))
                .collect();
            actions = Vec::new();
            for event in answers {
                actions.extend(self.sealer.handle(now, ended, &self.lease, event));
            }
        }
    }

    fn apply_lease(
        &mut self,
        now: TimePoint,
        platform: &mut BillingPlatform,
        actions: Vec<LeaseAction>,
    ) {
        for action in actions {
            let (call, ttl) = match action {
                LeaseAction::Acquire { call, ttl } | LeaseAction::Renew { call, ttl, .. } => {
                    (call, ttl)
                }
                LeaseAction::StartActing { fencing } => {
                    self.sealer.begin(now, fencing);
                    continue;
                }
                LeaseAction::StopActing { .. } => {
                    self.sealer.end();
                    continue;
                }
                LeaseAction::Release { .. } => continue,
            };
            let reply = platform.lease(&self.holder, ttl);
            let next = self.lease.handle(now, LeaseCompletion { call, reply });
            self.apply_lease(now, platform, next);
        }
    }
}

fn carry_out(
    action: SealerAction,
    platform: &mut BillingPlatform,
    keepers: &mut [UsageAggregator],
) -> Option<SealerEvent> {
    match action {
        SealerAction::Store(call) => {
            let reply = platform.store(&call);
            let call = call.call();
            Some(SealerEvent::StoreCompleted(StoreCompletion { call, reply }))
        }
        SealerAction::Collect { call, from } => {
            let batches = keepers.iter().flat_map(|keeper| keeper.batches(from));
            Some(SealerEvent::UsageCollected {
                call,
                batches: batches.collect(),
                complete: true,
            })
        }
        SealerAction::Report { call, report, .. } => {
            let taken = platform.bill(report);
            Some(SealerEvent::ReportAnswered {
                call,
                accepted: taken,
            })
        }
        SealerAction::Closed { keep_from, .. } => {
            forget(keepers, keep_from);
            None
        }
    }
}

fn forget(keepers: &mut [UsageAggregator], keep_from: WindowId) {
    for keeper in keepers {
        keeper.forget_before(keep_from);
    }
}
