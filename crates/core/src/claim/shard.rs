//! The state machine that owns one shard of claims.

use std::collections::VecDeque;

use super::decision::{decide_duplicate, refuse_unavailable, waiters_of};
use super::load::{LoadOutcome, LoadState};
use super::record::{outcome_kind, BatchToken, BucketText, EntryKind, EntryRecord};
use super::retention::{BucketRetention, ClosedBucket, ShardClock};
use super::store::{CallNumber, StoreCompletion, StoreReply, StoreVersion};
use super::table::{ClaimRow, ClaimTable, EntryNumber, RowState};
use super::writer::{BatchOutcome, BatchWriter, QueuedEntry};
use super::{ClaimAction, ClaimDecision, ClaimEvent, ClaimOptions, ClaimReport, ClaimRequest};
use crate::id::{FencingNumber, ShardId};
use crate::lease::HolderName;
use crate::unit::TimePoint;

#[derive(Debug)]
enum ShardPhase {
    /// The process does not own the shard.
    Idle,
    /// The process takes over the shard.
    Loading(LoadState),
    /// The process owns the shard and grants claims.
    Ready(BatchWriter),
}

/// Grants the claims of one shard, stores them, and answers duplicate requests.
#[derive(Debug)]
pub struct ClaimShard {
    shard: ShardId,
    options: ClaimOptions,
    token: BatchToken,
    phase: ShardPhase,
    table: ClaimTable,
    queue: VecDeque<QueuedEntry>,
    retention: BucketRetention,
    clock: ShardClock,
    last_entry: EntryNumber,
    last_call: CallNumber,
}

impl ClaimShard {
    /// Creates a shard that this process does not own yet.
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
            retention: BucketRetention::new(shard),
            clock: ShardClock::default(),
            last_entry: EntryNumber::default(),
            last_call: CallNumber::default(),
        }
    }

    /// Returns whether this process owns the shard and grants claims.
    pub fn is_ready(&self) -> bool {
        matches!(self.phase, ShardPhase::Ready(_))
    }

    /// Returns the number of claims in memory.
    pub fn row_count(&self) -> usize {
        self.table.rows.len()
    }

    /// Starts to take over the shard under the lease with `fencing`.
    ///
    /// Claims are refused until the stored claims are loaded.
    pub fn begin(&mut self, now: TimePoint, fencing: FencingNumber) -> Vec<ClaimAction> {
        let mut actions = self.end(now);
        self.token.fencing = fencing;
        self.phase = ShardPhase::Loading(LoadState::start(now));
        self.advance(now, &mut actions);
        actions
    }

    /// Gives up the shard.
    ///
    /// Pending claims are refused as not run, which holds because none of them was granted.
    pub fn end(&mut self, _now: TimePoint) -> Vec<ClaimAction> {
        self.phase = ShardPhase::Idle;
        self.queue.clear();
        self.retention = BucketRetention::new(self.shard);
        let table = std::mem::take(&mut self.table);
        let waiters = table.rows.into_values().flat_map(waiters_of);
        waiters.map(refuse_unavailable).collect()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: TimePoint, event: ClaimEvent) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match event {
            ClaimEvent::Claim { call, request } => actions.extend(self.claim(now, call, request)),
            ClaimEvent::Report { call, report } => {
                actions.push(self.record_report(now, call, report))
            }
            ClaimEvent::StoreCompleted(completion) => {
                self.handle_completion(now, completion, &mut actions)
            }
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Performs what is due. It must be called at least once per batch interval.
    pub fn tick(&mut self, now: TimePoint) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        self.refuse_overdue(now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    fn claim(
        &mut self,
        now: TimePoint,
        call: CallNumber,
        request: ClaimRequest,
    ) -> Option<ClaimAction> {
        if !self.is_ready() {
            return Some(refuse_unavailable(call));
        }
        let clock = self.clock.read(now);
        if let Some(row) = self.table.rows.get_mut(&request.claim) {
            if let RowState::Pending { waiters, .. } = &mut row.state {
                if row.request_id == request.request_id && row.fingerprint == request.fingerprint {
                    waiters.push(call);
                    return None;
                }
            }
            let decision = decide_duplicate(row, &request, clock, self.options.run_timeout);
            return Some(ClaimAction::Reply { call, decision });
        }
        if self.table.rows.len() >= self.options.max_claims {
            return Some(refuse_unavailable(call));
        }
        let ClaimRequest {
            claim,
            fingerprint,
            request_id,
        } = request;
        let kind = EntryKind::Claim { fingerprint };
        let entry = self.enqueue(EntryRecord {
            at: clock,
            claim: claim.clone(),
            request: request_id.clone(),
            kind,
        });
        let row = ClaimRow {
            fingerprint,
            request_id,
            claimed_at: clock,
            entry,
            bucket: 0,
            state: RowState::Pending {
                waiters: vec![call],
                requested_at: now,
            },
        };
        self.table.rows.insert(claim, row);
        None
    }

    fn record_report(
        &mut self,
        now: TimePoint,
        call: CallNumber,
        report: ClaimReport,
    ) -> ClaimAction {
        let recorded = self.is_ready();
        let row = self.table.rows.get(&report.claim);
        let is_unresolved = row.is_some_and(|row| {
            row.request_id == report.request_id
                && matches!(row.state, RowState::Running | RowState::Unknown)
        });
        if recorded && is_unresolved {
            let kind = outcome_kind(&report.outcome, self.options.max_response_size);
            let (claim, request_id) = (report.claim, report.request_id);
            self.table
                .apply_outcome(&claim, &request_id, kind.clone(), &self.options);
            let at = self.clock.read(now);
            self.enqueue(EntryRecord {
                at,
                claim,
                request: request_id,
                kind,
            });
        }
        ClaimAction::Acknowledge { call, recorded }
    }

    fn enqueue(&mut self, record: EntryRecord) -> EntryNumber {
        self.last_entry.0 += 1;
        let number = self.last_entry;
        self.queue.push_back(QueuedEntry { number, record });
        number
    }

    /// Refuses claims that did not become durable in time.
    fn refuse_overdue(&mut self, now: TimePoint, actions: &mut Vec<ClaimAction>) {
        let ShardPhase::Ready(writer) = &self.phase else {
            return;
        };
        let sent = writer.pending.iter().flat_map(|batch| &batch.entries);
        let sent: Vec<QueuedEntry> = sent.cloned().collect();
        for entry in sent {
            if self.refuse_if_overdue(now, &entry, actions) {
                // The claim's entry may still become durable, so the log must record that the
                // request did not run.
                let at = self.clock.read(now);
                self.enqueue(EntryRecord {
                    at,
                    kind: EntryKind::NotRun,
                    ..entry.record
                });
            }
        }
        for entry in std::mem::take(&mut self.queue) {
            if !self.refuse_if_overdue(now, &entry, actions) {
                self.queue.push_back(entry);
            }
        }
    }

    /// Refuses and removes the claim of `entry` if it is overdue; returns whether it was.
    fn refuse_if_overdue(
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
            RowState::Pending {
                waiters,
                requested_at,
            } if now >= *requested_at + self.options.write_timeout => {
                actions.extend(waiters.iter().copied().map(refuse_unavailable));
            }
            _ => return false,
        }
        self.table.remove(claim);
        true
    }

    fn handle_completion(
        &mut self,
        now: TimePoint,
        completion: StoreCompletion,
        actions: &mut Vec<ClaimAction>,
    ) {
        if let Some(bucket) = self.retention.handle_completion(&completion) {
            return self.table.remove_bucket(bucket);
        }
        let outcome = match &mut self.phase {
            ShardPhase::Idle => return,
            ShardPhase::Loading(state) if state.pending_call != Some(completion.call) => return,
            ShardPhase::Loading(_) => return self.handle_load_reply(now, &completion.reply),
            ShardPhase::Ready(writer) => writer.handle_completion(now, &completion, &self.options),
        };
        match outcome {
            BatchOutcome::Pending => {}
            BatchOutcome::Durable { entries, closed } => {
                self.retention.add(closed);
                for entry in entries {
                    self.grant(&entry, actions);
                }
            }
            BatchOutcome::Superseded(fencing) if fencing > self.token.fencing => {
                actions.extend(self.end(now));
            }
            BatchOutcome::Superseded(_) => actions.extend(self.begin(now, self.token.fencing)),
        }
    }

    /// Grants the claim of `entry`, which has become durable.
    fn grant(&mut self, entry: &QueuedEntry, actions: &mut Vec<ClaimAction>) {
        let row = self.table.rows.get_mut(&entry.record.claim);
        let Some(row) = row.filter(|row| row.entry == entry.number) else {
            return;
        };
        if let RowState::Pending { waiters, .. } = &mut row.state {
            let decision = ClaimDecision::Granted;
            let waiters = std::mem::take(waiters);
            row.state = RowState::Running;
            actions.extend(waiters.into_iter().map(|call| ClaimAction::Reply {
                call,
                decision: decision.clone(),
            }));
        }
    }

    fn handle_load_reply(&mut self, now: TimePoint, reply: &StoreReply) {
        let ShardPhase::Loading(state) = &mut self.phase else {
            return;
        };
        match state.handle_reply(self.token.fencing, reply, &self.options) {
            LoadOutcome::Pending => {}
            LoadOutcome::Superseded => self.phase = ShardPhase::Idle,
            LoadOutcome::Complete(version) => self.become_ready(now, version),
            LoadOutcome::Restart => {
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
        self.clock = ShardClock {
            base,
            started_at: now,
        };
        for bucket in state.buckets {
            let clock = bucket.record.clock;
            let version = bucket.version;
            let number = bucket.number;
            self.retention.add(Some(ClosedBucket {
                number,
                version,
                clock,
            }));
            for entry in bucket.record.entries {
                self.last_entry.0 += 1;
                let number = self.last_entry;
                self.table
                    .apply(entry, bucket.number, number, &self.options);
            }
        }
        let mut token = self.token.clone();
        token.batch = self.last_call.0;
        let writer = BatchWriter::new(self.shard, bucket, version, token, base);
        self.phase = ShardPhase::Ready(writer);
    }

    /// Starts the next batch if possible, and adds the store calls that are due.
    fn advance(&mut self, now: TimePoint, actions: &mut Vec<ClaimAction>) {
        self.start_batch(now);
        let call = match &mut self.phase {
            ShardPhase::Idle => None,
            ShardPhase::Loading(state) => {
                let (shard, token) = (self.shard, &self.token);
                state.next_call(now, shard, token, &mut self.last_call, &self.options)
            }
            ShardPhase::Ready(writer) => writer.next_call(now, &mut self.last_call, &self.options),
        };
        actions.extend(call.map(ClaimAction::Store));
        if self.is_ready() {
            let clock = self.clock.read(now);
            let deletion = self
                .retention
                .next_call(now, clock, &mut self.last_call, &self.options);
            actions.extend(deletion.map(ClaimAction::Store));
        }
    }

    fn start_batch(&mut self, now: TimePoint) {
        let ShardPhase::Ready(writer) = &mut self.phase else {
            return;
        };
        if self.queue.is_empty() || !writer.can_start(now, &self.options) {
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
