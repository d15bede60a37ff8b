//! Follows the platform's list of instances.

use std::rc::Rc;
use std::time::Duration;

use super::discovery;
use super::links::HEARTBEAT_INTERVAL;
use super::state::EntryState;

const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The time that each entry adds to the period of reading the list.
const LIST_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(10);
/// Ends a period of the teams' and pools' use, whatever the platform does.
pub(crate) async fn publish_demand(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
        state.publish_demand();
        let in_flight = state.gate.in_flight() as u64;
        state.metrics.in_flight.record(in_flight, &[]);
    }
}

/// All entries together read the list at a bounded rate, however many they are.
fn list_interval(entries: usize) -> Duration {
    let shared = LIST_INTERVAL_PER_ENTRY.saturating_mul(entries as u32);
    MIN_LIST_INTERVAL.max(shared)
}

/// Keeps the list of instances.
pub(crate) async fn poll_instances(state: Rc<EntryState>) {
    loop {
        match state.platform.instances().await {
            Ok(rows) => discovery::apply_list(&state, rows),
            Err(fault) => log::debug!("could not read the list of instances: {fault}"),
        }
        let period = list_interval(state.entries.borrow().len());
        actix_rt::time::sleep(period).await;
    }
}
