//! Periodic tasks: the end of demand periods, and polling of the platform's instance list.

use std::rc::Rc;
use std::time::Duration;

use super::discovery;
use super::links::HEARTBEAT_INTERVAL;
use super::state::EntryState;

/// The shortest interval at which an entry reads the instance list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The interval per entry, which bounds the read rate of all entries together.
const LIST_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(10);

/// Ends a demand period at each heartbeat interval, even while the platform is unavailable.
pub(crate) async fn publish_demand(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
        state.publish_demand();
        let in_flight = state.gate.in_flight() as u64;
        state.metrics.in_flight.record(in_flight, &[]);
    }
}

/// Returns the interval at which this entry reads the instance list. It grows with the number of
/// entries, so that the total read rate stays bounded.
fn list_interval(entries: usize) -> Duration {
    let shared = LIST_INTERVAL_PER_ENTRY.saturating_mul(entries as u32);
    MIN_LIST_INTERVAL.max(shared)
}

/// Polls the instance list until the process ends.
pub(crate) async fn poll_instances(state: Rc<EntryState>) {
    loop {
        match state.platform.instances().await {
            Ok(rows) => discovery::apply_list(&state, rows),
            Err(fault) => log::debug!("could not read the instance list from the platform; retrying at the next interval: {fault}"),
        }
        let period = list_interval(state.entries.borrow().len());
        actix_rt::time::sleep(period).await;
    }
}
