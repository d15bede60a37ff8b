//! The claims of a shard in memory, as its entries make them.

use std::collections::BTreeMap;

use super::record::{EntryKind, EntryRecord};
use super::store::CallNumber;
use super::{ClaimKey, ClaimOptions, RequestFingerprint, StoredResponse};
use crate::id::RequestId;
use crate::unit::{ByteSize, TimePoint, TimeSpan};

/// Counts the entries of a shard, so that a row knows the one that made it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryNumber(pub(super) u64);

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RowState {
    /// Not yet durable; these calls wait for it.
    Planned {
        waiters: Vec<CallNumber>,
        asked: TimePoint,
    },
    Running,
    Kept(StoredResponse),
    Ran,
    Unknown,
}

#[derive(Clone, Debug)]
pub(super) struct ClaimRow {
    pub(super) fingerprint: RequestFingerprint,
    pub(super) request: RequestId,
    pub(super) at: TimeSpan,
    pub(super) entry: EntryNumber,
    pub(super) bucket: u64,
    pub(super) state: RowState,
}

/// The rows, and the answers that are kept, oldest first.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    pub(super) rows: BTreeMap<ClaimKey, ClaimRow>,
    kept: BTreeMap<EntryNumber, ClaimKey>,
    kept_bytes: ByteSize,
}

impl ClaimTable {
    /// Applies one durable entry, in the order of the log.
    pub(super) fn load(
        &mut self,
        entry: EntryRecord,
        bucket: u64,
        number: EntryNumber,
        options: &ClaimOptions,
    ) {
        let EntryRecord {
            at,
            claim,
            request,
            kind,
        } = entry;
        let fingerprint = match kind {
            EntryKind::Claim { fingerprint } => fingerprint,
            outcome => return self.settle(&claim, &request, outcome, options),
        };
        self.remove(&claim);
        let row = ClaimRow {
            fingerprint,
            request,
            at,
            entry: number,
            bucket,
            state: RowState::Running,
        };
        self.rows.insert(claim, row);
    }

    /// Turns a row into what `outcome` says; entries of other requests change nothing.
    pub(super) fn settle(
        &mut self,
        claim: &ClaimKey,
        request: &RequestId,
        outcome: EntryKind,
        options: &ClaimOptions,
    ) {
        let Some(row) = self.rows.get_mut(claim).filter(|r| r.request == *request) else {
            return;
        };
        match outcome {
            EntryKind::Claim { .. } => {}
            EntryKind::NotRun => self.remove(claim),
            EntryKind::Ran => row.state = RowState::Ran,
            EntryKind::Unknown => row.state = RowState::Unknown,
            EntryKind::Answer { status, body } => {
                let body = body.as_bytes().to_vec();
                self.kept_bytes += ByteSize(body.len() as u64);
                self.kept.insert(row.entry, claim.clone());
                row.state = RowState::Kept(StoredResponse { status, body });
                self.drop_oldest_answers(options.max_total_response_size);
            }
        }
    }

    pub(super) fn remove(&mut self, claim: &ClaimKey) {
        let Some(row) = self.rows.remove(claim) else {
            return;
        };
        if let RowState::Kept(answer) = &row.state {
            self.kept.remove(&row.entry);
            self.kept_bytes = self.kept_bytes - ByteSize(answer.body.len() as u64);
        }
    }

    pub(super) fn remove_bucket(&mut self, bucket: u64) {
        let rows = self.rows.iter();
        let old: Vec<ClaimKey> = rows
            .filter(|(_, row)| row.bucket == bucket)
            .map(|(claim, _)| claim.clone())
            .collect();
        for claim in old {
            self.remove(&claim);
        }
    }

    fn drop_oldest_answers(&mut self, limit: ByteSize) {
        while self.kept_bytes > limit {
            let Some((_, claim)) = self.kept.pop_first() else {
                return;
            };
            let Some(row) = self.rows.get_mut(&claim) else {
                continue;
            };
            if let RowState::Kept(answer) = &row.state {
                self.kept_bytes = self.kept_bytes - ByteSize(answer.body.len() as u64);
                row.state = RowState::Ran;
            }
        }
    }
}
