//! Follows what the platform holds: the configuration and the list of instances.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::store::StoreVersion;
use applefold_core::id::Revision;
use applefold_core::ticket::ChangeTicket;
use applefold_core::unit::TimeSpan;
use applefold_wire::beat::ConfirmationNote;

use super::links;
use super::state::EntryState;
use crate::platform::PlatformResult;

const LIST_PERIOD: Duration = Duration::from_secs(1);
/// The time that each entry adds to the period of reading the list.
const LIST_SHARE: Duration = Duration::from_millis(10);
const WATCH_SPAN: TimeSpan = TimeSpan::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Where accepted tickets stand in the store.
pub(crate) const LOG_PREFIX: &str = "config/log/";

/// Returns the key of a revision's ticket; keys sort as revisions do.
pub(crate) fn log_key(revision: Revision) -> String {
    format!("{LOG_PREFIX}{:020}", revision.0)
}

/// All entries together read the list at a bounded rate, however many they are.
fn list_period(entries: usize) -> Duration {
    let shared = LIST_SHARE.saturating_mul(entries as u32);
    LIST_PERIOD.max(shared)
}

/// Keeps the list of instances.
pub(crate) async fn follow_instances(state: Rc<EntryState>) {
    loop {
        match state.platform.instances().await {
            Ok(rows) => links::follow_list(&state, rows),
            Err(fault) => log::debug!("could not read the list of instances: {fault}"),
        }
        state.publish_use();
        let period = list_period(state.entries.borrow().len());
        actix_rt::time::sleep(period).await;
    }
}

/// Keeps the configuration.
pub(crate) async fn follow_config(state: Rc<EntryState>) {
    let mut since = StoreVersion::ABSENT;
    loop {
        let followed = watch_once(&state, &mut since).await;
        if let Err(fault) = followed {
            log::warn!("could not follow the configuration: {fault}");
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn watch_once(state: &Rc<EntryState>, since: &mut StoreVersion) -> PlatformResult<()> {
    let asked = state.now();
    let batch = state
        .platform
        .watch(LOG_PREFIX.to_owned(), *since, WATCH_SPAN)
        .await?;
    let mut entries = batch.entries;
    entries.sort_by(|left, right| left.key.cmp(&right.key));
    for entry in entries {
        apply_entry(state, &entry.value);
    }
    *since = batch.revision;
    let note = ConfirmationNote {
        revision: state.config.revision(),
        age: state.now().since(asked),
        reach_holds: false,
    };
    state.config.merge(&note, state.now());
    Ok(())
}

fn apply_entry(state: &Rc<EntryState>, text: &str) {
    let Ok(ticket) = ChangeTicket::parse(text) else {
        return;
    };
    let mut config = state.config.with(Clone::clone);
    if config.apply(&ticket).is_ok() {
        state.apply(config);
    }
}
