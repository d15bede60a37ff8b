//! Keeps the streams that began lately in the platform's store, so that callers can resume them
//! after all entries were killed.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::OriginSource;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_platform::{
    StoreCall, StoreChange, StoreError, StoreItem, StoreLease, StoreReply, OWN_PREFIX,
};
use serde::{Deserialize, Serialize};

use super::origins::{stream_life, OriginReport};
use super::state::GatewayState;
use super::version_record::{self, RecordKeeper};

/// The shortest interval between writes of the streams that this entry began.
const WRITE_PERIOD: Duration = Duration::from_millis(100);
/// The number of entries that write in the shortest interval. More entries write less often, so that
/// all of them together make at most 200 writes per second.
const FULL_RATE_ENTRIES: u64 = 20;
/// The shortest interval between two reads for streams that this entry does not know.
const READ_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// The pause after a failed call.
const RETRY_PAUSE: TimeSpan = TimeSpan::from_millis(500);
/// How long a request waits for such a read.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// The most pages per read of all streams.
const MAX_PAGES: usize = 16;

/// The stored streams that one run of an entry began.
#[derive(Debug, Serialize, Deserialize)]
struct StoredStreams {
    /// When they were written, in microseconds since the Unix epoch.
    wall_us: u64,
    reports: Vec<OriginReport>,
}

/// Returns the prefix of the keys under which entries keep the streams that they began.
fn streams_prefix() -> String {
    format!("{OWN_PREFIX}streams/")
}

/// Returns the key of this run of the entry. A later run does not overwrite what an earlier one
/// wrote.
fn own_key(state: &GatewayState) -> String {
    let instance = &state.settings().instance;
    format!("{}{instance}-{}", streams_prefix(), state.run)
}

/// Keeps the store and this entry's memory of streams in step, for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let mut writer = StreamWriter::default();
    let mut keeper = RecordKeeper::new(&state);
    let mut failed_at = None;
    loop {
        let periods = state.entry_count().div_ceil(FULL_RATE_ENTRIES).max(1);
        let periods = u32::try_from(periods).unwrap_or(u32::MAX);
        actix_rt::time::sleep(WRITE_PERIOD * periods).await;
        let now = state.now();
        let backing_off = failed_at.is_some_and(|at| now.since(at) < RETRY_PAUSE);
        if backing_off || !state.list_loaded.get() {
            continue;
        }
        let result = step(&state, &mut writer, &mut keeper).await;
        failed_at = result.is_err().then(|| state.now());
        if let Err(error) = result {
            log::debug!(error = error.to_string();
                "could not keep the origins of streams in the store; trying again");
        }
    }
}

async fn step(
    state: &GatewayState,
    writer: &mut StreamWriter,
    keeper: &mut RecordKeeper,
) -> Result<(), StoreError> {
    if !state.origins.is_complete(state) {
        read(state).await?;
    }
    keeper.step(state).await?;
    writer.step(state).await
}

/// Reads the store for a stream that this entry does not know. Requests that wait at the same time
/// share one read.
pub(super) async fn read_missing(state: &GatewayState) {
    let asked_at = state.now();
    let read = async {
        let mut last_read = state.origins.last_read.lock().await;
        if last_read.is_some_and(|at| at >= asked_at) {
            return Ok(());
        }
        if let Some(last) = *last_read {
            let wait = READ_INTERVAL.saturating_sub(state.now().since(last));
            actix_rt::time::sleep(Duration::from_micros(wait.0)).await;
        }
        *last_read = Some(state.now());
        read(state).await
    };
    match tokio::time::timeout(READ_TIMEOUT, read).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::info!(error = error.to_string();
            "could not read the origins of streams from the store"),
        Err(_) => log::info!("reading the origins of streams from the store took too long"),
    }
}

/// Reads the versions that have served and the streams that all entries wrote.
async fn read(state: &GatewayState) -> Result<(), StoreError> {
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let call = StoreCall::Range {
            prefix: streams_prefix(),
            after: after.clone(),
            stale: false,
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
    version_record::read(state).await
}

fn merge_item(state: &GatewayState, item: &StoreItem) {
    if item.key == own_key(state) {
        return;
    }
    match postcard::from_bytes::<StoredStreams>(&item.value) {
        Ok(stored) => {
            let age = state.cluster_time().0.saturating_sub(stored.wall_us);
            let origins = &state.origins;
            origins.receive(state, &stored.reports, OriginSource::Store, TimeSpan(age));
        }
        Err(error) => log::warn!(key = item.key.as_str(), error = error.to_string();
            "ignored unreadable origins of streams"),
    }
}

/// Writes the streams that this entry began, while several software versions serve.
#[derive(Default)]
struct StreamWriter {
    lease: Option<(StoreLease, TimePoint)>,
    /// The newest stream that was written, and the era of the store then.
    written: Option<(TimePoint, u64)>,
}

impl StreamWriter {
    async fn step(&mut self, state: &GatewayState) -> Result<(), StoreError> {
        let Some(newest) = state.origins.newest_mixed(state) else {
            return Ok(());
        };
        let era = state.store.era().number();
        if self.written == Some((newest, era)) {
            return Ok(());
        }
        let lease = self.lease(state).await?;
        let stored = StoredStreams {
            wall_us: state.cluster_time().0,
            reports: state.origins.own_reports(state),
        };
        let value = postcard::to_stdvec(&stored);
        let value = value.map_err(|error| StoreError::Unreadable(error.to_string()))?;
        let change = StoreChange {
            puts: vec![(own_key(state), value, Some(lease))],
            ..StoreChange::default()
        };
        match state.store.call(&StoreCall::Change(change)).await? {
            StoreReply::Changed(_) => {
                self.written = Some((newest, era));
                Ok(())
            }
            StoreReply::LeaseGone => {
                self.lease = None;
                Ok(())
            }
            _ => Err(StoreError::Unreadable("unexpected reply to a write".into())),
        }
    }

    /// Returns a lease that lasts about as long as a stream is remembered.
    async fn lease(&mut self, state: &GatewayState) -> Result<StoreLease, StoreError> {
        let (now, life) = (state.now(), stream_life(state));
        if let Some((lease, renewed_at)) = self.lease {
            if now.since(renewed_at) < TimeSpan(life.0 / 3) {
                return Ok(lease);
            }
            if let StoreReply::Leased(..) = state.store.call(&StoreCall::Renew(lease)).await? {
                self.lease = Some((lease, now));
                return Ok(lease);
            }
        }
        let granted = state.store.call(&StoreCall::Grant(life)).await?;
        let StoreReply::Leased(Some(lease), _) = granted else {
            return Err(StoreError::Unreadable(
                "unexpected reply to a lease grant".into(),
            ));
        };
        self.lease = Some((lease, now));
        Ok(lease)
    }
}
