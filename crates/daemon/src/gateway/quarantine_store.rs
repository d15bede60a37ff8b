//! Persists quarantined requests in the platform's store, so that the quarantine outlives the
//! entries.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::RequestFingerprint;
use applefold_core::unit::TimeSpan;
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
/// The number of entries that write the records again after the store has come back from an older
/// copy.
const MAX_REWRITERS: usize = 3;
/// The most pages per read of all records.
const MAX_PAGES: usize = 8;

/// The stored record of a quarantined request.
#[derive(Debug, Serialize, Deserialize)]
struct QuarantineRecord {
    /// When it was written, in microseconds since the Unix epoch.
    wall_us: u64,
    /// The crashes, with their ages at that time.
    crashes: Vec<CrashReport>,
}

fn key_prefix() -> String {
    format!("{OWN_PREFIX}refused/")
}

/// Reads the records of all entries and writes those of this one, for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    while let Err(error) = read_all(&state, false).await {
        log::debug!(error = error.to_string();
            "could not read the quarantined requests at the start; trying again");
        actix_rt::time::sleep(PERSIST_PERIOD).await;
    }
    let mut era = state.store.era();
    for period in 1_u64.. {
        actix_rt::time::sleep(PERSIST_PERIOD).await;
        if state.store.era() != era {
            era = state.store.era();
            if state.read_rank() < MAX_REWRITERS {
                let lost = state.suspects.forget_persisted();
                log::info!(era = era.number(), lost;
                    "writing the quarantined requests again: the store is in a new era");
            }
        }
        if period.is_multiple_of(PERIODS_PER_READ) {
            if let Err(error) = read_all(&state, true).await {
                log::debug!(error = error.to_string();
                    "could not read the quarantined requests; trying again in a later period");
            }
        }
        for fingerprint in state
            .suspects
            .unpersisted(MAX_WRITES_PER_PERIOD, state.now())
        {
            if let Err(error) = persist(&state, fingerprint).await {
                log::warn!(fingerprint = fingerprint.to_string(), error = error.to_string();
                    "could not store the quarantine of a request; trying again");
                break;
            }
            state.suspects.mark_persisted(fingerprint);
            log::info!(fingerprint = fingerprint.to_string(); "stored the quarantine of a request");
        }
    }
}

async fn read_all(state: &GatewayState, stale: bool) -> Result<(), StoreError> {
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let call = StoreCall::Range {
            prefix: key_prefix(),
            after: after.clone(),
            stale,
        };
        let StoreReply::Page(page) = state.store.call(&call).await? else {
            return Err(StoreError::Unreadable(
                "unexpected reply to a range read".into(),
            ));
        };
        for item in &page.items {
            merge_item(state, item);
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.truncated || after.is_none() {
            break;
        }
    }
    Ok(())
}

fn merge_item(state: &GatewayState, item: &StoreItem) {
    let record: QuarantineRecord = match serde_json::from_slice(&item.value) {
        Ok(record) => record,
        Err(error) => {
            log::warn!(key = item.key.as_str(), error = error.to_string();
                "ignored an unreadable record of a quarantined request");
            return;
        }
    };
    let written_ago = state.cluster_time().0.saturating_sub(record.wall_us);
    for crash in &record.crashes {
        let Some(mut report) = crash.read() else {
            log::warn!(key = item.key.as_str();
                "ignored a crash record with an invalid backend server name");
            continue;
        };
        report.age += TimeSpan(written_ago);
        let fingerprint = report.fingerprint;
        state.suspects.merge_report("store", report, state.now());
        state.suspects.mark_persisted(fingerprint);
    }
}

/// Writes the record of one fingerprint under a lease that lasts as long as the quarantine, unless
/// another entry has written it.
async fn persist(state: &GatewayState, fingerprint: RequestFingerprint) -> Result<(), StoreError> {
    let record = QuarantineRecord {
        wall_us: state.cluster_time().0,
        crashes: state
            .suspects
            .reports_for(fingerprint, state.now())
            .into_iter()
            .map(CrashReport::new)
            .collect(),
    };
    let value = serde_json::to_vec(&record);
    let value = value.map_err(|error| StoreError::Unreadable(error.to_string()))?;
    let grant = StoreCall::Grant(state.suspects.retention());
    let StoreReply::Leased(Some(lease), _) = state.store.call(&grant).await? else {
        return Err(StoreError::Unreadable(
            "unexpected reply to a lease grant".into(),
        ));
    };
    let key = format!("{}{fingerprint}", key_prefix());
    let change = StoreChange {
        expected: vec![(key.clone(), StoreRevision(0))],
        puts: vec![(key, value, Some(lease))],
        ..StoreChange::default()
    };
    match state.store.call(&StoreCall::Change(change)).await? {
        StoreReply::Changed(_) | StoreReply::Conflict(_) => Ok(()),
        _ => Err(StoreError::Unreadable("unexpected reply to a write".into())),
    }
}
