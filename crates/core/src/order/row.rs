//! One order on its way through the journal.

use super::record::{order_key, OrderRecord, RecordState};
use super::{JournalAction, JournalOptions, OrderOutcome, PlatformOrder, PostReply};
use crate::claim::store::{CallNumber, StoreCall, StoreKey, StoreReply, StoreVersion};
use crate::claim::write::{StoreWrite, WriteOutcome};
use crate::id::{FencingNumber, OrderId, ScopeId};
use crate::lease::{Authority, HolderName};
use crate::unit::TimePoint;

/// What a row needs of its journal in one step.
pub(super) struct RowContext<'a> {
    pub(super) now: TimePoint,
    pub(super) holder: &'a HolderName,
    pub(super) fencing: FencingNumber,
    pub(super) options: &'a JournalOptions,
    pub(super) authority: &'a dyn Fn() -> Option<Authority>,
    pub(super) calls: &'a mut CallNumber,
    pub(super) actions: &'a mut Vec<JournalAction>,
}

#[derive(Debug)]
enum RowStep {
    /// The record is being written.
    Writing(StoreWrite),
    /// The order has been sent.
    Posting { call: CallNumber, until: TimePoint },
    /// The order may be on its way until then; what the platform has decides.
    Settling { read_from: TimePoint },
    /// The record of an ended order is being deleted.
    Deleting {
        call: Option<CallNumber>,
        due: TimePoint,
    },
    /// Nothing is left to do.
    Over,
}

#[derive(Debug)]
pub(super) struct OrderRow {
    record: OrderRecord,
    key: StoreKey,
    version: StoreVersion,
    step: RowStep,
    /// When the record last turned to sending.
    marked: TimePoint,
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
            marked: now,
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
            // Nothing was sent, but the record has to be ended before its
            // writer wakes and turns it to sending.
            RecordState::Planned => RowStep::Settling { read_from: now },
            RecordState::Sending => RowStep::Settling {
                read_from: now + options.max_drift.lengthen(record.in_flight),
            },
            RecordState::Ended(_) => RowStep::Deleting {
                call: None,
                due: now,
            },
        };
        Self {
            inherited: !matches!(record.state, RecordState::Ended(_)),
            record,
            key,
            version,
            step,
            marked: now,
        }
    }

    pub(super) fn id(&self) -> &OrderId {
        &self.record.order.id
    }

    pub(super) fn is_inherited(&self) -> bool {
        self.inherited
    }

    pub(super) fn is_over(&self) -> bool {
        matches!(self.step, RowStep::Over)
    }

    pub(super) fn wants_reading(&self, now: TimePoint) -> bool {
        matches!(self.step, RowStep::Settling { read_from } if now >= read_from)
    }

    pub(super) fn stored(
        &mut self,
        context: &mut RowContext<'_>,
        call: CallNumber,
        reply: &StoreReply,
    ) {
        let times = context.options.write_timing();
        match &mut self.step {
            RowStep::Writing(write) => match write.handle_reply(context.now, call, reply, times) {
                WriteOutcome::Pending => {}
                WriteOutcome::Written(version) => {
                    self.version = version;
                    self.written(context);
                }
                // Another holder has settled it.
                WriteOutcome::Superseded(_) => self.step = RowStep::Over,
            },
            RowStep::Deleting {
                call: Some(open), ..
            } if *open == call && *reply != StoreReply::Failed => self.step = RowStep::Over,
            _ => {}
        }
    }

    pub(super) fn posted(
        &mut self,
        context: &mut RowContext<'_>,
        answered: CallNumber,
        reply: PostReply,
    ) {
        match self.step {
            RowStep::Posting { call, .. } if call == answered => {}
            _ => return,
        }
        match reply {
            PostReply::Accepted => self.end(context, OrderOutcome::Done),
            PostReply::Refused => self.end(context, OrderOutcome::Failed),
            PostReply::Failed => self.settle_after(context),
        }
    }

    /// Takes what the platform has, as read by a call sent at `sent`.
    pub(super) fn settled(&mut self, context: &mut RowContext<'_>, sent: TimePoint, found: bool) {
        if !self.wants_reading(sent) {
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
        self.mark(context);
    }

    /// Does what is due.
    pub(super) fn advance(&mut self, context: &mut RowContext<'_>) {
        let now = context.now;
        let times = context.options.write_timing();
        match &mut self.step {
            RowStep::Writing(write) => {
                let call = write.next_call(now, context.calls, times);
                context.actions.extend(call.map(JournalAction::Store));
            }
            RowStep::Posting { until, .. } if now >= *until => self.settle_after(context),
            RowStep::Deleting { call, due } if now >= *due => {
                let number = context.calls.advance();
                *call = Some(number);
                *due = now + times.timeout;
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

    fn written(&mut self, context: &mut RowContext<'_>) {
        match self.record.state {
            RecordState::Planned => self.mark(context),
            RecordState::Sending => self.post(context),
            RecordState::Ended(outcome) => {
                let order = self.record.order.clone();
                context
                    .actions
                    .push(JournalAction::Finished { order, outcome });
                self.inherited = false;
                self.step = RowStep::Deleting {
                    call: None,
                    due: context.now,
                };
            }
        }
    }

    /// Turns the record to sending.
    fn mark(&mut self, context: &mut RowContext<'_>) {
        self.record.state = RecordState::Sending;
        self.record.attempt += 1;
        self.marked = context.now;
        self.write(context);
    }

    /// Sends the order if authority holds now and the record is still fresh.
    fn post(&mut self, context: &mut RowContext<'_>) {
        let fresh = context.now < self.marked + context.options.delivery_timeout;
        let Some(authority) = (context.authority)().filter(|_| fresh) else {
            return self.settle_after(context);
        };
        let call = context.calls.advance();
        let until = context.now + context.options.delivery_timeout;
        self.step = RowStep::Posting { call, until };
        context.actions.push(JournalAction::Post {
            call,
            order: self.record.order.clone(),
            holder: authority.holder().clone(),
            fencing: authority.fencing(),
        });
    }

    fn settle_after(&mut self, context: &mut RowContext<'_>) {
        let span = context
            .options
            .max_drift
            .lengthen(context.options.delivery_timeout);
        let read_from = context.now + span;
        self.step = RowStep::Settling { read_from };
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
