//! Tells what this entry counted, and seals and reports windows under the lease.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{SealStep, WindowCounts};
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
/// How long a call to the platform may take; a report is made again until it is answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The most entries' counts that are removed with one change; the store takes 32 parts.
const MAX_REMOVED: usize = 28;
/// How long before a report is late the counts of an entry that cannot be reached are no
/// longer waited for.
const SEAL_MARGIN: TimeSpan = TimeSpan::from_millis(3_000);
/// How many windows that have ended are told, again where more is heard of them.
const TOLD_WINDOWS: u64 = 2;
/// Seals older than this many windows are removed.
const KEPT_SEALS: u64 = 12;

/// What one run of an entry writes about a window.
#[derive(Debug, Default, Serialize, Deserialize)]
struct UsageRecord {
    /// What it counted itself.
    own: WindowCounts,
    /// What it heard of runs that have fallen silent, by their names; a holder that has just
    /// started has heard nothing itself.
    heard: BTreeMap<SmolStr, WindowCounts>,
}

impl UsageRecord {
    /// Returns what this entry has counted and heard by now.
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

/// Tells and reports usage for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    if !state.settings().duties.contains(&DutyKind::Usage) {
        return;
    }
    let mut told = ToldWindows::new(state.counter.borrow().window_at(state.cluster_time()));
    loop {
        told.catch_up(&state).await;
        report_due(&state).await;
        actix_rt::time::sleep(STEP_PERIOD).await;
    }
}

/// What this run of the entry has told of the windows that have ended.
struct ToldWindows {
    /// The oldest window that is still told; at first the one in which the run began.
    first: WindowId,
    /// What was told, for as long as it may be told again.
    records: BTreeMap<WindowId, UsageRecord>,
}

impl ToldWindows {
    fn new(first: WindowId) -> Self {
        let records = BTreeMap::new();
        Self { first, records }
    }

    /// Tells the last windows, again where another run has fallen silent since.
    async fn catch_up(&mut self, state: &GatewayState) {
        let current = state.counter.borrow().window_at(state.cluster_time());
        let oldest = WindowId(current.0.saturating_sub(TOLD_WINDOWS)).max(self.first);
        if oldest > self.first && !self.records.contains_key(&self.first) {
            log::warn!(window = self.first.0; "counts of a window given up");
        }
        self.first = oldest;
        for window in (oldest.0..current.0).map(WindowId) {
            let record = UsageRecord::of(state, window);
            let told = self.records.get(&window);
            let known = |part| told.is_some_and(|told| told.heard.contains_key(part));
            if told.is_some() && record.heard.keys().all(known) {
                continue;
            }
            if tell(state, window, &record).await {
                self.records.insert(window, record);
            }
        }
        self.records = self.records.split_off(&oldest);
    }
}

/// Tells what was counted in the window that has not ended, as a process does that stops.
pub(crate) async fn flush(state: &GatewayState) {
    if state.settings().duties.contains(&DutyKind::Usage) {
        let window = state.counter.borrow().window_at(state.cluster_time());
        tell(state, window, &UsageRecord::of(state, window)).await;
    }
}

/// Writes a record of a window; returns whether it is known to stand.
async fn tell(state: &GatewayState, window: WindowId, record: &UsageRecord) -> bool {
    let value = match serde_json::to_vec(record) {
        Ok(value) => value,
        Err(error) => {
            log::error!(window = window.0, error = error.to_string(); "counts not written");
            return false;
        }
    };
    let key = format!("{}{}", counts_prefix(window), own_name(state));
    let change = StoreChange {
        puts: vec![(key, value, None)],
        ..StoreChange::default()
    };
    match state.store.call(&StoreCall::Change(change)).await {
        Ok(StoreReply::Changed(_)) => true,
        other => {
            log::debug!(window = window.0, answer = format!("{other:?}"); "counts not told yet");
            false
        }
    }
}

/// Settles what is due, all windows at a time so that one that fails holds up no other.
async fn report_due(state: &GatewayState) {
    if state.duty.authority(state).is_none() {
        return;
    }
    let steps = state.sealer.borrow_mut().due(state.cluster_time());
    let settled = steps.into_iter().map(|step| async move {
        let done = match step {
            SealStep::Seal(window) => seal(state, window).await,
            SealStep::Report(window) => report(state, window).await,
        };
        if let Err(error) = done {
            log::warn!(step = format!("{step:?}"), error = error.to_string();
                "usage window not settled yet");
        }
    });
    futures_util::future::join_all(settled).await;
}

/// Makes the seal of a window unless it stands; whoever made it, its figures are reported.
async fn seal(state: &GatewayState, window: WindowId) -> Result<()> {
    if let Some(counts) = sealed_counts(state, window).await? {
        log::info!(window = window.0; "usage window was sealed before");
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
        return Err(eyre!("the store gave no page"));
    };
    if !is_complete(state, window, &page.items) {
        return Ok(());
    }
    let counts = gather(state, window, &page.items);
    let told = page.items.len();
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
            log::info!(window = window.0, entries = told, total; "usage window sealed");
        }
        // Another holder's seal stands; it is read and reported at the next step.
        StoreReply::Conflict(_) => return Ok(()),
        other => return Err(eyre!("unexpected answer: {other:?}")),
    }
    state.sealer.borrow_mut().sealed(window);
    send_report(state, window, &counts).await
}

/// Returns what is under the seal of a window, if it has been made.
async fn sealed_counts(state: &GatewayState, window: WindowId) -> Result<Option<WindowCounts>> {
    let call = StoreCall::Get(seal_key(window));
    match state.store.call(&call).await? {
        StoreReply::Item(Some(item)) => Ok(Some(serde_json::from_slice(&item.value)?)),
        StoreReply::Item(None) => Ok(None),
        other => Err(eyre!("unexpected answer: {other:?}")),
    }
}

async fn report(state: &GatewayState, window: WindowId) -> Result<()> {
    let counts = sealed_counts(state, window).await?;
    let counts = counts.ok_or_else(|| eyre!("the seal is gone"))?;
    send_report(state, window, &counts).await
}

/// Reports figures that are known to stand under the seal of a window.
async fn send_report(state: &GatewayState, window: WindowId, counts: &WindowCounts) -> Result<()> {
    let address = state.settings().duty_address;
    let address = address.ok_or_else(|| eyre!("the settings name no interface for usage"))?;
    let mut connection = ClientConnection::open(address, CALL_TIMEOUT).await?;
    let Some(fencing) = state.duty.authority(state) else {
        return Err(eyre!("authority has ended"));
    };
    let bytes = render_usage(&state.settings().instance, fencing, window, counts);
    let head = connection.call(&bytes, CALL_TIMEOUT).await?;
    let reply = read_duty_reply(head.status);
    log::info!(window = window.0, fencing = fencing.0, teams = counts.len(),
        reply = format!("{reply:?}"); "usage window reported");
    match reply {
        DutyReply::Taken => state.sealer.borrow_mut().reported(window),
        DutyReply::Outdated => {
            log::warn!(fencing = fencing.0; "the platform has seen a higher fencing number");
            super::duty::release(state).await;
        }
        DutyReply::Refused(status) => return Err(eyre!("the platform refused with {status}")),
    }
    Ok(())
}

/// Returns whether every entry on the list has told its counts, or can no longer be waited for.
fn is_complete(state: &GatewayState, window: WindowId, items: &[StoreItem]) -> bool {
    let end = state.counter.borrow().end_of(window);
    let late = state
        .settings()
        .usage_report_limit
        .saturating_sub(SEAL_MARGIN);
    if state.cluster_time() >= end + late {
        return true;
    }
    let prefix = counts_prefix(window);
    let names = items
        .iter()
        .filter_map(|item| item.key.strip_prefix(&prefix));
    let told: Vec<&str> = names
        .filter_map(|name| Some(name.rsplit_once('-')?.0))
        .collect();
    let peers = state.peers.borrow();
    let heard_by = end + gossip::usage_delay(peers.names().count());
    let missing = peers
        .names()
        .filter(|peer| !told.contains(&peer.as_str()) && !peers.has_sent_counts(peer, heard_by))
        .count();
    missing == 0
}

/// Sums up what entries wrote, and what they told their peers of before they were gone.
fn gather(state: &GatewayState, window: WindowId, items: &[StoreItem]) -> WindowCounts {
    let prefix = counts_prefix(window);
    let mut parts = state.peers.borrow().counts(window);
    for item in items {
        let name = item.key.strip_prefix(&prefix).unwrap_or(&item.key);
        match serde_json::from_slice::<UsageRecord>(&item.value) {
            Ok(record) => {
                raise(parts.entry(SmolStr::new(name)).or_default(), record.own);
                for (part, counts) in record.heard {
                    raise(parts.entry(part).or_default(), counts);
                }
            }
            Err(error) => log::warn!(key = item.key.as_str(), error = error.to_string();
                "counts of an entry left out"),
        }
    }
    let own = state.counter.borrow().counts(window);
    raise(parts.entry(own_name(state)).or_default(), own);
    let mut total = WindowCounts::new();
    for (team, count) in parts.into_values().flatten() {
        *total.entry(team).or_default() += count;
    }
    total
}

/// Counts of one run only grow, so the larger of two is the later.
fn raise(known: &mut WindowCounts, counts: WindowCounts) {
    for (team, count) in counts {
        let known = known.entry(team).or_default();
        *known = count.max(*known);
    }
}

/// Names a run of an entry among those that count.
pub(crate) fn run_name(instance: &InstanceId, run: u64) -> SmolStr {
    format_smolstr!("{instance}-{run}")
}

fn own_name(state: &GatewayState) -> SmolStr {
    run_name(&state.settings().instance, state.run)
}
