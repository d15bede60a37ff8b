//! A simulated platform: key-value store, leases, instance list, orders, usage reports
//! and weight store.

pub(crate) mod faults;
pub(crate) mod fleet;
pub(crate) mod lease;
pub(crate) mod options;
pub(crate) mod stats;
pub(crate) mod store;
pub(crate) mod usage;
mod watch;

use std::cell::{Cell, RefCell};
use std::time::Duration;

use actix_http::{Method, StatusCode};
use serde::Serialize;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

use crate::http::{refuse, refuse_unknown, reply, reply_ok, CallAnswer, HttpCall};
use faults::PlatformFaults;
use fleet::{InstanceList, OrderLog};
use lease::LeaseTable;
use options::PlatformOptions;
use stats::CallStats;
use store::{KeyStore, MAX_VALUE_BYTES};
use usage::{UsageLedger, UsageOutcome};

/// Largest number of keys in a list when the caller sets no limit.
const DEFAULT_LIST_LIMIT: usize = 1_000;

/// A running platform and its state.
pub(crate) struct PlatformService {
    options: PlatformOptions,
    store: RefCell<KeyStore>,
    store_changed: Notify,
    leases: RefCell<LeaseTable>,
    instances: RefCell<InstanceList>,
    orders: RefCell<OrderLog>,
    usage: RefCell<UsageLedger>,
    stats: RefCell<CallStats>,
    faults: RefCell<PlatformFaults>,
    unfrozen: Notify,
    weights_idle_at: Cell<Instant>,
}

impl PlatformService {
    pub(crate) fn new(options: PlatformOptions) -> Self {
        let stats = CallStats::new(options.reads_per_sec, options.writes_per_sec);
        Self {
            options,
            store: RefCell::default(),
            store_changed: Notify::new(),
            leases: RefCell::default(),
            instances: RefCell::default(),
            orders: RefCell::default(),
            usage: RefCell::default(),
            stats: RefCell::new(stats),
            faults: RefCell::default(),
            unfrozen: Notify::new(),
            weights_idle_at: Cell::new(Instant::now()),
        }
    }

    pub(crate) async fn handle(&self, call: HttpCall) -> CallAnswer {
        match call.route() {
            ("faults", "") => return self.handle_faults(&call),
            ("stats", "") => return reply_ok(&self.stats.borrow().view()),
            _ => {}
        }
        if let Err(response) = self.apply_faults(&call).await {
            return response;
        }
        let response = self
            .dispatch(&call)
            .await
            .unwrap_or_else(|response| response);
        if !call.is_read() && response.is_success() && self.take_lost_answer() {
            return CallAnswer::Cut;
        }
        response
    }

    /// Counts the call, then applies freeze, delay, outage and rate limit, in this order.
    async fn apply_faults(&self, call: &HttpCall) -> Result<(), CallAnswer> {
        let admitted = self.count_call(call);
        while self.faults.borrow().freeze {
            self.unfrozen.notified().await;
        }
        let delay = Duration::from_millis(self.faults.borrow().slow_ms);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if self.faults.borrow().down {
            return Err(refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "the platform is down",
            ));
        }
        if !admitted {
            return Err(refuse(
                StatusCode::TOO_MANY_REQUESTS,
                "the rate limit of the platform is exceeded",
            ));
        }
        Ok(())
    }

    fn count_call(&self, call: &HttpCall) -> bool {
        let kind = format!("{} {}", call.method, call.route().0);
        let client = call.header("x-client");
        let mut stats = self.stats.borrow_mut();
        stats.admit(client, &kind, call.is_read(), Instant::now())
    }

    fn take_lost_answer(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }

    fn handle_faults(&self, call: &HttpCall) -> CallAnswer {
        if !call.is_read() {
            match call.json() {
                Ok(faults) => *self.faults.borrow_mut() = faults,
                Err(response) => return response,
            }
            self.unfrozen.notify_waiters();
        }
        reply_ok(&*self.faults.borrow())
    }

    async fn dispatch(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        let (kind, rest) = call.route();
        match kind {
            "kv" if !rest.is_empty() => self.handle_key(call, rest),
            "list" => Ok(self.handle_list(call)),
            "watch" => Ok(self.handle_watch(call).await),
            "leases" if !rest.is_empty() => self.handle_lease(call, rest),
            "instances" => self.handle_instances(call, rest),
            "orders" => self.handle_orders(call),
            "usage" => self.handle_usage(call),
            "weights" => Ok(self.handle_weights(call).await),
            _ => Err(refuse_unknown()),
        }
    }

    fn handle_key(&self, call: &HttpCall, key: &str) -> Result<CallAnswer, CallAnswer> {
        let mut store = self.store.borrow_mut();
        let result = match call.method {
            Method::GET => {
                return store
                    .get(key)
                    .map(|entry| reply_ok(&entry))
                    .ok_or_else(refuse_unknown);
            }
            Method::PUT => {
                let write: store::KeyWrite = call.json()?;
                if write.value.len() > MAX_VALUE_BYTES {
                    let text = "the value is larger than 1 MiB";
                    return Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, text));
                }
                store.put(key, write)
            }
            Method::DELETE => store.delete(key, call.param_number("expect")),
            _ => return Err(refuse_unknown()),
        };
        self.store_changed.notify_waiters();
        let version = result.map_err(|conflict| reply(StatusCode::CONFLICT, &conflict))?;
        Ok(reply_ok(&json!({ "version": version })))
    }

    fn handle_list(&self, call: &HttpCall) -> CallAnswer {
        let store = self.store.borrow();
        let limit = call.param_number("limit").unwrap_or(DEFAULT_LIST_LIMIT);
        let entries = store.list(call.param("prefix"), call.param("after"), limit);
        reply_ok(&json!({ "entries": entries }))
    }

    fn handle_lease(&self, call: &HttpCall, name: &str) -> Result<CallAnswer, CallAnswer> {
        let mut leases = self.leases.borrow_mut();
        let now = Instant::now();
        let result = match call.method {
            Method::GET => {
                let view = leases.view(name, now).ok_or_else(refuse_unknown)?;
                let status = match view.holder {
                    Some(_) => StatusCode::OK,
                    None => StatusCode::NOT_FOUND,
                };
                return Ok(reply(status, &view));
            }
            Method::POST => leases.acquire(name, call.json()?, now),
            Method::PUT => leases.renew(name, call.json()?, now),
            Method::DELETE => {
                let fencing = call.param_number("fencing").unwrap_or_default();
                leases.release(name, call.param("holder"), fencing, now)
            }
            _ => return Err(refuse_unknown()),
        };
        lease_response(result)
    }

    fn handle_instances(&self, call: &HttpCall, id: &str) -> Result<CallAnswer, CallAnswer> {
        let mut list = self.instances.borrow_mut();
        let now = Instant::now();
        match call.method {
            Method::GET => {
                let delay = self.faults.borrow().list_lag_ms.map(Duration::from_millis);
                let instances = list.list(delay.unwrap_or(self.options.list_lag), now);
                return Ok(reply_ok(&json!({ "instances": instances })));
            }
            Method::POST => list.register(call.json()?, now),
            Method::DELETE => list.remove(id, now),
            _ => return Err(refuse_unknown()),
        }
        Ok(reply_ok(&json!({})))
    }

    fn handle_orders(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        let mut orders = self.orders.borrow_mut();
        if call.is_read() {
            return Ok(reply_ok(&json!({ "orders": orders.records() })));
        }
        let check_fencing = self.faults.borrow().check_fencing;
        match orders.record(call.json()?, check_fencing) {
            Ok(serial) => Ok(reply_ok(&json!({ "accepted": true, "serial": serial }))),
            Err(highest_fencing) => {
                let body = json!({ "accepted": false, "fencing": highest_fencing });
                Err(reply(StatusCode::CONFLICT, &body))
            }
        }
    }

    fn handle_usage(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        let mut usage = self.usage.borrow_mut();
        if call.is_read() {
            return Ok(reply_ok(usage.view()));
        }
        match usage.report(call.json()?) {
            UsageOutcome::Billed => Ok(reply_ok(&json!({ "billed": true }))),
            UsageOutcome::Duplicate => Ok(reply_ok(&json!({ "billed": false }))),
            UsageOutcome::Violation => Err(refuse(
                StatusCode::CONFLICT,
                "the window was already billed with different figures",
            )),
        }
    }

    /// Simulates a download of weights. All downloads share the limited bandwidth, one
    /// after the other.
    async fn handle_weights(&self, call: &HttpCall) -> CallAnswer {
        let bytes: u64 = call.param_number("bytes").unwrap_or_default();
        let secs = bytes as f64 / self.options.weight_bytes_per_sec.max(1) as f64;
        let start = self.weights_idle_at.get().max(Instant::now());
        let end = start + Duration::from_secs_f64(secs);
        self.weights_idle_at.set(end);
        sleep_until(end).await;
        reply_ok(&json!({ "bytes": bytes }))
    }
}

fn lease_response<T, E>(result: Result<T, E>) -> Result<CallAnswer, CallAnswer>
where
    T: Serialize,
    E: Serialize,
{
    match result {
        Ok(body) => Ok(reply_ok(&body)),
        Err(body) => Err(reply(StatusCode::CONFLICT, &body)),
    }
}
