//! The record of the software versions that have served, which outlives the entries.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::direct::{SoftwareVersion, StoreEra, MAX_LIST_AGE, SETTLE_TIME};
use applefold_core::id::ServiceId;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_platform::{
    StoreCall, StoreChange, StoreError, StoreReply, StoreRevision, OWN_PREFIX,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::origins::stream_life;
use super::state::GatewayState;

/// The delay of each further entry in the read order before it reads and writes the record.
const RANK_STEP: TimeSpan = TimeSpan::from_millis(100);
/// The longest such delay. It is shorter than the time for which a new version is not used.
const MAX_RANK_DELAY: TimeSpan = TimeSpan::from_secs(1);
/// The number of entries that write which versions no longer serve.
const MAX_WRITERS: usize = 3;

/// A version of a service in the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedVersion {
    service: SmolStr,
    /// The version; `None` if it is unknown.
    version: Option<SmolStr>,
    /// Since when it serves, in microseconds since the Unix epoch.
    since_us: u64,
    /// When it no longer served, in microseconds since the Unix epoch; `None` while it serves.
    gone_us: Option<u64>,
}

/// The record of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    /// The era of the store in which it was written.
    era: u64,
    versions: Vec<RecordedVersion>,
}

type VersionName = (ServiceId, Option<SoftwareVersion>);

/// Since when a version serves and when it no longer served, in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct VersionTimes {
    since_us: u64,
    gone_us: Option<u64>,
}

impl RecordedVersion {
    fn name(&self) -> Option<VersionName> {
        let version = self.version.as_ref();
        let version = version.and_then(|text| text.parse().ok());
        Some((self.service.parse().ok()?, version))
    }
}

fn record_key() -> String {
    format!("{OWN_PREFIX}versions")
}

/// Reads the record and learns the versions in it. Returns the record, its revision and the era of
/// the store.
async fn read_record(
    state: &GatewayState,
) -> Result<(VersionRecord, StoreRevision, StoreEra), StoreError> {
    let call = StoreCall::Get(record_key());
    let (reply, era) = state.store.call_in_era(&call).await?;
    let StoreReply::Item(item) = reply else {
        return Err(StoreError::Unreadable("unexpected reply to a read".into()));
    };
    let Some(item) = item else {
        // Before the first write to a store that has lost nothing, no other version has served.
        if era.number() == 0 {
            settle_first(state);
        }
        return Ok((VersionRecord::default(), StoreRevision(0), era));
    };
    let record: VersionRecord = match serde_json::from_slice(&item.value) {
        Ok(record) => record,
        Err(error) => {
            log::warn!(error = error.to_string();
                "record of software versions is unreadable; writing it again");
            return Ok((VersionRecord::default(), item.revision, era));
        }
    };
    learn(state, &record, era);
    Ok((record, item.revision, era))
}

/// Records that no version has served before those on the first list.
fn settle_first(state: &GatewayState) {
    let listed = listed_versions(state);
    let (now, life) = (state.now(), stream_life(state));
    state.origins.with_memory(|memory| {
        let history = &mut memory.history;
        if history.is_complete(now, life) {
            return;
        }
        for (service, version) in &listed {
            history.note_seen(service, version.as_ref(), now, now);
            history.note_settled(service, version.as_ref());
        }
        history.note_complete();
    });
}

/// Learns the versions in a record. One of an earlier era may lack versions.
fn learn(state: &GatewayState, record: &VersionRecord, era: StoreEra) {
    let (now, wall) = (state.now(), state.cluster_time());
    let current = record.era == era.number();
    state.origins.with_memory(|memory| {
        for recorded in &record.versions {
            let Some((service, version)) = recorded.name() else {
                log::warn!(service = recorded.service.as_str();
                    "recorded software version ignored: invalid service name");
                continue;
            };
            let gone = recorded.gone_us;
            let ago = gone.map_or(0, |gone| wall.0.saturating_sub(gone));
            let history = &mut memory.history;
            history.note_seen(&service, version.as_ref(), now - TimeSpan(ago), now);
            if current && gone.is_none() {
                history.note_recorded(&service, version.as_ref());
                if wall.0.saturating_sub(recorded.since_us) >= SETTLE_TIME.0 {
                    history.note_settled(&service, version.as_ref());
                }
            }
        }
        if current {
            memory.history.note_complete();
        }
    });
}

/// Learns the versions in the record.
///
/// # Errors
///
/// Fails if the store does not answer.
pub(super) async fn read(state: &GatewayState) -> Result<(), StoreError> {
    read_record(state).await.map(|_| ())
}

/// Keeps the record in step with the list of backend servers.
pub(super) struct RecordKeeper {
    /// The versions that the record names as serving, as this entry read it last.
    serving: BTreeSet<VersionName>,
    era: u64,
    /// Since when the record differs from the list.
    differs_since: Option<TimePoint>,
}

impl RecordKeeper {
    pub(super) fn new(state: &GatewayState) -> Self {
        Self {
            serving: BTreeSet::new(),
            era: state.store.era().number(),
            differs_since: None,
        }
    }

    /// Reads and writes the record if it differs from the list. The first entries in the read order
    /// do so first.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub(super) async fn step(&mut self, state: &GatewayState) -> Result<(), StoreError> {
        let now = state.now();
        let era = state.store.era().number();
        if std::mem::replace(&mut self.era, era) != era {
            self.serving.clear();
            let origins = &state.origins;
            origins.with_memory(|memory| memory.history.forget_recorded());
        }
        let confirmed_at = state.replicas.list.confirmed_at();
        if confirmed_at.is_none_or(|at| now.since(at) > MAX_LIST_AGE) {
            return Ok(());
        }
        let listed = listed_versions(state);
        let rank = state.read_rank();
        let lacks = listed.iter().any(|name| !self.serving.contains(name));
        let names_gone = self.serving.iter().any(|name| !listed.contains(name));
        let differs = lacks || (names_gone && rank < MAX_WRITERS);
        if !differs {
            self.differs_since = None;
            return Ok(());
        }
        let since = *self.differs_since.get_or_insert(now);
        let delay = TimeSpan(RANK_STEP.0.saturating_mul(rank as u64)).min(MAX_RANK_DELAY);
        if now.since(since) < delay {
            return Ok(());
        }
        self.update(state, &listed, rank).await
    }

    /// Reads the record, and writes it unless it agrees with the list.
    async fn update(
        &mut self,
        state: &GatewayState,
        listed: &BTreeSet<VersionName>,
        rank: usize,
    ) -> Result<(), StoreError> {
        let (record, revision, era) = read_record(state).await?;
        let wall = state.cluster_time();
        let names = record.versions.iter();
        let names = names.filter_map(|recorded| {
            let times = VersionTimes {
                since_us: recorded.since_us,
                gone_us: recorded.gone_us,
            };
            Some((recorded.name()?, times))
        });
        let before: BTreeMap<VersionName, VersionTimes> = names.collect();
        let mut versions = before.clone();
        for name in listed {
            let times = versions.get(name);
            if times.is_none_or(|times| times.gone_us.is_some()) {
                let times = VersionTimes {
                    since_us: wall.0,
                    gone_us: None,
                };
                versions.insert(name.clone(), times);
            }
        }
        if rank < MAX_WRITERS {
            let oldest = wall.saturating_sub(TimeSpan(2 * stream_life(state).0));
            for (name, times) in &mut versions {
                if !listed.contains(name) && times.gone_us.is_none() {
                    times.gone_us = Some(wall.0);
                }
            }
            versions.retain(|_, times| times.gone_us.is_none_or(|gone| gone >= oldest.0));
        }
        let outdated = versions != before || record.era != era.number();
        if outdated || revision == StoreRevision(0) {
            if !write(state, &versions, revision, era).await? {
                return Ok(());
            }
            log::info!(versions = versions.len(), era = era.number();
                "recorded the software versions that serve");
        }
        let serving = versions.into_iter();
        let serving = serving.filter(|(_, times)| times.gone_us.is_none());
        self.serving = serving.map(|(name, _)| name).collect();
        self.differs_since = None;
        state.origins.with_memory(|memory| {
            for (service, version) in &self.serving {
                memory.history.note_recorded(service, version.as_ref());
            }
        });
        Ok(())
    }
}

/// Returns the versions on the list of backend servers.
fn listed_versions(state: &GatewayState) -> BTreeSet<VersionName> {
    let table = state.table.borrow();
    let rows = table.rows();
    let names = rows.map(|row| (row.spec.service.clone(), row.spec.version.clone()));
    names.collect()
}

/// Writes the record unless it has changed since it was read; returns whether it was written.
async fn write(
    state: &GatewayState,
    versions: &BTreeMap<VersionName, VersionTimes>,
    revision: StoreRevision,
    era: StoreEra,
) -> Result<bool, StoreError> {
    let versions = versions.iter().map(|((service, version), times)| {
        let version = version.as_ref();
        RecordedVersion {
            service: SmolStr::new(service.as_str()),
            version: version.map(|version| SmolStr::new(version.as_str())),
            since_us: times.since_us,
            gone_us: times.gone_us,
        }
    });
    let record = VersionRecord {
        era: era.number(),
        versions: versions.collect(),
    };
    let value = serde_json::to_vec(&record);
    let value = value.map_err(|error| StoreError::Unreadable(error.to_string()))?;
    let change = StoreChange {
        expected: vec![(record_key(), revision)],
        puts: vec![(record_key(), value, None)],
        ..StoreChange::default()
    };
    match state.store.call(&StoreCall::Change(change)).await? {
        StoreReply::Changed(_) => Ok(true),
        StoreReply::Conflict(_) => Ok(false),
        _ => Err(StoreError::Unreadable("unexpected reply to a write".into())),
    }
}
