//! Waits until a revision is in force everywhere.

use std::time::{Duration, Instant};

use crate::answer::{InstanceRow, SystemStatus};
use crate::client::{CallFault, OperatorClient};

const POLL_PAUSE: Duration = Duration::from_millis(200);
const LIVE: &str = "live";

/// Returns the live instances that are not known to run `revision`.
pub(crate) fn behind(status: &SystemStatus, revision: u64) -> Vec<&InstanceRow> {
    let live = status.instances.iter().filter(|row| row.state == LIVE);
    live.filter(|row| row.revision.is_none_or(|runs| runs < revision))
        .collect()
}

/// Polls until every live instance runs `revision`; false at the deadline.
pub(crate) async fn wait_for_revision(
    client: &OperatorClient,
    revision: u64,
    deadline: Instant,
) -> Result<bool, CallFault> {
    loop {
        let status = read_status(client).await;
        if let Ok(status) = &status {
            if !status.instances.is_empty() && behind(status, revision).is_empty() {
                return Ok(true);
            }
        }
        if Instant::now() >= deadline {
            return status.map(|_| false);
        }
        actix_rt::time::sleep(POLL_PAUSE).await;
    }
}

/// Reads the status from the first entry that answers.
pub(crate) async fn read_status(client: &OperatorClient) -> Result<SystemStatus, CallFault> {
    client.get("/operator/status").await?.read()
}
