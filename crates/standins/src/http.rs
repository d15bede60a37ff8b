//! Requests that the stand-ins receive and the responses that they send.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, CONTENT_TYPE};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};
use smol_str::SmolStr;

/// Maximum size of a request body; the text of the 413 error states it.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Request that has been read completely.
pub(crate) struct HttpCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: BTreeMap<String, String>,
    pub(crate) headers: BTreeMap<SmolStr, String>,
    pub(crate) body: Bytes,
    pub(crate) peer: SocketAddr,
}

impl HttpCall {
    /// Reads a request with its body.
    ///
    /// Returns 413 if the body exceeds [`MAX_BODY_BYTES`], and [`CallAnswer::Cut`] if the body
    /// breaks off.
    pub(crate) async fn read(mut request: Request, peer: SocketAddr) -> Result<Self, CallAnswer> {
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| CallAnswer::Cut)?;
            if body.len() + chunk.len() > MAX_BODY_BYTES {
                return Err(refuse(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "request body exceeds the limit of 16 MiB",
                ));
            }
            body.extend_from_slice(&chunk);
        }
        let head = request.head();
        let headers = head.headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (SmolStr::new(name.as_str()), value)
        });
        Ok(Self {
            method: head.method.clone(),
            path: decode(head.uri.path()),
            query: read_query(head.uri.query().unwrap_or_default()),
            headers: headers.collect(),
            body: body.freeze(),
            peer,
        })
    }

    /// Returns whether the method is GET or HEAD.
    pub(crate) fn is_read(&self) -> bool {
        matches!(self.method, Method::GET | Method::HEAD)
    }

    /// Splits the path into its first segment and the rest.
    pub(crate) fn route(&self) -> (&str, &str) {
        let path = self.path.trim_start_matches('/');
        path.split_once('/').unwrap_or((path, ""))
    }

    /// Returns a header's value, or an empty string if it is absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Parses a header as a number; `None` if it is absent or invalid.
    pub(crate) fn header_number<T>(&self, name: &str) -> Option<T>
    where
        T: FromStr,
    {
        self.header(name).parse().ok()
    }

    /// Returns a query parameter's value, or an empty string if it is absent.
    pub(crate) fn param(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    /// Parses a query parameter as a number; `None` if it is absent or invalid.
    pub(crate) fn param_number<T>(&self, name: &str) -> Option<T>
    where
        T: FromStr,
    {
        self.param(name).parse().ok()
    }

    /// Parses the body as JSON; on failure returns 400 with the parser's message.
    pub(crate) fn json<T>(&self) -> Result<T, CallAnswer>
    where
        T: DeserializeOwned,
    {
        let value = serde_json::from_slice(&self.body);
        value.map_err(|error| refuse(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// Outcome of a request.
pub(crate) enum CallAnswer {
    /// This response is sent.
    Reply(Response<BoxBody>),
    /// The connection is closed without a response.
    Cut,
}

impl CallAnswer {
    /// Returns whether the outcome is a response with a 2xx status.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self, Self::Reply(response) if response.status().is_success())
    }
}

/// Builds a JSON response.
pub(crate) fn reply<T>(status: StatusCode, body: &T) -> CallAnswer
where
    T: Serialize,
{
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::with_body(status, BoxBody::new(Bytes::from(text)));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    CallAnswer::Reply(response)
}

/// Builds a JSON response with status 200.
pub(crate) fn reply_ok<T>(body: &T) -> CallAnswer
where
    T: Serialize,
{
    reply(StatusCode::OK, body)
}

/// Builds an error response in the OpenAI format that model clients parse.
pub(crate) fn refuse(status: StatusCode, message: &str) -> CallAnswer {
    let kind = match status.is_client_error() {
        true => "invalid_request_error",
        false => "server_error",
    };
    let body: Value = json!({"error": {"message": message, "type": kind, "code": status.as_u16()}});
    reply(status, &body)
}

/// Builds a 404 response for an unknown path.
pub(crate) fn refuse_unknown() -> CallAnswer {
    refuse(StatusCode::NOT_FOUND, "no such path or resource")
}

fn read_query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter(|pair| !pair.is_empty());
    let split = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    split
        .map(|(name, value)| (decode(name), decode(&value.replace('+', " "))))
        .collect()
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        match (first, escaped(tail)) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn escaped(tail: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
