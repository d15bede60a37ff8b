//! The machine that seals windows and reports what is sealed.

use std::collections::{BTreeMap, VecDeque};

use super::record::{seal_key, seal_prefix, SealRecord};
use super::{
    SealerAction, SealerEvent, SealerOptions, UsageFigure, UsageKeeper, UsageKey, UsageReport,
    UsageTotals,
};
use crate::claim::store::{
    CallNumber, StoreAnswer, StoreCall, StoreEntry, StoreKey, StoreReply, StoreVersion,
};
use crate::claim::write::{StoreWrite, WriteFate};
use crate::id::{FencingNumber, WindowId};
use crate::lease::{Authority, HolderName, LeaseHolder};
use crate::unit::TimePoint;

#[derive(Debug)]
struct StoredSeal {
    record: SealRecord,
    version: StoreVersion,
}

#[derive(Debug)]
enum SealerPhase {
    Idle,
    /// Reading what is sealed.
    Loading {
        call: Option<CallNumber>,
        due: TimePoint,
        after: Option<StoreKey>,
    },
    /// Waiting for a window to end.
    Resting,
    /// Asking the keepers.
    Collecting {
        call: Option<CallNumber>,
        due: TimePoint,
        until: TimePoint,
        merged: UsageKeeper,
    },
    /// Creating the sealed record.
    Sealing(Box<StoreWrite>, Box<SealRecord>),
    /// Sending the reports of a sealed window.
    Reporting {
        window: WindowId,
        queue: VecDeque<UsageReport>,
        call: Option<CallNumber>,
        due: TimePoint,
    },
    /// Noting that a window is reported.
    Recording(Box<StoreWrite>, WindowId),
}

/// Seals each ended window once and reports it, under a lease.
#[derive(Debug)]
pub struct UsageSealer {
    holder: HolderName,
    options: SealerOptions,
    fencing: FencingNumber,
    phase: SealerPhase,
    seals: BTreeMap<WindowId, StoredSeal>,
    next: WindowId,
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
            seals: BTreeMap::new(),
            next: WindowId::default(),
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
        self.seals.clear();
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
            SealerEvent::Stored(answer) => self.stored(now, ended, &answer, &mut actions),
            SealerEvent::Collected {
                call,
                batches,
                whole,
            } => self.collected(now, call, batches, whole),
            SealerEvent::Reported { call, taken } => self.reported(now, call, taken),
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
        if matches!(self.phase, SealerPhase::Resting) && self.next <= ended {
            self.phase = SealerPhase::Collecting {
                call: None,
                due: now,
                until: now + self.options.collect_wait,
                merged: UsageKeeper::new(),
            };
        }
        self.seal_overdue(now);
        actions.extend(self.next_call(now, lease));
        actions
    }

    fn next_call(&mut self, now: TimePoint, lease: &LeaseHolder) -> Option<SealerAction> {
        let times = self.options.write_times();
        let from = self.keep_from();
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
                    limit: self.options.page_limit,
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
        answer: &StoreAnswer,
        actions: &mut Vec<SealerAction>,
    ) {
        let times = self.options.write_times();
        match &mut self.phase {
            SealerPhase::Loading { call, .. } if *call == Some(answer.call) => {
                self.page(now, ended, &answer.reply);
            }
            SealerPhase::Sealing(write, record) => {
                match write.take(now, answer.call, &answer.reply, times) {
                    WriteFate::Open => {}
                    WriteFate::Written(version) => {
                        let record = (**record).clone();
                        self.adopt(now, record, version);
                    }
                    // Another holder sealed the window: its figures stand.
                    WriteFate::Overtaken(entry) => self.adopt_entry(now, entry),
                }
            }
            SealerPhase::Recording(write, window) => {
                let window = *window;
                match write.take(now, answer.call, &answer.reply, times) {
                    WriteFate::Open => {}
                    WriteFate::Written(version) => {
                        self.recorded(now, window, version, actions);
                    }
                    WriteFate::Overtaken(_) => self.reload(now),
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
        let whole = entries.len() < self.options.page_limit;
        for entry in entries {
            if let Some(record) = SealRecord::parse(&entry.value) {
                let version = entry.version;
                self.seals
                    .insert(record.window, StoredSeal { record, version });
            }
        }
        if whole {
            let last = self.seals.last_key_value();
            self.next = last.map_or(ended, |(window, _)| window.next());
            self.proceed(now);
        }
    }

    /// Turns to the oldest unreported window, or rests.
    fn proceed(&mut self, now: TimePoint) {
        let open = self.seals.values().find(|seal| !seal.record.reported);
        self.phase = match open {
            None => SealerPhase::Resting,
            Some(seal) => SealerPhase::Reporting {
                window: seal.record.window,
                queue: seal.record.reports().into(),
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
        batches: Vec<super::UsageBatch>,
        whole: bool,
    ) {
        let SealerPhase::Collecting {
            call, due, merged, ..
        } = &mut self.phase
        else {
            return;
        };
        if *call != Some(answered) {
            return;
        }
        *call = None;
        *due = now + self.options.backoff;
        for batch in batches {
            merged.take(batch);
        }
        if whole {
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
        let window = self.next;
        let (due, late) = self.figures(&merged, window);
        let record = SealRecord {
            window,
            holder: self.holder.clone(),
            fencing: self.fencing,
            due,
            late,
            reported: false,
        };
        let value = record.value();
        let write = StoreWrite::new(now, seal_key(window), value, StoreVersion::ABSENT);
        self.phase = SealerPhase::Sealing(Box::new(write), Box::new(record));
    }

    fn figures(
        &self,
        merged: &UsageKeeper,
        window: WindowId,
    ) -> (Vec<UsageFigure>, Vec<UsageFigure>) {
        let billed = self.billed();
        let sums = merged.sums(self.keep_from(), window);
        let open = sums.into_iter().map(|(key, totals)| {
            let before = billed.get(&key).copied().unwrap_or_default();
            UsageFigure {
                key,
                totals: totals.less(before),
            }
        });
        let open = open.filter(|figure| !figure.totals.is_zero());
        open.partition(|figure| figure.key.window == window)
    }

    /// Returns what has been sealed of each key, on time or late.
    fn billed(&self) -> BTreeMap<UsageKey, UsageTotals> {
        let mut billed: BTreeMap<UsageKey, UsageTotals> = BTreeMap::new();
        for seal in self.seals.values() {
            for figure in seal.record.due.iter().chain(&seal.record.late) {
                let sum = billed.entry(figure.key.clone()).or_default();
                *sum = sum.plus(figure.totals);
            }
        }
        billed
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
        self.next = record.window.next();
        let window = record.window;
        self.seals.insert(window, StoredSeal { record, version });
        self.proceed(now);
    }

    fn reported(&mut self, now: TimePoint, answered: CallNumber, taken: bool) {
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
        if !taken {
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
        let Some(seal) = self.seals.get(&window) else {
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
        if let Some(seal) = self.seals.get_mut(&window) {
            seal.record.reported = true;
            seal.version = version;
        }
        let keep_from = self.keep_from();
        actions.push(SealerAction::Closed { window, keep_from });
        self.forget_old(keep_from, actions);
        self.proceed(now);
    }

    /// Deletes reported seals that no late usage can refer to any more.
    fn forget_old(&mut self, keep_from: WindowId, actions: &mut Vec<SealerAction>) {
        // One more window is kept, so that a record is gone only after its
        // usage has been forgotten.
        let old = |window: &WindowId| window.next() < keep_from;
        while let Some(entry) = self.seals.first_entry() {
            if !old(entry.key()) || !entry.get().record.reported {
                return;
            }
            let (window, seal) = entry.remove_entry();
            actions.push(SealerAction::Store(StoreCall::Delete {
                call: self.calls.advance(),
                key: seal_key(window),
                expect: seal.version,
            }));
        }
    }

    fn keep_from(&self) -> WindowId {
        WindowId(self.next.0.saturating_sub(self.options.late_windows))
    }
}

fn authority_of(lease: &LeaseHolder, now: TimePoint, fencing: FencingNumber) -> Option<Authority> {
    let authority = lease.authority(now)?;
    (authority.fencing() == fencing).then_some(authority)
}
