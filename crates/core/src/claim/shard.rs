//! The machine that owns one shard of claims.

use std::collections::VecDeque;

use super::load::{LoadFate, LoadState};
use super::record::{outcome_kind, BatchToken, BucketText, EntryKind, EntryRecord};
use super::shelf::{BucketShelf, ClosedBucket, ShardClock};
use super::store::{CallNumber, StoreCompletion, StoreReply, StoreVersion};
use super::table::{ClaimRow, ClaimTable, EntryNumber, RowState};
use super::verdict::{judge_repeat, refuse_unavailable, waiters_of};
use super::writer::{BatchFate, BatchWriter, QueuedEntry};
use super::{ClaimAction, ClaimDecision, ClaimEvent, ClaimOptions, ClaimReport, ClaimRequest};
use crate::id::{FencingNumber, ShardId};
use crate::lease::HolderName;
use crate::unit::TimePoint;

#[derive(Debug)]
enum ShardPhase {
    Idle,
    Loading(LoadState),
    Ready(BatchWriter),
}

/// Grants, keeps and answers the claims of one shard.
#[derive(Debug)]
pub struct ClaimShard {
    shard: ShardId,
    options: ClaimOptions,
    token: BatchToken,
    phase: ShardPhase,
    table: ClaimTable,
    queue: VecDeque<QueuedEntry>,
    shelf: BucketShelf,
    clock: ShardClock,
    entries: EntryNumber,
    calls: CallNumber,
}

impl ClaimShard {
    /// A shard that this process does not own yet.
    pub fn new(shard: ShardId, holder: HolderName, options: ClaimOptions) -> Self {
        let token = BatchToken {
            writer: holder,
            fencing: FencingNumber::default(),
            batch: 0,
        };
        Self {
            shard,
            options,
            token,
            phase: ShardPhase::Idle,
            table: ClaimTable::default(),
            queue: VecDeque::new(),
            shelf: BucketShelf::new(shard),
            clock: ShardClock::default(),
            entries: EntryNumber::default(),
            calls: CallNumber::default(),
        }
    }

    /// Returns whether claims are granted here.
    pub fn is_ready(&self) -> bool {
        matches!(self.phase, ShardPhase::Ready(_))
    }

    /// Returns how many claims are in memory.
    pub fn row_count(&self) -> usize {
        self.table.rows.len()
    }

    /// Takes the shard over under a lease; nothing is granted until it is loaded.
    pub fn begin(&mut self, now: TimePoint, fencing: FencingNumber) -> Vec<ClaimAction> {
        let mut actions = self.end(now);
        self.token.fencing = fencing;
        self.phase = ShardPhase::Loading(LoadState::start(now));
        self.advance(now, &mut actions);
        actions
    }

    /// Gives the shard up; what waits is refused, which is true as nothing was granted.
    pub fn end(&mut self, _now: TimePoint) -> Vec<ClaimAction> {
        self.phase = ShardPhase::Idle;
        self.queue.clear();
        self.shelf = BucketShelf::new(self.shard);
        let table = std::mem::take(&mut self.table);
        let waiters = table.rows.into_values().flat_map(waiters_of);
        waiters.map(refuse_unavailable).collect()
    }

    /// Decides an event.
    pub fn handle(&mut self, now: TimePoint, event: ClaimEvent) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Claim { call, request: ask } => actions.extend(self.ask(now, call, ask)),
            ClaimEvent::Report { call, report } => actions.push(self.settle(now, call, report)),
            ClaimEvent::StoreCompleted(answer) => self.stored(now, answer, &mut actions),
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Does what is timed; call it at least as often as batches are written.
    pub fn tick(&mut self, now: TimePoint) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        self.withdraw_overdue(now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    fn ask(&mut self, now: TimePoint, call: CallNumber, ask: ClaimRequest) -> Option<ClaimAction> {
        if !self.is_ready() {
            return Some(refuse_unavailable(call));
        }
        let clock = self.clock.read(now);
        if let Some(row) = self.table.rows.get_mut(&ask.claim) {
            if let RowState::Planned { waiters, .. } = &mut row.state {
                if row.request == ask.request_id && row.fingerprint == ask.fingerprint {
                    waiters.push(call);
                    return None;
                }
            }
            let decision = judge_repeat(row, &ask, clock, self.options.run_timeout);
            return Some(ClaimAction::Reply { call, decision });
        }
        if self.table.rows.len() >= self.options.max_claims {
            return Some(refuse_unavailable(call));
        }
        let ClaimRequest {
            claim,
            fingerprint,
            request_id: request,
        } = ask;
        let kind = EntryKind::Claim { fingerprint };
        let entry = self.enqueue(EntryRecord {
            at: clock,
            claim: claim.clone(),
            request: request.clone(),
            kind,
        });
        let row = ClaimRow {
            fingerprint,
            request,
            at: clock,
            entry,
            bucket: 0,
            state: RowState::Planned {
                waiters: vec![call],
                asked: now,
            },
        };
        self.table.rows.insert(claim, row);
        None
    }

    fn settle(&mut self, now: TimePoint, call: CallNumber, report: ClaimReport) -> ClaimAction {
        let recorded = self.is_ready();
        let row = self.table.rows.get(&report.claim);
        let open = row.is_some_and(|row| {
            row.request == report.request_id
                && matches!(row.state, RowState::Running | RowState::Unknown)
        });
        if recorded && open {
            let kind = outcome_kind(&report.outcome, self.options.max_response_size);
            let (claim, request) = (report.claim, report.request_id);
            self.table
                .settle(&claim, &request, kind.clone(), &self.options);
            let at = self.clock.read(now);
            self.enqueue(EntryRecord {
                at,
                claim,
                request,
                kind,
            });
        }
        ClaimAction::Acknowledge { call, recorded }
    }

    fn enqueue(&mut self, record: EntryRecord) -> EntryNumber {
        self.entries.0 += 1;
        let number = self.entries;
        self.queue.push_back(QueuedEntry { number, record });
        number
    }

    /// Refuses claims that did not become durable in time.
    fn withdraw_overdue(&mut self, now: TimePoint, actions: &mut Vec<ClaimAction>) {
        let ShardPhase::Ready(writer) = &self.phase else {
            return;
        };
        let sent = writer.flight.iter().flat_map(|flight| &flight.entries);
        let sent: Vec<QueuedEntry> = sent.cloned().collect();
        for entry in sent {
            if self.withdraw(now, &entry, actions) {
                // It may become durable all the same, so that the log has to say
                // that it was not run.
                let at = self.clock.read(now);
                self.enqueue(EntryRecord {
                    at,
                    kind: EntryKind::NotRun,
                    ..entry.record
                });
            }
        }
        for entry in std::mem::take(&mut self.queue) {
            if !self.withdraw(now, &entry, actions) {
                self.queue.push_back(entry);
            }
        }
    }

    fn withdraw(
        &mut self,
        now: TimePoint,
        entry: &QueuedEntry,
        actions: &mut Vec<ClaimAction>,
    ) -> bool {
        let claim = &entry.record.claim;
        let row = self.table.rows.get(claim);
        let Some(row) = row.filter(|row| row.entry == entry.number) else {
            return false;
        };
        match &row.state {
            RowState::Planned { waiters, asked } if now >= *asked + self.options.write_timeout => {
                actions.extend(waiters.iter().copied().map(refuse_unavailable));
            }
            _ => return false,
        }
        self.table.remove(claim);
        true
    }

    fn stored(&mut self, now: TimePoint, answer: StoreCompletion, actions: &mut Vec<ClaimAction>) {
        if let Some(bucket) = self.shelf.take(&answer) {
            return self.table.remove_bucket(bucket);
        }
        let fate = match &mut self.phase {
            ShardPhase::Idle => return,
            ShardPhase::Loading(state) if state.call != Some(answer.call) => return,
            ShardPhase::Loading(_) => return self.load(now, &answer.reply),
            ShardPhase::Ready(writer) => writer.take(now, &answer, &self.options),
        };
        match fate {
            BatchFate::Open => {}
            BatchFate::Durable { entries, closed } => {
                self.shelf.add(closed);
                for entry in entries {
                    self.confirm(&entry, actions);
                }
            }
            BatchFate::Outranked(fencing) if fencing > self.token.fencing => {
                actions.extend(self.end(now));
            }
            BatchFate::Outranked(_) => actions.extend(self.begin(now, self.token.fencing)),
        }
    }

    fn confirm(&mut self, entry: &QueuedEntry, actions: &mut Vec<ClaimAction>) {
        let row = self.table.rows.get_mut(&entry.record.claim);
        let Some(row) = row.filter(|row| row.entry == entry.number) else {
            return;
        };
        if let RowState::Planned { waiters, .. } = &mut row.state {
            let decision = ClaimDecision::Granted;
            let waiters = std::mem::take(waiters);
            row.state = RowState::Running;
            actions.extend(waiters.into_iter().map(|call| ClaimAction::Reply {
                call,
                decision: decision.clone(),
            }));
        }
    }

    fn load(&mut self, now: TimePoint, reply: &StoreReply) {
        let ShardPhase::Loading(state) = &mut self.phase else {
            return;
        };
        match state.take(self.token.fencing, reply, &self.options) {
            LoadFate::Open => {}
            LoadFate::Outranked => self.phase = ShardPhase::Idle,
            LoadFate::Loaded(version) => self.become_ready(now, version),
            LoadFate::Changed => {
                let retry_at = now + self.options.batch_interval;
                self.phase = ShardPhase::Loading(LoadState::start(retry_at));
            }
        }
    }

    fn become_ready(&mut self, now: TimePoint, version: StoreVersion) {
        let phase = std::mem::replace(&mut self.phase, ShardPhase::Idle);
        let ShardPhase::Loading(state) = phase else {
            return;
        };
        let bucket = state.next_number();
        let base = state.buckets.iter().map(|bucket| bucket.record.clock);
        let base = base.max().unwrap_or_default();
        self.clock = ShardClock { base, since: now };
        for bucket in state.buckets {
            let clock = bucket.record.clock;
            let version = bucket.version;
            let number = bucket.number;
            self.shelf.add(Some(ClosedBucket {
                number,
                version,
                clock,
            }));
            for entry in bucket.record.entries {
                self.entries.0 += 1;
                let number = self.entries;
                self.table.load(entry, bucket.number, number, &self.options);
            }
        }
        let mut token = self.token.clone();
        token.batch = self.calls.0;
        let writer = BatchWriter::new(self.shard, bucket, version, token, base);
        self.phase = ShardPhase::Ready(writer);
    }

    /// Returns the calls that are due.
    fn advance(&mut self, now: TimePoint, actions: &mut Vec<ClaimAction>) {
        self.start_batch(now);
        let call = match &mut self.phase {
            ShardPhase::Idle => None,
            ShardPhase::Loading(state) => {
                let (shard, token) = (self.shard, &self.token);
                state.next_call(now, shard, token, &mut self.calls, &self.options)
            }
            ShardPhase::Ready(writer) => writer.next_call(now, &mut self.calls, &self.options),
        };
        actions.extend(call.map(ClaimAction::Store));
        if self.is_ready() {
            let clock = self.clock.read(now);
            let deletion = self
                .shelf
                .next_call(now, clock, &mut self.calls, &self.options);
            actions.extend(deletion.map(ClaimAction::Store));
        }
    }

    fn start_batch(&mut self, now: TimePoint) {
        let ShardPhase::Ready(writer) = &mut self.phase else {
            return;
        };
        if self.queue.is_empty() || !writer.is_free(now, &self.options) {
            return;
        }
        let mut entries = Vec::new();
        let mut text = BucketText::default();
        while let Some(entry) = self.queue.pop_front() {
            text.append(&entry.record);
            if let Some(row) = self.table.rows.get_mut(&entry.record.claim) {
                if row.entry == entry.number {
                    row.bucket = writer.bucket;
                }
            }
            entries.push(entry);
            if text.size() >= self.options.max_batch_size {
                break;
            }
        }
        let clock = self.clock.read(now);
        writer.start(now, clock, entries, &self.options);
    }
}
