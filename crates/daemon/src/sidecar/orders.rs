//! Orders to the backend server. The sidecar is the fence that rejects outdated ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::store::CallNumber;
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::fence::{
    EngineOrder, EngineReply, FenceAction, FenceEvent, FenceOptions, OrderFence, OrderResult,
};
use applefold_core::id::ScopeId;
use applefold_core::unit::TimePoint;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::oneshot;

use super::backend::BackendError;
use super::state::SidecarState;

/// The interval at which the fence checks its timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
const OK: u16 = 200;
const CONFLICT: u16 = 409;

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(crate) enum BackendOrder {
    /// Accept no new requests.
    Drain,
    /// Accept requests again.
    Undrain,
    /// Load a model.
    LoadModel { model: String },
    /// Unload a model.
    UnloadModel { model: String },
    /// Change the role of the engine.
    SetRole { role: String },
}

/// The order fence, and the callers that wait for its results.
pub(crate) struct OrderManager {
    fence: RefCell<OrderFence>,
    waiting: RefCell<BTreeMap<CallNumber, oneshot::Sender<OrderResult>>>,
    last_call: Cell<u64>,
}

impl OrderManager {
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            fence: RefCell::new(OrderFence::new(now, FenceOptions::default())),
            waiting: RefCell::default(),
            last_call: Cell::new(0),
        }
    }
}

/// Executes an order and returns its result.
pub(crate) async fn execute(state: &Rc<SidecarState>, order: EngineOrder) -> OrderResult {
    let manager = &state.orders;
    let call = CallNumber(manager.last_call.get() + 1);
    manager.last_call.set(call.0);
    let (reply, result) = oneshot::channel();
    manager.waiting.borrow_mut().insert(call, reply);
    handle(state, FenceEvent::Order { call, order });
    let lost = CallRefusal::permanent(ResultCode::OrderUnsettled);
    result.await.unwrap_or(OrderResult::Refused(lost))
}

/// Times out orders and lease reads, for as long as the process runs.
pub(crate) async fn run(state: Rc<SidecarState>) {
    loop {
        actix_rt::time::sleep(TICK_INTERVAL).await;
        let actions = state.orders.fence.borrow_mut().tick(state.now());
        perform(&state, actions);
    }
}

fn handle(state: &Rc<SidecarState>, event: FenceEvent) {
    let actions = state.orders.fence.borrow_mut().handle(state.now(), event);
    perform(state, actions);
}

fn perform(state: &Rc<SidecarState>, actions: Vec<FenceAction>) {
    for action in actions {
        match action {
            FenceAction::ReadLease { call, scope } => spawn_lease_read(state, call, scope),
            FenceAction::Send { order, deadline } => send(state, order, deadline),
            FenceAction::Reply { call, result } => {
                if let Some(reply) = state.orders.waiting.borrow_mut().remove(&call) {
                    let _ = reply.send(result);
                }
            }
        }
    }
}

fn spawn_lease_read(state: &Rc<SidecarState>, call: CallNumber, scope: ScopeId) {
    let state = state.clone();
    actix_rt::spawn(async move {
        let status = state.platform.read_lease(scope).await;
        handle(&state, FenceEvent::LeaseRead { call, status });
    });
}

fn send(state: &Rc<SidecarState>, order: EngineOrder, deadline: TimePoint) {
    let kind = serde_json::from_str::<BackendOrder>(&order.body);
    let reply = match kind {
        Ok(BackendOrder::Drain) => set_paused(state, true),
        Ok(BackendOrder::Undrain) => set_paused(state, false),
        Ok(kind) => return spawn_send(state, order, kind, deadline),
        Err(_) => EngineReply::Refused,
    };
    let order = order.id;
    handle(state, FenceEvent::EngineReplied { order, reply });
}

/// Pauses or resumes admission at this sidecar; the backend server is not involved.
fn set_paused(state: &SidecarState, paused: bool) -> EngineReply {
    log::info!(held = paused; "admission of new requests changed by order");
    state.gate.set_paused(paused);
    EngineReply::Done
}

fn spawn_send(
    state: &Rc<SidecarState>,
    order: EngineOrder,
    kind: BackendOrder,
    deadline: TimePoint,
) {
    let state = state.clone();
    let body = request_body(&order, &kind);
    let timeout = deadline.since(state.now());
    actix_rt::spawn(async move {
        let sent = state.backend.order(body, timeout).await;
        let reply = match sent {
            Ok(OK) => EngineReply::Done,
            Ok(CONFLICT) => EngineReply::Outdated,
            Ok(_) | Err(BackendError::NotSent) => EngineReply::Refused,
            Err(BackendError::NoResponse) => EngineReply::NoResponse,
        };
        let order = order.id;
        handle(&state, FenceEvent::EngineReplied { order, reply });
    });
}

fn request_body(order: &EngineOrder, kind: &BackendOrder) -> String {
    let mut body = serde_json::to_value(kind).unwrap_or_default();
    body["order_id"] = json!(order.id);
    body["fencing"] = json!(order.fencing);
    body.to_string()
}
