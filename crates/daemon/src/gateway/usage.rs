//! Tells what this entry counted, and seals and reports windows under the lease.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{SealStep, WindowCounts};
use applefold_core::id::{InstanceId, TeamId, WindowId};
use applefold_core::unit::TimeSpan;
use applefold_platform::{
    read_duty_reply, render_usage, DutyKind, DutyReply, StoreCall, StoreChange, StoreItem,
    StoreReply, StoreRevision, OWN_PREFIX,
};
use eyre::{eyre, Result};
use smol_str::{format_smolstr, SmolStr};

use super::connection::ClientConnection;
use super::state::GatewayState;

const STEP_PERIOD: Duration = Duration::from_millis(250);
/// How long a call to the platform may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The most entries' counts that are removed with one change; the store takes 32 parts.
const MAX_REMOVED: usize = 28;
/// How long before a report is late the counts of an entry that cannot be reached are no
/// longer waited for.
const SEAL_MARGIN: TimeSpan = TimeSpan::from_millis(3_000);
/// Seals older than this many windows are removed.
const KEPT_SEALS: u64 = 12;

fn counts_prefix(window: WindowId) -> String {
    format!("{OWN_PREFIX}usage/{window}/")
}

fn seal_key(window: WindowId) -> String {
    format!("{OWN_PREFIX}sealed/{window}")
}

/// Returns the time since the epoch, which windows go by.
pub(crate) fn wall() -> TimeSpan {
    TimeSpan(crate::logging::wall_micros())
}

/// Tells and reports usage for as long as the process runs.
pub(crate) async fn follow(state: Rc<GatewayState>) {
    if !state.settings().duties.contains(&DutyKind::Usage) {
        return;
    }
    let mut told = state.counter.borrow().window_at(wall());
    loop {
        let current = state.counter.borrow().window_at(wall());
        while told < current {
            if tell(&state, told).await {
                told = told.next();
            } else if told.0 + 2 < current.0 {
                log::warn!(window = told.0; "counts of a window given up");
                told = told.next();
            } else {
                break;
            }
        }
        report_due(&state).await;
        actix_rt::time::sleep(STEP_PERIOD).await;
    }
}

/// Tells what was counted in the window that has not ended, as a process does that stops.
pub(crate) async fn flush(state: &GatewayState) {
    if state.settings().duties.contains(&DutyKind::Usage) {
        let window = state.counter.borrow().window_at(wall());
        tell(state, window).await;
    }
}

/// Writes this entry's counts of a window; returns whether they are known to stand.
async fn tell(state: &GatewayState, window: WindowId) -> bool {
    let counts = state.counter.borrow().counts(window);
    let key = format!("{}{}", counts_prefix(window), own_name(state));
    let change = StoreChange {
        puts: vec![(key, encode(&counts), None)],
        ..StoreChange::default()
    };
    let told = state.store.call(&StoreCall::Change(change)).await;
    matches!(told, Ok(StoreReply::Changed(_)))
}

async fn report_due(state: &GatewayState) {
    if state.duty.authority(state).is_none() {
        return;
    }
    let steps = state.sealer.borrow_mut().due(wall());
    for step in steps {
        let done = match step {
            SealStep::Seal(window) => seal(state, window).await,
            SealStep::Report(window) => report(state, window).await,
        };
        if let Err(error) = done {
            log::warn!(step = format!("{step:?}"), error = error.to_string();
                "usage window not settled yet");
        }
    }
}

/// Makes the seal of a window unless it stands; whoever made it, its figures are reported.
async fn seal(state: &GatewayState, window: WindowId) -> Result<()> {
    let prefix = counts_prefix(window);
    let call = StoreCall::Range {
        prefix,
        after: None,
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
        puts: vec![(seal_key(window), encode(&counts), None)],
        removed,
    };
    match state.store.call(&StoreCall::Change(change)).await? {
        StoreReply::Changed(_) => {
            let total: u64 = counts.values().sum();
            log::info!(window = window.0, entries = told, total; "usage window sealed");
        }
        StoreReply::Conflict(_) => log::info!(window = window.0; "usage window was sealed before"),
        other => return Err(eyre!("unexpected answer: {other:?}")),
    }
    state.sealer.borrow_mut().sealed(window);
    report(state, window).await
}

async fn report(state: &GatewayState, window: WindowId) -> Result<()> {
    let call = StoreCall::Get(seal_key(window));
    let StoreReply::Item(Some(item)) = state.store.call(&call).await? else {
        return Err(eyre!("the seal is gone"));
    };
    let counts = decode(&item)?;
    let address = state.settings().duty_interface;
    let address = address.ok_or_else(|| eyre!("the settings name no interface for usage"))?;
    let mut connection = ClientConnection::open(address, CALL_TIMEOUT).await?;
    let Some(fencing) = state.duty.authority(state) else {
        return Err(eyre!("authority has ended"));
    };
    let bytes = render_usage(&state.settings().instance, fencing, window, &counts);
    let head = connection.call(&bytes, CALL_TIMEOUT).await?;
    let reply = read_duty_reply(head.status);
    log::info!(window = window.0, fencing = fencing.0, teams = counts.len(),
        reply = format!("{reply:?}"); "usage window reported");
    match reply {
        DutyReply::Taken => state.sealer.borrow_mut().reported(window),
        DutyReply::Outdated => {
            let actions = state.duty.give_back(state);
            log::warn!(fencing = fencing.0, actions = actions.len();
                "the platform has seen a higher fencing number");
        }
        DutyReply::Refused(status) => return Err(eyre!("the platform refused with {status}")),
    }
    Ok(())
}

/// Returns whether every entry on the list has told its counts, or can no longer be waited for.
fn is_complete(state: &GatewayState, window: WindowId, items: &[StoreItem]) -> bool {
    let end = state.counter.borrow().end_of(window);
    let late = state.settings().usage_late.saturating_sub(SEAL_MARGIN);
    if wall() >= end + late {
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
    let missing = peers
        .names()
        .filter(|peer| !told.contains(&peer.as_str()))
        .count();
    missing == 0
}

/// Sums up what entries wrote, and what they told their peers of before they were gone.
fn gather(state: &GatewayState, window: WindowId, items: &[StoreItem]) -> WindowCounts {
    let prefix = counts_prefix(window);
    let mut parts = state.peers.borrow().counts(window);
    for item in items {
        let name = item.key.strip_prefix(&prefix).unwrap_or(&item.key);
        match decode(item) {
            Ok(counts) => raise(parts.entry(SmolStr::new(name)).or_default(), counts),
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
pub(crate) fn part_name(instance: &InstanceId, run: u64) -> SmolStr {
    format_smolstr!("{instance}-{run}")
}

fn own_name(state: &GatewayState) -> SmolStr {
    part_name(&state.settings().instance, state.run)
}

fn encode(counts: &WindowCounts) -> Vec<u8> {
    let counts: BTreeMap<&str, u64> = counts
        .iter()
        .map(|(team, count)| (team.as_str(), *count))
        .collect();
    serde_json::json!(counts).to_string().into_bytes()
}

fn decode(item: &StoreItem) -> Result<WindowCounts> {
    let counts: BTreeMap<String, u64> = serde_json::from_slice(&item.value)?;
    let counts = counts.into_iter().map(|(team, count)| {
        let team: TeamId = team.parse()?;
        Ok((team, count))
    });
    counts.collect()
}
