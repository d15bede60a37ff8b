//! Exclusive authority over a scope, held under a lease of the platform's service.
//!
//! A holder acts only until a safety margin before the lease expires on its own
//! clock, counted from the time at which it sent the last successful renewal.
//! The reasons and the remaining risks are described in
//! [docs/design/authority.md](../../../docs/design/authority.md).

mod claim;
mod options;
mod types;

use crate::claim::store::CallNumber;
use crate::id::{FencingNumber, ScopeId};
use crate::unit::TimePoint;

pub use claim::{RecordClaim, RecordLease, StoredRecord};
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
    sent_at: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fencing: FencingNumber,
    /// When the holder may first act.
    acts_from: TimePoint,
    /// When the holder must stop acting, unless the lease is renewed.
    acts_until: TimePoint,
    /// Whether `StartActing` was returned without a `StopActing` since.
    acting: bool,
}

/// Acquires, renews and releases the lease of one scope.
#[derive(Debug)]
pub struct LeaseHolder {
    scope: ScopeId,
    holder: HolderName,
    options: LeaseOptions,
    /// Whether the lease is to be acquired and renewed.
    wanted: bool,
    lease: Option<HeldLease>,
    pending: Option<PendingCall>,
    next_call_at: TimePoint,
    last_step_at: Option<TimePoint>,
    last_call: CallNumber,
}

impl LeaseHolder {
    /// Creates a holder that will acquire the lease with its first tick.
    pub fn new(scope: ScopeId, holder: HolderName, options: LeaseOptions) -> Self {
        Self {
            scope,
            holder,
            options,
            wanted: true,
            lease: None,
            pending: None,
            next_call_at: TimePoint::START,
            last_step_at: None,
            last_call: CallNumber::default(),
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

    /// Returns the lease's options.
    pub fn options(&self) -> &LeaseOptions {
        &self.options
    }

    /// Returns proof of authority, or `None` if the holder must not act at `now`.
    ///
    /// It must be called in the step that sends, with no await between the check and the send.
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

    /// Performs what is due. It must be called several times within a margin.
    pub fn tick(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        let mut actions = self.step(now);
        self.expire_pending_call(now);
        if self.wanted && self.pending.is_none() && now >= self.next_call_at {
            actions.push(self.send_call(now));
        }
        actions
    }

    /// Handles the completion of a call. Completions of any but the last call are ignored.
    pub fn handle(&mut self, now: TimePoint, completion: LeaseCompletion) -> Vec<LeaseAction> {
        let mut actions = self.step(now);
        let Some(pending) = self.pending.filter(|p| p.call == completion.call) else {
            return actions;
        };
        self.pending = None;
        match completion.reply {
            LeaseReply::Granted { fencing } => self.grant(now, pending, fencing, &mut actions),
            LeaseReply::Held {
                holder,
                fencing,
                remaining,
            } => {
                let own = holder.as_ref() == Some(&self.holder);
                self.refuse(now, pending, own.then_some(fencing), &mut actions);
                if !own && pending.kind == CallKind::Acquire {
                    self.next_call_at = now + remaining.max(self.options.renewal_interval);
                }
            }
            LeaseReply::Failed => {}
        }
        actions.extend(self.start_acting(now));
        actions
    }

    /// Lets the holder acquire the lease again after it was released.
    pub fn reacquire(&mut self) {
        self.wanted = true;
    }

    /// Stops acting at once and releases the lease, since a receiver has seen a higher fencing number.
    /// After a pause the holder tries to acquire it anew, so that the scope does not stay without one.
    pub fn step_down(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        let actions = self.release(now);
        self.reacquire();
        self.next_call_at = now + self.options.ttl;
        actions
    }

    /// Stops acting at once and releases the lease.
    pub fn release(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        let mut actions = self.step(now);
        self.wanted = false;
        self.pending = None;
        let Some(lease) = self.lease.take() else {
            return actions;
        };
        let fencing = lease.fencing;
        if lease.acting {
            actions.push(LeaseAction::StopActing { fencing });
        }
        actions.push(LeaseAction::Release { fencing });
        actions
    }

    /// Returns whether the holder was not stepped for longer than the margin.
    fn was_paused(&self, now: TimePoint) -> bool {
        self.last_step_at
            .is_some_and(|last| now.since(last) > self.options.margin)
    }

    /// Ends expired authority before any other input is handled.
    fn step(&mut self, now: TimePoint) -> Vec<LeaseAction> {
        let paused = self.was_paused(now);
        self.last_step_at = Some(now);
        if paused {
            self.pending = None;
            self.next_call_at = now;
        }
        let Some(lease) = self.lease.as_mut() else {
            return Vec::new();
        };
        if paused {
            lease.acts_until = lease.acts_until.min(now);
        }
        if lease.acting && now >= lease.acts_until {
            lease.acting = false;
            let fencing = lease.fencing;
            return vec![LeaseAction::StopActing { fencing }];
        }
        self.start_acting(now).into_iter().collect()
    }

    /// Starts acting if that is due.
    fn start_acting(&mut self, now: TimePoint) -> Option<LeaseAction> {
        let lease = self.lease.as_mut()?;
        if lease.acting || now < lease.acts_from || now >= lease.acts_until {
            return None;
        }
        lease.acting = true;
        let fencing = lease.fencing;
        Some(LeaseAction::StartActing { fencing })
    }

    fn expire_pending_call(&mut self, now: TimePoint) {
        let timeout = self.options.call_timeout;
        self.pending = self.pending.filter(|p| now.since(p.sent_at) < timeout);
    }

    fn send_call(&mut self, now: TimePoint) -> LeaseAction {
        let call = self.last_call.advance();
        let ttl = self.options.ttl;
        let (kind, action) = match self.lease {
            Some(HeldLease { fencing, .. }) => {
                (CallKind::Renew, LeaseAction::Renew { call, fencing, ttl })
            }
            None => (CallKind::Acquire, LeaseAction::Acquire { call, ttl }),
        };
        let sent_at = now;
        self.pending = Some(PendingCall {
            call,
            kind,
            sent_at,
        });
        self.next_call_at = now + self.options.renewal_interval;
        action
    }

    fn grant(
        &mut self,
        now: TimePoint,
        pending: PendingCall,
        fencing: FencingNumber,
        actions: &mut Vec<LeaseAction>,
    ) {
        let acts_until = pending.sent_at + self.options.authority_span();
        match self.lease.as_mut() {
            Some(lease) if lease.fencing == fencing => lease.acts_until = acts_until,
            _ => {
                self.drop_lease(actions);
                self.lease = Some(HeldLease {
                    fencing,
                    acts_from: now + self.options.takeover_delay(),
                    acts_until,
                    acting: false,
                });
            }
        }
    }

    fn refuse(
        &mut self,
        now: TimePoint,
        pending: PendingCall,
        own: Option<FencingNumber>,
        actions: &mut Vec<LeaseAction>,
    ) {
        if pending.kind == CallKind::Renew {
            self.drop_lease(actions);
        }
        self.next_call_at = now;
        // An earlier call took effect although its reply was lost. When that lease expires is
        // unknown, so the holder does not act until a renewal succeeds.
        if let Some(fencing) = own {
            self.lease = Some(HeldLease {
                fencing,
                acts_from: now + self.options.takeover_delay(),
                acts_until: now,
                acting: false,
            });
        }
    }

    fn drop_lease(&mut self, actions: &mut Vec<LeaseAction>) {
        if let Some(HeldLease {
            fencing,
            acting: true,
            ..
        }) = self.lease.take()
        {
            actions.push(LeaseAction::StopActing { fencing });
        }
    }
}
