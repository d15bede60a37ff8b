//! The sealing reporter, which runs the `lease` and `usage` state machines of the core.

use applefold_core::claim::store::StoreCompletion;
use applefold_core::id::WindowId;
use applefold_core::lease::{HolderName, LeaseAction, LeaseCompletion, LeaseHolder, LeaseOptions};
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_core::usage::{
    SealerAction, SealerEvent, SealerOptions, UsageAggregator, UsageSealer,
};

use super::platform::BillingPlatform;
use super::{ended_window, process_id};
use crate::member::named;

/// Time that the meters have after the end of a window to send the usage that belongs to it.
const SEAL_GRACE: TimeSpan = TimeSpan::from_secs(3);

/// A process that reports sealed windows while it holds the lease.
pub(super) struct SealedReporter {
    holder: HolderName,
    lease: LeaseHolder,
    sealer: UsageSealer,
}

impl SealedReporter {
    pub(super) fn new(index: usize) -> Self {
        let holder = HolderName::new(&process_id(index), 1);
        Self {
            lease: LeaseHolder::new(named("usage"), holder.clone(), LeaseOptions::default()),
            sealer: UsageSealer::new(holder.clone(), SealerOptions::default()),
            holder,
        }
    }

    /// Advances the lease and the sealer, and executes their actions until none is left.
    pub(super) fn step(
        &mut self,
        now: TimePoint,
        platform: &mut BillingPlatform,
        aggregators: &mut [UsageAggregator],
    ) {
        let actions = self.lease.tick(now);
        self.apply_lease(now, platform, actions);
        let ended = ended_window(now - SEAL_GRACE);
        let mut actions = self.sealer.tick(now, ended, &self.lease);
        while !actions.is_empty() {
            let events: Vec<SealerEvent> = actions
                .into_iter()
                .filter_map(|action| execute(action, platform, aggregators))
                .collect();
            actions = Vec::new();
            for event in events {
                actions.extend(self.sealer.handle(now, ended, &self.lease, event));
            }
        }
    }

    /// Executes the actions of the lease holder, and those that follow from the replies.
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

/// Executes an action of the sealer; returns the event that completes it, if it has one.
fn execute(
    action: SealerAction,
    platform: &mut BillingPlatform,
    aggregators: &mut [UsageAggregator],
) -> Option<SealerEvent> {
    match action {
        SealerAction::Store(call) => {
            let reply = platform.store(&call);
            let call = call.call();
            Some(SealerEvent::StoreCompleted(StoreCompletion { call, reply }))
        }
        SealerAction::Collect { call, from } => {
            let batches = aggregators
                .iter()
                .flat_map(|aggregator| aggregator.batches(from));
            Some(SealerEvent::UsageCollected {
                call,
                batches: batches.collect(),
                complete: true,
            })
        }
        SealerAction::Report { call, report, .. } => {
            let is_accepted = platform.bill(report);
            Some(SealerEvent::ReportAnswered {
                call,
                accepted: is_accepted,
            })
        }
        SealerAction::Closed { keep_from, .. } => {
            remove_closed(aggregators, keep_from);
            None
        }
    }
}

fn remove_closed(aggregators: &mut [UsageAggregator], keep_from: WindowId) {
    for aggregator in aggregators {
        aggregator.forget_before(keep_from);
    }
}
