//! Follows the load that the backend server reports.

use std::rc::Rc;
use std::time::Duration;

use applefold_wire::heartbeat::LoadStatus;

use super::state::SidecarState;

const LOAD_PERIOD: Duration = Duration::from_millis(500);

/// Asks for the load again and again.
pub(crate) async fn follow_load(state: Rc<SidecarState>) {
    loop {
        let note = state.backend.load().await;
        let missing = LoadStatus {
            healthy: false,
            ..state.load.get()
        };
        let healthy = |note| LoadStatus {
            healthy: true,
            ..note
        };
        let load = note.map_or(missing, healthy);
        state.turns.note_rate(load.prefill_rate);
        state.load.set(load);
        actix_rt::time::sleep(LOAD_PERIOD).await;
    }
}
