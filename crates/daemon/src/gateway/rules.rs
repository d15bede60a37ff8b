//! Follows the operator's configuration in the store and puts new revisions in force.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{RuleSet, StorePosition};
use applefold_core::unit::{TimeSpan, TokenCount};
use applefold_platform::{
    read_rules, StoreCall, StoreError, StoreEvent, StoreItem, StoreReply, StoreRevision, CONFIG_KEY,
};
use bytes::Bytes;
use eyre::Result;

use super::gossip;
use super::replicas::{config_policy, CONFIG_WAIT};
use super::state::GatewayState;
use super::store::CALL_TIMEOUT;

/// How long a watch call waits for a change if gossip has named one, or if this entry is not the
/// first reader.
const POLL_WAIT: TimeSpan = TimeSpan::from_millis(1);
/// The longest delay after a failed call.
const MAX_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(1_200);
/// How long a working store takes to answer the watch call after that delay.
const RESPONSE_MARGIN: TimeSpan = TimeSpan::from_millis(300);
/// How soon after a store outage the newest configuration is expected to be in force at all
/// entries.
const CATCH_UP_TIME: TimeSpan = TimeSpan::from_secs(3);
const _: () = assert!(
    CONFIG_WAIT.0 + CALL_TIMEOUT.0 + MAX_RETRY_DELAY.0 + RESPONSE_MARGIN.0 <= CATCH_UP_TIME.0,
    "a watch without a response is retried too late"
);

/// Keeps the rules at the newest revision for as long as the process runs. Where the watch
/// position has been compacted in the store, the configuration is read afresh.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let mut compacted = false;
    loop {
        let policy = config_policy(gossip::round_interval(&state));
        let rank = state.read_rank();
        let tracker = &state.replicas.config;
        let wait = tracker.next_read_at(&policy, rank).since(state.now());
        let notified = tokio::select! {
            () = actix_rt::time::sleep(Duration::from_micros(wait.0)) => false,
            () = tracker.behind.notified() => true,
        };
        let now = state.now();
        if tracker.is_backing_off(now) || !(notified || tracker.next_read_at(&policy, rank) <= now)
        {
            continue;
        }
        let wait = match rank == 0 && !notified {
            true => CONFIG_WAIT,
            false => POLL_WAIT,
        };
        let era = state.store.era();
        let known = tracker
            .position()
            .filter(|own| !compacted && own.era() == era);
        let result = match known {
            None => read(&state).await,
            Some(after) => watch(&state, after, wait).await,
        };
        match result {
            Ok(()) => compacted = false,
            Err(StoreError::Compacted) => compacted = true,
            Err(error) => {
                log::info!(own = state.revision().0, rank, error = error.to_string();
                    "could not read the configuration from the store");
                let span = policy.retry_delay(rank).min(MAX_RETRY_DELAY);
                tracker.note_failure(span, state.now());
            }
        }
    }
}

/// Reads the current configuration. If there is none yet, that is recorded as confirmed, too.
async fn read(state: &GatewayState) -> Result<(), StoreError> {
    let sent_at = state.now();
    let call = StoreCall::Range {
        prefix: CONFIG_KEY.to_owned(),
        after: None,
        stale: false,
    };
    let (reply, era) = state.store.call_in_era(&call).await?;
    let StoreReply::Page(page) = reply else {
        return Err(StoreError::Unreadable(
            "unexpected reply to a range read".into(),
        ));
    };
    let mut changed = StorePosition::default();
    for item in page.items.iter().filter(|item| item.key == CONFIG_KEY) {
        apply_item(state, item);
        changed = StorePosition::new(era, item.revision.0);
    }
    let position = StorePosition::new(era, page.at.0);
    state.replicas.config.confirm(position, changed, sent_at);
    Ok(())
}

/// Waits up to `wait` for changes of the configuration after a position.
async fn watch(
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
    let (reply, era) = state.store.call_in_era(&call).await?;
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
    for event in events {
        confirmed_at = sent_at;
        match event {
            StoreEvent::Written(item) if item.key == CONFIG_KEY => {
                apply_item(state, &item);
                changed = changed.max(StorePosition::new(era, item.revision.0));
            }
            StoreEvent::Written(_) | StoreEvent::Removed(..) => {}
        }
    }
    let position = StorePosition::new(era, at.0).max(after);
    state
        .replicas
        .config
        .confirm(position, changed, confirmed_at);
    Ok(())
}

/// Applies a configuration from the store, or logs why it is rejected.
fn apply_item(state: &GatewayState, item: &StoreItem) {
    if let Err(error) = apply(state, &item.value, "store") {
        log::error!(revision = item.revision.0, error = error.to_string();
            "configuration rejected: it cannot be parsed; the one in force stays");
    }
}

/// Parses a configuration and puts it in force, unless the revision in force is as new.
///
/// # Errors
///
/// Fails if the configuration cannot be parsed. An invalid part alone is skipped and logged.
pub(super) fn apply(state: &GatewayState, bytes: &[u8], source: &str) -> Result<()> {
    let started_at = state.now();
    let (rules, skipped) = read_rules(bytes)?;
    log::info!(revision = rules.revision.0, source, length = bytes.len(),
        took_ms = state.now().since(started_at).as_millis(); "configuration parsed");
    for part in skipped {
        log::warn!(revision = rules.revision.0, name = part.name.as_str(), reason = part.reason;
            "skipped an invalid part of the configuration");
    }
    put_in_force(state, rules, bytes, source);
    Ok(())
}

/// Puts rules in force if they are newer, and keeps their bytes for other entries.
fn put_in_force(state: &GatewayState, rules: RuleSet, bytes: &[u8], source: &str) {
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
        source, length = bytes.len(); "configuration in force");
    *state.config.borrow_mut() = Some(Bytes::copy_from_slice(bytes));
    *state.rules.borrow_mut() = Some(Rc::new(rules));
}
