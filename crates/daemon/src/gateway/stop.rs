//! Graceful shutdown: requests in flight are completed, or else answered, before the process ends.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::drain::{DrainAction, DrainPhase};
use applefold_core::unit::TimeSpan;
use eyre::Result;

use super::state::GatewayState;
use super::{duty, usage};
use crate::signal;

const TICK_PERIOD: Duration = Duration::from_millis(50);
/// How long before the end of its grace period the process ends the requests that still run.
const END_MARGIN: TimeSpan = TimeSpan::from_millis(400);
/// How long before the end of its grace period the process exits by itself, so that the platform
/// does not kill it. The time since `END_MARGIN` is for the last responses.
const EXIT_MARGIN: TimeSpan = TimeSpan::from_millis(250);

/// Returns how long after the stop signal requests may run.
pub(super) fn work_limit(grace: TimeSpan) -> TimeSpan {
    grace.saturating_sub(END_MARGIN)
}

/// Returns once the shutdown has reached this phase.
pub(super) async fn reached(state: &GatewayState, phase: DrainPhase) {
    let mut current = state.stop_phase.subscribe();
    if current.wait_for(|current| *current >= phase).await.is_err() {
        std::future::pending().await
    }
}

/// Waits for the stop signal, then drains until no request is left or the grace period is almost
/// over.
pub(crate) async fn wait(state: &Rc<GatewayState>) -> Result<()> {
    signal::wait_stop().await?;
    let started_at = state.now();
    state.drain.borrow_mut().begin(started_at);
    let running = state.drain.borrow().running();
    log::info!(running; "entry stopping");
    // The store may take long to respond, and callers do not wait for it.
    let releasing = Rc::clone(state);
    let mut deliveries = vec![actix_rt::spawn(async move {
        duty::release(&releasing).await;
    })];
    loop {
        let now = state.now();
        // A request that is still being read gets a response, even if it is only a refusal.
        let delivered = deliveries.iter().all(|delivery| delivery.is_finished());
        let settled = delivered && state.arriving.get() == 0;
        let actions = state.drain.borrow_mut().tick(now, settled);
        for action in actions {
            if action == DrainAction::HandOver {
                let flushing = Rc::clone(state);
                deliveries.push(actix_rt::spawn(async move {
                    usage::flush(&flushing).await;
                }));
            }
        }
        let phase = state.drain.borrow().phase();
        if state.stop_phase.send_replace(phase) != phase && phase == DrainPhase::Ending {
            let running = state.drain.borrow().running();
            let arriving = state.arriving.get();
            log::info!(running, arriving; "entry ends the requests that still run");
        }
        let grace_over = now.since(started_at) + EXIT_MARGIN >= state.settings().shutdown_grace;
        if phase == DrainPhase::Stopped || grace_over {
            break;
        }
        actix_rt::time::sleep(TICK_PERIOD).await;
    }
    let running = state.drain.borrow().running();
    let arriving = state.arriving.get();
    let took_ms = state.now().since(started_at).as_millis();
    let delivered = deliveries.iter().all(|delivery| delivery.is_finished());
    log::info!(running, arriving, delivered, took_ms; "entry stopped");
    signal::linger().await;
    Ok(())
}
