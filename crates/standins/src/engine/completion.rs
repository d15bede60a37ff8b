//! Chat completions: from the call to the streamed answer.

use std::io;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{HeaderName, HeaderValue, CACHE_CONTROL, CONTENT_TYPE};
use actix_http::{Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::stream::{unfold, Stream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::yield_now;

use super::answer::PromptHash;
use super::batch::{BatchJob, JobEvent};
use super::cache::prompt_pieces;
use super::chat::{prompt_tokens, AnswerWriter, ChatRequest};
use super::history::{RequestRecord, RequestState};
use super::EngineService;
use crate::http::{refuse, reply_ok, CallAnswer, HttpCall};

/// The request whose answer comes where answers are crossed.
const CROSSED_ID: &str = "crossed";

/// The priority of a request that names none; 0 comes first, 9 last.
const DEFAULT_PRIORITY: u8 = 5;

impl EngineService {
    pub(super) async fn handle_chat(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        let request: ChatRequest = call.json()?;
        self.check_request(&request)?;
        let text = request.prompt_text();
        let (events, received) = unbounded_channel();
        let job = self.job(call, &request, &text, events);
        let prompt = job.prompt;
        let first = job.first;
        self.push(job);
        let id = match self.crosses_answer() {
            true => CROSSED_ID,
            false => call.header("x-request-id"),
        };
        let answered = match id {
            CROSSED_ID => CROSSED_ID,
            _ => &text,
        };
        let answer = AnswerStream {
            writer: AnswerWriter::new(id, &request, answered),
            first,
            cached_tokens: 0,
            received,
            ended: false,
        };
        let answer = match request.stream {
            true => answer.stream(),
            false => answer.collect().await?,
        };
        Ok(with_marks(answer, id, call.header("x-attempt"), prompt))
    }

    fn job(
        &self,
        call: &HttpCall,
        request: &ChatRequest,
        text: &str,
        events: UnboundedSender<JobEvent>,
    ) -> BatchJob {
        let end = request.answer_tokens();
        let resumed = call.header_number("x-resume-tokens").unwrap_or_default();
        BatchJob {
            serial: self.record(call),
            request_id: call.header("x-request-id").to_owned(),
            model: request.model.clone(),
            prompt: PromptHash::of(text),
            pieces: prompt_pieces(text),
            prompt_tokens: prompt_tokens(text),
            first: end.min(resumed),
            end,
            priority: call.header_number("x-priority").unwrap_or(DEFAULT_PRIORITY),
            crashes: self.is_poison(text),
            events,
        }
    }

    fn check_request(&self, request: &ChatRequest) -> Result<(), CallAnswer> {
        if self.orders.borrow().is_away() {
            return Err(refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "the role is being changed",
            ));
        }
        if !self.models.borrow().contains(&request.model) {
            return Err(refuse(StatusCode::NOT_FOUND, "the model is not loaded"));
        }
        let tokens = prompt_tokens(&request.prompt_text()) + request.answer_tokens();
        if tokens.next_multiple_of(super::cache::PIECE_TOKENS) > self.options.memory_tokens {
            return Err(refuse(
                StatusCode::BAD_REQUEST,
                "the request does not fit in memory",
            ));
        }
        Ok(())
    }

    fn crosses_answer(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let crosses = faults.cross_answers > 0;
        faults.cross_answers = faults.cross_answers.saturating_sub(1);
        crosses
    }

    fn is_poison(&self, text: &str) -> bool {
        let faults = self.faults.borrow();
        faults
            .crash_on
            .as_ref()
            .is_some_and(|poison| text.contains(poison))
    }

    fn record(&self, call: &HttpCall) -> u64 {
        self.requests.borrow_mut().begin(RequestRecord {
            request_id: call.header("x-request-id").to_owned(),
            attempt: call.header_number("x-attempt").unwrap_or_default(),
            headers: call.headers.clone(),
            path: call.path.clone(),
            state: RequestState::Running,
            answer_tokens: 0,
        })
    }
}

/// An answer on its way from the batch to the caller.
struct AnswerStream {
    writer: AnswerWriter,
    first: u64,
    cached_tokens: u64,
    received: UnboundedReceiver<JobEvent>,
    ended: bool,
}

impl AnswerStream {
    /// Answers with server-sent events.
    fn stream(self) -> CallAnswer {
        let body = BoxBody::new(BodyStream::new(self.chunks()));
        let mut response = Response::with_body(StatusCode::OK, body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        CallAnswer::Reply(response)
    }

    /// Waits for the whole answer.
    async fn collect(mut self) -> Result<CallAnswer, CallAnswer> {
        loop {
            match self.received.recv().await {
                Some(JobEvent::Prefilled(cached)) => self.cached_tokens = cached,
                Some(JobEvent::Token(_)) => {}
                Some(JobEvent::Done) => break,
                None => return Err(CallAnswer::Cut),
            }
        }
        let body = self.writer.whole(self.first, self.cached_tokens);
        Ok(reply_ok(&body))
    }

    fn chunks(self) -> impl Stream<Item = io::Result<Bytes>> {
        unfold(self, |mut answer| async move {
            if answer.ended {
                return None;
            }
            let chunk = answer.next_chunk().await;
            Some((chunk, answer))
        })
    }

    /// Waits for an event, and takes all that have come since the last chunk.
    async fn next_chunk(&mut self) -> io::Result<Bytes> {
        let mut chunk = BytesMut::new();
        while chunk.is_empty() {
            let Some(event) = self.received.recv().await else {
                // What has been made so far is flushed before the connection is cut.
                yield_now().await;
                self.ended = true;
                return Err(io::ErrorKind::ConnectionAborted.into());
            };
            self.write(event, &mut chunk);
        }
        while let Ok(event) = self.received.try_recv() {
            self.write(event, &mut chunk);
        }
        Ok(chunk.freeze())
    }

    fn write(&mut self, event: JobEvent, chunk: &mut BytesMut) {
        match event {
            JobEvent::Prefilled(cached) => {
                self.cached_tokens = cached;
                if self.first == 0 {
                    chunk.extend_from_slice(&self.writer.opening());
                }
            }
            JobEvent::Token(index) => chunk.extend_from_slice(&self.writer.part(index)),
            JobEvent::Done => {
                chunk.extend_from_slice(&self.writer.closing(self.cached_tokens));
                self.ended = true;
            }
        }
    }
}

/// Repeats the marks of the call, so that crossed answers show.
fn with_marks(mut answer: CallAnswer, id: &str, attempt: &str, prompt: PromptHash) -> CallAnswer {
    let CallAnswer::Reply(response) = &mut answer else {
        return answer;
    };
    let marks = [
        ("x-request-id", id.to_owned()),
        ("x-attempt", attempt.to_owned()),
        ("x-prompt-hash", prompt.to_string()),
    ];
    for (name, value) in marks.into_iter().filter(|(_, value)| !value.is_empty()) {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
    answer
}
