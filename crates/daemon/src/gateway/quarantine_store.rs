//! Persists quarantined requests and prompt parts in the platform's store, so that the quarantine
//! outlives the entries.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::RequestFingerprint;
use applefold_core::quarantine::SuspectReport;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_platform::{
    StoreCall, StoreChange, StoreError, StoreItem, StoreReply, StoreRevision, OWN_PREFIX,
};
use serde::{Deserialize, Serialize};

use super::messages::CrashReport;
use super::state::GatewayState;

/// The interval between writes of newly quarantined requests.
const PERSIST_PERIOD: Duration = Duration::from_millis(500);
/// The number of periods between two reads of the records of all entries. An entry that gossip
/// does not reach learns of quarantined requests this way. The read may be stale, since a stale
/// read costs a tenth.
const PERIODS_PER_READ: u64 = 4;
/// The most records written per period, which bounds the calls to the store.
const MAX_WRITES_PER_PERIOD: usize = 8;
/// The number of entries that remove the records of ended quarantines, and write the others again after
/// the store has come back from an older copy.
const MAX_REWRITERS: usize = 3;
/// The most pages per read of all records.
const MAX_PAGES: usize = 8;

/// What the name of a prompt part's record begins with.
const PART_MARK: &str = "part-";

/// What is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QuarantineKind {
    Request,
    PromptPart,
}

impl QuarantineKind {
    const ALL: [Self; 2] = [Self::Request, Self::PromptPart];

    /// Returns the name in log lines.
    const fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::PromptPart => "prompt part",
        }
    }

    /// Returns the kind of the record under a key.
    fn of_key(key: &str) -> Self {
        let name = key.strip_prefix(&record_prefix()).unwrap_or(key);
        match name.starts_with(PART_MARK) {
            true => Self::PromptPart,
            false => Self::Request,
        }
    }

    /// Returns the key of a record.
    fn key(self, fingerprint: RequestFingerprint) -> String {
        let mark = match self {
            Self::Request => "",
            Self::PromptPart => PART_MARK,
        };
        format!("{}{mark}{fingerprint}", record_prefix())
    }

    fn unpersisted(self, state: &GatewayState) -> Vec<RequestFingerprint> {
        let (limit, now) = (MAX_WRITES_PER_PERIOD, state.now());
        match self {
            Self::Request => state.suspects.unpersisted(limit, now),
            Self::PromptPart => state.suspect_parts.unpersisted(&state.suspects, limit, now),
        }
    }

    fn mark_persisted(self, state: &GatewayState, fingerprint: RequestFingerprint) {
        match self {
            Self::Request => state.suspects.mark_persisted(fingerprint),
            Self::PromptPart => state.suspect_parts.mark_persisted(fingerprint),
        }
    }

    /// Records that the store has lost the records; returns their number.
    fn forget_persisted(self, state: &GatewayState) -> usize {
        match self {
            Self::Request => state.suspects.forget_persisted(),
            Self::PromptPart => state.suspect_parts.forget_persisted(&state.suspects),
        }
    }

    fn merge_report(self, state: &GatewayState, report: SuspectReport) {
        let (source, now) = ("store", state.now());
        match self {
            Self::Request => state.suspects.merge_report(source, report, now),
            Self::PromptPart => state.suspect_parts.merge_report(source, report, now),
        }
    }

    /// Returns whether a quarantine has ended that was stored for `recorded` crashes, of which those
    /// at these times are not disproved.
    fn has_ended(
        self,
        state: &GatewayState,
        fingerprint: RequestFingerprint,
        crashes: &[TimePoint],
        recorded: usize,
    ) -> bool {
        let (suspects, suspect_parts) = (&state.suspects, &state.suspect_parts);
        match self {
            Self::Request => suspects.has_ended(fingerprint, crashes, recorded),
            Self::PromptPart => suspect_parts.has_ended(fingerprint, crashes, recorded),
        }
    }

    fn reports_for(
        self,
        state: &GatewayState,
        fingerprint: RequestFingerprint,
    ) -> Vec<SuspectReport> {
        match self {
            Self::Request => state.suspects.reports_for(fingerprint, state.now()),
            Self::PromptPart => state.suspect_parts.reports_for(fingerprint, state.now()),
        }
    }

    fn retention(self, state: &GatewayState) -> TimeSpan {
        match self {
            Self::Request => state.suspects.retention(),
            Self::PromptPart => state.suspect_parts.retention(),
        }
    }
}

/// The stored record of a quarantine.
#[derive(Debug, Serialize, Deserialize)]
struct QuarantineRecord {
    /// When it was written, in microseconds since the Unix epoch.
    wall_us: u64,
    /// The crashes, with their ages at that time.
    crashes: Vec<CrashReport>,
}

/// Returns the prefix of the keys of all records, which one range read returns.
fn record_prefix() -> String {
    format!("{OWN_PREFIX}refused/")
}

/// Reads the records of all entries and writes those of this one, for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    while let Err(error) = read_all(&state, false).await {
        log::debug!(error = error.to_string();
            "could not read the quarantine at the start; trying again");
        actix_rt::time::sleep(PERSIST_PERIOD).await;
    }
    let mut era = state.store.era();
    for period in 1_u64.. {
        actix_rt::time::sleep(PERSIST_PERIOD).await;
        if state.store.era() != era {
            era = state.store.era();
            if state.read_rank() < MAX_REWRITERS {
                for kind in QuarantineKind::ALL {
                    let lost = kind.forget_persisted(&state);
                    log::info!(kind = kind.name(), era = era.number(), lost;
                        "writing the quarantine again: the store is in a new era");
                }
            }
        }
        if period.is_multiple_of(PERIODS_PER_READ) {
            if let Err(error) = read_all(&state, true).await {
                log::debug!(error = error.to_string();
                    "could not read the quarantine; trying again in a later period");
            }
        }
        for kind in QuarantineKind::ALL {
            persist_due(&state, kind).await;
        }
    }
}

/// Writes the records that are due.
async fn persist_due(state: &GatewayState, kind: QuarantineKind) {
    for fingerprint in kind.unpersisted(state) {
        if let Err(error) = persist(state, kind, fingerprint).await {
            log::warn!(kind = kind.name(), fingerprint = fingerprint.to_string(),
                error = error.to_string(); "could not store a quarantine; trying again");
            return;
        }
        kind.mark_persisted(state, fingerprint);
        log::info!(kind = kind.name(), fingerprint = fingerprint.to_string();
            "stored a quarantine");
    }
}

/// A record whose quarantine has ended.
struct EndedRecord {
    kind: QuarantineKind,
    key: String,
    revision: StoreRevision,
}

/// Reads the records of all entries, and removes those whose quarantine has ended. Otherwise entries
/// that start later would take them up again.
async fn read_all(state: &GatewayState, stale: bool) -> Result<(), StoreError> {
    let mut after = None;
    let mut ended = Vec::new();
    for _ in 0..MAX_PAGES {
        let call = StoreCall::Range {
            prefix: record_prefix(),
            after: after.clone(),
            stale,
        };
        let StoreReply::Page(page) = state.store.call(&call).await? else {
            return Err(StoreError::Unreadable(
                "unexpected reply to a range read".into(),
            ));
        };
        ended.extend(page.items.iter().filter_map(|item| merge_item(state, item)));
        after = page.items.last().map(|item| item.key.clone());
        if !page.truncated || after.is_none() {
            break;
        }
    }
    if state.read_rank() < MAX_REWRITERS {
        for record in ended.into_iter().take(MAX_WRITES_PER_PERIOD) {
            remove_ended(state, record).await?;
        }
    }
    Ok(())
}

/// Removes a record unless it has changed since it was read.
async fn remove_ended(state: &GatewayState, record: EndedRecord) -> Result<(), StoreError> {
    let EndedRecord {
        kind,
        key,
        revision,
    } = record;
    let change = StoreChange {
        expected: vec![(key.clone(), revision)],
        removed: vec![key.clone()],
        ..StoreChange::default()
    };
    let reply = state.store.call(&StoreCall::Change(change)).await?;
    let removed = matches!(reply, StoreReply::Changed(_));
    log::info!(kind = kind.name(), key, removed;
        "stored quarantine has ended: an answer or a sign of life has cleared it");
    Ok(())
}

/// Merges the crashes of a record; returns the record if its quarantine has ended.
fn merge_item(state: &GatewayState, item: &StoreItem) -> Option<EndedRecord> {
    let kind = QuarantineKind::of_key(&item.key);
    let record: QuarantineRecord = match serde_json::from_slice(&item.value) {
        Ok(record) => record,
        Err(error) => {
            log::warn!(key = item.key.as_str(), error = error.to_string();
                "ignored an unreadable record of a quarantine");
            return None;
        }
    };
    let written_ago = state.cluster_time().0.saturating_sub(record.wall_us);
    let now = state.now();
    let mut fingerprint = None;
    let mut crashes = Vec::new();
    for crash in &record.crashes {
        let Some(mut report) = crash.read() else {
            log::warn!(key = item.key.as_str();
                "ignored a crash record with an invalid backend server name");
            continue;
        };
        report.age += TimeSpan(written_ago);
        fingerprint = Some(report.fingerprint);
        kind.mark_persisted(state, report.fingerprint);
        let Some(run) = &report.crashed else {
            continue;
        };
        let crashed_at = now - report.age;
        if !state.is_disproved(run, crashed_at) {
            crashes.push(crashed_at);
            kind.merge_report(state, report);
        }
    }
    let recorded = record.crashes.len();
    let ended = kind.has_ended(state, fingerprint?, &crashes, recorded);
    ended.then(|| EndedRecord {
        kind,
        key: item.key.clone(),
        revision: item.revision,
    })
}

/// Writes the record of one fingerprint under a lease that lasts as long as the quarantine, unless
/// another entry has written it.
async fn persist(
    state: &GatewayState,
    kind: QuarantineKind,
    fingerprint: RequestFingerprint,
) -> Result<(), StoreError> {
    let record = QuarantineRecord {
        wall_us: state.cluster_time().0,
        crashes: kind
            .reports_for(state, fingerprint)
            .into_iter()
            .map(CrashReport::new)
            .collect(),
    };
    let value = serde_json::to_vec(&record);
    let value = value.map_err(|error| StoreError::Unreadable(error.to_string()))?;
    let grant = StoreCall::Grant(kind.retention(state));
    let StoreReply::Leased(Some(lease), _) = state.store.call(&grant).await? else {
        return Err(StoreError::Unreadable(
            "unexpected reply to a lease grant".into(),
        ));
    };
    let key = kind.key(fingerprint);
    let change = StoreChange {
        expected: vec![(key.clone(), StoreRevision(0))],
        puts: vec![(key, value, Some(lease))],
        ..StoreChange::default()
    };
    match state.store.call(&StoreCall::Change(change)).await? {
        StoreReply::Changed(_) => Ok(()),
        StoreReply::Conflict(_) => {
            if let Err(error) = state.store.call(&StoreCall::Revoke(lease)).await {
                log::debug!(fingerprint = fingerprint.to_string(), error = error.to_string();
                    "could not revoke the lease of a quarantine that another entry stored; \
                     it expires");
            }
            Ok(())
        }
        _ => Err(StoreError::Unreadable("unexpected reply to a write".into())),
    }
}
