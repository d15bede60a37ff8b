//! Authority over a scope, held under a lease in the platform's service.
//!
//! A holder acts only while its own clock says that the lease holds with a
//! margin, counted from the moment at which the renewal was sent. The reasons
//! and what is left are in
//! [docs/design/authority.md](../../../docs/design/authority.md).

mod options;
mod types;

use crate::claim::store::CallNumber;
use crate::id::{FencingNumber, ScopeId};
use crate::unit::TimePoint;

pub use options::{
    DriftRate, LeaseOptions, TakeoverRule, LEASE_MARGIN, LEASE_TTL, MAX_CLOCK_DRIFT,
    ORDER_DELIVERY_TIMEOUT, RENEWALS_PER_LEASE,
};
pub use types::{Authority, HolderName, LeaseAction, LeaseCompletion, LeaseReply};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Acquire,
    Renew,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: CallNumber,
    kind: CallKind,
    sent: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fencing: FencingNumber,
    acts_from: TimePoint,
    acts_until: TimePoint,
    begun: bool,
}

/// Acquires, renews and gives back the lease of one scope.
#[derive(Debug)]
pub struct LeaseHolder {
    scope: ScopeId,
    holder: HolderName,
    options: LeaseOptions,
    wanted: bool,
    lease: Option<HeldLease>,
    pending: Option<PendingCall>,
    next_call: TimePoint,
    last_step: Option<TimePoint>,
    calls: CallNumber,
}

impl LeaseHolder {
    /// A holder that wants the lease and has not asked for it yet.
    pub fn new(scope: ScopeId, holder: HolderName, options: LeaseOptions) -> Self {
        Self {
            scope,
            holder,
            options,
            wanted: true,
            lease: None,
            pending: None,
            next_call: TimePoint::START,
            last_step: None,
            calls: CallNumber::default(),
        }
    }

    /// Returns the scope.
    pub fn scope(&self) -> &ScopeId {
        &self.scope
    }

    /// Returns the holder's name.
    pub fn holder(&self) -> &HolderName {
        &self.holder
    }

    /// Returns the times that the lease goes by.
    pub fn options(&self) -> &LeaseOptions {
        &self.options
    }

    /// Returns proof of authority, or nothing where the holder must not act.
    ///
    /// Ask in the step that sends, with no await in between.
    pub fn authority(&self, now: TimePoint) -> Option<Authority> {
        let lease = self.lease?;
        if self.was_paused(now) || now < lease.acts_from || now >= lease.acts_until {
            return None;
        }
        Some(Authority {
            scope: self.scope.clone(),
            holder: self.holder.clone(),
            fencing: lease.fencing,
            expires_at: lease.acts_until,
        })
    }

    /// Does what is timed; call it several times within a margin.
    pub fn tick(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        let mut actions = self.step(now);
        self.forget_late_call(now);
        if self.wanted && self.pending.is_none() && now >= self.next_call {
            actions.push(self.ask(now));
        }
        actions
    }

    /// Takes the answer to a call; an answer to any but the last call is ignored.
    pub fn handle(&mut self, now: TimePoint, answer: LeaseCompletion) -> Vec<LeaseAction> {
        let mut actions = self.step(now);
        let Some(pending) = self.pending.filter(|p| p.call == answer.call) else {
            return actions;
        };
        self.pending = None;
        match answer.reply {
            LeaseReply::Granted { fencing } => self.grant(now, pending, fencing, &mut actions),
            LeaseReply::Held {
                holder,
                fencing,
                remaining,
            } => {
                let mine = holder.as_ref() == Some(&self.holder);
                self.refuse(now, pending, mine.then_some(fencing), &mut actions);
                if !mine && pending.kind == CallKind::Acquire {
                    self.next_call = now + remaining.max(self.options.renewal_interval);
                }
            }
            LeaseReply::Failed => {}
        }
        actions.extend(self.settle_begin(now));
        actions
    }

    /// Asks for the lease again after it was given back.
    pub fn reacquire(&mut self) {
        self.wanted = true;
    }

    /// Ends authority at once and gives the lease back.
    pub fn release(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        let mut actions = self.step(now);
        self.wanted = false;
        self.pending = None;
        let Some(lease) = self.lease.take() else {
            return actions;
        };
        let fencing = lease.fencing;
        if lease.begun {
            actions.push(LeaseAction::StopActing { fencing });
        }
        actions.push(LeaseAction::Release { fencing });
        actions
    }

    fn was_paused(&self, now: TimePoint) -> bool {
        self.last_step
            .is_some_and(|last| now.since(last) > self.options.margin)
    }

    /// Ends authority that has run out, before anything else is looked at.
    fn step(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        let paused = self.was_paused(now);
        self.last_step = Some(now);
        if paused {
            self.pending = None;
            self.next_call = now;
        }
        let Some(lease) = self.lease.as_mut() else {
            return Vec::new();
        };
        if paused {
            lease.acts_until = lease.acts_until.min(now);
        }
        if lease.begun && now >= lease.acts_until {
            lease.begun = false;
            let fencing = lease.fencing;
            return vec![LeaseAction::StopActing { fencing }];
        }
        self.settle_begin(now).into_iter().collect()
    }

    fn settle_begin(&mut self, now: TimePoint) -> Option<LeaseAction> {
        let lease = self.lease.as_mut()?;
        if lease.begun || now < lease.acts_from || now >= lease.acts_until {
            return None;
        }
        lease.begun = true;
        let fencing = lease.fencing;
        Some(LeaseAction::StartActing { fencing })
    }

    fn forget_late_call(&mut self, now: TimePoint) {
        let timeout = self.options.call_timeout;
        self.pending = self.pending.filter(|p| now.since(p.sent) < timeout);
    }

    fn ask(&mut self, now: TimePoint) -> LeaseAction {
        let call = self.calls.advance();
        let ttl = self.options.ttl;
        let (kind, action) = match self.lease {
            Some(HeldLease { fencing, .. }) => {
                (CallKind::Renew, LeaseAction::Renew { call, fencing, ttl })
            }
            None => (CallKind::Acquire, LeaseAction::Acquire { call, ttl }),
        };
        let sent = now;
        self.pending = Some(PendingCall { call, kind, sent });
        self.next_call = now + self.options.renewal_interval;
        action
    }

    fn grant(
        &mut self,
        now: TimePoint,
        pending: PendingCall,
        fencing: FencingNumber,
        actions: &mut Vec<LeaseAction>,
    ) {
        let acts_until = pending.sent + self.options.authority_span();
        match self.lease.as_mut() {
            Some(lease) if lease.fencing == fencing => lease.acts_until = acts_until,
            _ => {
                self.drop_lease(actions);
                self.lease = Some(HeldLease {
                    fencing,
                    acts_from: now + self.options.takeover_delay(),
                    acts_until,
                    begun: false,
                });
            }
        }
    }

    fn refuse(
        &mut self,
        now: TimePoint,
        pending: PendingCall,
        mine: Option<FencingNumber>,
        actions: &mut Vec<LeaseAction>,
    ) {
        if pending.kind == CallKind::Renew {
            self.drop_lease(actions);
        }
        self.next_call = now;
        // An earlier request took effect although its answer was lost: its
        // length is unknown, so nothing is done until a renewal succeeds.
        if let Some(fencing) = mine {
            self.lease = Some(HeldLease {
                fencing,
                acts_from: now + self.options.takeover_delay(),
                acts_until: now,
                begun: false,
            });
        }
    }

    fn drop_lease(&mut self, actions: &mut Vec<LeaseAction>) {
        if let Some(HeldLease {
            fencing,
            begun: true,
            ..
        }) = self.lease.take()
        {
            actions.push(LeaseAction::StopActing { fencing });
        }
    }
}
