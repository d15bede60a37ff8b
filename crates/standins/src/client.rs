//! HTTP client for the stand-ins, and for applefold where it serves the same API.
//!
//! Must be used inside an actix-rt system.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use actix_http::{Method, StatusCode};
use awc::{ClientRequest, ClientResponse, Connector};
use bytes::Bytes;
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::chat::{ChatCall, ChatStream};
use crate::engine::history::RequestRecord;
use crate::engine::orders::EngineOrderRecord;
use crate::plain::ExecutionRecord;
use crate::platform::fleet::{InstanceRecord, OrderRecord};
use crate::platform::stats::StatsView;
use crate::platform::usage::UsageView;

/// Maximum size of a response body.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Error of a client request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The request could not be sent or no response was received; holds the cause.
    Unanswered(String),
    /// The response body ended early or exceeded the size limit.
    Cut,
    /// The response has a status other than 2xx.
    Refused(ClientAnswer),
    /// A request or response body could not be serialized or parsed; holds the cause.
    Malformed(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered(text) => write!(f, "no response received: {text}"),
            Self::Cut => f.write_str("the response ended before it was complete"),
            Self::Refused(answer) => write!(
                f,
                "request failed with status {}: {}",
                answer.status,
                answer.text()
            ),
            Self::Malformed(text) => write!(f, "malformed body: {text}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// Response with any status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Response headers by name.
    pub headers: BTreeMap<String, String>,
    /// Response body.
    pub body: Bytes,
}

impl ClientAnswer {
    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    pub fn json<T>(&self) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let value = serde_json::from_slice(&self.body);
        value.map_err(|error| ClientError::Malformed(error.to_string()))
    }

    /// Returns the response, or [`ClientError::Refused`] if its status is not 2xx.
    pub fn checked(self) -> Result<Self, ClientError> {
        match StatusCode::from_u16(self.status) {
            Ok(status) if status.is_success() => Ok(self),
            _ => Err(ClientError::Refused(self)),
        }
    }
}

/// Requests and orders that an engine has received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHistory {
    /// Chat requests in the order of arrival.
    pub requests: Vec<RequestRecord>,
    /// Orders in the order of arrival.
    pub orders: Vec<EngineOrderRecord>,
}

#[derive(Deserialize)]
struct InstanceAnswer {
    instances: Vec<InstanceRecord>,
}

#[derive(Deserialize)]
struct OrderAnswer {
    orders: Vec<OrderRecord>,
}

#[derive(Deserialize)]
struct ExecutionAnswer {
    executions: Vec<ExecutionRecord>,
}

/// HTTP client for one address.
#[derive(Clone)]
pub struct StandinClient {
    client: awc::Client,
    address: SocketAddr,
    headers: BTreeMap<String, String>,
}

impl StandinClient {
    /// Creates a client without a timeout.
    pub fn new(address: SocketAddr) -> Self {
        let connector = Connector::new().limit(0);
        let builder = awc::Client::builder()
            .connector(connector)
            .disable_timeout();
        Self {
            client: builder.finish(),
            address,
            headers: BTreeMap::new(),
        }
    }

    /// Adds a header to every request.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.insert(name.to_owned(), value.to_owned());
        self
    }

    /// Adds a bearer token to every request.
    pub fn with_bearer(self, credential: &str) -> Self {
        self.with_header("authorization", &format!("Bearer {credential}"))
    }

    /// Sends a request and returns the response, whatever its status.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ClientAnswer, ClientError> {
        read(self.open(method, path, body).await?).await
    }

    /// Sends a GET request and parses the JSON response.
    pub async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let answer = self.call(Method::GET, path, Bytes::new()).await?;
        answer.checked()?.json()
    }

    /// Sends a JSON body and parses the JSON response.
    pub async fn send<B, T>(&self, method: Method, path: &str, body: &B) -> Result<T, ClientError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let text = serde_json::to_vec(body);
        let text = text.map_err(|error| ClientError::Malformed(error.to_string()))?;
        let answer = self.call(method, path, Bytes::from(text)).await?;
        answer.checked()?.json()
    }

    /// Replaces the set of injected faults.
    pub async fn set_faults<F>(&self, faults: &F) -> Result<(), ClientError>
    where
        F: Serialize,
    {
        self.send(Method::POST, "/faults", faults)
            .await
            .map(|_: Value| ())
    }

    /// Crashes an engine or a plain service; the missing response counts as success.
    pub async fn crash(&self) -> Result<(), ClientError> {
        match self.set_faults(&json!({ "crash": true })).await {
            Err(ClientError::Unanswered(_)) => Ok(()),
            other => other,
        }
    }

    /// Returns the requests and orders that an engine has received.
    pub async fn engine_history(&self) -> Result<EngineHistory, ClientError> {
        self.get("/history").await
    }

    /// Returns the requests that a plain service has executed.
    pub async fn executions(&self) -> Result<Vec<ExecutionRecord>, ClientError> {
        let answer: ExecutionAnswer = self.get("/history").await?;
        Ok(answer.executions)
    }

    /// Returns the usage that the platform has billed.
    pub async fn usage(&self) -> Result<UsageView, ClientError> {
        self.get("/usage").await
    }

    /// Returns the platform's request counters.
    pub async fn stats(&self) -> Result<StatsView, ClientError> {
        self.get("/stats").await
    }

    /// Returns the fleet orders that the platform has received.
    pub async fn fleet_orders(&self) -> Result<Vec<OrderRecord>, ClientError> {
        let answer: OrderAnswer = self.get("/orders").await?;
        Ok(answer.orders)
    }

    /// Registers an instance with the platform.
    pub async fn announce(&self, record: &InstanceRecord) -> Result<(), ClientError> {
        let answer = self.send(Method::POST, "/instances", record).await;
        answer.map(|_: Value| ())
    }

    /// Returns the platform's list of instances.
    pub async fn instances(&self) -> Result<Vec<InstanceRecord>, ClientError> {
        let answer: InstanceAnswer = self.get("/instances").await?;
        Ok(answer.instances)
    }

    /// Sends a chat request and returns the streamed response.
    pub async fn chat_stream(&self, chat: &ChatCall) -> Result<ChatStream, ClientError> {
        let mut client = self.clone();
        client.headers.extend(chat.headers.clone());
        let body = chat.body(true);
        client
            .open_stream(Method::POST, "/v1/chat/completions", body)
            .await
    }

    /// Sends a request whose response is a stream of chat chunks.
    ///
    /// Fails with [`ClientError::Refused`] if the status is not 2xx.
    pub async fn open_stream(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ChatStream, ClientError> {
        let response = self.open(method, path, body).await?;
        if !response.status().is_success() {
            return Err(ClientError::Refused(read(response).await?));
        }
        Ok(ChatStream::new(
            response.map(|chunk| chunk.map_err(|_| ClientError::Cut)),
        ))
    }

    async fn open(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ClientResponse, ClientError> {
        let response = self.request(method, path).send_body(body).await;
        response.map_err(|error| ClientError::Unanswered(error.to_string()))
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.client.request(method, url);
        for (name, value) in &self.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        request
    }
}

async fn read(mut response: ClientResponse) -> Result<ClientAnswer, ClientError> {
    let headers = response.headers().iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.as_str().to_owned(), value)
    });
    let headers = headers.collect();
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    Ok(ClientAnswer {
        status: response.status().as_u16(),
        headers,
        body: body.map_err(|_| ClientError::Cut)?,
    })
}
