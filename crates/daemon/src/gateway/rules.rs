//! Follows the operator's configuration.

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

/// How long a look waits for a change where another entry has told of one, or where this entry
/// is not the first reader.
const LOOK_WAIT: TimeSpan = TimeSpan::from_millis(1);
/// The longest pause after a failed call.
const MAX_RETRY_PAUSE: TimeSpan = TimeSpan::from_millis(1_200);
/// How long the watch after it takes to be answered by a store that works.
const ANSWER_MARGIN: TimeSpan = TimeSpan::from_millis(300);
/// How soon after an outage of the store entries are expected to go by the newest
/// configuration again.
const CATCH_UP_TIME: TimeSpan = TimeSpan::from_secs(3);
const _: () = assert!(
    CONFIG_WAIT.0 + CALL_TIMEOUT.0 + MAX_RETRY_PAUSE.0 + ANSWER_MARGIN.0 <= CATCH_UP_TIME.0,
    "a watch that hears nothing is made again too late"
);

/// Keeps the rules at the newest revision, for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let mut compacted = false;
    loop {
        let policy = config_policy(gossip::round_interval(&state));
        let place = state.reader_place();
        let book = &state.replicas.config;
        let wait = book.due(&policy, place).since(state.now());
        let told = tokio::select! {
            () = actix_rt::time::sleep(Duration::from_micros(wait.0)) => false,
            () = book.behind.notified() => true,
        };
        let now = state.now();
        if book.is_failing(now) || !(told || book.due(&policy, place) <= now) {
            continue;
        }
        let wait = match place == 0 && !told {
            true => CONFIG_WAIT,
            false => LOOK_WAIT,
        };
        let looked = match book.position().filter(|_| !compacted) {
            None => read(&state).await,
            Some(after) => watch(&state, after, wait).await,
        };
        match looked {
            Ok(()) => compacted = false,
            Err(StoreError::Compacted) => compacted = true,
            Err(_) => {
                let span = policy.retry_pause(place).min(MAX_RETRY_PAUSE);
                book.note_failure(span, state.now());
            }
        }
    }
}

/// Reads the configuration as it is; that there is none yet is known from then on, too.
async fn read(state: &GatewayState) -> Result<(), StoreError> {
    let asked_at = state.now();
    let call = StoreCall::Range {
        prefix: CONFIG_KEY.to_owned(),
        after: None,
        stale: false,
    };
    let StoreReply::Page(page) = state.store.call(&call).await? else {
        return Err(StoreError::Unreadable("no page".into()));
    };
    let mut changed = StorePosition::default();
    for item in page.items.iter().filter(|item| item.key == CONFIG_KEY) {
        take_item(state, item);
        changed = StorePosition(item.revision.0);
    }
    let position = StorePosition(page.at.0);
    state.replicas.config.confirm(position, changed, asked_at);
    Ok(())
}

async fn watch(
    state: &GatewayState,
    after: StorePosition,
    wait: TimeSpan,
) -> Result<(), StoreError> {
    let asked_at = state.now();
    let call = StoreCall::Watch {
        prefix: CONFIG_KEY.to_owned(),
        after: StoreRevision(after.0),
        wait,
    };
    let StoreReply::Events(events, at) = state.store.call(&call).await? else {
        return Err(StoreError::Unreadable("no events".into()));
    };
    // Without a change, the store has waited before it looked for the last time.
    let mut confirmed_at = (asked_at + wait).min(state.now());
    let mut changed = StorePosition::default();
    for event in events {
        confirmed_at = asked_at;
        match event {
            StoreEvent::Written(item) if item.key == CONFIG_KEY => {
                take_item(state, &item);
                changed = changed.max(StorePosition(item.revision.0));
            }
            StoreEvent::Written(_) | StoreEvent::Removed(..) => {}
        }
    }
    let position = StorePosition(at.0).max(after);
    state
        .replicas
        .config
        .confirm(position, changed, confirmed_at);
    Ok(())
}

fn take_item(state: &GatewayState, item: &StoreItem) {
    if let Err(error) = take(state, &item.value) {
        log::error!(revision = item.revision.0, error = error.to_string();
            "configuration ignored");
    }
}

/// Reads a configuration and puts it in force unless a newer one is.
pub(super) fn take(state: &GatewayState, bytes: &[u8]) -> Result<()> {
    let (rules, skipped) = read_rules(bytes)?;
    for one in skipped {
        log::warn!(revision = rules.revision.0, name = one.name.as_str(), reason = one.reason;
            "part of the configuration ignored");
    }
    install(state, rules, bytes);
    Ok(())
}

fn install(state: &GatewayState, rules: RuleSet, bytes: &[u8]) {
    let current = state.revision();
    if state.rules().is_some() && rules.revision <= current {
        return;
    }
    for (id, service) in &rules.services {
        let memory = TokenCount(service.memory_tokens);
        if memory > TokenCount::ZERO {
            state.table.borrow_mut().set_memory(id, memory);
        }
    }
    state.metrics.revision.record(rules.revision.0, &[]);
    log::info!(revision = rules.revision.0, before = current.0, routes = rules.routes.len(),
        services = rules.services.len(), teams = rules.teams.len(), keys = rules.keys.len();
        "configuration in force");
    *state.config.borrow_mut() = Some(Bytes::copy_from_slice(bytes));
    *state.rules.borrow_mut() = Some(Rc::new(rules));
}
