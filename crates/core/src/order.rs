//! Orders to the platform, whose interface may not check fencing numbers.
//!
//! The journal stores the intent of each order before the order is sent, and
//! its outcome afterwards. A new holder resolves the orders of earlier holders
//! from these records and the platform's list of accepted orders before it
//! sends any order of its own. See [docs/design/authority.md](../../../docs/design/authority.md).

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
    /// The process does not hold the lease.
    Idle,
    /// The records of earlier holders are being read page by page.
    Loading {
        pending_call: Option<CallNumber>,
        next_call_at: TimePoint,
        after: Option<StoreKey>,
    },
    /// All records have been read.
    Loaded,
}

#[derive(Debug)]
struct PendingRead {
    call: CallNumber,
    sent_at: TimePoint,
}

/// Sends orders to the platform under the lease of one scope; each order is accepted at most once.
#[derive(Debug)]
pub struct OrderJournal {
    scope: ScopeId,
    holder: HolderName,
    options: JournalOptions,
    fencing: FencingNumber,
    phase: JournalPhase,
    rows: BTreeMap<OrderId, OrderRow>,
    pending_read: Option<PendingRead>,
    last_call: CallNumber,
}

impl OrderJournal {
    /// Creates a journal that has no authority yet.
    pub fn new(scope: ScopeId, holder: HolderName, options: JournalOptions) -> Self {
        Self {
            scope,
            holder,
            options,
            fencing: FencingNumber::default(),
            phase: JournalPhase::Idle,
            rows: BTreeMap::new(),
            pending_read: None,
            last_call: CallNumber::default(),
        }
    }

    /// Returns whether orders are accepted, which is so once all orders of earlier holders are
    /// resolved.
    pub fn is_ready(&self) -> bool {
        let has_inherited = self.rows.values().any(OrderRow::is_inherited);
        matches!(self.phase, JournalPhase::Loaded) && !has_inherited
    }

    /// Returns the number of orders whose records have not been deleted.
    pub fn pending_count(&self) -> usize {
        self.rows.len()
    }

    /// Starts to act under `fencing`; orders of earlier holders are resolved first.
    pub fn begin(&mut self, now: TimePoint, fencing: FencingNumber) {
        self.end();
        self.fencing = fencing;
        self.phase = JournalPhase::Loading {
            pending_call: None,
            next_call_at: now,
            after: None,
        };
    }

    /// Stops acting at once; pending orders are left to the next holder.
    pub fn end(&mut self) {
        self.phase = JournalPhase::Idle;
        self.rows.clear();
        self.pending_read = None;
    }

    /// Handles an event.
    ///
    /// Authority is checked in the step that returns an order to send.
    pub fn handle(
        &mut self,
        now: TimePoint,
        lease: &LeaseHolder,
        event: JournalEvent,
    ) -> Vec<JournalAction> {
        let mut actions = Vec::new();
        match event {
            JournalEvent::Submit(order) => actions.extend(self.submit(now, order)),
            JournalEvent::StoreCompleted(completion) => {
                if !self.handle_page(now, completion.call, &completion.reply) {
                    self.each_row(now, lease, &mut actions, |row, context| {
                        row.handle_stored(context, completion.call, &completion.reply);
                    });
                }
            }
            JournalEvent::PostCompleted { call, reply } => {
                self.each_row(now, lease, &mut actions, |row, context| {
                    row.handle_posted(context, call, reply);
                });
            }
            JournalEvent::OrdersRead { call, orders } => {
                if self.pending_read.as_ref().is_some_and(|r| r.call == call) {
                    let sent_at = self.pending_read.take().map_or(now, |read| read.sent_at);
                    if let Some(orders) = orders {
                        self.each_row(now, lease, &mut actions, |row, context| {
                            row.handle_orders_read(context, sent_at, orders.contains(row.id()));
                        });
                    }
                }
            }
        }
        actions.extend(self.tick(now, lease));
        actions
    }

    /// Performs what is due.
    pub fn tick(&mut self, now: TimePoint, lease: &LeaseHolder) -> Vec<JournalAction> {
        let mut actions = Vec::new();
        actions.extend(self.list_call(now).map(JournalAction::Store));
        self.each_row(now, lease, &mut actions, |_, _| {});
        actions.extend(self.read_call(now));
        actions
    }

    fn submit(&mut self, now: TimePoint, order: PlatformOrder) -> Option<JournalAction> {
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
            calls: &mut self.last_call,
            actions,
        };
        for row in self.rows.values_mut() {
            step(row, &mut context);
            row.advance(&mut context);
        }
        self.rows.retain(|_, row| !row.is_finished());
    }

    /// Handles a page of records; returns `false` if the reply belongs to another call.
    fn handle_page(&mut self, now: TimePoint, completed: CallNumber, reply: &StoreReply) -> bool {
        let JournalPhase::Loading {
            pending_call,
            next_call_at,
            after,
        } = &mut self.phase
        else {
            return false;
        };
        if *pending_call != Some(completed) {
            return false;
        }
        *pending_call = None;
        *next_call_at = now;
        let StoreReply::Listed(entries) = reply else {
            *next_call_at = now + self.options.backoff;
            return true;
        };
        if let Some(last) = entries.last() {
            *after = Some(last.key.clone());
        }
        if entries.len() < self.options.page_size {
            self.phase = JournalPhase::Loaded;
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
        let JournalPhase::Loading {
            pending_call,
            next_call_at,
            after,
        } = &mut self.phase
        else {
            return None;
        };
        if now < *next_call_at {
            return None;
        }
        let number = self.last_call.advance();
        *pending_call = Some(number);
        *next_call_at = now + self.options.call_timeout;
        Some(StoreCall::List {
            call: number,
            prefix: scope_prefix(&self.scope),
            after: after.clone(),
            limit: self.options.page_size,
        })
    }

    fn read_call(&mut self, now: TimePoint) -> Option<JournalAction> {
        let timeout = self.options.call_timeout;
        self.pending_read = self
            .pending_read
            .take()
            .filter(|r| now.since(r.sent_at) < timeout);
        let is_due = self.rows.values().any(|row| row.needs_read(now));
        if !is_due || self.pending_read.is_some() {
            return None;
        }
        let call = self.last_call.advance();
        self.pending_read = Some(PendingRead { call, sent_at: now });
        Some(JournalAction::ReadOrders { call })
    }
}
