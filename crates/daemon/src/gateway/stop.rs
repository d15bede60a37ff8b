//! Stopping without cutting a request.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::drain::{DrainAction, DrainPhase};
use applefold_core::unit::TimeSpan;
use eyre::Result;

use super::state::GatewayState;
use super::{duty, usage};
use crate::signal;

const STEP_PERIOD: Duration = Duration::from_millis(50);
/// How long before the platform kills the process it ends by itself.
const GRACE_MARGIN: TimeSpan = TimeSpan::from_millis(400);

/// Waits for the signal to stop, then until nothing is in flight.
pub(crate) async fn wait(state: &Rc<GatewayState>) -> Result<()> {
    signal::wait_stop().await?;
    let begun = state.now();
    state.drain.borrow_mut().begin(begun);
    let running = state.drain.borrow().running();
    log::info!(running; "entry stops");
    duty::release(state).await;
    loop {
        let now = state.now();
        let actions = state.drain.borrow_mut().tick(now, true);
        for action in actions {
            if action == DrainAction::HandBack {
                usage::flush(state).await;
            }
        }
        if state.drain.borrow().phase() >= DrainPhase::Draining {
            state.closing.send_replace(true);
        }
        // A request that is still being read is answered, if only with a refusal.
        let stopped =
            state.drain.borrow().phase() == DrainPhase::Stopped && state.arriving.get() == 0;
        let over = now.since(begun) + GRACE_MARGIN >= state.settings().grace;
        if stopped || over {
            break;
        }
        actix_rt::time::sleep(STEP_PERIOD).await;
    }
    let running = state.drain.borrow().running();
    let arriving = state.arriving.get();
    let took_ms = state.now().since(begun).as_millis();
    log::info!(running, arriving, took_ms; "entry stopped");
    signal::linger().await;
    Ok(())
}
