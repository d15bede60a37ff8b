//! The platform's service over HTTP and JSON.

use std::net::SocketAddr;
use std::time::Duration;

use applefold_core::claim::store::{
    StoreCall, StoreCompletion, StoreEntry, StoreKey, StoreReply, StoreVersion,
};
use applefold_core::fence::LeaseStatus;
use applefold_core::id::{FencingNumber, InstanceId, ScopeId};
use applefold_core::lease::{HolderName, LeaseReply};
use applefold_core::ticket::{StoreCall as ConfigCall, StoreReply as ConfigAnswer};
use applefold_core::unit::TimeSpan;
use awc::error::SendRequestError;
use awc::http::{Method, StatusCode};
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use opentelemetry::KeyValue as Label;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::config_log;
use super::message::{
    InstanceRow, KeyValue, LeaseOperation, LeaseRequest, OrderRecord, UsageRecord,
};
use super::{PlatformApi, PlatformError, PlatformResult};
use crate::http;
use crate::metrics::MetricSet;

/// How long a call may take beyond the wait that it asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Calls the platform on behalf of one process.
pub(crate) struct HttpPlatform {
    client: awc::Client,
    base: String,
    instance: InstanceId,
    metrics: MetricSet,
}

#[derive(Serialize)]
struct LeaseBody<'a> {
    holder: &'a HolderName,
    #[serde(skip_serializing_if = "Option::is_none")]
    fencing: Option<FencingNumber>,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct GrantBody {
    fencing: FencingNumber,
}

#[derive(Deserialize)]
struct HeldBody {
    #[serde(default)]
    holder: Option<HolderName>,
    #[serde(default)]
    fencing: FencingNumber,
    #[serde(default)]
    remaining_ms: u64,
}

#[derive(Serialize)]
pub(super) struct PutBody<'a> {
    pub(super) value: &'a str,
    pub(super) expect: StoreVersion,
}

#[derive(Deserialize)]
struct VersionBody {
    version: StoreVersion,
}

#[derive(Deserialize)]
pub(super) struct EntriesBody {
    pub(super) entries: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct InstancesBody {
    instances: Vec<InstanceRow>,
}

#[derive(Deserialize)]
struct OrdersBody {
    orders: Vec<OrderRecord>,
}

/// One call, before it is sent.
pub(super) struct CallPlan {
    kind: &'static str,
    method: Method,
    path: String,
    body: String,
    pub(super) wait: Duration,
}

/// An answer that came.
pub(super) struct CallAnswer {
    pub(super) status: StatusCode,
    body: Vec<u8>,
}

impl CallAnswer {
    pub(super) fn parse<T>(&self) -> PlatformResult<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(|_| PlatformError::Refused)
    }

    /// Returns the body of a call that ended well.
    pub(super) fn parse_ok<T>(&self) -> PlatformResult<T>
    where
        T: DeserializeOwned,
    {
        match self.status {
            StatusCode::OK => self.parse(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(PlatformError::Unavailable)
            }
            _ => Err(PlatformError::Refused),
        }
    }
}

impl CallPlan {
    pub(super) fn new(kind: &'static str, method: Method, path: String) -> Self {
        Self {
            kind,
            method,
            path,
            body: String::new(),
            wait: Duration::ZERO,
        }
    }

    pub(super) fn with_body<B>(mut self, body: &B) -> Self
    where
        B: Serialize,
    {
        self.body = serde_json::to_string(body).unwrap_or_default();
        self
    }
}

impl HttpPlatform {
    pub(crate) fn new(address: SocketAddr, instance: InstanceId, metrics: MetricSet) -> Self {
        let client = awc::Client::builder().disable_redirects().finish();
        Self {
            client,
            base: format!("http://{address}"),
            instance,
            metrics,
        }
    }

    async fn call(&self, plan: CallPlan) -> PlatformResult<CallAnswer> {
        let labels = [Label::new("kind", plan.kind)];
        self.metrics.platform_calls.add(1, &labels);
        let url = format!("{}{}", self.base, plan.path);
        let changes = plan.method != Method::GET;
        let request = self
            .client
            .request(plan.method, url)
            .timeout(plan.wait + CALL_TIMEOUT)
            .insert_header(("x-client", self.instance.as_str()))
            .insert_header(("content-type", "application/json"));
        let sent = request.send_body(plan.body).await;
        let mut response = sent.map_err(|error| fault_of(&error, changes))?;
        let status = response.status();
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|_| lost(changes))?.to_vec();
        Ok(CallAnswer { status, body })
    }

    async fn call_store(&self, call: &StoreCall) -> StoreReply {
        let answer = self.call(store_plan(call)).await;
        let reply = answer.and_then(|answer| store_reply(call, &answer));
        reply.unwrap_or(StoreReply::Failed)
    }

    async fn call_lease(&self, scope: &ScopeId, ask: &LeaseRequest) -> LeaseReply {
        let answer = self.call(lease_plan(scope, ask)).await;
        let reply = answer.and_then(|answer| lease_reply(&answer));
        reply.unwrap_or(LeaseReply::Failed)
    }
}

const fn lost(changes: bool) -> PlatformError {
    match changes {
        true => PlatformError::Unknown,
        false => PlatformError::Unavailable,
    }
}

/// A call that never left took no effect; any other failed change may have.
fn fault_of(error: &SendRequestError, changes: bool) -> PlatformError {
    match http::never_sent(error) {
        true => PlatformError::Unavailable,
        false => lost(changes),
    }
}

fn store_plan(call: &StoreCall) -> CallPlan {
    match call {
        StoreCall::Put {
            key, value, expect, ..
        } => {
            let body = PutBody {
                value,
                expect: *expect,
            };
            CallPlan::new("put", Method::PUT, format!("/kv/{key}")).with_body(&body)
        }
        StoreCall::Get { key, .. } => CallPlan::new("get", Method::GET, format!("/kv/{key}")),
        StoreCall::List {
            prefix,
            after,
            limit,
            ..
        } => {
            let after = after.as_ref().map_or("", StoreKey::as_str);
            let path = format!("/list?prefix={prefix}&after={after}&limit={limit}");
            CallPlan::new("list", Method::GET, path)
        }
        StoreCall::Delete { key, expect, .. } => {
            let path = format!("/kv/{key}?expect={expect}");
            CallPlan::new("delete", Method::DELETE, path)
        }
    }
}

fn store_reply(call: &StoreCall, answer: &CallAnswer) -> PlatformResult<StoreReply> {
    match answer.status {
        StatusCode::NOT_FOUND => return Ok(StoreReply::Absent),
        StatusCode::CONFLICT => {
            let body: VersionBody = answer.parse()?;
            return Ok(StoreReply::Conflict(body.version));
        }
        _ => {}
    }
    Ok(match call {
        StoreCall::Put { .. } | StoreCall::Delete { .. } => {
            let body: VersionBody = answer.parse_ok()?;
            StoreReply::Written(body.version)
        }
        StoreCall::Get { .. } => StoreReply::Found(entry_of(answer.parse_ok()?)),
        StoreCall::List { .. } => {
            let body: EntriesBody = answer.parse_ok()?;
            StoreReply::Listed(body.entries.into_iter().map(entry_of).collect())
        }
    })
}

fn entry_of(value: KeyValue) -> StoreEntry {
    StoreEntry {
        key: StoreKey::new(value.key),
        value: value.value,
        version: value.version,
    }
}

fn lease_plan(scope: &ScopeId, ask: &LeaseRequest) -> CallPlan {
    let holder = &ask.holder;
    let path = format!("/leases/{scope}");
    match ask.kind {
        LeaseOperation::Acquire { ttl } => {
            let body = LeaseBody {
                holder,
                fencing: None,
                ttl_ms: ttl.as_millis(),
            };
            CallPlan::new("acquire", Method::POST, path).with_body(&body)
        }
        LeaseOperation::Renew { fencing, ttl } => {
            let body = LeaseBody {
                holder,
                fencing: Some(fencing),
                ttl_ms: ttl.as_millis(),
            };
            CallPlan::new("renew", Method::PUT, path).with_body(&body)
        }
        LeaseOperation::Release { fencing } => {
            let path = format!("{path}?holder={holder}&fencing={fencing}");
            CallPlan::new("release", Method::DELETE, path)
        }
    }
}

fn lease_reply(answer: &CallAnswer) -> PlatformResult<LeaseReply> {
    if answer.status == StatusCode::CONFLICT {
        let body: HeldBody = answer.parse()?;
        return Ok(LeaseReply::Held {
            holder: body.holder,
            fencing: body.fencing,
            remaining: TimeSpan::from_millis(body.remaining_ms),
        });
    }
    let body: GrantBody = answer.parse_ok()?;
    let fencing = body.fencing;
    Ok(LeaseReply::Granted { fencing })
}

fn lease_reading(answer: &CallAnswer) -> PlatformResult<LeaseStatus> {
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(LeaseStatus::Free);
    }
    let body: HeldBody = answer.parse_ok()?;
    let fencing = body.fencing;
    Ok(match body.holder {
        Some(holder) => LeaseStatus::Held { holder, fencing },
        None => LeaseStatus::Free,
    })
}

impl PlatformApi for HttpPlatform {
    fn store(&self, call: StoreCall) -> LocalBoxFuture<'_, StoreCompletion> {
        async move {
            StoreCompletion {
                call: call.call(),
                reply: self.call_store(&call).await,
            }
        }
        .boxed_local()
    }

    fn config(&self, call: ConfigCall) -> LocalBoxFuture<'_, ConfigAnswer> {
        async move {
            let answer = self.call(config_log::plan(&call)).await;
            config_log::answer(&call, answer)
        }
        .boxed_local()
    }

    fn lease(&self, scope: ScopeId, ask: LeaseRequest) -> LocalBoxFuture<'_, LeaseReply> {
        async move { self.call_lease(&scope, &ask).await }.boxed_local()
    }

    fn read_lease(&self, scope: ScopeId) -> LocalBoxFuture<'_, LeaseStatus> {
        async move {
            let plan = CallPlan::new("lease", Method::GET, format!("/leases/{scope}"));
            let answer = self.call(plan).await;
            let reading = answer.and_then(|answer| lease_reading(&answer));
            reading.unwrap_or(LeaseStatus::Unreadable)
        }
        .boxed_local()
    }

    fn instances(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<InstanceRow>>> {
        async move {
            let plan = CallPlan::new("instances", Method::GET, "/instances".to_owned());
            let body: InstancesBody = self.call(plan).await?.parse_ok()?;
            Ok(body.instances)
        }
        .boxed_local()
    }

    fn order(&self, order: OrderRecord) -> LocalBoxFuture<'_, PlatformResult<()>> {
        async move {
            let plan = CallPlan::new("order", Method::POST, "/orders".to_owned());
            let _: serde_json::Value = self.call(plan.with_body(&order)).await?.parse_ok()?;
            Ok(())
        }
        .boxed_local()
    }

    fn orders(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<OrderRecord>>> {
        async move {
            let plan = CallPlan::new("orders", Method::GET, "/orders".to_owned());
            let body: OrdersBody = self.call(plan).await?.parse_ok()?;
            Ok(body.orders)
        }
        .boxed_local()
    }

    fn report(&self, usage: UsageRecord) -> LocalBoxFuture<'_, PlatformResult<()>> {
        async move {
            let plan = CallPlan::new("usage", Method::POST, "/usage".to_owned());
            let _: serde_json::Value = self.call(plan.with_body(&usage)).await?.parse_ok()?;
            Ok(())
        }
        .boxed_local()
    }
}
