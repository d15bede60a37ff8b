//! Orders to the backend server; this process is its fence.

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

use super::backend::BackendFault;
use super::state::SidecarState;

const TICK_PERIOD: Duration = Duration::from_millis(100);
const OK: u16 = 200;
const CONFLICT: u16 = 409;

/// What is to be done with a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(crate) enum BackendOrder {
    /// Give it no new work.
    Drain,
    /// Give it work again.
    Undrain,
    /// Load a model.
    LoadModel { model: String },
    /// Unload a model.
    UnloadModel { model: String },
    /// Change its role.
    SetRole { role: String },
}

/// The fence, and who waits for its answers.
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

/// Carries an order out, or says why not.
pub(crate) async fn carry_out(state: &Rc<SidecarState>, order: EngineOrder) -> OrderResult {
    let desk = &state.orders;
    let call = CallNumber(desk.last_call.get() + 1);
    desk.last_call.set(call.0);
    let (reply, verdict) = oneshot::channel();
    desk.waiting.borrow_mut().insert(call, reply);
    handle(state, FenceEvent::Order { call, order });
    let lost = CallRefusal::permanent(ResultCode::OrderUnsettled);
    verdict.await.unwrap_or(OrderResult::Refused(lost))
}

/// Gives up orders and readings whose time has passed.
pub(crate) async fn follow(state: Rc<SidecarState>) {
    loop {
        actix_rt::time::sleep(TICK_PERIOD).await;
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
            FenceAction::ReadLease { call, scope } => spawn_read(state, call, scope),
            FenceAction::Send { order, deadline } => send(state, order, deadline),
            FenceAction::Reply { call, result } => {
                if let Some(reply) = state.orders.waiting.borrow_mut().remove(&call) {
                    let _ = reply.send(result);
                }
            }
        }
    }
}

fn spawn_read(state: &Rc<SidecarState>, call: CallNumber, scope: ScopeId) {
    let state = state.clone();
    actix_rt::spawn(async move {
        let status = state.platform.read_lease(scope).await;
        handle(&state, FenceEvent::LeaseRead { call, status });
    });
}

fn send(state: &Rc<SidecarState>, order: EngineOrder, deadline: TimePoint) {
    let kind = serde_json::from_str::<BackendOrder>(&order.body);
    let reply = match kind {
        Ok(BackendOrder::Drain) => hold(state, true),
        Ok(BackendOrder::Undrain) => hold(state, false),
        Ok(kind) => return spawn_send(state, order, kind, deadline),
        Err(_) => EngineReply::Refused,
    };
    let order = order.id;
    handle(state, FenceEvent::EngineReplied { order, reply });
}

/// Taking no more work is this process's own part.
fn hold(state: &SidecarState, held: bool) -> EngineReply {
    log::info!(held = held; "order changes whether new work is taken");
    state.gate.set_paused(held);
    EngineReply::Done
}

fn spawn_send(
    state: &Rc<SidecarState>,
    order: EngineOrder,
    kind: BackendOrder,
    deadline: TimePoint,
) {
    let state = state.clone();
    let body = engine_body(&order, &kind);
    let wait = deadline.since(state.now());
    actix_rt::spawn(async move {
        let sent = state.backend.order(body, wait).await;
        let reply = match sent {
            Ok(OK) => EngineReply::Done,
            Ok(CONFLICT) => EngineReply::Outdated,
            Ok(_) | Err(BackendFault::NotSent) => EngineReply::Refused,
            Err(BackendFault::NoAnswer) => EngineReply::NoResponse,
        };
        let order = order.id;
        handle(&state, FenceEvent::EngineReplied { order, reply });
    });
}

fn engine_body(order: &EngineOrder, kind: &BackendOrder) -> String {
    let mut body = serde_json::to_value(kind).unwrap_or_default();
    body["order_id"] = json!(order.id);
    body["fencing"] = json!(order.fencing);
    body.to_string()
}
