//! The HTTP calls to the one backend server beside this process.

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

use super::whole::WholeCheck;
use crate::http;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
const ORDER_GRACE: Duration = Duration::from_millis(100);
/// Statuses of answers without a body, whatever their headers say.
const BODILESS: [u16; 2] = [204, 304];
/// Headers that end at this hop.
const HOP_HEADERS: [&str; 6] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "date",
    "upgrade",
];

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BackendFault {
    /// No byte of the request reached the backend server.
    NotSent,
    /// The backend server may have begun the request.
    NoAnswer,
}

/// Calls the backend server.
pub(crate) struct BackendClient {
    /// Reuses connections, for calls that may be repeated.
    pooled: awc::Client,
    /// Opens a connection for each call, so that a connection that the backend
    /// server closed while idle never leaves a call's outcome unknown.
    fresh: awc::Client,
    base: String,
}

/// The load that a model engine reports about itself.
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

/// An answer whose body is still coming.
pub(crate) struct BackendAnswer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderPair>,
    pub(crate) check: WholeCheck,
    body: awc::ClientResponse<actix_http::BoxedPayloadStream>,
}

impl BackendAnswer {
    /// Returns the next piece of the body; `None` at its end, whole or not.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        let piece = self.body.next().await;
        piece.and_then(Result::ok)
    }
}

impl BackendClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let connector = || awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let build = || awc::Client::builder().disable_redirects().disable_timeout();
        let short = connector().conn_keep_alive(Duration::ZERO);
        Self {
            pooled: build().connector(connector()).finish(),
            fresh: build().connector(short).finish(),
            base: format!("http://{address}"),
        }
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &self,
        dispatch: &DispatchMessage,
        traceparent: &str,
    ) -> Result<BackendAnswer, BackendFault> {
        let method = Method::from_bytes(dispatch.method.as_bytes());
        let method = method.map_err(|_| BackendFault::NotSent)?;
        let client = if dispatch.idempotent {
            &self.pooled
        } else {
            &self.fresh
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
        let response = sent.map_err(|error| fault_of(&error))?;
        let status = response.status().as_u16();
        let headers = kept_headers(response.headers());
        let bodiless = dispatch.method == "HEAD" || BODILESS.contains(&status);
        let check = match bodiless {
            true => WholeCheck::sized(ByteSize::ZERO),
            false => check_for(response.headers()),
        };
        Ok(BackendAnswer {
            status,
            headers,
            check,
            body: response,
        })
    }

    /// Asks the backend server for its load; a plain service answers nothing of use.
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

    /// Gives the backend server an order and waits for its answer.
    pub(crate) async fn order(&self, body: String, wait: TimeSpan) -> Result<u16, BackendFault> {
        let wait = Duration::from_micros(wait.0) + ORDER_GRACE;
        let request = self.fresh.post(format!("{}/orders", self.base));
        let request = request
            .timeout(wait)
            .insert_header(("content-type", "application/json"));
        let sent = request.send_body(body).await;
        let response = sent.map_err(|error| fault_of(&error))?;
        Ok(response.status().as_u16())
    }
}

fn fault_of(error: &SendRequestError) -> BackendFault {
    match http::never_sent(error) {
        true => BackendFault::NotSent,
        false => BackendFault::NoAnswer,
    }
}

fn kept_headers(headers: &HeaderMap) -> Vec<HeaderPair> {
    let kept = headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()));
    kept.filter_map(|(name, value)| {
        let value = SmolStr::new(value.to_str().ok()?);
        let name = SmolStr::new(name.as_str());
        Some(HeaderPair { name, value })
    })
    .collect()
}

fn check_for(headers: &HeaderMap) -> WholeCheck {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let kind = text(CONTENT_TYPE).unwrap_or_default();
    if kind.starts_with("text/event-stream") {
        return WholeCheck::events();
    }
    let size = text(CONTENT_LENGTH).and_then(|text| text.parse().ok());
    match size {
        Some(size) => WholeCheck::sized(ByteSize(size)),
        None if kind.starts_with("application/json") => WholeCheck::json(),
        None => WholeCheck::unproven(),
    }
}
