//! The fence in the sidecar, which every order to the backend server must pass.
//!
//! It checks each order against the lease under which it was sent, and forwards
//! one order at a time. This protects backend servers that do not check fencing
//! numbers themselves. See
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
    Checking {
        read: CallNumber,
        sent_at: TimePoint,
    },
    /// The backend server is carrying out the order.
    Running,
    /// The outcome is not known; the backend server may still be carrying out the order until this
    /// time.
    Overdue { until: TimePoint },
}

#[derive(Debug)]
struct CurrentOrder {
    order: EngineOrder,
    /// The calls to reply to when the order ends.
    waiters: Vec<CallNumber>,
    deadline: TimePoint,
    step: OrderStep,
}

/// Checks orders and forwards them to one backend server, one at a time.
#[derive(Debug)]
pub struct OrderFence {
    options: FenceOptions,
    /// The highest fencing number seen for each scope.
    highest: BTreeMap<ScopeId, FencingNumber>,
    current: Option<CurrentOrder>,
    /// The last completed orders, oldest first.
    completed: VecDeque<EngineOrder>,
    /// Whether the backend server's state after the last order is unknown.
    state_unknown: bool,
    /// Until when orders are refused because an earlier one may still be running.
    blocked_until: TimePoint,
    last_read: CallNumber,
}

impl OrderFence {
    /// Creates a fence that has seen no orders.
    ///
    /// An earlier incarnation of the sidecar may have forwarded an order. The
    /// fence therefore refuses orders until that order must have ended.
    pub fn new(now: TimePoint, options: FenceOptions) -> Self {
        Self {
            blocked_until: now + options.max_order_timeout + options.overrun_limit,
            options,
            highest: BTreeMap::new(),
            current: None,
            completed: VecDeque::new(),
            state_unknown: true,
            last_read: CallNumber::default(),
        }
    }

    /// Returns what is known about the backend server's state.
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
            _ if self.state_unknown => EngineState::Unknown,
            _ => EngineState::Known,
        }
    }

    /// Returns the highest fencing number seen for a scope.
    pub fn highest(&self, scope: &ScopeId) -> FencingNumber {
        self.highest.get(scope).copied().unwrap_or_default()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: TimePoint, event: FenceEvent) -> Vec<FenceAction> {
        let mut actions = self.tick(now);
        match event {
            FenceEvent::Order { call, order } => self.handle_order(now, call, order, &mut actions),
            FenceEvent::LeaseRead { call, status } => {
                self.handle_lease_read(now, call, status, &mut actions);
            }
            FenceEvent::EngineReplied { order, reply } => {
                self.handle_reply(now, &order, reply, &mut actions);
            }
            FenceEvent::EngineCrashed => self.handle_crash(now, &mut actions),
            FenceEvent::EngineIdle => self.blocked_until = now,
        }
        actions
    }

    /// Performs what is due.
    pub fn tick(&mut self, now: TimePoint) -> Vec<FenceAction> {
        let mut actions = Vec::new();
        let Some(current) = &self.current else {
            return actions;
        };
        match current.step {
            OrderStep::Checking { sent_at, .. }
                if now >= sent_at + self.options.lease_check_timeout =>
            {
                self.refuse(store_unavailable(), &mut actions);
            }
            OrderStep::Running if now >= current.deadline => {
                let late_by = now.since(current.deadline);
                let remaining = self.options.overrun_limit.saturating_sub(late_by);
                self.mark_overdue(now + remaining, &mut actions);
            }
            OrderStep::Overdue { until } if now >= until => {
                self.current = None;
                self.state_unknown = true;
            }
            _ => {}
        }
        actions
    }

    fn handle_order(
        &mut self,
        now: TimePoint,
        call: CallNumber,
        order: EngineOrder,
        actions: &mut Vec<FenceAction>,
    ) {
        if let Some(completed) = self
            .completed
            .iter()
            .find(|completed| completed.id == order.id)
        {
            let result = match completed.body == order.body {
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
            let is_duplicate = current.order == order && !current.waiters.is_empty();
            if is_duplicate {
                return current.waiters.push(call);
            }
        }
        if self.current.is_some() || now < self.blocked_until {
            let refusal = CallRefusal::retryable(ResultCode::OrderConflict, RETRY_AFTER);
            let result = OrderResult::Refused(refusal);
            return actions.push(FenceAction::Reply { call, result });
        }
        let read = self.last_read.advance();
        let scope = order.scope.clone();
        self.current = Some(CurrentOrder {
            deadline: now + order.timeout.min(self.options.max_order_timeout),
            order,
            waiters: vec![call],
            step: OrderStep::Checking { read, sent_at: now },
        });
        actions.push(FenceAction::ReadLease { call: read, scope });
    }

    fn handle_lease_read(
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

    fn handle_reply(
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
                self.remember_completed(current.order.clone());
                self.state_unknown = false;
                self.finish(OrderResult::Done, actions);
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
                self.mark_overdue(until, actions);
            }
        }
    }

    /// Handles a crash of the backend server, which ends any order that it was carrying out.
    fn handle_crash(&mut self, now: TimePoint, actions: &mut Vec<FenceAction>) {
        self.blocked_until = now;
        let sent = match &self.current {
            Some(current) => !matches!(current.step, OrderStep::Checking { .. }),
            None => false,
        };
        if sent {
            self.state_unknown = true;
            let refusal = CallRefusal::permanent(ResultCode::OrderUnsettled);
            self.refuse(refusal, actions);
        }
    }

    fn remember_completed(&mut self, order: EngineOrder) {
        self.completed.push_back(order);
        if self.completed.len() > self.options.max_completed_orders {
            self.completed.pop_front();
        }
    }

    /// Refuses the current order as unsettled, and blocks other orders until `until`.
    fn mark_overdue(&mut self, until: TimePoint, actions: &mut Vec<FenceAction>) {
        let Some(current) = &mut self.current else {
            return;
        };
        current.step = OrderStep::Overdue { until };
        let result = refused(ResultCode::OrderUnsettled);
        let waiters = std::mem::take(&mut current.waiters);
        actions.extend(reply_all(waiters, result));
    }

    fn refuse(&mut self, refusal: CallRefusal, actions: &mut Vec<FenceAction>) {
        self.finish(OrderResult::Refused(refusal), actions);
    }

    /// Removes the current order and replies to its waiters.
    fn finish(&mut self, result: OrderResult, actions: &mut Vec<FenceAction>) {
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
