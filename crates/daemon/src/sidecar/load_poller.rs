//! Polls the load of the backend server.

use std::rc::Rc;
use std::time::Duration;

use applefold_wire::heartbeat::LoadStatus;

use super::state::SidecarState;

/// The interval between load queries.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the load and records it, and whether the backend server responds, in `state`.
pub(crate) async fn run(state: Rc<SidecarState>) {
    loop {
        let status = state.backend.load().await;
        let unhealthy = LoadStatus {
            healthy: false,
            ..state.load.get()
        };
        let healthy = |status| LoadStatus {
            healthy: true,
            ..status
        };
        let load = status.map_or(unhealthy, healthy);
        state.scheduler.set_prefill_rate(load.prefill_rate);
        state.load.set(load);
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
