//! Reads the operator's configuration from the store, and puts new revisions in force.

use std::rc::Rc;

use applefold_core::direct::{RuleSet, StorePosition};
use applefold_core::unit::{TimeSpan, TokenCount};
use applefold_platform::{
    read_rules, StoreCall, StoreError, StoreEvent, StoreItem, StoreReply, StoreRevision, CONFIG_KEY,
};
use eyre::Result;

use super::config_sync::MAX_RETRY_DELAY;
use super::connection::TransferMeter;
use super::replicas::CONFIG_WAIT;
use super::state::GatewayState;
use super::store::{CALL_TIMEOUT, MAX_RESPONSE_BYTES};

/// How long a working store takes to answer the watch call after the longest delay of a retry.
const RESPONSE_MARGIN: TimeSpan = TimeSpan::from_millis(300);
/// How soon after a store outage the newest configuration is expected to be in force at all
/// entries.
const CATCH_UP_TIME: TimeSpan = TimeSpan::from_secs(3);
const _: () = assert!(
    CONFIG_WAIT.0 + CALL_TIMEOUT.0 + MAX_RETRY_DELAY.0 + RESPONSE_MARGIN.0 <= CATCH_UP_TIME.0,
    "a watch without a response is retried too late"
);
/// The response to a watch that is always read: several versions of a small configuration.
const MIN_WATCH_BYTES: usize = 128 << 10;
/// The response to a watch that is read, in percent of the configuration in force. One version has 134%, in
/// Base64, and two have 268%.
const MAX_WATCH_PERCENT: usize = 200;

/// Reads the current configuration. If there is none yet, that is recorded as confirmed, too.
pub(super) async fn read(state: &GatewayState, meter: &TransferMeter) -> Result<(), StoreError> {
    let sent_at = state.now();
    let call = StoreCall::Range {
        prefix: CONFIG_KEY.to_owned(),
        after: None,
        stale: false,
    };
    let read = state.store.call_within(&call, MAX_RESPONSE_BYTES, meter);
    let (reply, era) = read.await?;
    let StoreReply::Page(page) = reply else {
        return Err(StoreError::Unreadable(
            "unexpected reply to a range read".into(),
        ));
    };
    let mut changed = StorePosition::default();
    let items = page.items.into_iter();
    for item in items.filter(|item| item.key == CONFIG_KEY) {
        changed = StorePosition::new(era, item.revision.0);
        apply_item(state, item);
    }
    let position = StorePosition::new(era, page.at.0);
    state.replicas.config.confirm(position, changed, sent_at);
    Ok(())
}

/// Waits up to `wait` for changes of the configuration after a position.
///
/// # Errors
///
/// Fails like a call to the store, and with [`StoreError::TooLarge`] if there are so many changes that reading
/// the newest configuration alone takes less.
pub(super) async fn watch(
    state: &GatewayState,
    after: StorePosition,
    wait: TimeSpan,
) -> Result<(), StoreError> {
    let sent_at = state.now();
    let call = StoreCall::Watch {
        prefix: CONFIG_KEY.to_owned(),
        after: StoreRevision(after.revision()),
        wait,
    };
    let max_bytes = state.config.borrow().bytes().len() / 100 * MAX_WATCH_PERCENT;
    let max_bytes = max_bytes.max(MIN_WATCH_BYTES);
    let meter = TransferMeter::default();
    let read = state.store.call_within(&call, max_bytes, &meter);
    let (reply, era) = read.await?;
    if era != after.era() {
        return Err(StoreError::Compacted);
    }
    let StoreReply::Events(events, at) = reply else {
        return Err(StoreError::Unreadable("unexpected reply to a watch".into()));
    };
    // If there is no change, the store has looked for the last time after the wait.
    let mut confirmed_at = (sent_at + wait).min(state.now());
    let mut changed = StorePosition::default();
    if !events.is_empty() {
        log::info!(versions = events.len(), took_ms = state.now().since(sent_at).as_millis(),
            position = at.0; "configuration changed in the store");
    }
    let mut newest = None;
    for event in events {
        confirmed_at = sent_at;
        match event {
            StoreEvent::Written(item) if item.key == CONFIG_KEY => newest = Some(item),
            StoreEvent::Written(_) | StoreEvent::Removed(..) => {}
        }
    }
    if let Some(item) = newest {
        changed = StorePosition::new(era, item.revision.0);
        apply_item(state, item);
    }
    let position = StorePosition::new(era, at.0).max(after);
    state
        .replicas
        .config
        .confirm(position, changed, confirmed_at);
    Ok(())
}

/// Applies a configuration from the store, or logs why it is rejected.
fn apply_item(state: &GatewayState, item: StoreItem) {
    let at = item.revision;
    if let Err(error) = apply(state, item.value, "store") {
        log::error!(revision = at.0, error = error.to_string();
            "configuration rejected: it cannot be parsed; the one in force stays");
    }
}

/// Parses a configuration and puts it in force, unless the revision in force is as new.
///
/// # Errors
///
/// Fails if the configuration cannot be parsed. An invalid part alone is skipped and logged.
pub(super) fn apply(state: &GatewayState, bytes: Vec<u8>, source: &str) -> Result<()> {
    if state.config.borrow().bytes() == bytes {
        return Ok(());
    }
    let started_at = state.now();
    let (rules, skipped) = read_rules(&bytes)?;
    let parse_time = state.now().since(started_at);
    for part in skipped {
        log::warn!(revision = rules.revision.0, name = part.name.as_str(), reason = part.reason;
            "skipped an invalid part of the configuration");
    }
    let source = RulesSource { source, parse_time };
    put_in_force(state, rules, bytes, &source);
    Ok(())
}

/// Where rules came from and how long parsing them took, for the log.
struct RulesSource<'a> {
    source: &'a str,
    parse_time: TimeSpan,
}

/// Puts rules in force if they are newer, and keeps their bytes for other entries.
fn put_in_force(state: &GatewayState, rules: RuleSet, bytes: Vec<u8>, from: &RulesSource) {
    let current = state.revision();
    if state.rules().is_some() && rules.revision <= current {
        return;
    }
    for (id, service) in &rules.services {
        let memory = TokenCount(service.kv_capacity_tokens);
        if memory > TokenCount::ZERO {
            state.table.borrow_mut().set_kv_capacity(id, memory);
        }
    }
    state.metrics.revision.record(rules.revision.0, &[]);
    log::info!(revision = rules.revision.0, before = current.0, routes = rules.routes.len(),
        services = rules.services.len(), teams = rules.teams.len(), keys = rules.keys.len(),
        source = from.source, length = bytes.len(), parse_ms = from.parse_time.as_millis();
        "configuration in force");
    state.config.borrow_mut().replace(bytes);
    *state.rules.borrow_mut() = Some(Rc::new(rules));
}
