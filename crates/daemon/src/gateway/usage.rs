//! Publishes this entry's usage counts, and seals and reports usage windows under the duty lease.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{SealStep, StoreEra, WindowCounts};
use applefold_core::id::{InstanceId, WindowId};
use applefold_core::unit::TimeSpan;
use applefold_platform::{
    read_duty_reply, render_usage, DutyKind, DutyReply, StoreCall, StoreChange, StoreItem,
    StoreReply, StoreRevision, OWN_PREFIX,
};
use eyre::{eyre, Result};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use super::connection::ClientConnection;
use super::gossip;
use super::state::GatewayState;

const STEP_PERIOD: Duration = Duration::from_millis(250);
/// The time limit of a call to the platform. A report is repeated until the platform accepts it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The most usage records that one change removes, since the store takes 32 operations a change.
const MAX_REMOVED: usize = 28;
/// The time before the report limit at which sealing stops waiting for the counts of entries that
/// cannot be reached.
const SEAL_MARGIN: TimeSpan = TimeSpan::from_millis(3_000);
/// The number of ended windows whose records are still published and updated.
const PUBLISHED_WINDOWS: u64 = 2;
/// The number of windows for which seals are kept.
const KEPT_SEALS: u64 = 12;

/// The record that one process run of an entry writes to the store about a window.
#[derive(Debug, Default, Serialize, Deserialize)]
struct UsageRecord {
    /// Its own counts.
    own: WindowCounts,
    /// The counts that silent process runs had gossiped, by run name. A lease holder that has just
    /// started has received none of them itself.
    heard: BTreeMap<SmolStr, WindowCounts>,
}

impl UsageRecord {
    /// Returns this entry's record of a window as of now.
    fn of(state: &GatewayState, window: WindowId) -> Self {
        let peers = state.peers.borrow();
        let silence = gossip::usage_delay(peers.names().count());
        Self {
            own: state.counter.borrow().counts(window),
            heard: peers.counts_of_silent(window, silence, state.now()),
        }
    }
}

fn counts_prefix(window: WindowId) -> String {
    format!("{OWN_PREFIX}usage/{window}/")
}

fn seal_key(window: WindowId) -> String {
    format!("{OWN_PREFIX}sealed/{window}")
}

/// Publishes and reports usage for as long as the process runs; does nothing where the platform
/// wants no usage reports.
pub(crate) async fn run(state: Rc<GatewayState>) {
    if !state.settings().duties.contains(&DutyKind::Usage) {
        return;
    }
    let mut published =
        PublishedWindows::new(state.counter.borrow().window_at(state.cluster_time()));
    loop {
        published.publish_ended(&state).await;
        settle_due(&state).await;
        actix_rt::time::sleep(STEP_PERIOD).await;
    }
}

/// The records of ended windows that this process run has published.
struct PublishedWindows {
    /// The oldest window that is still published; at first the one in which the process started.
    first: WindowId,
    /// The records as written last, for as long as they may be updated.
    records: BTreeMap<WindowId, UsageRecord>,
    /// The era of the store that holds them.
    era: StoreEra,
}

impl PublishedWindows {
    fn new(first: WindowId) -> Self {
        Self {
            first,
            records: BTreeMap::new(),
            era: StoreEra::default(),
        }
    }

    /// Publishes the records of recently ended windows, and updates those where another process run
    /// has fallen silent since.
    async fn publish_ended(&mut self, state: &GatewayState) {
        let era = state.store.era();
        if std::mem::replace(&mut self.era, era) != era {
            self.records.clear();
        }
        let current = state.counter.borrow().window_at(state.cluster_time());
        let oldest = WindowId(current.0.saturating_sub(PUBLISHED_WINDOWS)).max(self.first);
        if oldest > self.first && !self.records.contains_key(&self.first) {
            log::warn!(window = self.first.0;
                "counts of a window not published in time; giving up");
        }
        self.first = oldest;
        for window in (oldest.0..current.0).map(WindowId) {
            let record = UsageRecord::of(state, window);
            let published = self.records.get(&window);
            let known = |run| published.is_some_and(|record| record.heard.contains_key(run));
            if published.is_some() && record.heard.keys().all(known) {
                continue;
            }
            if publish(state, window, &record).await {
                self.records.insert(window, record);
            }
        }
        self.records = self.records.split_off(&oldest);
    }
}

/// Publishes the counts of the current window, which a stopping process must not lose.
pub(crate) async fn flush(state: &GatewayState) {
    if state.settings().duties.contains(&DutyKind::Usage) {
        let window = state.counter.borrow().window_at(state.cluster_time());
        publish(state, window, &UsageRecord::of(state, window)).await;
    }
}

/// Writes the record of a window; returns whether the store has confirmed it.
async fn publish(state: &GatewayState, window: WindowId, record: &UsageRecord) -> bool {
    let value = match serde_json::to_vec(record) {
        Ok(value) => value,
        Err(error) => {
            log::error!(window = window.0, error = error.to_string();
                "counts of a window not published: cannot be encoded");
            return false;
        }
    };
    let key = format!("{}{}", counts_prefix(window), own_run_name(state));
    let change = StoreChange {
        puts: vec![(key, value, None)],
        ..StoreChange::default()
    };
    match state.store.call(&StoreCall::Change(change)).await {
        Ok(StoreReply::Changed(_)) => true,
        other => {
            log::debug!(window = window.0, answer = format!("{other:?}");
                "counts of a window not published yet; retrying");
            false
        }
    }
}

/// Seals and reports the windows that are due. They run concurrently, so that a failing one does
/// not delay the others.
async fn settle_due(state: &GatewayState) {
    if state.duty.authority(state).is_none() {
        return;
    }
    let steps = state.sealer.borrow_mut().due(state.cluster_time());
    let settlements = steps.into_iter().map(|step| async move {
        let result = match step {
            SealStep::Seal(window) => seal(state, window).await,
            SealStep::Report(window) => report(state, window).await,
        };
        if let Err(error) = result {
            log::warn!(step = format!("{step:?}"), error = error.to_string();
                "usage window not settled yet; retrying");
        }
    });
    futures_util::future::join_all(settlements).await;
}

/// Seals a window unless it is sealed already, and reports the sealed counts.
async fn seal(state: &GatewayState, window: WindowId) -> Result<()> {
    if let Some(counts) = sealed_counts(state, window).await? {
        log::info!(window = window.0; "usage window was sealed before; reporting its seal");
        state.sealer.borrow_mut().sealed(window);
        return send_report(state, window, &counts).await;
    }
    let prefix = counts_prefix(window);
    let call = StoreCall::Range {
        prefix,
        after: None,
        stale: false,
    };
    let StoreReply::Page(page) = state.store.call(&call).await? else {
        return Err(eyre!("unexpected reply from the store: not a page"));
    };
    if !is_complete(state, window, &page.items) {
        return Ok(());
    }
    let counts = merge_counts(state, window, &page.items);
    let record_count = page.items.len();
    let removed = page
        .items
        .into_iter()
        .map(|item| item.key)
        .take(MAX_REMOVED);
    let mut removed: Vec<String> = removed.collect();
    removed.push(seal_key(WindowId(window.0.saturating_sub(KEPT_SEALS))));
    let change = StoreChange {
        expected: vec![(seal_key(window), StoreRevision(0))],
        puts: vec![(seal_key(window), serde_json::to_vec(&counts)?, None)],
        removed,
    };
    match state.store.call(&StoreCall::Change(change)).await? {
        StoreReply::Changed(_) => {
            let total: u64 = counts.values().sum();
            log::info!(window = window.0, entries = record_count, total; "usage window sealed");
        }
        // Another holder has sealed the window. The next step reads and reports its seal.
        StoreReply::Conflict(_) => return Ok(()),
        other => return Err(eyre!("unexpected answer: {other:?}")),
    }
    state.sealer.borrow_mut().sealed(window);
    send_report(state, window, &counts).await
}

/// Returns the sealed counts of a window; `None` if it is not sealed.
async fn sealed_counts(state: &GatewayState, window: WindowId) -> Result<Option<WindowCounts>> {
    let call = StoreCall::Get(seal_key(window));
    match state.store.call(&call).await? {
        StoreReply::Item(Some(item)) => Ok(Some(serde_json::from_slice(&item.value)?)),
        StoreReply::Item(None) => Ok(None),
        other => Err(eyre!("unexpected answer: {other:?}")),
    }
}

/// Reports a window that is sealed.
async fn report(state: &GatewayState, window: WindowId) -> Result<()> {
    let counts = sealed_counts(state, window).await?;
    let counts = counts.ok_or_else(|| eyre!("the seal of the window is missing in the store"))?;
    send_report(state, window, &counts).await
}

/// Reports the sealed counts of a window to the platform.
async fn send_report(state: &GatewayState, window: WindowId, counts: &WindowCounts) -> Result<()> {
    let address = state.settings().duty_address;
    let address = address.ok_or_else(|| eyre!("the settings have no address for usage reports"))?;
    let mut connection = ClientConnection::open(address, CALL_TIMEOUT).await?;
    let Some(fencing) = state.duty.authority(state) else {
        return Err(eyre!("the duty lease has been lost"));
    };
    let bytes = render_usage(&state.settings().instance, fencing, window, counts);
    let head = connection.call(&bytes, CALL_TIMEOUT).await?;
    let reply = read_duty_reply(head.status);
    log::info!(window = window.0, fencing = fencing.0, teams = counts.len(),
        reply = format!("{reply:?}"); "usage window reported");
    match reply {
        DutyReply::Taken => state.sealer.borrow_mut().reported(window),
        DutyReply::Outdated => {
            log::warn!(fencing = fencing.0;
                "usage report rejected: higher fencing number seen; releasing the lease");
            super::duty::step_down(state).await;
        }
        DutyReply::Refused(status) => {
            return Err(eyre!(
                "the platform refused the usage report with status {status}"
            ))
        }
    }
    Ok(())
}

/// Returns whether every entry on the membership list has published or gossiped its counts of a
/// window, or whether the report limit allows no further wait.
fn is_complete(state: &GatewayState, window: WindowId, items: &[StoreItem]) -> bool {
    let end = state.counter.borrow().end_of(window);
    let limit = state
        .settings()
        .usage_report_limit
        .saturating_sub(SEAL_MARGIN);
    if state.cluster_time() >= end + limit {
        return true;
    }
    let prefix = counts_prefix(window);
    let names = items
        .iter()
        .filter_map(|item| item.key.strip_prefix(&prefix));
    let published: Vec<&str> = names
        .filter_map(|name| Some(name.rsplit_once('-')?.0))
        .collect();
    let peers = state.peers.borrow();
    let gossiped_by = end + gossip::usage_delay(peers.names().count());
    let missing = peers
        .names()
        .filter(|peer| {
            !published.contains(&peer.as_str()) && !peers.has_sent_counts(peer, gossiped_by)
        })
        .count();
    missing == 0
}

/// Returns the total counts of a window, from the records that entries published, the counts that
/// peers gossiped and this entry's own counts.
fn merge_counts(state: &GatewayState, window: WindowId, items: &[StoreItem]) -> WindowCounts {
    let prefix = counts_prefix(window);
    let mut runs = state.peers.borrow().counts(window);
    for item in items {
        let name = item.key.strip_prefix(&prefix).unwrap_or(&item.key);
        match serde_json::from_slice::<UsageRecord>(&item.value) {
            Ok(record) => {
                merge_max(runs.entry(SmolStr::new(name)).or_default(), record.own);
                for (run, counts) in record.heard {
                    merge_max(runs.entry(run).or_default(), counts);
                }
            }
            Err(error) => log::warn!(key = item.key.as_str(), error = error.to_string();
                "usage record ignored: cannot be decoded"),
        }
    }
    let own = state.counter.borrow().counts(window);
    merge_max(runs.entry(own_run_name(state)).or_default(), own);
    let mut total = WindowCounts::new();
    for (team, count) in runs.into_values().flatten() {
        *total.entry(team).or_default() += count;
    }
    total
}

/// Raises known counts to newer ones. Counts of one process run only grow, so the larger of two is
/// the newer one.
fn merge_max(known: &mut WindowCounts, counts: WindowCounts) {
    for (team, count) in counts {
        let known = known.entry(team).or_default();
        *known = count.max(*known);
    }
}

/// Returns the name under which a process run of an entry counts.
pub(crate) fn run_name(instance: &InstanceId, run: u64) -> SmolStr {
    format_smolstr!("{instance}-{run}")
}

fn own_run_name(state: &GatewayState) -> SmolStr {
    run_name(&state.settings().instance, state.run)
}
