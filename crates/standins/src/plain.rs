//! Simulated plain service, with non-idempotent actions (charges, enrollments) and idempotent ones.

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
    /// Time that one request takes.
    pub work_time: Duration,
    /// Downtime after a crash that does not end the process.
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

/// Faults injected into a plain service.
///
/// Each request replaces all of them: a field that it omits is reset to its default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Crashes the service at once.
    pub crash: bool,
    /// Downtime in milliseconds after a crash that does not end the process; `None` uses
    /// [`PlainOptions::down_time`].
    pub down_ms: Option<u64>,
    /// Accepts requests but holds them until the fault is cleared.
    pub freeze: bool,
    /// Additional time that each request takes, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming requests that are executed but get no response.
    pub lose_answers: u64,
    /// Crashes the service after it has executed a request whose body contains this text.
    pub crash_on: Option<String>,
}

/// Action that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlainAction {
    /// Charges a till; not idempotent.
    Charge,
    /// Enrolls a person; not idempotent.
    Enroll,
    /// Reads a balance.
    Balance,
    /// Checks a label.
    LabelCheck,
}

/// Record of an executed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Sequence number of the execution, from 1.
    pub serial: u64,
    /// Requested action.
    pub action: PlainAction,
    /// Request path.
    pub path: String,
    /// Value of the header `x-request-id`, empty if absent.
    pub request_id: String,
    /// Value of the header `x-attempt`, 0 if absent or not a number.
    pub attempt: u64,
    /// Value of the header `idempotency-key`, empty if absent.
    pub idempotency_key: String,
    /// All request headers by name.
    pub headers: BTreeMap<SmolStr, String>,
    /// Request body as text, with invalid UTF-8 replaced.
    pub body: String,
}

/// State of a plain service.
///
/// Executions survive a crash that does not end the process, as the effects of a real charge do.
pub(crate) struct PlainService {
    options: PlainOptions,
    switch: CrashSwitch,
    down_until: Cell<Option<Instant>>,
    executions: RefCell<Vec<ExecutionRecord>>,
    faults: RefCell<PlainFaults>,
    unfrozen: Notify,
}

impl PlainService {
    pub(crate) fn new(options: PlainOptions, switch: CrashSwitch) -> Self {
        Self {
            options,
            switch,
            down_until: Cell::new(None),
            executions: RefCell::default(),
            faults: RefCell::default(),
            unfrozen: Notify::new(),
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
            self.unfrozen.notify_waiters();
        }
        Ok(reply_ok(&*self.faults.borrow()))
    }

    async fn execute(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        let action = action(call).ok_or_else(refuse_unknown)?;
        while self.faults.borrow().freeze {
            self.unfrozen.notified().await;
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

/// Returns the action from the last path segment, so that any prefix is accepted.
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

/// Returns the body with the execution's sequence number added.
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
