//! The machine that seals windows and reports what is sealed.

use super::phase::SealerPhase;
use super::record::{seal_key, seal_prefix, SealRecord, ORIGIN};
use super::seals::{SealFigures, SealTable};
use super::{SealerAction, SealerEvent, SealerOptions, UsageAggregator, UsageBatch};
use crate::claim::store::{
    CallNumber, StoreCall, StoreCompletion, StoreEntry, StoreReply, StoreVersion,
};
use crate::claim::write::{StoreWrite, WriteOutcome};
use crate::id::{FencingNumber, WindowId};
use crate::lease::{Authority, HolderName, LeaseHolder};
use crate::unit::TimePoint;

/// Seals each ended window once and reports it, under a lease.
#[derive(Debug)]
pub struct UsageSealer {
    holder: HolderName,
    options: SealerOptions,
    fencing: FencingNumber,
    phase: SealerPhase,
    seals: SealTable,
    calls: CallNumber,
}

impl UsageSealer {
    /// A sealer that has no authority yet.
    pub fn new(holder: HolderName, options: SealerOptions) -> Self {
        Self {
            holder,
            options,
            fencing: FencingNumber::default(),
            phase: SealerPhase::Idle,
            seals: SealTable::new(options.late_windows),
            calls: CallNumber::default(),
        }
    }

    /// Begins to act under `fencing`, from what is already sealed.
    pub fn begin(&mut self, now: TimePoint, fencing: FencingNumber) {
        self.end();
        self.fencing = fencing;
        self.phase = SealerPhase::Loading {
            call: None,
            due: now,
            after: None,
        };
    }

    /// Ends at once; what is open is left to the successor.
    pub fn end(&mut self) {
        self.phase = SealerPhase::Idle;
        self.seals = SealTable::new(self.options.late_windows);
    }

    /// Decides an event. `ended` is the last window that has ended.
    pub fn handle(
        &mut self,
        now: TimePoint,
        ended: WindowId,
        lease: &LeaseHolder,
        event: SealerEvent,
    ) -> Vec<SealerAction> {
        let mut actions = Vec::new();
        match event {
            SealerEvent::StoreCompleted(answer) => self.stored(now, ended, &answer, &mut actions),
            SealerEvent::UsageCollected {
                call,
                batches,
                complete,
            } => self.collected(now, call, batches, complete),
            SealerEvent::ReportAnswered { call, accepted } => self.reported(now, call, accepted),
        }
        actions.extend(self.tick(now, ended, lease));
        actions
    }

    /// Does what is timed. `ended` is the last window that has ended.
    pub fn tick(
        &mut self,
        now: TimePoint,
        ended: WindowId,
        lease: &LeaseHolder,
    ) -> Vec<SealerAction> {
        let mut actions = Vec::new();
        if matches!(self.phase, SealerPhase::Resting) && self.seals.next() <= ended {
            self.phase = SealerPhase::Collecting {
                first: CallNumber(self.calls.0 + 1),
                call: None,
                due: now,
                until: now + self.options.collect_timeout,
                merged: UsageAggregator::new(),
            };
        }
        self.seal_overdue(now);
        actions.extend(self.next_call(now, lease));
        actions
    }

    fn next_call(&mut self, now: TimePoint, lease: &LeaseHolder) -> Option<SealerAction> {
        let times = self.options.write_times();
        let from = self.seals.keep_from();
        match &mut self.phase {
            SealerPhase::Idle | SealerPhase::Resting => None,
            SealerPhase::Loading { call, due, after } if now >= *due => {
                let number = self.calls.advance();
                *call = Some(number);
                *due = now + times.timeout;
                Some(SealerAction::Store(StoreCall::List {
                    call: number,
                    prefix: seal_prefix(),
                    after: after.clone(),
                    limit: self.options.page_size,
                }))
            }
            SealerPhase::Collecting { call, due, .. } if now >= *due => {
                let number = self.calls.advance();
                *call = Some(number);
                *due = now + times.timeout;
                Some(SealerAction::Collect { call: number, from })
            }
            SealerPhase::Reporting {
                queue, call, due, ..
            } if now >= *due => {
                let report = queue.front()?.clone();
                let authority = authority_of(lease, now, self.fencing)?;
                let number = self.calls.advance();
                *call = Some(number);
                *due = now + times.timeout;
                Some(SealerAction::Report {
                    call: number,
                    report,
                    holder: authority.holder().clone(),
                    fencing: authority.fencing(),
                })
            }
            SealerPhase::Sealing(write, _) | SealerPhase::Recording(write, _) => {
                let call = write.next_call(now, &mut self.calls, times);
                call.map(SealerAction::Store)
            }
            _ => None,
        }
    }

    fn stored(
        &mut self,
        now: TimePoint,
        ended: WindowId,
        answer: &StoreCompletion,
        actions: &mut Vec<SealerAction>,
    ) {
        let times = self.options.write_times();
        match &mut self.phase {
            SealerPhase::Loading { call, .. } if *call == Some(answer.call) => {
                self.page(now, ended, &answer.reply);
            }
            SealerPhase::Sealing(write, record) => {
                match write.handle_reply(now, answer.call, &answer.reply, times) {
                    WriteOutcome::Pending => {}
                    WriteOutcome::Written(version) => {
                        let record = (**record).clone();
                        self.adopt(now, record, version);
                    }
                    // Another holder made the first record: what follows it is read.
                    WriteOutcome::Superseded(_) if record.window == ORIGIN => self.reload(now),
                    // Another holder sealed the window: its figures stand.
                    WriteOutcome::Superseded(entry) => self.adopt_entry(now, entry),
                }
            }
            SealerPhase::Recording(write, window) => {
                let window = *window;
                match write.handle_reply(now, answer.call, &answer.reply, times) {
                    WriteOutcome::Pending => {}
                    WriteOutcome::Written(version) => {
                        self.recorded(now, window, version, actions);
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

    fn page(&mut self, now: TimePoint, ended: WindowId, reply: &StoreReply) {
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
        let complete = entries.len() < self.options.page_size;
        for entry in entries {
            if let Some(record) = SealRecord::parse(&entry.value) {
                self.seals.insert(record, entry.version);
            }
        }
        if complete {
            self.start(now, ended);
        }
    }

    /// Goes on after the last sealed window, or seals the record that all follow.
    fn start(&mut self, now: TimePoint, ended: WindowId) {
        if !self.seals.resume() {
            let record = SealRecord::origin(ended, self.holder.clone(), self.fencing);
            return self.create(now, record);
        }
        self.proceed(now);
    }

    fn create(&mut self, now: TimePoint, record: SealRecord) {
        let key = seal_key(record.window);
        let write = StoreWrite::new(now, key, record.value(), StoreVersion::ABSENT);
        self.phase = SealerPhase::Sealing(Box::new(write), Box::new(record));
    }

    /// Turns to the oldest unreported window, or rests.
    fn proceed(&mut self, now: TimePoint) {
        self.phase = match self.seals.unreported() {
            None => SealerPhase::Resting,
            Some(record) => SealerPhase::Reporting {
                window: record.window,
                queue: record.reports().into(),
                call: None,
                due: now,
            },
        };
        self.record_if_reported(now);
    }

    fn collected(
        &mut self,
        now: TimePoint,
        answered: CallNumber,
        batches: Vec<UsageBatch>,
        complete: bool,
    ) {
        let SealerPhase::Collecting {
            first,
            call,
            due,
            merged,
            ..
        } = &mut self.phase
        else {
            return;
        };
        // Answers may take longer than the time between two calls; all of
        // them count that were asked for after the window had ended.
        if answered < *first {
            return;
        }
        if *call == Some(answered) {
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

    fn seal_overdue(&mut self, now: TimePoint) {
        if let SealerPhase::Collecting { until, .. } = &self.phase {
            if now >= *until {
                self.seal(now);
            }
        }
    }

    fn seal(&mut self, now: TimePoint) {
        let phase = std::mem::replace(&mut self.phase, SealerPhase::Resting);
        let SealerPhase::Collecting { merged, .. } = phase else {
            return;
        };
        let window = self.seals.next();
        let SealFigures { due, late } = self.seals.figures(&merged);
        let record = SealRecord {
            window,
            next: window.next(),
            holder: self.holder.clone(),
            fencing: self.fencing,
            due,
            late,
            reported: false,
        };
        self.create(now, record);
    }

    fn adopt_entry(&mut self, now: TimePoint, entry: Option<StoreEntry>) {
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
        self.proceed(now);
    }

    fn reported(&mut self, now: TimePoint, answered: CallNumber, accepted: bool) {
        let SealerPhase::Reporting {
            queue, call, due, ..
        } = &mut self.phase
        else {
            return;
        };
        if *call != Some(answered) {
            return;
        }
        *call = None;
        if !accepted {
            *due = now + self.options.backoff;
            return;
        }
        *due = now;
        queue.pop_front();
        self.record_if_reported(now);
    }

    fn record_if_reported(&mut self, now: TimePoint) {
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
        self.phase = SealerPhase::Recording(Box::new(write), window);
    }

    fn recorded(
        &mut self,
        now: TimePoint,
        window: WindowId,
        version: StoreVersion,
        actions: &mut Vec<SealerAction>,
    ) {
        self.seals.mark_reported(window, version);
        let keep_from = self.seals.keep_from();
        actions.push(SealerAction::Closed { window, keep_from });
        for seal in self.seals.forget_old() {
            actions.push(SealerAction::Store(StoreCall::Delete {
                call: self.calls.advance(),
                key: seal_key(seal.record.window),
                expect: seal.version,
            }));
        }
        self.proceed(now);
    }
}

fn authority_of(lease: &LeaseHolder, now: TimePoint, fencing: FencingNumber) -> Option<Authority> {
    let authority = lease.authority(now)?;
    (authority.fencing() == fencing).then_some(authority)
}
