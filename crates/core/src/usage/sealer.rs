//! The state machine that seals usage windows and reports them.

use super::phase::SealerPhase;
use super::record::{seal_key, seal_prefix, SealRecord, ORIGIN};
use super::seals::{SealTable, WindowFigures};
use super::{SealerAction, SealerEvent, SealerOptions, UsageAggregator, UsageBatch};
use crate::claim::store::{
    CallNumber, StoreCall, StoreCompletion, StoreEntry, StoreReply, StoreVersion,
};
use crate::claim::write::{StoreWrite, WriteOutcome};
use crate::id::{FencingNumber, WindowId};
use crate::lease::{Authority, HolderName, LeaseHolder};
use crate::unit::TimePoint;

/// Seals each ended window once and reports it, under the authority of a lease.
#[derive(Debug)]
pub struct UsageSealer {
    holder: HolderName,
    options: SealerOptions,
    fencing: FencingNumber,
    phase: SealerPhase,
    seals: SealTable,
    last_call: CallNumber,
}

impl UsageSealer {
    /// Creates a sealer without authority.
    pub fn new(holder: HolderName, options: SealerOptions) -> Self {
        Self {
            holder,
            options,
            fencing: FencingNumber::default(),
            phase: SealerPhase::Idle,
            seals: SealTable::new(options.late_windows),
            last_call: CallNumber::default(),
        }
    }

    /// Starts to act under `fencing`, beginning with a read of the sealed windows.
    pub fn begin(&mut self, now: TimePoint, fencing: FencingNumber) {
        self.end();
        self.fencing = fencing;
        self.phase = SealerPhase::Loading {
            call: None,
            due: now,
            after: None,
        };
    }

    /// Stops at once; the successor continues unfinished work.
    pub fn end(&mut self) {
        self.phase = SealerPhase::Idle;
        self.seals = SealTable::new(self.options.late_windows);
    }

    /// Handles an event and returns the actions to carry out.
    ///
    /// `ended` is the last window that has ended.
    pub fn handle(
        &mut self,
        now: TimePoint,
        ended: WindowId,
        lease: &LeaseHolder,
        event: SealerEvent,
    ) -> Vec<SealerAction> {
        let mut actions = Vec::new();
        match event {
            SealerEvent::StoreCompleted(completion) => {
                self.handle_store_completion(now, ended, &completion, &mut actions)
            }
            SealerEvent::UsageCollected {
                call,
                batches,
                complete,
            } => self.handle_collected_usage(now, call, batches, complete),
            SealerEvent::ReportAnswered { call, accepted } => {
                self.handle_report_answer(now, call, accepted)
            }
        }
        actions.extend(self.tick(now, ended, lease));
        actions
    }

    /// Applies timeouts and returns the calls that are due.
    ///
    /// `ended` is the last window that has ended.
    pub fn tick(
        &mut self,
        now: TimePoint,
        ended: WindowId,
        lease: &LeaseHolder,
    ) -> Vec<SealerAction> {
        let mut actions = Vec::new();
        if matches!(self.phase, SealerPhase::Waiting) && self.seals.next() <= ended {
            self.phase = SealerPhase::Collecting {
                first_call: CallNumber(self.last_call.0 + 1),
                call: None,
                due: now,
                deadline: now + self.options.collect_timeout,
                merged: UsageAggregator::new(),
            };
        }
        self.seal_after_timeout(now);
        actions.extend(self.next_call(now, lease));
        actions
    }

    fn next_call(&mut self, now: TimePoint, lease: &LeaseHolder) -> Option<SealerAction> {
        let timing = self.options.write_timing();
        let from = self.seals.retain_from();
        match &mut self.phase {
            SealerPhase::Idle | SealerPhase::Waiting => None,
            SealerPhase::Loading { call, due, after } if now >= *due => {
                let number = self.last_call.advance();
                *call = Some(number);
                *due = now + timing.timeout;
                Some(SealerAction::Store(StoreCall::List {
                    call: number,
                    prefix: seal_prefix(),
                    after: after.clone(),
                    limit: self.options.page_size,
                }))
            }
            SealerPhase::Collecting { call, due, .. } if now >= *due => {
                let number = self.last_call.advance();
                *call = Some(number);
                *due = now + timing.timeout;
                Some(SealerAction::Collect { call: number, from })
            }
            SealerPhase::Reporting {
                queue, call, due, ..
            } if now >= *due => {
                let report = queue.front()?.clone();
                let authority = authority_of(lease, now, self.fencing)?;
                let number = self.last_call.advance();
                *call = Some(number);
                *due = now + timing.timeout;
                Some(SealerAction::Report {
                    call: number,
                    report,
                    holder: authority.holder().clone(),
                    fencing: authority.fencing(),
                })
            }
            SealerPhase::Sealing(write, _) | SealerPhase::MarkingReported(write, _) => {
                let call = write.next_call(now, &mut self.last_call, timing);
                call.map(SealerAction::Store)
            }
            _ => None,
        }
    }

    fn handle_store_completion(
        &mut self,
        now: TimePoint,
        ended: WindowId,
        completion: &StoreCompletion,
        actions: &mut Vec<SealerAction>,
    ) {
        let timing = self.options.write_timing();
        match &mut self.phase {
            SealerPhase::Loading { call, .. } if *call == Some(completion.call) => {
                self.handle_page(now, ended, &completion.reply);
            }
            SealerPhase::Sealing(write, record) => {
                match write.handle_reply(now, completion.call, &completion.reply, timing) {
                    WriteOutcome::Pending => {}
                    WriteOutcome::Written(version) => {
                        let record = (**record).clone();
                        self.adopt(now, record, version);
                    }
                    // Another lease holder wrote the origin record, so the windows
                    // after it are read again.
                    WriteOutcome::Superseded(_) if record.window == ORIGIN => self.reload(now),
                    // Another lease holder sealed the window first; its figures are final.
                    WriteOutcome::Superseded(entry) => self.adopt_stored(now, entry),
                }
            }
            SealerPhase::MarkingReported(write, window) => {
                let window = *window;
                match write.handle_reply(now, completion.call, &completion.reply, timing) {
                    WriteOutcome::Pending => {}
                    WriteOutcome::Written(version) => {
                        self.finish_window(now, window, version, actions);
                    }
                    WriteOutcome::Superseded(_) => self.reload(now),
                }
            }
            _ => {}
        }
    }

    fn reload(&mut self, now: TimePoint) {
        let fencing = self.fencing;
        self.begin(now + self.options.backoff, fencing);
    }

    fn handle_page(&mut self, now: TimePoint, ended: WindowId, reply: &StoreReply) {
        let SealerPhase::Loading { call, due, after } = &mut self.phase else {
            return;
        };
        *call = None;
        *due = now;
        let StoreReply::Listed(entries) = reply else {
            *due = now + self.options.backoff;
            return;
        };
        if let Some(last) = entries.last() {
            *after = Some(last.key.clone());
        }
        let is_last_page = entries.len() < self.options.page_size;
        for entry in entries {
            if let Some(record) = SealRecord::parse(&entry.value) {
                self.seals.insert(record, entry.version);
            }
        }
        if is_last_page {
            self.resume(now, ended);
        }
    }

    /// Continues after the last sealed window, or writes the origin record if there is none.
    fn resume(&mut self, now: TimePoint, ended: WindowId) {
        if !self.seals.resume() {
            let record = SealRecord::origin(ended, self.holder.clone(), self.fencing);
            return self.write_seal(now, record);
        }
        self.report_next(now);
    }

    fn write_seal(&mut self, now: TimePoint, record: SealRecord) {
        let key = seal_key(record.window);
        let write = StoreWrite::new(now, key, record.value(), StoreVersion::ABSENT);
        self.phase = SealerPhase::Sealing(Box::new(write), Box::new(record));
    }

    /// Reports the oldest unreported window, or waits for the next window to end.
    fn report_next(&mut self, now: TimePoint) {
        self.phase = match self.seals.unreported() {
            None => SealerPhase::Waiting,
            Some(record) => SealerPhase::Reporting {
                window: record.window,
                queue: record.reports().into(),
                call: None,
                due: now,
            },
        };
        self.mark_if_reported(now);
    }

    fn handle_collected_usage(
        &mut self,
        now: TimePoint,
        answered_call: CallNumber,
        batches: Vec<UsageBatch>,
        complete: bool,
    ) {
        let SealerPhase::Collecting {
            first_call,
            call,
            due,
            merged,
            ..
        } = &mut self.phase
        else {
            return;
        };
        // A response may take longer than the interval between two calls. Responses to
        // earlier calls count too, as long as the call was made after the window ended.
        if answered_call < *first_call {
            return;
        }
        if *call == Some(answered_call) {
            *call = None;
            *due = now + self.options.backoff;
        }
        for batch in batches {
            merged.merge(batch);
        }
        if complete {
            self.seal(now);
        }
    }

    fn seal_after_timeout(&mut self, now: TimePoint) {
        if let SealerPhase::Collecting { deadline, .. } = &self.phase {
            if now >= *deadline {
                self.seal(now);
            }
        }
    }

    fn seal(&mut self, now: TimePoint) {
        let phase = std::mem::replace(&mut self.phase, SealerPhase::Waiting);
        let SealerPhase::Collecting { merged, .. } = phase else {
            return;
        };
        let window = self.seals.next();
        let WindowFigures { due, late } = self.seals.figures(&merged);
        let record = SealRecord {
            window,
            next: window.next(),
            holder: self.holder.clone(),
            fencing: self.fencing,
            due,
            late,
            reported: false,
        };
        self.write_seal(now, record);
    }

    fn adopt_stored(&mut self, now: TimePoint, entry: Option<StoreEntry>) {
        let record = entry
            .as_ref()
            .and_then(|entry| SealRecord::parse(&entry.value));
        match (entry, record) {
            (Some(entry), Some(record)) => self.adopt(now, record, entry.version),
            _ => self.reload(now),
        }
    }

    fn adopt(&mut self, now: TimePoint, record: SealRecord, version: StoreVersion) {
        self.seals.insert(record, version);
        self.report_next(now);
    }

    fn handle_report_answer(&mut self, now: TimePoint, answered_call: CallNumber, accepted: bool) {
        let SealerPhase::Reporting {
            queue, call, due, ..
        } = &mut self.phase
        else {
            return;
        };
        if *call != Some(answered_call) {
            return;
        }
        *call = None;
        if !accepted {
            *due = now + self.options.backoff;
            return;
        }
        *due = now;
        queue.pop_front();
        self.mark_if_reported(now);
    }

    fn mark_if_reported(&mut self, now: TimePoint) {
        let SealerPhase::Reporting { window, queue, .. } = &self.phase else {
            return;
        };
        let window = *window;
        if !queue.is_empty() {
            return;
        }
        let Some(seal) = self.seals.get(window) else {
            return;
        };
        let record = SealRecord {
            reported: true,
            ..seal.record.clone()
        };
        let write = StoreWrite::new(now, seal_key(window), record.value(), seal.version);
        self.phase = SealerPhase::MarkingReported(Box::new(write), window);
    }

    fn finish_window(
        &mut self,
        now: TimePoint,
        window: WindowId,
        version: StoreVersion,
        actions: &mut Vec<SealerAction>,
    ) {
        self.seals.mark_reported(window, version);
        let keep_from = self.seals.retain_from();
        actions.push(SealerAction::Closed { window, keep_from });
        for seal in self.seals.remove_expired() {
            actions.push(SealerAction::Store(StoreCall::Delete {
                call: self.last_call.advance(),
                key: seal_key(seal.record.window),
                expect: seal.version,
            }));
        }
        self.report_next(now);
    }
}

fn authority_of(lease: &LeaseHolder, now: TimePoint, fencing: FencingNumber) -> Option<Authority> {
    let authority = lease.authority(now)?;
    (authority.fencing() == fencing).then_some(authority)
}
