//! The state machine of one order in the journal.

use super::record::{order_key, OrderRecord, RecordState};
use super::{JournalAction, JournalOptions, OrderOutcome, PlatformOrder, PostReply};
use crate::claim::store::{CallNumber, StoreCall, StoreKey, StoreReply, StoreVersion};
use crate::claim::write::{StoreWrite, WriteOutcome};
use crate::id::{FencingNumber, OrderId, ScopeId};
use crate::lease::{Authority, HolderName};
use crate::unit::TimePoint;

/// The journal's state that a row needs in one step.
pub(super) struct RowContext<'a> {
    pub(super) now: TimePoint,
    pub(super) holder: &'a HolderName,
    pub(super) fencing: FencingNumber,
    pub(super) options: &'a JournalOptions,
    /// Checks for authority at the current time.
    pub(super) authority: &'a dyn Fn() -> Option<Authority>,
    pub(super) calls: &'a mut CallNumber,
    pub(super) actions: &'a mut Vec<JournalAction>,
}

#[derive(Debug)]
enum RowStep {
    /// The record is being written.
    Writing(StoreWrite),
    /// The order has been sent.
    Posting {
        call: CallNumber,
        timeout_at: TimePoint,
    },
    /// The order may be in flight until `read_from`. A read of the platform's orders that is sent
    /// after that decides its outcome.
    Resolving { read_from: TimePoint },
    /// The record of an ended order is being deleted.
    Deleting {
        pending_call: Option<CallNumber>,
        next_call_at: TimePoint,
    },
    /// The row can be removed.
    Finished,
}

#[derive(Debug)]
pub(super) struct OrderRow {
    record: OrderRecord,
    key: StoreKey,
    version: StoreVersion,
    step: RowStep,
    /// When the record's state was last set to sending.
    marked_at: TimePoint,
    /// Whether the order is an unresolved one of an earlier holder.
    inherited: bool,
}

impl OrderRow {
    pub(super) fn plan(
        now: TimePoint,
        scope: &ScopeId,
        order: PlatformOrder,
        holder: HolderName,
        fencing: FencingNumber,
        options: &JournalOptions,
    ) -> Self {
        let record = OrderRecord {
            order,
            state: RecordState::Planned,
            holder,
            fencing,
            attempt: 0,
            in_flight: options.delivery_timeout,
        };
        let key = order_key(scope, &record.order.id);
        let version = StoreVersion::ABSENT;
        let write = StoreWrite::new(now, key.clone(), record.value(), version);
        Self {
            record,
            key,
            version,
            step: RowStep::Writing(write),
            marked_at: now,
            inherited: false,
        }
    }

    pub(super) fn inherit(
        now: TimePoint,
        record: OrderRecord,
        key: StoreKey,
        version: StoreVersion,
        options: &JournalOptions,
    ) -> Self {
        let step = match record.state {
            // The order was not sent. Its record must be ended before its writer resumes and sets
            // it to sending.
            RecordState::Planned => RowStep::Resolving { read_from: now },
            RecordState::Sending => RowStep::Resolving {
                read_from: now + options.max_drift.lengthen(record.in_flight),
            },
            RecordState::Ended(_) => RowStep::Deleting {
                pending_call: None,
                next_call_at: now,
            },
        };
        Self {
            inherited: !matches!(record.state, RecordState::Ended(_)),
            record,
            key,
            version,
            step,
            marked_at: now,
        }
    }

    pub(super) fn id(&self) -> &OrderId {
        &self.record.order.id
    }

    pub(super) fn is_inherited(&self) -> bool {
        self.inherited
    }

    pub(super) fn is_finished(&self) -> bool {
        matches!(self.step, RowStep::Finished)
    }

    /// Returns whether a read of the platform's orders that is sent at `now` would resolve the order.
    pub(super) fn needs_read(&self, now: TimePoint) -> bool {
        matches!(self.step, RowStep::Resolving { read_from } if now >= read_from)
    }

    pub(super) fn handle_stored(
        &mut self,
        context: &mut RowContext<'_>,
        call: CallNumber,
        reply: &StoreReply,
    ) {
        let timing = context.options.write_timing();
        match &mut self.step {
            RowStep::Writing(write) => match write.handle_reply(context.now, call, reply, timing) {
                WriteOutcome::Pending => {}
                WriteOutcome::Written(version) => {
                    self.version = version;
                    self.handle_written(context);
                }
                // Another holder has resolved it.
                WriteOutcome::Superseded(_) => self.step = RowStep::Finished,
            },
            RowStep::Deleting {
                pending_call: Some(pending),
                ..
            } if *pending == call && *reply != StoreReply::Failed => self.step = RowStep::Finished,
            _ => {}
        }
    }

    pub(super) fn handle_posted(
        &mut self,
        context: &mut RowContext<'_>,
        completed: CallNumber,
        reply: PostReply,
    ) {
        match self.step {
            RowStep::Posting { call, .. } if call == completed => {}
            _ => return,
        }
        match reply {
            PostReply::Accepted => self.end(context, OrderOutcome::Done),
            PostReply::Refused => self.end(context, OrderOutcome::Failed),
            PostReply::Failed => self.resolve_after_delivery(context),
        }
    }

    /// Handles a read of the platform's orders that was sent at `sent_at`.
    pub(super) fn handle_orders_read(
        &mut self,
        context: &mut RowContext<'_>,
        sent_at: TimePoint,
        found: bool,
    ) {
        if !self.needs_read(sent_at) {
            return;
        }
        if found {
            return self.end(context, OrderOutcome::Done);
        }
        if self.inherited {
            return self.end(context, OrderOutcome::NeverSent);
        }
        if self.record.attempt >= context.options.max_attempts {
            return self.end(context, OrderOutcome::Failed);
        }
        self.mark_sending(context);
    }

    /// Performs what is due.
    pub(super) fn advance(&mut self, context: &mut RowContext<'_>) {
        let now = context.now;
        let timing = context.options.write_timing();
        match &mut self.step {
            RowStep::Writing(write) => {
                let call = write.next_call(now, context.calls, timing);
                context.actions.extend(call.map(JournalAction::Store));
            }
            RowStep::Posting { timeout_at, .. } if now >= *timeout_at => {
                self.resolve_after_delivery(context)
            }
            RowStep::Deleting {
                pending_call,
                next_call_at,
            } if now >= *next_call_at => {
                let number = context.calls.advance();
                *pending_call = Some(number);
                *next_call_at = now + timing.timeout;
                context
                    .actions
                    .push(JournalAction::Store(StoreCall::Delete {
                        call: number,
                        key: self.key.clone(),
                        expect: self.version,
                    }));
            }
            _ => {}
        }
    }

    fn handle_written(&mut self, context: &mut RowContext<'_>) {
        match self.record.state {
            RecordState::Planned => self.mark_sending(context),
            RecordState::Sending => self.post(context),
            RecordState::Ended(outcome) => {
                let order = self.record.order.clone();
                context
                    .actions
                    .push(JournalAction::Finished { order, outcome });
                self.inherited = false;
                self.step = RowStep::Deleting {
                    pending_call: None,
                    next_call_at: context.now,
                };
            }
        }
    }

    /// Writes the record with the state set to sending.
    fn mark_sending(&mut self, context: &mut RowContext<'_>) {
        self.record.state = RecordState::Sending;
        self.record.attempt += 1;
        self.marked_at = context.now;
        self.write(context);
    }

    /// Sends the order if the holder has authority now and the record was set to sending less than
    /// the delivery timeout ago; otherwise the order is resolved later.
    fn post(&mut self, context: &mut RowContext<'_>) {
        let is_recent = context.now < self.marked_at + context.options.delivery_timeout;
        let Some(authority) = (context.authority)().filter(|_| is_recent) else {
            return self.resolve_after_delivery(context);
        };
        let call = context.calls.advance();
        let timeout_at = context.now + context.options.delivery_timeout;
        self.step = RowStep::Posting { call, timeout_at };
        context.actions.push(JournalAction::Post {
            call,
            order: self.record.order.clone(),
            holder: authority.holder().clone(),
            fencing: authority.fencing(),
        });
    }

    fn resolve_after_delivery(&mut self, context: &mut RowContext<'_>) {
        let span = context
            .options
            .max_drift
            .lengthen(context.options.delivery_timeout);
        let read_from = context.now + span;
        self.step = RowStep::Resolving { read_from };
    }

    fn end(&mut self, context: &mut RowContext<'_>, outcome: OrderOutcome) {
        self.record.state = RecordState::Ended(outcome);
        self.write(context);
    }

    fn write(&mut self, context: &mut RowContext<'_>) {
        self.record.holder = context.holder.clone();
        self.record.fencing = context.fencing;
        let value = self.record.value();
        let write = StoreWrite::new(context.now, self.key.clone(), value, self.version);
        self.step = RowStep::Writing(write);
    }
}
