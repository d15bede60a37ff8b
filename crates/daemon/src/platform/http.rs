//! The platform's service over HTTP and JSON.

use std::net::SocketAddr;
use std::time::Duration;

use applefold_core::id::{FencingNumber, InstanceId, ScopeId};
use applefold_core::unit::TimeSpan;
use awc::error::SendRequestError;
use awc::http::{Method, StatusCode};
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use opentelemetry::KeyValue as Label;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::message::{
    InstanceRow, KeyValue, LeaseGrant, OrderRecord, PutRequest, StoreVersion, UsageRecord,
    WatchBatch,
};
use super::{PlatformApi, PlatformFault, PlatformResult};
use crate::metrics::MetricSet;

/// How long a call may take beyond the wait that it asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Calls the platform on behalf of one process.
pub(crate) struct HttpPlatform {
    client: awc::Client,
    base: String,
    instance: InstanceId,
    metrics: MetricSet,
}

#[derive(Serialize)]
struct LeaseBody<'a> {
    holder: &'a InstanceId,
    #[serde(skip_serializing_if = "Option::is_none")]
    fencing: Option<FencingNumber>,
    ttl_ms: u64,
}

#[derive(Serialize)]
struct PutBody<'a> {
    value: &'a str,
    expect: Option<StoreVersion>,
}

#[derive(Deserialize)]
struct VersionBody {
    version: StoreVersion,
}

#[derive(Deserialize)]
struct EntriesBody {
    entries: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct InstancesBody {
    instances: Vec<InstanceRow>,
}

#[derive(Deserialize)]
struct OrdersBody {
    orders: Vec<OrderRecord>,
}

#[derive(Deserialize)]
struct NoBody {}

/// One call, before it is sent.
struct CallPlan {
    kind: &'static str,
    method: Method,
    path: String,
    body: Option<String>,
    wait: Duration,
}

impl CallPlan {
    fn read(kind: &'static str, path: String) -> Self {
        Self {
            kind,
            method: Method::GET,
            path,
            body: None,
            wait: Duration::ZERO,
        }
    }

    fn write<B>(kind: &'static str, method: Method, path: String, body: &B) -> Self
    where
        B: Serialize,
    {
        Self {
            kind,
            method,
            path,
            body: serde_json::to_string(body).ok(),
            wait: Duration::ZERO,
        }
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

    async fn call<T>(&self, plan: CallPlan) -> PlatformResult<T>
    where
        T: DeserializeOwned,
    {
        self.metrics
            .platform_calls
            .add(1, &[Label::new("kind", plan.kind)]);
        let url = format!("{}{}", self.base, plan.path);
        let changes = plan.method != Method::GET;
        let request = self
            .client
            .request(plan.method, url)
            .timeout(plan.wait + CALL_TIMEOUT)
            .insert_header(("x-client", self.instance.as_str()))
            .insert_header(("content-type", "application/json"));
        let sent = request.send_body(plan.body.unwrap_or_default()).await;
        let mut response = sent.map_err(|error| fault_of(&error, changes))?;
        let status = response.status();
        let lost = if changes {
            PlatformFault::Unsettled
        } else {
            PlatformFault::Unavailable
        };
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|_| lost)?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map_err(|_| PlatformFault::Malformed),
            StatusCode::NOT_FOUND => Err(PlatformFault::Missing),
            StatusCode::CONFLICT => Err(PlatformFault::Conflict(version_in(&body))),
            StatusCode::PAYLOAD_TOO_LARGE => Err(PlatformFault::TooLarge),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(PlatformFault::Unavailable)
            }
            _ => Err(PlatformFault::Malformed),
        }
    }
}

fn version_in(body: &[u8]) -> StoreVersion {
    let parsed: Result<VersionBody, _> = serde_json::from_slice(body);
    parsed.map_or(StoreVersion::ABSENT, |body| body.version)
}

/// A call that never left took no effect; any other failed change may have.
fn fault_of(error: &SendRequestError, changes: bool) -> PlatformFault {
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => PlatformFault::Unavailable,
        _ if changes => PlatformFault::Unsettled,
        _ => PlatformFault::Unavailable,
    }
}

impl PlatformApi for HttpPlatform {
    fn get(&self, key: String) -> LocalBoxFuture<'_, PlatformResult<KeyValue>> {
        self.call(CallPlan::read("get", format!("/kv/{key}")))
            .boxed_local()
    }

    fn put(&self, put: PutRequest) -> LocalBoxFuture<'_, PlatformResult<StoreVersion>> {
        async move {
            let path = format!("/kv/{}", put.key);
            let body = PutBody {
                value: &put.value,
                expect: put.expect,
            };
            let plan = CallPlan::write("put", Method::PUT, path, &body);
            let body: VersionBody = self.call(plan).await?;
            Ok(body.version)
        }
        .boxed_local()
    }

    fn list(&self, prefix: String) -> LocalBoxFuture<'_, PlatformResult<Vec<KeyValue>>> {
        async move {
            let path = format!("/list?prefix={prefix}");
            let body: EntriesBody = self.call(CallPlan::read("list", path)).await?;
            Ok(body.entries)
        }
        .boxed_local()
    }

    fn delete(&self, key: String) -> LocalBoxFuture<'_, PlatformResult<()>> {
        async move {
            let plan = CallPlan::write("delete", Method::DELETE, format!("/kv/{key}"), &());
            let _: serde_json::Value = self.call(plan).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn watch(
        &self,
        prefix: String,
        since: StoreVersion,
        wait: TimeSpan,
    ) -> LocalBoxFuture<'_, PlatformResult<WatchBatch>> {
        let millis = wait.as_millis();
        let path = format!("/watch?prefix={prefix}&since={since}&wait_ms={millis}");
        let mut plan = CallPlan::read("watch", path);
        plan.wait = Duration::from_millis(millis);
        self.call(plan).boxed_local()
    }

    fn acquire(
        &self,
        scope: ScopeId,
        ttl: TimeSpan,
    ) -> LocalBoxFuture<'_, PlatformResult<LeaseGrant>> {
        async move {
            let body = LeaseBody {
                holder: &self.instance,
                fencing: None,
                ttl_ms: ttl.as_millis(),
            };
            let path = format!("/leases/{scope}");
            self.call(CallPlan::write("acquire", Method::POST, path, &body))
                .await
        }
        .boxed_local()
    }

    fn renew(
        &self,
        scope: ScopeId,
        fencing: FencingNumber,
        ttl: TimeSpan,
    ) -> LocalBoxFuture<'_, PlatformResult<LeaseGrant>> {
        async move {
            let body = LeaseBody {
                holder: &self.instance,
                fencing: Some(fencing),
                ttl_ms: ttl.as_millis(),
            };
            let path = format!("/leases/{scope}");
            self.call(CallPlan::write("renew", Method::PUT, path, &body))
                .await
        }
        .boxed_local()
    }

    fn release(
        &self,
        scope: ScopeId,
        fencing: FencingNumber,
    ) -> LocalBoxFuture<'_, PlatformResult<()>> {
        async move {
            let holder = &self.instance;
            let path = format!("/leases/{scope}?holder={holder}&fencing={fencing}");
            let plan = CallPlan::write("release", Method::DELETE, path, &());
            let _: serde_json::Value = self.call(plan).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn instances(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<InstanceRow>>> {
        async move {
            let plan = CallPlan::read("instances", "/instances".to_owned());
            let body: InstancesBody = self.call(plan).await?;
            Ok(body.instances)
        }
        .boxed_local()
    }

    fn order(&self, order: OrderRecord) -> LocalBoxFuture<'_, PlatformResult<()>> {
        async move {
            let plan = CallPlan::write("order", Method::POST, "/orders".to_owned(), &order);
            let _: NoBody = self.call(plan).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn orders(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<OrderRecord>>> {
        async move {
            let plan = CallPlan::read("orders", "/orders".to_owned());
            let body: OrdersBody = self.call(plan).await?;
            Ok(body.orders)
        }
        .boxed_local()
    }

    fn report(&self, usage: UsageRecord) -> LocalBoxFuture<'_, PlatformResult<()>> {
        async move {
            let plan = CallPlan::write("usage", Method::POST, "/usage".to_owned(), &usage);
            let _: NoBody = self.call(plan).await?;
            Ok(())
        }
        .boxed_local()
    }
}
