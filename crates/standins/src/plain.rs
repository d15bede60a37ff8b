//! A plain service: charges and enrollments, which may not be repeated, and reads.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use actix_http::Method;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

use crate::http::{refuse_unknown, reply_ok, CallAnswer, HttpCall};
use crate::server::CrashSwitch;

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// How long a call takes.
    pub work_time: Duration,
    /// How long the service is down after a crash that does not end the process.
    pub down_time: Duration,
}

impl Default for PlainOptions {
    fn default() -> Self {
        Self {
            work_time: Duration::from_millis(2),
            down_time: Duration::from_secs(1),
        }
    }
}

/// Faults of a plain service; fields left out of a call are switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// The service crashes now.
    pub crash: bool,
    /// How long it is down after a crash that does not end the process;
    /// `None` leaves it as set up.
    pub down_ms: Option<u64>,
    /// Calls are accepted and held until the fault ends.
    pub freeze: bool,
    /// Every call takes this much longer.
    pub slow_ms: u64,
    /// This many of the next calls are executed and not answered.
    pub lose_answers: u64,
    /// A body that holds this text crashes the service once it is executed.
    pub crash_on: Option<String>,
}

/// What a call asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlainAction {
    /// Charge a till; may not be repeated.
    Charge,
    /// Enroll somebody; may not be repeated.
    Enroll,
    /// Read a balance.
    Balance,
    /// Check a label.
    LabelCheck,
}

/// A call that was executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Its number, from 1.
    pub serial: u64,
    /// What it asked for.
    pub action: PlainAction,
    /// The path.
    pub path: String,
    /// The header `x-request-id`.
    pub request_id: String,
    /// The header `x-attempt`.
    pub attempt: u64,
    /// The header `idempotency-key`.
    pub idempotency_key: String,
    /// All headers.
    pub headers: BTreeMap<SmolStr, String>,
    /// The body, as text.
    pub body: String,
}

/// The state of a plain service; executions outlive crashes, as money does.
pub(crate) struct PlainService {
    options: PlainOptions,
    switch: CrashSwitch,
    down_until: Cell<Option<Instant>>,
    executions: RefCell<Vec<ExecutionRecord>>,
    faults: RefCell<PlainFaults>,
    thawed: Notify,
}

impl PlainService {
    pub(crate) fn new(options: PlainOptions, switch: CrashSwitch) -> Self {
        Self {
            options,
            switch,
            down_until: Cell::new(None),
            executions: RefCell::default(),
            faults: RefCell::default(),
            thawed: Notify::new(),
        }
    }

    pub(crate) fn is_down(&self) -> bool {
        let until = self.down_until.get();
        until.is_some_and(|until| Instant::now() < until)
    }

    pub(crate) async fn handle(&self, call: HttpCall) -> CallAnswer {
        let result = match call.route() {
            ("faults", "") => self.handle_faults(&call),
            ("history", "") => Ok(reply_ok(
                &json!({ "executions": *self.executions.borrow() }),
            )),
            _ => self.execute(&call).await,
        };
        result.unwrap_or_else(|answer| answer)
    }

    fn handle_faults(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        if !call.is_read() {
            *self.faults.borrow_mut() = call.json()?;
            if self.faults.borrow().crash {
                self.crash();
                return Err(CallAnswer::Cut);
            }
            self.thawed.notify_waiters();
        }
        Ok(reply_ok(&*self.faults.borrow()))
    }

    async fn execute(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        let action = action(call).ok_or_else(refuse_unknown)?;
        while self.faults.borrow().freeze {
            self.thawed.notified().await;
        }
        sleep(self.work_time()).await;
        let serial = self.record(call, action);
        if self.is_poison(&call.body) {
            self.crash();
            return Err(CallAnswer::Cut);
        }
        if self.loses_answer() {
            return Err(CallAnswer::Cut);
        }
        Ok(reply_ok(&echo(&call.body, serial)))
    }

    fn work_time(&self) -> Duration {
        let slow_ms = self.faults.borrow().slow_ms;
        self.options.work_time + Duration::from_millis(slow_ms)
    }

    fn record(&self, call: &HttpCall, action: PlainAction) -> u64 {
        let mut executions = self.executions.borrow_mut();
        let serial = executions.len() as u64 + 1;
        executions.push(ExecutionRecord {
            serial,
            action,
            path: call.path.clone(),
            request_id: call.header("x-request-id").to_owned(),
            attempt: call.header_number("x-attempt").unwrap_or_default(),
            idempotency_key: call.header("idempotency-key").to_owned(),
            headers: call.headers.clone(),
            body: String::from_utf8_lossy(&call.body).into_owned(),
        });
        serial
    }

    fn is_poison(&self, body: &[u8]) -> bool {
        let faults = self.faults.borrow();
        let text = String::from_utf8_lossy(body);
        faults
            .crash_on
            .as_ref()
            .is_some_and(|poison| text.contains(poison))
    }

    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let loses = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        loses
    }

    fn crash(&self) {
        self.switch.crash();
        let down_ms = self.faults.borrow().down_ms;
        let down_time = down_ms.map_or(self.options.down_time, Duration::from_millis);
        self.down_until.set(Some(Instant::now() + down_time));
        self.faults.borrow_mut().crash = false;
    }
}

/// Reads the action from the end of the path, so that any prefix may stand before it.
fn action(call: &HttpCall) -> Option<PlainAction> {
    let last = call.path.rsplit('/').next()?;
    match (&call.method, last) {
        (&Method::POST, "charge") => Some(PlainAction::Charge),
        (&Method::POST, "enroll") => Some(PlainAction::Enroll),
        (&Method::GET, "balance") => Some(PlainAction::Balance),
        (&Method::POST, "label-check") => Some(PlainAction::LabelCheck),
        _ => None,
    }
}

/// Returns the body with the execution's number in it.
fn echo(body: &[u8], serial: u64) -> Value {
    match serde_json::from_slice(body) {
        Ok(Value::Object(mut fields)) => {
            fields.insert("serial".to_owned(), json!(serial));
            Value::Object(fields)
        }
        Ok(other) => json!({ "echo": other, "serial": serial }),
        Err(_) => json!({ "serial": serial }),
    }
}
