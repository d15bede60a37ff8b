//! The HTTP response to the caller.

use actix_http::body::{BodySize, BodyStream, BoxBody, MessageBody};
use actix_http::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use applefold_core::claim::StoredResponse;
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::drain::WorkGuard;
use applefold_core::id::AttemptNumber;
use applefold_core::response::{
    CloseDecision, HeadDecision, PartDecision, ResponseAssembler, ResponseProgress,
};
use applefold_core::unit::{ByteSize, TimePoint};
use applefold_wire::dispatch::{AttemptId, HeadMessage, HeaderPair, PartMessage};
use bytes::Bytes;
use eyre::{bail, eyre, Result};
use futures_util::stream::poll_fn;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use super::attempt::ResponseMessage;
use crate::http::ServingGuard;

const EVENT_STREAM: &str = "text/event-stream";
const CODE_HEADER: &str = "x-applefold-code";
const RUN_STATE_HEADER: &str = "x-applefold-run-state";
const REQUEST_HEADER: &str = "x-request-id";
/// Marks a replayed response of an earlier request with the same idempotency key.
const REPEAT_HEADER: &str = "x-applefold-repeat";
/// The parts of a streamed response that are queued for a slow caller.
const EVENT_QUEUE_LEN: usize = 64;

/// The error that aborts a response body, so that the caller does not take it for complete.
#[derive(Debug)]
pub(crate) struct TruncatedBody;

impl std::fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", ResultCode::AnswerBroken.meaning())
    }
}

impl std::error::Error for TruncatedBody {}

/// The response to a caller, or the start of a streamed one.
pub(crate) enum ResponseStart {
    /// A complete response.
    Complete { head: HeadMessage, body: Vec<u8> },
    /// A streamed response that has begun.
    Events {
        head: HeadMessage,
        body: mpsc::Receiver<Result<Bytes, TruncatedBody>>,
    },
    /// The stored response of an earlier request with the same idempotency key.
    Replayed(StoredResponse, Vec<HeaderPair>),
    /// A refusal.
    Refused(CallRefusal),
}

/// Assembles a response from the messages of its attempts and passes it to the caller's connection.
pub(crate) struct ResponseWriter {
    /// Sends the start of the response; `None` once it is sent.
    start: Option<oneshot::Sender<ResponseStart>>,
    /// Sends the parts of a streamed response that has begun.
    events: Option<mpsc::Sender<Result<Bytes, TruncatedBody>>>,
    assembler: ResponseAssembler,
    /// The head of the last attempt's response.
    head: Option<HeadMessage>,
    /// The bytes that the last attempt buffered until its end.
    buffered: Vec<u8>,
    /// When the first byte of the body came.
    first_byte_at: Option<TimePoint>,
    /// Whether the request is cancelled when its caller disconnects.
    cancel_on_disconnect: bool,
}

impl ResponseWriter {
    pub(crate) fn new(
        start: oneshot::Sender<ResponseStart>,
        assembler: ResponseAssembler,
        cancel_on_disconnect: bool,
    ) -> Self {
        Self {
            start: Some(start),
            events: None,
            assembler,
            head: None,
            buffered: Vec::new(),
            first_byte_at: None,
            cancel_on_disconnect,
        }
    }

    /// Begins an attempt. What the caller has not received of the previous one is discarded.
    pub(crate) fn begin_attempt(&mut self, attempt: AttemptNumber) {
        self.assembler.begin_attempt(attempt);
        self.buffered.clear();
        if self.events.is_none() {
            self.head = None;
            self.first_byte_at = None;
        }
    }

    /// Returns how much of the response the caller has.
    pub(crate) fn progress(&self) -> ResponseProgress {
        self.assembler.progress()
    }

    /// Returns when the first byte of the body came.
    pub(crate) fn first_byte_at(&self) -> Option<TimePoint> {
        self.first_byte_at
    }

    /// Returns the HTTP status of the response, or 0 before its head has come.
    pub(crate) fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, |head| head.status)
    }

    /// Completes when the caller has disconnected. It never completes for a call that must not be
    /// repeated, which runs on so that its outcome becomes known.
    pub(crate) async fn wait_disconnect(&mut self) {
        if !self.cancel_on_disconnect {
            return std::future::pending().await;
        }
        match (&mut self.start, &self.events) {
            (Some(start), _) => start.closed().await,
            (None, Some(events)) => events.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Handles a response message.
    ///
    /// # Errors
    ///
    /// Fails if the attempt has to end: the message does not fit the response so far, or the caller
    /// has disconnected.
    pub(crate) async fn handle(&mut self, message: ResponseMessage, now: TimePoint) -> Result<()> {
        match message {
            ResponseMessage::Head(head) => self.handle_head(head),
            ResponseMessage::Part(part) => {
                self.first_byte_at.get_or_insert(now);
                self.handle_part(&part).await
            }
        }
    }

    fn handle_head(&mut self, head: HeadMessage) -> Result<()> {
        let AttemptId { request, attempt } = &head.id;
        match self.assembler.handle_head(request, *attempt, head.status) {
            HeadDecision::Forward => {
                self.head = Some(head);
                Ok(())
            }
            HeadDecision::Duplicate | HeadDecision::Stale => Ok(()),
            HeadDecision::Mismatch => bail!("the status differs from that of the earlier attempt"),
            HeadDecision::Crossed(refusal) => Err(crossed_response(refusal)),
        }
    }

    async fn handle_part(&mut self, part: &PartMessage) -> Result<()> {
        let AttemptId { request, attempt } = &part.id;
        match self
            .assembler
            .handle_part(request, *attempt, part.offset.0, &part.data)
        {
            PartDecision::Forward(bytes) if bytes.is_empty() => Ok(()),
            PartDecision::Forward(bytes) => self.send_bytes(Ok(bytes.into())).await,
            PartDecision::Stale => Ok(()),
            PartDecision::Crossed(refusal) => Err(crossed_response(refusal)),
            PartDecision::Broken => bail!("a part of the response is missing"),
        }
    }

    async fn send_bytes(&mut self, bytes: Result<Bytes, TruncatedBody>) -> Result<()> {
        if let (Some(start), Some(head)) = (self.start.take(), &self.head) {
            let (sender, body) = mpsc::channel(EVENT_QUEUE_LEN);
            let head = head.clone();
            let started = start.send(ResponseStart::Events { head, body });
            started.map_err(|_| eyre!("the caller has disconnected"))?;
            self.events = Some(sender);
        }
        let Some(events) = &self.events else {
            return Ok(());
        };
        events
            .send(bytes)
            .await
            .map_err(|_| eyre!("the caller has disconnected"))
    }

    /// Handles the end of an attempt whose response has `size` bytes; returns whether the response
    /// is complete.
    pub(crate) fn close(&mut self, id: &AttemptId, size: ByteSize) -> bool {
        match self.assembler.close(&id.request, id.attempt, size.0) {
            CloseDecision::Complete(buffered) => {
                self.buffered = buffered;
                true
            }
            CloseDecision::Stale | CloseDecision::Crossed(_) | CloseDecision::Broken => false,
        }
    }

    /// Sends the buffered rest of a complete response to the caller.
    pub(crate) async fn finish(&mut self) {
        let buffered = std::mem::take(&mut self.buffered);
        if self.events.is_some() {
            if !buffered.is_empty() {
                let _ = self.send_bytes(Ok(buffered.into())).await;
            }
            self.events = None;
            return;
        }
        let lost = CallRefusal::permanent(ResultCode::OutcomeUnknown);
        let start = match self.head.take() {
            Some(head) => ResponseStart::Complete {
                head,
                body: buffered,
            },
            None => ResponseStart::Refused(lost),
        };
        self.send_start(start);
    }

    /// Returns the buffered response, to be stored with a claim.
    pub(crate) fn buffered_response(&self) -> Option<StoredResponse> {
        let head = self.head.as_ref()?;
        Some(StoredResponse {
            status: head.status,
            body: self.buffered.clone(),
        })
    }

    /// Sends the stored response of an earlier request to the caller.
    pub(crate) fn replay(&mut self, answer: StoredResponse) {
        let kind = HeaderPair {
            name: SmolStr::new_static("content-type"),
            value: SmolStr::new_static("application/json"),
        };
        let repeat = HeaderPair {
            name: SmolStr::new_static(REPEAT_HEADER),
            value: SmolStr::new_static("true"),
        };
        self.send_start(ResponseStart::Replayed(answer, vec![kind, repeat]));
    }

    /// Responds with a refusal, or aborts a response that has begun.
    pub(crate) async fn refuse(&mut self, refusal: CallRefusal) {
        if self.start.is_some() {
            self.send_start(ResponseStart::Refused(refusal));
            return;
        }
        if self.head.as_ref().is_some_and(is_event_stream) {
            let event = format!("data: {}\n\n", error_body(refusal.code));
            let _ = self.send_bytes(Ok(event.into())).await;
        }
        let _ = self.send_bytes(Err(TruncatedBody)).await;
        self.events = None;
    }

    fn send_start(&mut self, reply: ResponseStart) {
        if let Some(start) = self.start.take() {
            let _ = start.send(reply);
        }
    }
}

fn crossed_response(refusal: CallRefusal) -> eyre::Report {
    log::error!(code = refusal.code.number(); "received a response for another request or attempt; ending this attempt");
    eyre!("{refusal}")
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

/// A response body that keeps its request in flight until it is sent.
struct GuardedBody {
    body: BoxBody,
    _guard: WorkGuard,
    _serving: Option<ServingGuard>,
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

/// Data for the headers that every response gets.
pub(crate) struct ResponseMeta {
    /// The request id.
    pub(crate) request: SmolStr,
    /// Whether the connection is closed after the response.
    pub(crate) closing: bool,
}

/// Builds the HTTP response. The guards live until its body is sent.
pub(crate) fn respond(
    start: ResponseStart,
    meta: ResponseMeta,
    guard: WorkGuard,
    serving: Option<ServingGuard>,
) -> Response<BoxBody> {
    let response = match start {
        ResponseStart::Complete { head, body } => {
            build_response(head.status, &head.headers, BoxBody::new(body))
        }
        ResponseStart::Replayed(answer, headers) => {
            build_response(answer.status, &headers, BoxBody::new(answer.body))
        }
        ResponseStart::Events { head, mut body } => {
            let stream = poll_fn(move |context| body.poll_recv(context));
            build_response(
                head.status,
                &head.headers,
                BoxBody::new(BodyStream::new(stream)),
            )
        }
        ResponseStart::Refused(refusal) => refusal_response(refusal),
    };
    let mut response = response.map_body(|_, body| {
        BoxBody::new(GuardedBody {
            body,
            _guard: guard,
            _serving: serving,
        })
    });
    put_header(&mut response, REQUEST_HEADER, &meta.request);
    if meta.closing {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn build_response(status: u16, headers: &[HeaderPair], body: BoxBody) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(status).set_body(body);
    for HeaderPair { name, value } in headers {
        put_header(&mut response, name, value);
    }
    response
}

/// Builds the HTTP response of a refusal.
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
