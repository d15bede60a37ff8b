//! Follows the platform's list of instances.

use std::rc::Rc;
use std::time::Duration;

use super::links;
use super::state::EntryState;

const LIST_PERIOD: Duration = Duration::from_secs(1);
/// The time that each entry adds to the period of reading the list.
const LIST_SHARE: Duration = Duration::from_millis(10);
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
