//! Orders that change the models or the role of an engine, executed one at a time.

use std::time::Duration;

use actix_http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use super::options::EngineRole;
use super::EngineService;
use crate::http::{refuse, reply, reply_ok, CallAnswer, HttpCall};

/// The operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model, adapter or model version.
    LoadModel,
    /// Unload a model, adapter or model version.
    UnloadModel,
    /// Change the role of the engine.
    SetRole,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Identifier of the order.
    pub order_id: String,
    /// Fencing number of the sender.
    pub fencing: u64,
    /// Operation to execute.
    pub kind: OrderKind,
    /// Model to load or unload.
    #[serde(default)]
    pub model: Option<String>,
    /// Role to change to.
    #[serde(default)]
    pub role: Option<EngineRole>,
}

/// State of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The order is being executed.
    Running,
    /// The order was executed.
    Done,
    /// The order was rejected because its fencing number is outdated.
    Outdated,
    /// The order was rejected because another one was being executed.
    Conflict,
    /// The engine crashed while it executed the order.
    Crashed,
}

/// A received order and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrderRecord {
    /// Current state.
    pub state: OrderState,
    /// The order as received.
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// Received orders in the order of arrival, and the index of the one being executed.
#[derive(Default)]
pub(crate) struct OrderTable {
    records: Vec<EngineOrderRecord>,
    running: Option<usize>,
    fencing: u64,
}

impl OrderTable {
    /// Records an order, and returns its state: `Running` if it is to be executed,
    /// otherwise the reason for its rejection.
    fn begin(&mut self, order: EngineOrder, check_fencing: bool) -> OrderState {
        let outdated = check_fencing && order.fencing < self.fencing;
        let state = match self.running {
            _ if outdated => OrderState::Outdated,
            Some(_) => OrderState::Conflict,
            None => OrderState::Running,
        };
        if state == OrderState::Running {
            self.running = Some(self.records.len());
            self.fencing = self.fencing.max(order.fencing);
        }
        self.records.push(EngineOrderRecord { state, order });
        state
    }

    fn finish(&mut self) {
        if let Some(index) = self.running.take() {
            self.records[index].state = OrderState::Done;
        }
    }

    pub(crate) fn crash(&mut self) {
        if let Some(index) = self.running.take() {
            self.records[index].state = OrderState::Crashed;
        }
        self.fencing = 0;
    }

    /// Returns whether the order being executed changes the role, during which the engine
    /// rejects requests.
    pub(crate) fn is_changing_role(&self) -> bool {
        let running = self.running.map(|index| &self.records[index].order);
        running.is_some_and(|order| order.kind == OrderKind::SetRole)
    }

    pub(crate) fn records(&self) -> &[EngineOrderRecord] {
        &self.records
    }
}

impl EngineService {
    /// Executes an order and responds when it is done. It continues if the caller
    /// disconnects.
    pub(super) async fn handle_order(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        let order: EngineOrder = call.json()?;
        check_fields(&order)?;
        let state = self
            .orders
            .borrow_mut()
            .begin(order.clone(), self.options.check_fencing);
        match state {
            OrderState::Running => {}
            OrderState::Outdated => {
                let body = json!({ "fencing": self.orders.borrow().fencing });
                return Err(reply(StatusCode::CONFLICT, &body));
            }
            _ => {
                return Err(refuse(
                    StatusCode::CONFLICT,
                    "another order is being executed",
                ))
            }
        }
        let Some(engine) = self.weak_self.upgrade() else {
            return Err(CallAnswer::Cut);
        };
        let epoch = self.epoch.get();
        let task = actix_rt::spawn(async move { engine.execute(order, epoch).await });
        match task.await {
            Ok(true) => Ok(reply_ok(&json!({ "done": true }))),
            _ => Err(CallAnswer::Cut),
        }
    }

    /// Executes an order. Returns false if the engine crashed meanwhile, after which the
    /// order has no further effect.
    async fn execute(&self, order: EngineOrder, epoch: u64) -> bool {
        let model = order.model.unwrap_or_default();
        match order.kind {
            OrderKind::LoadModel => self.fetch_weights(&model).await,
            OrderKind::UnloadModel => {
                self.models.borrow_mut().remove(&model);
                self.abort_model_requests(&model);
            }
            OrderKind::SetRole => self.abort_all_requests(),
        }
        let factor = self.faults.borrow().slow_factor.max(1);
        sleep(self.options.order_time * u32::try_from(factor).unwrap_or(u32::MAX)).await;
        if self.epoch.get() != epoch {
            return false;
        }
        match order.kind {
            OrderKind::LoadModel => {
                self.models.borrow_mut().insert(model);
            }
            OrderKind::UnloadModel => {}
            OrderKind::SetRole => self.role.set(order.role.unwrap_or(EngineRole::Both)),
        }
        self.orders.borrow_mut().finish();
        true
    }

    async fn fetch_weights(&self, model: &str) {
        let Some(weights) = self.options.weights else {
            return;
        };
        let bytes = self.options.weight_bytes;
        let url = format!("http://{weights}/weights/{model}?bytes={bytes}");
        let client = awc::Client::builder().disable_timeout().finish();
        if let Err(error) = client.get(url).send().await {
            log::warn!(
                "cannot fetch the weights of model {model}: {error}; loading the model without them"
            );
            sleep(Duration::from_secs(1)).await;
        }
    }
}

fn check_fields(order: &EngineOrder) -> Result<(), CallAnswer> {
    let has_required_field = match order.kind {
        OrderKind::LoadModel | OrderKind::UnloadModel => order.model.is_some(),
        OrderKind::SetRole => order.role.is_some(),
    };
    match has_required_field {
        true => Ok(()),
        false => Err(refuse(
            StatusCode::BAD_REQUEST,
            "the order does not name the model or role that its kind requires",
        )),
    }
}
