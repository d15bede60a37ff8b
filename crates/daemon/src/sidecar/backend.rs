//! The HTTP client of the backend server that this sidecar serves.

use std::net::SocketAddr;
use std::time::Duration;

use applefold_core::unit::{ByteSize, TimeSpan, TokenCount, TokenRate};
use applefold_wire::dispatch::{DispatchMessage, HeaderPair};
use applefold_wire::heartbeat::LoadStatus;
use awc::error::SendRequestError;
use awc::http::header::{HeaderMap, CONTENT_LENGTH, CONTENT_TYPE};
use awc::http::Method;
use bytes::Bytes;
use futures_util::StreamExt;
use serde::Deserialize;
use smol_str::SmolStr;

use super::completion::CompletionCheck;
use crate::http;

/// How long connecting to the backend server may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a load query may take.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an order may take beyond its own timeout.
const ORDER_GRACE: Duration = Duration::from_millis(100);
/// Statuses of responses that have no body, whatever their headers say.
const BODILESS_STATUSES: [u16; 2] = [204, 304];
/// The statuses of final responses. The client library returns any from 100 to 999.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;
/// Response headers that are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "date",
    "upgrade",
];

/// Why a call to the backend server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BackendError {
    /// No byte of the request reached the backend server.
    NotSent,
    /// The request was sent and no response arrived, so the backend server may have started it.
    NoResponse,
}

/// Sends requests, load queries and orders to the backend server.
pub(crate) struct BackendClient {
    /// The client with a connection pool, for calls that may be retried.
    pooled: awc::Client,
    /// The client that opens a connection for each call. If the backend server closes an idle
    /// pooled connection as a request is sent on it, the outcome of that request is unknown.
    unpooled: awc::Client,
    base: String,
}

/// The body of a model engine's response to a load query.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct LoadBody {
    running: u32,
    waiting: u32,
    waiting_tokens: u64,
    free_tokens: u64,
    prefill_rate: f64,
    decode_rate: f64,
}

/// A response whose body is still being received.
pub(crate) struct BackendResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderPair>,
    pub(crate) check: CompletionCheck,
    body: awc::ClientResponse<actix_http::BoxedPayloadStream>,
}

impl BackendResponse {
    /// Returns the next chunk of the body; `None` at its end, be it complete or truncated.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        let chunk = self.body.next().await;
        chunk.and_then(Result::ok)
    }
}

impl BackendClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let connector = || awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let build = || awc::Client::builder().disable_redirects().disable_timeout();
        let unpooled = connector().conn_keep_alive(Duration::ZERO);
        Self {
            pooled: build().connector(connector()).finish(),
            unpooled: build().connector(unpooled).finish(),
            base: format!("http://{address}"),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError`] if no response arrived.
    pub(crate) async fn send(
        &self,
        dispatch: &DispatchMessage,
        traceparent: &str,
    ) -> Result<BackendResponse, BackendError> {
        let method = Method::from_bytes(dispatch.method.as_bytes());
        let method = method.map_err(|_| BackendError::NotSent)?;
        let client = if dispatch.idempotent {
            &self.pooled
        } else {
            &self.unpooled
        };
        let mut request = client
            .request(method, format!("{}{}", self.base, dispatch.path))
            .insert_header(("x-request-id", dispatch.id.request.as_str()))
            .insert_header(("x-attempt", dispatch.id.attempt.to_string()))
            .insert_header(("x-priority", dispatch.priority.to_string()))
            .insert_header(("traceparent", traceparent));
        if !dispatch.idempotent {
            request = request.force_close();
        }
        if dispatch.resume_tokens > TokenCount::ZERO {
            let tokens = dispatch.resume_tokens.0.to_string();
            request = request.insert_header(("x-resume-tokens", tokens));
        }
        for header in &dispatch.headers {
            request = request.insert_header((&*header.name, &*header.value));
        }
        let sent = request.send_body(dispatch.body.clone()).await;
        let response = sent.map_err(|error| classify_error(&error))?;
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(BackendError::NoResponse);
        }
        let headers = forwarded_headers(response.headers());
        let bodiless = dispatch.method == "HEAD" || BODILESS_STATUSES.contains(&status);
        let check = match bodiless {
            true => CompletionCheck::sized(ByteSize::ZERO),
            false => completion_check(response.headers()),
        };
        Ok(BackendResponse {
            status,
            headers,
            check,
            body: response,
        })
    }

    /// Queries the load of the backend server. Returns `None` if it does not respond, and the
    /// default load for a plain service, which does not report any.
    pub(crate) async fn load(&self) -> Option<LoadStatus> {
        let request = self.pooled.get(format!("{}/load", self.base));
        let mut response = request.timeout(LOAD_TIMEOUT).send().await.ok()?;
        if !response.status().is_success() {
            return Some(LoadStatus::default());
        }
        let body: LoadBody = response.json().await.ok()?;
        Some(LoadStatus {
            running: body.running,
            waiting: body.waiting,
            waiting_tokens: TokenCount(body.waiting_tokens),
            free_tokens: TokenCount(body.free_tokens),
            prefill_rate: TokenRate(body.prefill_rate as u64),
            decode_rate: TokenRate(body.decode_rate as u64),
            draining: false,
            healthy: true,
        })
    }

    /// Sends an order to the backend server and returns the HTTP status of the response.
    ///
    /// # Errors
    ///
    /// Returns [`BackendError`] if no response arrived within `timeout` and [`ORDER_GRACE`].
    pub(crate) async fn order(&self, body: String, timeout: TimeSpan) -> Result<u16, BackendError> {
        let timeout = Duration::from_micros(timeout.0) + ORDER_GRACE;
        let request = self.unpooled.post(format!("{}/orders", self.base));
        let request = request
            .timeout(timeout)
            .insert_header(("content-type", "application/json"));
        let sent = request.send_body(body).await;
        let response = sent.map_err(|error| classify_error(&error))?;
        Ok(response.status().as_u16())
    }
}

fn classify_error(error: &SendRequestError) -> BackendError {
    match http::never_sent(error) {
        true => BackendError::NotSent,
        false => BackendError::NoResponse,
    }
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<HeaderPair> {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    forwarded
        .filter_map(|(name, value)| {
            let value = SmolStr::new(value.to_str().ok()?);
            let name = SmolStr::new(name.as_str());
            Some(HeaderPair { name, value })
        })
        .collect()
}

fn completion_check(headers: &HeaderMap) -> CompletionCheck {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let content_type = text(CONTENT_TYPE).unwrap_or_default();
    if content_type.starts_with("text/event-stream") {
        return CompletionCheck::events();
    }
    let size = text(CONTENT_LENGTH).and_then(|text| text.parse().ok());
    match size {
        Some(size) => CompletionCheck::sized(ByteSize(size)),
        None if content_type.starts_with("application/json") => CompletionCheck::json(),
        None => CompletionCheck::unverifiable(),
    }
}
