//! Orders engines to switch between prefill and decode, under the duty lease.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::PhaseChange;
use applefold_core::id::{BackendId, ServiceId};
use applefold_platform::{read_order_reply, render_phase_order, OrderReply};
use eyre::{eyre, Result};

use super::connection::ClientConnection;
use super::state::GatewayState;

/// The period at which the load of engines is evaluated.
const EVALUATION_PERIOD: Duration = Duration::from_millis(200);
/// The time limit for connecting to an engine, and for its response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Evaluates the load and orders role changes while this entry holds the lease, for as long as the
/// process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    loop {
        actix_rt::time::sleep(EVALUATION_PERIOD).await;
        if state.duty.authority(&state).is_none() || state.drain.borrow().is_stopping() {
            state.phases.borrow_mut().reset();
            continue;
        }
        let services = engine_services(&state);
        let now = state.now();
        let changes = {
            let table = state.table.borrow();
            state.phases.borrow_mut().evaluate(&table, &services, now)
        };
        mark_changing(&state);
        for change in changes {
            actix_rt::spawn(order(Rc::clone(&state), change));
        }
    }
}

/// Returns the services that engines serve.
fn engine_services(state: &GatewayState) -> Vec<ServiceId> {
    let Some(rules) = state.rules() else {
        return Vec::new();
    };
    let engines = rules.services.iter().filter(|(_, rule)| rule.is_engine);
    engines.map(|(id, _)| id.clone()).collect()
}

/// Makes placement avoid the engines that are changing their role.
fn mark_changing(state: &GatewayState) {
    let changing: Vec<BackendId> = state.phases.borrow().changing().cloned().collect();
    let now = state.now();
    let mut table = state.table.borrow_mut();
    for id in &changing {
        table.mark_unavailable(id, now);
    }
}

/// Sends one order and records the outcome. Releases the lease if the engine has seen a higher
/// fencing number.
async fn order(state: Rc<GatewayState>, change: PhaseChange) {
    let reply = send(&state, &change).await;
    log::info!(service = change.service.as_str(), backend = change.backend.as_str(),
        to = change.to.as_str(), prompt_wait_ms = change.prefill_wait.as_millis(),
        answer_share = (change.decode_utilization * 100.0) as u64,
        prompt_engines = change.prefill_engines, answer_engines = change.decode_engines,
        reply = format!("{reply:?}"); "engine ordered to change its role");
    match reply {
        Ok(OrderReply::Accepted) | Err(_) => {}
        Ok(OrderReply::Outdated) => {
            state
                .phases
                .borrow_mut()
                .record_refusal(&change.service, &change.backend);
            super::duty::step_down(&state).await;
        }
        Ok(OrderReply::Busy | OrderReply::Refused(_)) => {
            state
                .phases
                .borrow_mut()
                .record_refusal(&change.service, &change.backend);
        }
    }
}

/// Sends an order under the current fencing number; returns the engine's reply.
async fn send(state: &GatewayState, change: &PhaseChange) -> Result<OrderReply> {
    let address = {
        let table = state.table.borrow();
        table.get(&change.backend).map(|row| row.spec.address)
    };
    let address = address.ok_or_else(|| eyre!("the engine is no longer listed"))?;
    let mut connection = ClientConnection::open(address, ORDER_TIMEOUT).await?;
    if state.is_unavailable(&change.backend) {
        return Ok(OrderReply::Busy);
    }
    let Some(fencing) = state.duty.authority(state) else {
        return Err(eyre!("the duty lease has been lost"));
    };
    let holder = &state.settings().instance;
    let bytes = render_phase_order(holder, fencing, &change.backend, change.to);
    let sent_at = state.now();
    let head = connection.call(&bytes, ORDER_TIMEOUT).await?;
    state.handle_notice(&change.backend, &head, sent_at, "order");
    Ok(read_order_reply(head.status))
}
