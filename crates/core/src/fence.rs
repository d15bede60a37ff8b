//! The fence in the sidecar, through which every order to its backend server passes.
//!
//! It confirms each order with the lease it was sent under, lets one order
//! through at a time, and so protects backend servers that do not look at
//! fencing numbers themselves. See
//! [docs/design/authority.md](../../../docs/design/authority.md).

mod types;

use std::collections::{BTreeMap, VecDeque};

use crate::claim::store::CallNumber;
use crate::code::{CallRefusal, ResultCode};
use crate::id::{FencingNumber, OrderId, ScopeId};
use crate::unit::{TimePoint, TimeSpan};

pub use types::{
    EngineOrder, EngineReply, EngineState, FenceAction, FenceEvent, FenceOptions, LeaseStatus,
    OrderResult,
};

const RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderStep {
    /// The lease is being read.
    Checking { read: CallNumber, sent: TimePoint },
    /// The backend server is carrying it out.
    Running,
    /// Its outcome is not known; the backend server may still be at it.
    Overdue { until: TimePoint },
}

#[derive(Debug)]
struct CurrentOrder {
    order: EngineOrder,
    waiters: Vec<CallNumber>,
    deadline: TimePoint,
    step: OrderStep,
}

/// Lets orders through to one backend server.
#[derive(Debug)]
pub struct OrderFence {
    options: FenceOptions,
    highest: BTreeMap<ScopeId, FencingNumber>,
    current: Option<CurrentOrder>,
    done: VecDeque<EngineOrder>,
    unsettled: bool,
    quiet_until: TimePoint,
    reads: CallNumber,
}

impl OrderFence {
    /// A fence that knows of no order yet.
    ///
    /// An earlier run of the sidecar may have let an order through, so that
    /// none is let through until that one's time is over.
    pub fn new(now: TimePoint, options: FenceOptions) -> Self {
        Self {
            quiet_until: now + options.max_order_timeout + options.overrun_limit,
            options,
            highest: BTreeMap::new(),
            current: None,
            done: VecDeque::new(),
            unsettled: true,
            reads: CallNumber::default(),
        }
    }

    /// Returns what is known of the backend server's state.
    pub fn state(&self) -> EngineState {
        match &self.current {
            Some(CurrentOrder {
                step: OrderStep::Running,
                ..
            }) => EngineState::Changing,
            Some(CurrentOrder {
                step: OrderStep::Overdue { .. },
                ..
            }) => EngineState::Unknown,
            _ if self.unsettled => EngineState::Unknown,
            _ => EngineState::Known,
        }
    }

    /// Returns the highest fencing number seen for a scope.
    pub fn highest(&self, scope: &ScopeId) -> FencingNumber {
        self.highest.get(scope).copied().unwrap_or_default()
    }

    /// Decides an event.
    pub fn handle(&mut self, now: TimePoint, event: FenceEvent) -> Vec<FenceAction> {
        let mut actions = self.tick(now);
        match event {
            FenceEvent::Order { call, order } => self.order(now, call, order, &mut actions),
            FenceEvent::LeaseRead { call, status } => {
                self.checked(now, call, status, &mut actions);
            }
            FenceEvent::EngineReplied { order, reply } => {
                self.replied(now, &order, reply, &mut actions);
            }
            FenceEvent::EngineCrashed => self.crashed(now, &mut actions),
            FenceEvent::EngineIdle => self.quiet_until = now,
        }
        actions
    }

    /// Does what is timed.
    pub fn tick(&mut self, now: TimePoint) -> Vec<FenceAction> {
        let mut actions = Vec::new();
        let Some(current) = &self.current else {
            return actions;
        };
        match current.step {
            OrderStep::Checking { sent, .. } if now >= sent + self.options.lease_check_timeout => {
                self.refuse(store_unavailable(), &mut actions);
            }
            OrderStep::Running if now >= current.deadline => {
                let late_by = now.since(current.deadline);
                let rest = self.options.overrun_limit.saturating_sub(late_by);
                self.lose(now + rest, &mut actions);
            }
            OrderStep::Overdue { until } if now >= until => {
                self.current = None;
                self.unsettled = true;
            }
            _ => {}
        }
        actions
    }

    fn order(
        &mut self,
        now: TimePoint,
        call: CallNumber,
        order: EngineOrder,
        actions: &mut Vec<FenceAction>,
    ) {
        if let Some(done) = self.done.iter().find(|done| done.id == order.id) {
            let result = match done.body == order.body {
                true => OrderResult::Done,
                false => refused(ResultCode::OrderConflict),
            };
            return actions.push(FenceAction::Reply { call, result });
        }
        if order.fencing < self.highest(&order.scope) {
            let result = refused(ResultCode::FencingOutdated);
            return actions.push(FenceAction::Reply { call, result });
        }
        if let Some(current) = &mut self.current {
            let joins = current.order == order && !current.waiters.is_empty();
            if joins {
                return current.waiters.push(call);
            }
        }
        if self.current.is_some() || now < self.quiet_until {
            let refusal = CallRefusal::retryable(ResultCode::OrderConflict, RETRY_AFTER);
            let result = OrderResult::Refused(refusal);
            return actions.push(FenceAction::Reply { call, result });
        }
        let read = self.reads.advance();
        let scope = order.scope.clone();
        self.current = Some(CurrentOrder {
            deadline: now + order.timeout.min(self.options.max_order_timeout),
            order,
            waiters: vec![call],
            step: OrderStep::Checking { read, sent: now },
        });
        actions.push(FenceAction::ReadLease { call: read, scope });
    }

    fn checked(
        &mut self,
        now: TimePoint,
        call: CallNumber,
        status: LeaseStatus,
        actions: &mut Vec<FenceAction>,
    ) {
        let Some(current) = &mut self.current else {
            return;
        };
        match current.step {
            OrderStep::Checking { read, .. } if read == call => {}
            _ => return,
        }
        let order = &current.order;
        if let LeaseStatus::Held { fencing, .. } = status {
            let highest = self.highest.entry(order.scope.clone()).or_default();
            *highest = fencing.max(*highest);
        }
        let refusal = match status {
            LeaseStatus::Unreadable => Some(store_unavailable()),
            LeaseStatus::Held { fencing, .. } if fencing > order.fencing => {
                Some(CallRefusal::permanent(ResultCode::FencingOutdated))
            }
            LeaseStatus::Held { holder, fencing }
                if fencing == order.fencing && holder == order.holder && now < current.deadline =>
            {
                None
            }
            LeaseStatus::Held { .. } | LeaseStatus::Free => {
                Some(CallRefusal::permanent(ResultCode::AuthorityLapsed))
            }
        };
        match refusal {
            Some(refusal) => self.refuse(refusal, actions),
            None => {
                current.step = OrderStep::Running;
                let order = current.order.clone();
                let deadline = current.deadline;
                actions.push(FenceAction::Send { order, deadline });
            }
        }
    }

    fn replied(
        &mut self,
        now: TimePoint,
        id: &OrderId,
        reply: EngineReply,
        actions: &mut Vec<FenceAction>,
    ) {
        let Some(current) = self.current.as_ref().filter(|c| c.order.id == *id) else {
            return;
        };
        if let OrderStep::Checking { .. } = current.step {
            return;
        }
        match reply {
            EngineReply::Done => {
                self.remember_done(current.order.clone());
                self.unsettled = false;
                self.answer(OrderResult::Done, actions);
            }
            EngineReply::Outdated => {
                let refusal = CallRefusal::permanent(ResultCode::FencingOutdated);
                self.refuse(refusal, actions);
            }
            EngineReply::Refused => {
                let refusal = CallRefusal::permanent(ResultCode::OrderRefused);
                self.refuse(refusal, actions);
            }
            EngineReply::NoResponse => {
                let until = current.deadline.max(now) + self.options.overrun_limit;
                self.lose(until, actions);
            }
        }
    }

    /// A backend server that has died is at nothing any more, whatever it had begun.
    fn crashed(&mut self, now: TimePoint, actions: &mut Vec<FenceAction>) {
        self.quiet_until = now;
        let sent = match &self.current {
            Some(current) => !matches!(current.step, OrderStep::Checking { .. }),
            None => false,
        };
        if sent {
            self.unsettled = true;
            let refusal = CallRefusal::permanent(ResultCode::OrderUnsettled);
            self.refuse(refusal, actions);
        }
    }

    fn remember_done(&mut self, order: EngineOrder) {
        self.done.push_back(order);
        if self.done.len() > self.options.max_completed_orders {
            self.done.pop_front();
        }
    }

    fn lose(&mut self, until: TimePoint, actions: &mut Vec<FenceAction>) {
        let Some(current) = &mut self.current else {
            return;
        };
        current.step = OrderStep::Overdue { until };
        let result = refused(ResultCode::OrderUnsettled);
        let waiters = std::mem::take(&mut current.waiters);
        actions.extend(reply_all(waiters, result));
    }

    fn refuse(&mut self, refusal: CallRefusal, actions: &mut Vec<FenceAction>) {
        self.answer(OrderResult::Refused(refusal), actions);
    }

    fn answer(&mut self, result: OrderResult, actions: &mut Vec<FenceAction>) {
        let Some(current) = self.current.take() else {
            return;
        };
        actions.extend(reply_all(current.waiters, result));
    }
}

fn refused(code: ResultCode) -> OrderResult {
    OrderResult::Refused(CallRefusal::permanent(code))
}

fn store_unavailable() -> CallRefusal {
    CallRefusal::retryable(ResultCode::PlatformUnavailable, RETRY_AFTER)
}

fn reply_all(waiters: Vec<CallNumber>, result: OrderResult) -> Vec<FenceAction> {
    let replies = waiters.into_iter().map(|call| FenceAction::Reply {
        call,
        result: result.clone(),
    });
    replies.collect()
}
