//! What is refused for its crashes, kept in the platform's store, so that it outlives the entries.

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

/// How often new refusals are looked for.
const KEEP_PERIOD: Duration = Duration::from_millis(500);
/// In which periods the refusals of all entries are read, for those that the others cannot
/// reach; a read that may be a little old costs a tenth.
const READ_ROUNDS: u64 = 4;
/// The most refusals written in one period, which bounds the calls to the store.
const KEPT_A_PERIOD: usize = 8;
/// The most pages read at the start.
const MAX_PAGES: usize = 8;

/// What the store holds of a request that is refused.
#[derive(Debug, Serialize, Deserialize)]
struct RefusalRecord {
    /// The time since the epoch when it was written, in microseconds.
    wall_us: u64,
    /// The crashes, with their age then.
    crashes: Vec<CrashReport>,
}

fn refusal_prefix() -> String {
    format!("{OWN_PREFIX}refused/")
}

/// Reads what is refused and keeps what this entry finds, for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    while let Err(error) = read_all(&state, false).await {
        log::debug!(error = error.to_string(); "refusals not read yet");
        actix_rt::time::sleep(KEEP_PERIOD).await;
    }
    for round in 1_u64.. {
        actix_rt::time::sleep(KEEP_PERIOD).await;
        if round.is_multiple_of(READ_ROUNDS) {
            if let Err(error) = read_all(&state, true).await {
                log::debug!(error = error.to_string(); "refusals not read");
            }
        }
        for fingerprint in state.suspects.unpersisted(KEPT_A_PERIOD, state.now()) {
            if let Err(error) = keep(&state, fingerprint).await {
                log::warn!(fingerprint = fingerprint.to_string(), error = error.to_string();
                    "refusal not kept yet");
                break;
            }
            state.suspects.mark_persisted(fingerprint);
            log::info!(fingerprint = fingerprint.to_string(); "refusal kept");
        }
    }
}

async fn read_all(state: &GatewayState, stale: bool) -> Result<(), StoreError> {
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let call = StoreCall::Range {
            prefix: refusal_prefix(),
            after: after.clone(),
            stale,
        };
        let StoreReply::Page(page) = state.store.call(&call).await? else {
            return Err(StoreError::Unreadable("no page".into()));
        };
        for item in &page.items {
            take_item(state, item);
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.truncated || after.is_none() {
            break;
        }
    }
    Ok(())
}

fn take_item(state: &GatewayState, item: &StoreItem) {
    let record: RefusalRecord = match serde_json::from_slice(&item.value) {
        Ok(record) => record,
        Err(error) => {
            log::warn!(key = item.key.as_str(), error = error.to_string(); "refusal ignored");
            return;
        }
    };
    let written = state.cluster_time().0.saturating_sub(record.wall_us);
    for one in &record.crashes {
        let Some(mut news) = one.read() else {
            log::warn!(key = item.key.as_str(); "refusal of an unnamed backend server ignored");
            continue;
        };
        news.age += TimeSpan(written);
        let fingerprint = news.fingerprint;
        state.suspects.merge_report("store", news, state.now());
        state.suspects.mark_persisted(fingerprint);
    }
}

/// Writes one refusal, unless another entry has.
async fn keep(state: &GatewayState, fingerprint: RequestFingerprint) -> Result<(), StoreError> {
    let record = RefusalRecord {
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
        return Err(StoreError::Unreadable("no lease".into()));
    };
    let key = format!("{}{fingerprint}", refusal_prefix());
    let change = StoreChange {
        expected: vec![(key.clone(), StoreRevision(0))],
        puts: vec![(key, value, Some(lease))],
        ..StoreChange::default()
    };
    match state.store.call(&StoreCall::Change(change)).await? {
        StoreReply::Changed(_) | StoreReply::Conflict(_) => Ok(()),
        _ => Err(StoreError::Unreadable("not written".into())),
    }
}
