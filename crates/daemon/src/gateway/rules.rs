//! Follows the operator's configuration.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::RuleSet;
use applefold_core::unit::{TimeSpan, TokenCount};
use applefold_platform::{
    read_rules, StoreCall, StoreError, StoreEvent, StoreItem, StoreReply, StoreRevision, CONFIG_KEY,
};
use bytes::Bytes;
use eyre::Result;

use super::state::GatewayState;
use super::store::CALL_TIMEOUT;

/// How long one watch waits. A watch that was sent while the store was silent hears nothing for
/// that long, at every entry, so that no other one can tell of what it missed.
const WATCH_WAIT: TimeSpan = TimeSpan::from_millis(1_500);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long the watch after it takes to be answered by a store that works.
const ANSWER_MARGIN: TimeSpan = TimeSpan::from_millis(300);
/// How soon after an outage of the store entries are expected to go by the newest
/// configuration again.
const CATCH_UP_TIME: TimeSpan = TimeSpan::from_secs(3);
const _: () = assert!(
    WATCH_WAIT.0 + CALL_TIMEOUT.0 + RETRY_PAUSE.as_micros() as u64 + ANSWER_MARGIN.0
        <= CATCH_UP_TIME.0,
    "a watch that hears nothing is made again too late"
);

/// Keeps the rules at the newest revision, for as long as the process runs.
pub(crate) async fn follow(state: Rc<GatewayState>) {
    let mut known = None;
    loop {
        let step = match known {
            None => read(&state).await,
            Some(after) => watch(&state, after).await,
        };
        match step {
            Ok(at) => known = Some(at),
            Err(error) => {
                if error == StoreError::Compacted {
                    known = None;
                }
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn read(state: &GatewayState) -> Result<StoreRevision, StoreError> {
    let call = StoreCall::Get(CONFIG_KEY.to_owned());
    match state.store.call(&call).await? {
        StoreReply::Item(Some(item)) => {
            take_item(state, &item);
            Ok(item.revision)
        }
        StoreReply::Item(None) => Err(StoreError::Lost("no configuration yet".into())),
        other => Err(StoreError::Unreadable(format!("unexpected {other:?}"))),
    }
}

async fn watch(state: &GatewayState, after: StoreRevision) -> Result<StoreRevision, StoreError> {
    let call = StoreCall::Watch {
        prefix: CONFIG_KEY.to_owned(),
        after,
        wait: WATCH_WAIT,
    };
    let StoreReply::Events(events, at) = state.store.call(&call).await? else {
        return Err(StoreError::Unreadable("no events".into()));
    };
    for event in events {
        match event {
            StoreEvent::Written(item) if item.key == CONFIG_KEY => take_item(state, &item),
            StoreEvent::Written(_) | StoreEvent::Removed(_) => {}
        }
    }
    Ok(at.max(after))
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
