//! The claims of a shard in memory, built from its log entries.

use std::collections::BTreeMap;

use super::record::{EntryKind, EntryRecord};
use super::store::CallNumber;
use super::{ClaimKey, ClaimOptions, RequestFingerprint, StoredResponse};
use crate::id::RequestId;
use crate::unit::{ByteSize, TimePoint, TimeSpan};

/// The sequence number of an entry, which identifies the entry that created a row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryNumber(pub(super) u64);

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RowState {
    /// The claim is not durable yet; `waiters` are the calls to reply to when it is.
    Pending {
        waiters: Vec<CallNumber>,
        requested_at: TimePoint,
    },
    /// The claim was granted; no outcome is known.
    Running,
    /// The request ran and its response is stored.
    Completed(StoredResponse),
    /// The request ran; its response is not stored.
    Ran,
    /// It is not known whether the request ran.
    Unknown,
}

#[derive(Clone, Debug)]
pub(super) struct ClaimRow {
    pub(super) fingerprint: RequestFingerprint,
    pub(super) request_id: RequestId,
    /// When the key was claimed, on the shard's clock.
    pub(super) claimed_at: TimeSpan,
    /// The entry that created the row.
    pub(super) entry: EntryNumber,
    /// The bucket that holds this entry; 0 until it is in a batch.
    pub(super) bucket: u64,
    pub(super) state: RowState,
}

/// The claims, and the stored responses in the order of their claims.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    pub(super) rows: BTreeMap<ClaimKey, ClaimRow>,
    /// The claims with a stored response, oldest first.
    responses: BTreeMap<EntryNumber, ClaimKey>,
    response_size: ByteSize,
}

impl ClaimTable {
    /// Applies one durable entry; entries must be applied in log order.
    pub(super) fn apply(
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
            outcome => return self.apply_outcome(&claim, &request, outcome, options),
        };
        self.remove(&claim);
        let row = ClaimRow {
            fingerprint,
            request_id: request,
            claimed_at: at,
            entry: number,
            bucket,
            state: RowState::Running,
        };
        self.rows.insert(claim, row);
    }

    /// Records the outcome of `request_id`. An outcome of any other request is ignored.
    pub(super) fn apply_outcome(
        &mut self,
        claim: &ClaimKey,
        request_id: &RequestId,
        outcome: EntryKind,
        options: &ClaimOptions,
    ) {
        let Some(row) = self
            .rows
            .get_mut(claim)
            .filter(|r| r.request_id == *request_id)
        else {
            return;
        };
        match outcome {
            EntryKind::Claim { .. } => {}
            EntryKind::NotRun => self.remove(claim),
            EntryKind::Ran => row.state = RowState::Ran,
            EntryKind::Unknown => row.state = RowState::Unknown,
            EntryKind::Answer { status, body } => {
                let body = body.as_bytes().to_vec();
                self.response_size += ByteSize(body.len() as u64);
                self.responses.insert(row.entry, claim.clone());
                row.state = RowState::Completed(StoredResponse { status, body });
                self.drop_oldest_responses(options.max_total_response_size);
            }
        }
    }

    pub(super) fn remove(&mut self, claim: &ClaimKey) {
        let Some(row) = self.rows.remove(claim) else {
            return;
        };
        if let RowState::Completed(response) = &row.state {
            self.responses.remove(&row.entry);
            self.response_size = self.response_size - ByteSize(response.body.len() as u64);
        }
    }

    /// Removes the claims whose entries are in `bucket`.
    pub(super) fn remove_bucket(&mut self, bucket: u64) {
        let rows = self.rows.iter();
        let expired: Vec<ClaimKey> = rows
            .filter(|(_, row)| row.bucket == bucket)
            .map(|(claim, _)| claim.clone())
            .collect();
        for claim in expired {
            self.remove(&claim);
        }
    }

    fn drop_oldest_responses(&mut self, max_size: ByteSize) {
        while self.response_size > max_size {
            let Some((_, claim)) = self.responses.pop_first() else {
                return;
            };
            let Some(row) = self.rows.get_mut(&claim) else {
                continue;
            };
            if let RowState::Completed(response) = &row.state {
                self.response_size = self.response_size - ByteSize(response.body.len() as u64);
                row.state = RowState::Ran;
            }
        }
    }
}
