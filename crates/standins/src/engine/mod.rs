//! A simulated model engine: chat completions served from a continuous batch, and the
//! control interface.

mod batch;
pub(crate) mod cache;
pub(crate) mod chat;
mod completion;
pub(crate) mod faults;
pub(crate) mod generation;
pub(crate) mod history;
pub(crate) mod load;
pub(crate) mod options;
pub(crate) mod orders;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_http::{Method, StatusCode};
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

use crate::http::{refuse, refuse_unknown, reply_ok, CallAnswer, HttpCall};
use crate::server::CrashSwitch;
use batch::{BatchJob, BatchLimits, BatchQueue, JobProgress, StepRates};
use cache::{PrefixCache, PromptExport};
use faults::EngineFaults;
use generation::PromptHash;
use history::RequestLog;
use load::LoadHistory;
use options::{EngineOptions, EngineRole};
use orders::OrderTable;

/// Factor by which an engine is slower at the phase that its role does not cover.
const OFF_ROLE_SLOWDOWN: f64 = 8.0;

/// A running engine and its state.
pub(crate) struct EngineService {
    weak_self: Weak<Self>,
    options: EngineOptions,
    switch: CrashSwitch,
    epoch: Cell<u64>,
    down_until: Cell<Option<Instant>>,
    models: RefCell<BTreeSet<String>>,
    role: Cell<EngineRole>,
    queue: RefCell<BatchQueue>,
    job_added: Notify,
    cache: RefCell<PrefixCache>,
    load_history: RefCell<LoadHistory>,
    requests: RefCell<RequestLog>,
    orders: RefCell<OrderTable>,
    faults: RefCell<EngineFaults>,
    unfrozen: Notify,
}

impl EngineService {
    /// Creates an engine, and spawns the task that steps its batch unless the step is zero.
    pub(crate) fn start(options: EngineOptions, switch: CrashSwitch) -> Rc<Self> {
        let engine = Rc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            switch,
            epoch: Cell::new(0),
            down_until: Cell::new(None),
            models: RefCell::new(options.models.iter().cloned().collect()),
            role: Cell::new(options.role),
            queue: RefCell::default(),
            job_added: Notify::new(),
            cache: RefCell::new(new_cache(&options)),
            load_history: RefCell::default(),
            requests: RefCell::default(),
            orders: RefCell::default(),
            faults: RefCell::default(),
            unfrozen: Notify::new(),
            options,
        });
        if !engine.is_instant() {
            actix_rt::spawn(run_batch(Rc::downgrade(&engine)));
        }
        engine
    }

    pub(crate) fn is_down(&self) -> bool {
        let until = self.down_until.get();
        until.is_some_and(|until| Instant::now() < until)
    }

    pub(crate) async fn handle(&self, call: HttpCall) -> CallAnswer {
        let result = match call.route() {
            ("faults", "") => self.handle_faults(&call),
            ("history", "") => Ok(self.history()),
            _ => {
                while self.faults.borrow().freeze {
                    self.unfrozen.notified().await;
                }
                self.dispatch(&call).await
            }
        };
        result.unwrap_or_else(|response| response)
    }

    async fn dispatch(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        match (&call.method, call.route()) {
            (&Method::POST, ("v1", "chat/completions")) => self.handle_chat(call).await,
            (&Method::GET, ("v1", "models")) => Ok(self.list_models()),
            (&Method::GET, ("load", "")) => Ok(self.handle_load()),
            (&Method::GET, ("cache", "events")) => Ok(self.handle_cache_events(call)),
            (&Method::POST, ("cancel", request)) => Ok(self.handle_cancel(request)),
            (&Method::POST, ("orders", "")) => self.handle_order(call).await,
            (&Method::GET, ("kv-cache", prompt)) => self.export_prompt(prompt),
            (&Method::PUT, ("kv-cache", prompt)) => self.import_prompt(call, prompt),
            _ => Err(refuse_unknown()),
        }
    }

    fn handle_faults(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        if !call.is_read() {
            let faults: EngineFaults = call.json()?;
            *self.faults.borrow_mut() = faults.clone();
            if faults.crash {
                self.crash();
                return Err(CallAnswer::Cut);
            }
            if faults.silent {
                self.switch.table.silence_all_but(call.peer);
            }
            self.unfrozen.notify_waiters();
        }
        Ok(reply_ok(&*self.faults.borrow()))
    }

    fn history(&self) -> CallAnswer {
        let requests = self.requests.borrow();
        let orders = self.orders.borrow();
        reply_ok(&json!({ "requests": requests.records(), "orders": orders.records() }))
    }

    fn list_models(&self) -> CallAnswer {
        let models = self.models.borrow();
        let rows = models.iter().map(
            |model| json!({ "id": model, "object": "model", "created": 0, "owned_by": "standin" }),
        );
        let rows: Vec<_> = rows.collect();
        reply_ok(&json!({ "object": "list", "data": rows }))
    }

    fn handle_cache_events(&self, call: &HttpCall) -> CallAnswer {
        let since = call.param_number("since").unwrap_or_default();
        let cache = self.cache.borrow();
        let events = cache.events(since, self.options.cache_lag, Instant::now());
        let next = events.last().map_or(since, |event| event.serial);
        reply_ok(&json!({ "epoch": self.epoch.get(), "next": next, "events": events }))
    }

    fn handle_cancel(&self, request: &str) -> CallAnswer {
        let count = self.cancel(|job| job.request_id == request);
        reply_ok(&json!({ "cancelled": count }))
    }

    fn export_prompt(&self, prompt: &str) -> Result<CallAnswer, CallAnswer> {
        if self.faults.borrow().export_fails {
            return Err(refuse(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the export of the KV cache failed",
            ));
        }
        let prompt: PromptHash = prompt.parse().map_err(|_| refuse_unknown())?;
        let export = self.cache.borrow().export(prompt);
        export
            .map(|export| reply_ok(&export))
            .ok_or_else(refuse_unknown)
    }

    fn import_prompt(&self, call: &HttpCall, prompt: &str) -> Result<CallAnswer, CallAnswer> {
        let prompt: PromptHash = prompt.parse().map_err(|_| refuse_unknown())?;
        let export: PromptExport = call.json()?;
        let blocks = export
            .pieces
            .iter()
            .map(|block| u64::from_str_radix(block, 16));
        let blocks: Result<Vec<u64>, _> = blocks.collect();
        let blocks = blocks.map_err(|_| {
            refuse(
                StatusCode::BAD_REQUEST,
                "a block hash is not a hexadecimal number",
            )
        })?;
        let mut cache = self.cache.borrow_mut();
        cache.store(prompt, export.tokens, &blocks, Instant::now());
        Ok(reply_ok(&json!({ "tokens": export.tokens })))
    }

    fn is_instant(&self) -> bool {
        self.options.step.is_zero()
    }

    fn push(&self, job: BatchJob) {
        self.queue.borrow_mut().push(job);
        self.job_added.notify_one();
        while self.is_instant() && !self.queue.borrow().is_empty() {
            self.step(Duration::from_secs(1));
        }
    }

    fn step(&self, elapsed: Duration) {
        let limits = BatchLimits {
            memory_tokens: self.options.memory_tokens,
            max_running: self.options.max_running,
        };
        let cut_after = self.faults.borrow().cut_after_tokens;
        let mut queue = self.queue.borrow_mut();
        let mut cache = self.cache.borrow_mut();
        let outcome = queue.step(elapsed, self.rates(), limits, &mut cache, cut_after);
        drop(queue);
        drop(cache);
        if outcome.stream_cut {
            self.faults.borrow_mut().cut_after_tokens = None;
        }
        self.record_progress(&outcome.progress);
        self.record_load();
        if outcome.crashed {
            self.crash();
        }
    }

    fn rates(&self) -> StepRates {
        if self.is_instant() {
            return StepRates {
                prefill: f64::INFINITY,
                decode: f64::INFINITY,
                stream: f64::INFINITY,
            };
        }
        let slowdown = self.faults.borrow().slow_factor.max(1) as f64;
        let (prefill, decode) = match self.role.get() {
            EngineRole::Both => (1.0, 1.0),
            EngineRole::Prefill => (1.0, 1.0 / OFF_ROLE_SLOWDOWN),
            EngineRole::Decode => (1.0 / OFF_ROLE_SLOWDOWN, 1.0),
        };
        StepRates {
            prefill: self.options.prefill_rate as f64 * prefill / slowdown,
            decode: self.options.decode_rate as f64 * decode / slowdown,
            stream: self.options.stream_rate as f64 * decode / slowdown,
        }
    }

    fn record_progress(&self, progress: &[JobProgress]) {
        let mut requests = self.requests.borrow_mut();
        for job in progress {
            requests.progress(job.serial, job.state, job.sent_tokens);
        }
    }

    fn cancel<F>(&self, is_selected: F) -> usize
    where
        F: Fn(&BatchJob) -> bool,
    {
        let cancelled_jobs = self.queue.borrow_mut().cancel(is_selected);
        self.record_progress(&cancelled_jobs);
        cancelled_jobs.len()
    }

    /// Cancels the waiting and running requests of a model that is being unloaded.
    fn abort_model_requests(&self, model: &str) {
        self.cancel(|job| job.model == model);
    }

    /// Cancels all waiting and running requests, because a role change interrupts them.
    fn abort_all_requests(&self) {
        self.cancel(|_| true);
    }

    fn crash(&self) {
        self.switch.crash();
        let down_ms = self.faults.borrow().down_ms;
        let down_time = down_ms.map_or(self.options.down_time, Duration::from_millis);
        self.down_until.set(Some(Instant::now() + down_time));
        self.epoch.set(self.epoch.get() + 1);
        self.requests.borrow_mut().crash();
        self.orders.borrow_mut().crash();
        self.queue.borrow_mut().clear();
        *self.cache.borrow_mut() = new_cache(&self.options);
        *self.models.borrow_mut() = self.options.models.iter().cloned().collect();
        *self.load_history.borrow_mut() = LoadHistory::default();
        self.role.set(self.options.role);
        self.faults.borrow_mut().crash = false;
    }
}

fn new_cache(options: &EngineOptions) -> PrefixCache {
    PrefixCache::new(options.memory_tokens, options.cache_gap_every)
}

/// Steps the batch at the configured interval until the engine is dropped.
async fn run_batch(engine: Weak<EngineService>) {
    let mut last_step = Instant::now();
    while let Some(engine) = engine.upgrade() {
        if engine.queue.borrow().is_empty() {
            engine.job_added.notified().await;
            last_step = Instant::now();
        }
        sleep(engine.options.step).await;
        let now = Instant::now();
        if !engine.faults.borrow().freeze {
            engine.step(now - last_step);
        }
        last_step = now;
    }
}
