//! Orders engines to read prompts or to generate answers, under the lease.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::PhaseChange;
use applefold_core::id::{BackendId, ServiceId};
use applefold_platform::{read_order_reply, render_phase_order, OrderReply};
use eyre::{eyre, Result};

use super::connection::ClientConnection;
use super::state::GatewayState;

const LOOK_PERIOD: Duration = Duration::from_millis(200);
/// How long an engine's answer to an order is waited for.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Looks at the load and orders changes for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    loop {
        actix_rt::time::sleep(LOOK_PERIOD).await;
        if state.duty.authority(&state).is_none() || state.drain.borrow().is_stopping() {
            state.phases.borrow_mut().reset();
            continue;
        }
        let services = engine_services(&state);
        let now = state.now();
        let moves = {
            let table = state.table.borrow();
            state.phases.borrow_mut().evaluate(&table, &services, now)
        };
        mark_moving(&state);
        for one in moves {
            actix_rt::spawn(order(Rc::clone(&state), one));
        }
    }
}

fn engine_services(state: &GatewayState) -> Vec<ServiceId> {
    let Some(rules) = state.rules() else {
        return Vec::new();
    };
    let engines = rules.services.iter().filter(|(_, rule)| rule.is_engine);
    engines.map(|(id, _)| id.clone()).collect()
}

fn mark_moving(state: &GatewayState) {
    let moving: Vec<BackendId> = state.phases.borrow().changing().cloned().collect();
    let now = state.now();
    let mut table = state.table.borrow_mut();
    for id in &moving {
        table.mark_unavailable(id, now);
    }
}

async fn order(state: Rc<GatewayState>, one: PhaseChange) {
    let reply = send(&state, &one).await;
    log::info!(service = one.service.as_str(), backend = one.backend.as_str(),
        to = one.to.as_str(), prompt_wait_ms = one.prefill_wait.as_millis(),
        answer_share = (one.decode_utilization * 100.0) as u64,
        prompt_engines = one.prefill_engines, answer_engines = one.decode_engines,
        reply = format!("{reply:?}"); "engine ordered to change");
    match reply {
        Ok(OrderReply::Accepted) | Err(_) => {}
        Ok(OrderReply::Outdated) => {
            state
                .phases
                .borrow_mut()
                .record_refusal(&one.service, &one.backend);
            super::duty::release(&state).await;
        }
        Ok(OrderReply::Busy | OrderReply::Refused(_)) => {
            state
                .phases
                .borrow_mut()
                .record_refusal(&one.service, &one.backend);
        }
    }
}

async fn send(state: &GatewayState, one: &PhaseChange) -> Result<OrderReply> {
    let address = {
        let table = state.table.borrow();
        table.get(&one.backend).map(|row| row.spec.address)
    };
    let address = address.ok_or_else(|| eyre!("the engine is gone"))?;
    let mut connection = ClientConnection::open(address, ORDER_TIMEOUT).await?;
    if state.is_unavailable(&one.backend) {
        return Ok(OrderReply::Busy);
    }
    let Some(fencing) = state.duty.authority(state) else {
        return Err(eyre!("authority has ended"));
    };
    let holder = &state.settings().instance;
    let bytes = render_phase_order(holder, fencing, &one.backend, one.to);
    let head = connection.call(&bytes, ORDER_TIMEOUT).await?;
    state.handle_notice(&one.backend, &head, "order");
    Ok(read_order_reply(head.status))
}
