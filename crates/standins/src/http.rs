//! Calls as the stand-ins see them, and the answers they give.

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

/// The largest body that is read.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A call that has come in whole.
pub(crate) struct HttpCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: BTreeMap<String, String>,
    pub(crate) headers: BTreeMap<SmolStr, String>,
    pub(crate) body: Bytes,
    pub(crate) peer: SocketAddr,
}

impl HttpCall {
    /// Reads a call to its end.
    pub(crate) async fn read(mut request: Request, peer: SocketAddr) -> Result<Self, CallAnswer> {
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| CallAnswer::Cut)?;
            if body.len() + chunk.len() > MAX_BODY_BYTES {
                return Err(refuse(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "the body is too large",
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

    /// Returns whether the call only reads.
    pub(crate) fn is_read(&self) -> bool {
        matches!(self.method, Method::GET | Method::HEAD)
    }

    /// Splits the path into its first segment and the rest.
    pub(crate) fn route(&self) -> (&str, &str) {
        let path = self.path.trim_start_matches('/');
        path.split_once('/').unwrap_or((path, ""))
    }

    /// Returns a header's text, or an empty one.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Reads a header that holds a number.
    pub(crate) fn header_number<T>(&self, name: &str) -> Option<T>
    where
        T: FromStr,
    {
        self.header(name).parse().ok()
    }

    /// Returns a query parameter's text, or an empty one.
    pub(crate) fn param(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    /// Reads a query parameter that holds a number.
    pub(crate) fn param_number<T>(&self, name: &str) -> Option<T>
    where
        T: FromStr,
    {
        self.param(name).parse().ok()
    }

    /// Reads the body as JSON, or says what is wrong with it.
    pub(crate) fn json<T>(&self) -> Result<T, CallAnswer>
    where
        T: DeserializeOwned,
    {
        let value = serde_json::from_slice(&self.body);
        value.map_err(|error| refuse(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// What becomes of a call.
pub(crate) enum CallAnswer {
    /// The caller is answered.
    Reply(Response<BoxBody>),
    /// The connection is dropped without an answer.
    Cut,
}

impl CallAnswer {
    /// Returns whether the call was carried out.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self, Self::Reply(response) if response.status().is_success())
    }
}

/// Answers with JSON.
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

/// Answers 200 with JSON.
pub(crate) fn reply_ok<T>(body: &T) -> CallAnswer
where
    T: Serialize,
{
    reply(StatusCode::OK, body)
}

/// Answers with an error in the shape that model clients know.
pub(crate) fn refuse(status: StatusCode, message: &str) -> CallAnswer {
    let kind = match status.is_client_error() {
        true => "invalid_request_error",
        false => "server_error",
    };
    let body: Value = json!({"error": {"message": message, "type": kind, "code": status.as_u16()}});
    reply(status, &body)
}

/// Answers 404.
pub(crate) fn refuse_unknown() -> CallAnswer {
    refuse(StatusCode::NOT_FOUND, "there is nothing here")
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
