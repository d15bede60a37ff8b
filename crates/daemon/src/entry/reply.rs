//! What goes back to the caller.

use actix_http::body::{BodySize, BodyStream, BoxBody, MessageBody};
use actix_http::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::unit::{ByteSize, TokenCount};
use applefold_wire::dispatch::{HeadMessage, HeaderPair};
use bytes::Bytes;
use eyre::{bail, eyre, Result};
use futures_util::stream::poll_fn;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use super::answer::EventRelay;
use super::attempt::{AnswerPiece, OffsetCheck};
use crate::drain::FlightGuard;

const OK: u16 = 200;
const FIRST_SERVER_ERROR: u16 = 500;
const EVENT_STREAM: &str = "text/event-stream";
const CODE_HEADER: &str = "x-applefold-code";
const RUN_STATE_HEADER: &str = "x-applefold-run-state";
const REQUEST_HEADER: &str = "x-request-id";
const EVENT_LIMIT: usize = 64;

/// The error that breaks a body off where the caller must not take it for whole.
#[derive(Debug)]
pub(crate) struct BodyBroken;

impl std::fmt::Display for BodyBroken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", ResultCode::AnswerBroken.meaning())
    }
}

impl std::error::Error for BodyBroken {}

/// What a caller is answered.
pub(crate) enum ReplyStart {
    /// A whole answer.
    Whole { head: HeadMessage, body: Vec<u8> },
    /// A stream of events that has begun.
    Events {
        head: HeadMessage,
        body: mpsc::Receiver<Result<Bytes, BodyBroken>>,
    },
    /// A refusal.
    Refused(CallRefusal),
}

/// Gathers an answer and hands it to the caller's connection.
pub(crate) struct ReplyWriter {
    start: Option<oneshot::Sender<ReplyStart>>,
    events: Option<mpsc::Sender<Result<Bytes, BodyBroken>>>,
    limit: ByteSize,
    stream: bool,
    head: Option<HeadMessage>,
    buffer: Vec<u8>,
    check: OffsetCheck,
    relay: EventRelay,
}

impl ReplyWriter {
    pub(crate) fn new(start: oneshot::Sender<ReplyStart>, stream: bool, limit: ByteSize) -> Self {
        Self {
            start: Some(start),
            events: None,
            limit,
            stream,
            head: None,
            buffer: Vec::new(),
            check: OffsetCheck::default(),
            relay: EventRelay::default(),
        }
    }

    /// Forgets what a failed attempt left and the caller has not seen.
    pub(crate) fn begin_attempt(&mut self) {
        self.head = None;
        self.buffer.clear();
        self.check = OffsetCheck::default();
        self.relay.begin_attempt();
    }

    /// Returns whether the caller has part of the answer.
    pub(crate) fn has_begun(&self) -> bool {
        self.events.is_some()
    }

    /// Returns how much of the answer the caller has.
    pub(crate) fn tokens(&self) -> TokenCount {
        self.relay.tokens()
    }

    /// Returns whether the attempt's answer says that the backend server failed.
    pub(crate) fn head_failed(&self) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| head.status >= FIRST_SERVER_ERROR)
    }

    /// Returns when the caller has left.
    pub(crate) async fn wait_left(&mut self) {
        match (&mut self.start, &self.events) {
            (Some(start), _) => start.closed().await,
            (None, Some(events)) => events.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Takes a piece of the answer; an error ends the attempt.
    pub(crate) async fn take(&mut self, piece: AnswerPiece) -> Result<()> {
        match piece {
            AnswerPiece::Head(head) => {
                self.head = Some(head);
                Ok(())
            }
            AnswerPiece::Part(part) => {
                self.check.feed(&part)?;
                if self.relays_events() {
                    return self.pass_events(&part.data).await;
                }
                self.buffer.extend_from_slice(&part.data);
                if self.buffer.len() as u64 > self.limit.0 {
                    bail!("{} the answer is too large", ResultCode::AnswerBroken);
                }
                Ok(())
            }
        }
    }

    fn relays_events(&self) -> bool {
        let head = self.head.as_ref();
        self.stream && head.is_some_and(|head| head.status == OK && is_event_stream(head))
    }

    async fn pass_events(&mut self, data: &[u8]) -> Result<()> {
        let events = self.relay.feed(data);
        let events = events.map_err(|_| eyre!("an event of the answer is too large"))?;
        for event in events {
            self.pass_event(Ok(event)).await?;
        }
        Ok(())
    }

    async fn pass_event(&mut self, event: Result<Bytes, BodyBroken>) -> Result<()> {
        if let (Some(start), Some(head)) = (self.start.take(), &self.head) {
            let (sender, body) = mpsc::channel(EVENT_LIMIT);
            let head = head.clone();
            let started = start.send(ReplyStart::Events { head, body });
            started.map_err(|_| eyre!("the caller has left"))?;
            self.events = Some(sender);
        }
        let Some(events) = &self.events else {
            return Ok(());
        };
        events
            .send(event)
            .await
            .map_err(|_| eyre!("the caller has left"))
    }

    /// Ends the answer after an attempt that brought it whole, with a body of `size`.
    pub(crate) async fn finish(&mut self, size: ByteSize) -> Result<()> {
        if self.check.seen() != size {
            bail!(
                "{} the end of the answer is missing",
                ResultCode::AnswerBroken
            );
        }
        if self.relays_events() {
            let last = self.relay.finish();
            let last = last.ok_or_else(|| eyre!("the stream has no closing event"))?;
            self.pass_event(Ok(last)).await?;
            self.events = None;
            return Ok(());
        }
        let head = self
            .head
            .take()
            .ok_or_else(|| eyre!("the answer has no head"))?;
        let body = std::mem::take(&mut self.buffer);
        self.send_start(ReplyStart::Whole { head, body });
        Ok(())
    }

    /// Answers with a refusal, or breaks off an answer that has begun.
    pub(crate) async fn refuse(&mut self, refusal: CallRefusal) {
        if self.start.is_some() {
            self.send_start(ReplyStart::Refused(refusal));
            return;
        }
        let body = error_body(refusal.code);
        let event = format!("data: {body}\n\n");
        let _ = self.pass_event(Ok(event.into())).await;
        let _ = self.pass_event(Err(BodyBroken)).await;
        self.events = None;
    }

    fn send_start(&mut self, reply: ReplyStart) {
        if let Some(start) = self.start.take() {
            let _ = start.send(reply);
        }
    }
}

fn is_event_stream(head: &HeadMessage) -> bool {
    let mut headers = head.headers.iter();
    headers.any(|pair| pair.name == "content-type" && pair.value.starts_with(EVENT_STREAM))
}

fn error_body(code: ResultCode) -> serde_json::Value {
    json!({"error": {
        "code": code.number(),
        "message": code.meaning(),
        "run_state": code.run_state().as_str(),
        "type": code.name(),
    }})
}

/// Holds the request in flight until its body has left.
struct GuardedBody {
    body: BoxBody,
    _guard: FlightGuard,
}

impl MessageBody for GuardedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Bytes, Self::Error>>> {
        std::pin::Pin::new(&mut self.body).poll_next(context)
    }
}

/// What every answer tells besides its content.
pub(crate) struct ReplyNote {
    pub(crate) request: SmolStr,
    pub(crate) closing: bool,
}

/// Makes the HTTP response of an answer.
pub(crate) fn respond(start: ReplyStart, note: ReplyNote, guard: FlightGuard) -> Response<BoxBody> {
    let response = match start {
        ReplyStart::Whole { head, body } => with_head(&head, BoxBody::new(body)),
        ReplyStart::Events { head, mut body } => {
            let stream = poll_fn(move |context| body.poll_recv(context));
            with_head(&head, BoxBody::new(BodyStream::new(stream)))
        }
        ReplyStart::Refused(refusal) => refusal_response(refusal),
    };
    let mut response = response.map_body(|_, body| {
        BoxBody::new(GuardedBody {
            body,
            _guard: guard,
        })
    });
    put_header(&mut response, REQUEST_HEADER, &note.request);
    if note.closing {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn with_head(head: &HeadMessage, body: BoxBody) -> Response<BoxBody> {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(status).set_body(body);
    for HeaderPair { name, value } in &head.headers {
        put_header(&mut response, name, value);
    }
    response
}

/// Makes the HTTP response of a refusal.
pub(crate) fn refusal_response(refusal: CallRefusal) -> Response<BoxBody> {
    let code = refusal.code;
    let status = StatusCode::from_u16(code.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = BoxBody::new(error_body(code).to_string());
    let mut response = Response::new(status).set_body(body);
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    put_header(&mut response, CODE_HEADER, &code.number().to_string());
    put_header(&mut response, RUN_STATE_HEADER, code.run_state().as_str());
    if let Some(span) = refusal.retry_after {
        let seconds = HeaderValue::from(span.as_secs_ceil().max(1));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn put_header(response: &mut Response<BoxBody>, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    let value = HeaderValue::from_str(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        response.headers_mut().insert(name, value);
    }
}
