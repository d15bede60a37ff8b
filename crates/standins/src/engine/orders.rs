//! Orders to an engine: models and roles, one at a time.

use std::time::Duration;

use actix_http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use super::options::EngineRole;
use super::EngineService;
use crate::http::{refuse, reply, reply_ok, CallAnswer, HttpCall};

/// What an engine is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model, adapter or version.
    LoadModel,
    /// Unload one.
    UnloadModel,
    /// Change the role.
    SetRole,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The order's name.
    pub order_id: String,
    /// The sender's fencing number.
    pub fencing: u64,
    /// What is to be done.
    pub kind: OrderKind,
    /// With which model.
    #[serde(default)]
    pub model: Option<String>,
    /// To which role.
    #[serde(default)]
    pub role: Option<EngineRole>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// It is being carried out.
    Running,
    /// It was carried out.
    Done,
    /// It was refused for its old number.
    Outdated,
    /// It came while another was being carried out.
    Conflict,
    /// The engine crashed under it.
    Crashed,
}

/// An order as it came in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrderRecord {
    /// What became of it.
    pub state: OrderState,
    /// The order.
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// The orders in the order of arrival, and the one being carried out.
#[derive(Default)]
pub(crate) struct OrderTable {
    records: Vec<EngineOrderRecord>,
    running: Option<usize>,
    fencing: u64,
}

impl OrderTable {
    /// Records an order, and says whether it may be carried out.
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

    /// Returns whether a role change keeps the engine away.
    pub(crate) fn is_away(&self) -> bool {
        let running = self.running.map(|index| &self.records[index].order);
        running.is_some_and(|order| order.kind == OrderKind::SetRole)
    }

    pub(crate) fn records(&self) -> &[EngineOrderRecord] {
        &self.records
    }
}

impl EngineService {
    /// Carries out an order and answers at its end; it goes on if the caller leaves.
    pub(super) async fn handle_order(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        let order: EngineOrder = call.json()?;
        check_parts(&order)?;
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
                    "another order is being carried out",
                ))
            }
        }
        let Some(engine) = self.me.upgrade() else {
            return Err(CallAnswer::Cut);
        };
        let epoch = self.epoch.get();
        let task = actix_rt::spawn(async move { engine.carry_out(order, epoch).await });
        match task.await {
            Ok(true) => Ok(reply_ok(&json!({ "done": true }))),
            _ => Err(CallAnswer::Cut),
        }
    }

    async fn carry_out(&self, order: EngineOrder, epoch: u64) -> bool {
        let model = order.model.unwrap_or_default();
        match order.kind {
            OrderKind::LoadModel => self.fetch_weights(&model).await,
            OrderKind::UnloadModel => {
                self.models.borrow_mut().remove(&model);
                self.cut_model(&model);
            }
            OrderKind::SetRole => self.cut_running(),
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
            log::warn!("the weights of {model} cannot be fetched: {error}");
            sleep(Duration::from_secs(1)).await;
        }
    }
}

fn check_parts(order: &EngineOrder) -> Result<(), CallAnswer> {
    let is_complete = match order.kind {
        OrderKind::LoadModel | OrderKind::UnloadModel => order.model.is_some(),
        OrderKind::SetRole => order.role.is_some(),
    };
    match is_complete {
        true => Ok(()),
        false => Err(refuse(
            StatusCode::BAD_REQUEST,
            "the order lacks its model or role",
        )),
    }
}
