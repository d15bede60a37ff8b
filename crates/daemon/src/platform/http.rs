//! The platform client over HTTP and JSON.

use std::net::SocketAddr;
use std::time::Duration;

use applefold_core::claim::store::{
    StoreCall, StoreCompletion, StoreEntry, StoreKey, StoreReply, StoreVersion,
};
use applefold_core::fence::LeaseStatus;
use applefold_core::id::{FencingNumber, InstanceId, ScopeId};
use applefold_core::lease::{HolderName, LeaseReply};
use applefold_core::ticket::{StoreCall as ConfigCall, StoreReply as ConfigReply};
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

/// How long a call may take beyond the wait that it requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// The HTTP client of the platform.
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

/// A request to the platform, before it is sent.
pub(super) struct PlatformRequest {
    /// The label of the call in metrics.
    kind: &'static str,
    method: Method,
    path: String,
    body: String,
    /// How long the platform may hold the response back.
    pub(super) wait: Duration,
}

/// A response of the platform.
pub(super) struct PlatformResponse {
    pub(super) status: StatusCode,
    body: Vec<u8>,
}

impl PlatformResponse {
    /// Parses the body, whatever the status.
    pub(super) fn parse<T>(&self) -> PlatformResult<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(|_| PlatformError::Refused)
    }

    /// Parses the body of a successful call.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the status is an error or the body is malformed.
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

impl PlatformRequest {
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

    async fn call(&self, request: PlatformRequest) -> PlatformResult<PlatformResponse> {
        let labels = [Label::new("kind", request.kind)];
        self.metrics.platform_calls.add(1, &labels);
        let url = format!("{}{}", self.base, request.path);
        let is_write = request.method != Method::GET;
        let outgoing = self
            .client
            .request(request.method, url)
            .timeout(request.wait + CALL_TIMEOUT)
            .insert_header(("x-client", self.instance.as_str()))
            .insert_header(("content-type", "application/json"));
        let sent = outgoing.send_body(request.body).await;
        let mut response = sent.map_err(|error| classify_error(&error, is_write))?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|_| no_response(is_write))?.to_vec();
        Ok(PlatformResponse { status, body })
    }

    async fn call_store(&self, call: &StoreCall) -> StoreReply {
        let response = self.call(store_request(call)).await;
        let reply = response.and_then(|response| store_reply(call, &response));
        reply.unwrap_or(StoreReply::Failed)
    }

    async fn call_lease(&self, scope: &ScopeId, request: &LeaseRequest) -> LeaseReply {
        let response = self.call(lease_request(scope, request)).await;
        let reply = response.and_then(|response| lease_reply(&response));
        reply.unwrap_or(LeaseReply::Failed)
    }
}

/// Returns the error of a call that was sent and got no response. A read has no effect in any case.
const fn no_response(is_write: bool) -> PlatformError {
    match is_write {
        true => PlatformError::Unknown,
        false => PlatformError::Unavailable,
    }
}

/// Returns the error of a failed call. A call that was never sent had no effect; any other failed
/// write may have had one.
fn classify_error(error: &SendRequestError, is_write: bool) -> PlatformError {
    match http::never_sent(error) {
        true => PlatformError::Unavailable,
        false => no_response(is_write),
    }
}

fn store_request(call: &StoreCall) -> PlatformRequest {
    match call {
        StoreCall::Put {
            key, value, expect, ..
        } => {
            let body = PutBody {
                value,
                expect: *expect,
            };
            PlatformRequest::new("put", Method::PUT, format!("/kv/{key}")).with_body(&body)
        }
        StoreCall::Get { key, .. } => {
            PlatformRequest::new("get", Method::GET, format!("/kv/{key}"))
        }
        StoreCall::List {
            prefix,
            after,
            limit,
            ..
        } => {
            let after = after.as_ref().map_or("", StoreKey::as_str);
            let path = format!("/list?prefix={prefix}&after={after}&limit={limit}");
            PlatformRequest::new("list", Method::GET, path)
        }
        StoreCall::Delete { key, expect, .. } => {
            let path = format!("/kv/{key}?expect={expect}");
            PlatformRequest::new("delete", Method::DELETE, path)
        }
    }
}

fn store_reply(call: &StoreCall, response: &PlatformResponse) -> PlatformResult<StoreReply> {
    match response.status {
        StatusCode::NOT_FOUND => return Ok(StoreReply::Absent),
        StatusCode::CONFLICT => {
            let body: VersionBody = response.parse()?;
            return Ok(StoreReply::Conflict(body.version));
        }
        _ => {}
    }
    Ok(match call {
        StoreCall::Put { .. } | StoreCall::Delete { .. } => {
            let body: VersionBody = response.parse_ok()?;
            StoreReply::Written(body.version)
        }
        StoreCall::Get { .. } => StoreReply::Found(store_entry(response.parse_ok()?)),
        StoreCall::List { .. } => {
            let body: EntriesBody = response.parse_ok()?;
            StoreReply::Listed(body.entries.into_iter().map(store_entry).collect())
        }
    })
}

fn store_entry(value: KeyValue) -> StoreEntry {
    StoreEntry {
        key: StoreKey::new(value.key),
        value: value.value,
        version: value.version,
    }
}

fn lease_request(scope: &ScopeId, request: &LeaseRequest) -> PlatformRequest {
    let holder = &request.holder;
    let path = format!("/leases/{scope}");
    match request.operation {
        LeaseOperation::Acquire { ttl } => {
            let body = LeaseBody {
                holder,
                fencing: None,
                ttl_ms: ttl.as_millis(),
            };
            PlatformRequest::new("acquire", Method::POST, path).with_body(&body)
        }
        LeaseOperation::Renew { fencing, ttl } => {
            let body = LeaseBody {
                holder,
                fencing: Some(fencing),
                ttl_ms: ttl.as_millis(),
            };
            PlatformRequest::new("renew", Method::PUT, path).with_body(&body)
        }
        LeaseOperation::Release { fencing } => {
            let path = format!("{path}?holder={holder}&fencing={fencing}");
            PlatformRequest::new("release", Method::DELETE, path)
        }
    }
}

fn lease_reply(response: &PlatformResponse) -> PlatformResult<LeaseReply> {
    if response.status == StatusCode::CONFLICT {
        let body: HeldBody = response.parse()?;
        return Ok(LeaseReply::Held {
            holder: body.holder,
            fencing: body.fencing,
            remaining: TimeSpan::from_millis(body.remaining_ms),
        });
    }
    let body: GrantBody = response.parse_ok()?;
    let fencing = body.fencing;
    Ok(LeaseReply::Granted { fencing })
}

fn lease_status(response: &PlatformResponse) -> PlatformResult<LeaseStatus> {
    if response.status == StatusCode::NOT_FOUND {
        return Ok(LeaseStatus::Free);
    }
    let body: HeldBody = response.parse_ok()?;
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

    fn config(&self, call: ConfigCall) -> LocalBoxFuture<'_, ConfigReply> {
        async move {
            let response = self.call(config_log::request(&call)).await;
            config_log::reply(&call, response)
        }
        .boxed_local()
    }

    fn lease(&self, scope: ScopeId, request: LeaseRequest) -> LocalBoxFuture<'_, LeaseReply> {
        async move { self.call_lease(&scope, &request).await }.boxed_local()
    }

    fn read_lease(&self, scope: ScopeId) -> LocalBoxFuture<'_, LeaseStatus> {
        async move {
            let request = PlatformRequest::new("lease", Method::GET, format!("/leases/{scope}"));
            let response = self.call(request).await;
            let status = response.and_then(|response| lease_status(&response));
            status.unwrap_or(LeaseStatus::Unreadable)
        }
        .boxed_local()
    }

    fn instances(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<InstanceRow>>> {
        async move {
            let request = PlatformRequest::new("instances", Method::GET, "/instances".to_owned());
            let body: InstancesBody = self.call(request).await?.parse_ok()?;
            Ok(body.instances)
        }
        .boxed_local()
    }

    fn order(&self, order: OrderRecord) -> LocalBoxFuture<'_, PlatformResult<()>> {
        async move {
            let request = PlatformRequest::new("order", Method::POST, "/orders".to_owned());
            let _: serde_json::Value = self.call(request.with_body(&order)).await?.parse_ok()?;
            Ok(())
        }
        .boxed_local()
    }

    fn orders(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<OrderRecord>>> {
        async move {
            let request = PlatformRequest::new("orders", Method::GET, "/orders".to_owned());
            let body: OrdersBody = self.call(request).await?.parse_ok()?;
            Ok(body.orders)
        }
        .boxed_local()
    }

    fn report(&self, usage: UsageRecord) -> LocalBoxFuture<'_, PlatformResult<()>> {
        async move {
            let request = PlatformRequest::new("usage", Method::POST, "/usage".to_owned());
            let _: serde_json::Value = self.call(request.with_body(&usage)).await?.parse_ok()?;
            Ok(())
        }
        .boxed_local()
    }
}
