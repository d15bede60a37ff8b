//! Graceful shutdown: requests in flight are completed before the process ends.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::drain::{DrainAction, DrainPhase};
use applefold_core::unit::TimeSpan;
use eyre::Result;

use super::state::GatewayState;
use super::{duty, usage};
use crate::signal;

const TICK_PERIOD: Duration = Duration::from_millis(50);
/// How long before the end of its grace period the process exits by itself, so that the platform
/// does not kill it.
const GRACE_MARGIN: TimeSpan = TimeSpan::from_millis(400);

/// Waits for the stop signal, then drains until no request is left or the grace period is almost
/// over.
pub(crate) async fn wait(state: &Rc<GatewayState>) -> Result<()> {
    signal::wait_stop().await?;
    let started_at = state.now();
    state.drain.borrow_mut().begin(started_at);
    let running = state.drain.borrow().running();
    log::info!(running; "entry stopping");
    duty::release(state).await;
    loop {
        let now = state.now();
        let actions = state.drain.borrow_mut().tick(now, true);
        for action in actions {
            if action == DrainAction::HandOver {
                usage::flush(state).await;
            }
        }
        if state.drain.borrow().phase() >= DrainPhase::Draining {
            state.closing.send_replace(true);
        }
        // A request that is still being read gets a response, even if it is only a refusal.
        let drained =
            state.drain.borrow().phase() == DrainPhase::Stopped && state.arriving.get() == 0;
        let grace_over = now.since(started_at) + GRACE_MARGIN >= state.settings().shutdown_grace;
        if drained || grace_over {
            break;
        }
        actix_rt::time::sleep(TICK_PERIOD).await;
    }
    let running = state.drain.borrow().running();
    let arriving = state.arriving.get();
    let took_ms = state.now().since(started_at).as_millis();
    log::info!(running, arriving, took_ms; "entry stopped");
    signal::linger().await;
    Ok(())
}
