//! Orders to the platform's own interface, which may not check fencing numbers.
//!
//! Each order's intent is stored before it is sent and its outcome after it,
//! so that a successor settles what it finds by reading, before it sends
//! anything. See [docs/design/authority.md](../../../docs/design/authority.md).

mod record;
mod row;
mod types;

use std::collections::BTreeMap;

use crate::claim::store::{CallNumber, StoreCall, StoreEntry, StoreKey, StoreReply};
use crate::id::{FencingNumber, OrderId, ScopeId};
use crate::lease::{Authority, HolderName, LeaseHolder};
use crate::unit::TimePoint;
use record::{scope_prefix, OrderRecord};
use row::{OrderRow, RowContext};

pub use types::{
    JournalAction, JournalEvent, JournalOptions, OrderOutcome, PlatformAction, PlatformOrder,
    PostReply,
};

#[derive(Debug)]
enum JournalPhase {
    Idle,
    Loading {
        call: Option<CallNumber>,
        due: TimePoint,
        after: Option<StoreKey>,
    },
    Open,
}

#[derive(Debug)]
struct OrdersReading {
    call: CallNumber,
    sent: TimePoint,
}

/// Carries orders to the platform, at most once each, under one scope's lease.
#[derive(Debug)]
pub struct OrderJournal {
    scope: ScopeId,
    holder: HolderName,
    options: JournalOptions,
    fencing: FencingNumber,
    phase: JournalPhase,
    rows: BTreeMap<OrderId, OrderRow>,
    reading: Option<OrdersReading>,
    calls: CallNumber,
}

impl OrderJournal {
    /// A journal that has no authority yet.
    pub fn new(scope: ScopeId, holder: HolderName, options: JournalOptions) -> Self {
        Self {
            scope,
            holder,
            options,
            fencing: FencingNumber::default(),
            phase: JournalPhase::Idle,
            rows: BTreeMap::new(),
            reading: None,
            calls: CallNumber::default(),
        }
    }

    /// Returns whether orders are accepted: earlier holders' orders are all settled.
    pub fn is_ready(&self) -> bool {
        let foreign = self.rows.values().any(OrderRow::is_inherited);
        matches!(self.phase, JournalPhase::Open) && !foreign
    }

    /// Returns how many orders have not ended.
    pub fn pending_count(&self) -> usize {
        self.rows.len()
    }

    /// Begins to act under `fencing`; earlier holders' orders are settled first.
    pub fn begin(&mut self, now: TimePoint, fencing: FencingNumber) {
        self.end();
        self.fencing = fencing;
        self.phase = JournalPhase::Loading {
            call: None,
            due: now,
            after: None,
        };
    }

    /// Ends at once; what is open is left to the successor.
    pub fn end(&mut self) {
        self.phase = JournalPhase::Idle;
        self.rows.clear();
        self.reading = None;
    }

    /// Decides an event.
    ///
    /// Authority is asked for in the step that returns an order to send.
    pub fn handle(
        &mut self,
        now: TimePoint,
        lease: &LeaseHolder,
        event: JournalEvent,
    ) -> Vec<JournalAction> {
        let mut actions = Vec::new();
        match event {
            JournalEvent::Submit(order) => actions.extend(self.plan(now, order)),
            JournalEvent::StoreCompleted(answer) => {
                if !self.page(now, answer.call, &answer.reply) {
                    self.each_row(now, lease, &mut actions, |row, context| {
                        row.stored(context, answer.call, &answer.reply);
                    });
                }
            }
            JournalEvent::PostCompleted { call, reply } => {
                self.each_row(now, lease, &mut actions, |row, context| {
                    row.posted(context, call, reply);
                });
            }
            JournalEvent::OrdersRead { call, orders } => {
                if self.reading.as_ref().is_some_and(|r| r.call == call) {
                    let sent = self.reading.take().map_or(now, |reading| reading.sent);
                    if let Some(orders) = orders {
                        self.each_row(now, lease, &mut actions, |row, context| {
                            row.settled(context, sent, orders.contains(row.id()));
                        });
                    }
                }
            }
        }
        actions.extend(self.tick(now, lease));
        actions
    }

    /// Does what is timed.
    pub fn tick(&mut self, now: TimePoint, lease: &LeaseHolder) -> Vec<JournalAction> {
        let mut actions = Vec::new();
        actions.extend(self.list_call(now).map(JournalAction::Store));
        self.each_row(now, lease, &mut actions, |_, _| {});
        actions.extend(self.read_call(now));
        actions
    }

    fn plan(&mut self, now: TimePoint, order: PlatformOrder) -> Option<JournalAction> {
        if self.rows.contains_key(&order.id) {
            return None;
        }
        if !self.is_ready() {
            let outcome = OrderOutcome::NeverSent;
            return Some(JournalAction::Finished { order, outcome });
        }
        let id = order.id.clone();
        let (holder, fencing) = (self.holder.clone(), self.fencing);
        let row = OrderRow::plan(now, &self.scope, order, holder, fencing, &self.options);
        self.rows.insert(id, row);
        None
    }

    fn each_row<F>(
        &mut self,
        now: TimePoint,
        lease: &LeaseHolder,
        actions: &mut Vec<JournalAction>,
        mut step: F,
    ) where
        F: FnMut(&mut OrderRow, &mut RowContext<'_>),
    {
        let fencing = self.fencing;
        let authority = || -> Option<Authority> {
            let authority = lease.authority(now)?;
            (authority.fencing() == fencing).then_some(authority)
        };
        let mut context = RowContext {
            now,
            holder: &self.holder,
            fencing,
            options: &self.options,
            authority: &authority,
            calls: &mut self.calls,
            actions,
        };
        for row in self.rows.values_mut() {
            step(row, &mut context);
            row.advance(&mut context);
        }
        self.rows.retain(|_, row| !row.is_over());
    }

    /// Takes a page of records, if the answer is one.
    fn page(&mut self, now: TimePoint, answered: CallNumber, reply: &StoreReply) -> bool {
        let JournalPhase::Loading { call, due, after } = &mut self.phase else {
            return false;
        };
        if *call != Some(answered) {
            return false;
        }
        *call = None;
        *due = now;
        let StoreReply::Listed(entries) = reply else {
            *due = now + self.options.backoff;
            return true;
        };
        if let Some(last) = entries.last() {
            *after = Some(last.key.clone());
        }
        if entries.len() < self.options.page_size {
            self.phase = JournalPhase::Open;
        }
        for entry in entries {
            self.inherit(now, entry);
        }
        true
    }

    fn inherit(&mut self, now: TimePoint, entry: &StoreEntry) {
        let Some(record) = OrderRecord::parse(&entry.value) else {
            return;
        };
        let id = record.order.id.clone();
        let key = entry.key.clone();
        let row = OrderRow::inherit(now, record, key, entry.version, &self.options);
        self.rows.insert(id, row);
    }

    fn list_call(&mut self, now: TimePoint) -> Option<StoreCall> {
        let JournalPhase::Loading { call, due, after } = &mut self.phase else {
            return None;
        };
        if now < *due {
            return None;
        }
        let number = self.calls.advance();
        *call = Some(number);
        *due = now + self.options.call_timeout;
        Some(StoreCall::List {
            call: number,
            prefix: scope_prefix(&self.scope),
            after: after.clone(),
            limit: self.options.page_size,
        })
    }

    fn read_call(&mut self, now: TimePoint) -> Option<JournalAction> {
        let timeout = self.options.call_timeout;
        self.reading = self.reading.take().filter(|r| now.since(r.sent) < timeout);
        let due = self.rows.values().any(|row| row.wants_reading(now));
        if !due || self.reading.is_some() {
            return None;
        }
        let call = self.calls.advance();
        self.reading = Some(OrdersReading { call, sent: now });
        Some(JournalAction::ReadOrders { call })
    }
}
