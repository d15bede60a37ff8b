//! Waits until a configuration revision is in force at every live instance.

use std::time::{Duration, Instant};

use crate::client::{CallError, OperatorClient};
use crate::response::{InstanceRow, SystemStatus};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The state of a live instance in the status report.
const LIVE_STATE: &str = "live";

/// Returns the live instances whose revision is unknown or older than `revision`.
pub(crate) fn lagging_instances(status: &SystemStatus, revision: u64) -> Vec<&InstanceRow> {
    let live = status
        .instances
        .iter()
        .filter(|row| row.state == LIVE_STATE);
    live.filter(|row| row.revision.is_none_or(|current| current < revision))
        .collect()
}

/// Polls until every live instance has `revision` in force.
///
/// Returns whether that happened before `deadline`. An error means that the last poll failed.
pub(crate) async fn wait_for_revision(
    client: &OperatorClient,
    revision: u64,
    deadline: Instant,
) -> Result<bool, CallError> {
    loop {
        let status = read_status(client).await;
        if let Ok(status) = &status {
            if !status.instances.is_empty() && lagging_instances(status, revision).is_empty() {
                return Ok(true);
            }
        }
        if Instant::now() >= deadline {
            return status.map(|_| false);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reads the status from the first entry that responds.
pub(crate) async fn read_status(client: &OperatorClient) -> Result<SystemStatus, CallError> {
    client.get("/operator/status").await?.read()
}
