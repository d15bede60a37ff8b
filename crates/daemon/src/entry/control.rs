//! Follows the platform's list of instances.

use std::rc::Rc;
use std::time::Duration;

use super::links::BEAT_PERIOD;
use super::listing;
use super::state::EntryState;

const LIST_PERIOD: Duration = Duration::from_secs(1);
/// The time that each entry adds to the period of reading the list.
const LIST_SHARE: Duration = Duration::from_millis(10);
/// Ends a period of the teams' and pools' use, whatever the platform does.
pub(crate) async fn publish_use(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(BEAT_PERIOD).await;
        state.publish_use();
        let in_flight = state.gate.in_flight() as u64;
        state.metrics.in_flight.record(in_flight, &[]);
    }
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
            Ok(rows) => listing::follow_list(&state, rows),
            Err(fault) => log::debug!("could not read the list of instances: {fault}"),
        }
        let period = list_period(state.entries.borrow().len());
        actix_rt::time::sleep(period).await;
    }
}
