//! Chat completions: from the call to the full or streamed response.

use std::io;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{HeaderName, HeaderValue, CACHE_CONTROL, CONTENT_TYPE};
use actix_http::{Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::stream::{unfold, Stream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::yield_now;

use super::batch::{BatchJob, JobEvent};
use super::cache::block_hashes;
use super::chat::{prompt_tokens, ChatRequest, CompletionWriter};
use super::generation::PromptHash;
use super::history::{RequestRecord, RequestState};
use super::EngineService;
use crate::http::{refuse, reply, reply_ok, CallAnswer, HttpCall};

/// Request id and prompt of the response that the fault `cross_answers` sends instead
/// of the right one.
const CROSSED_ID: &str = "crossed";

/// Priority of a request without one. 0 is served first, 9 last.
const DEFAULT_PRIORITY: u8 = 5;

impl EngineService {
    pub(super) async fn handle_chat(&self, call: &HttpCall) -> Result<CallAnswer, CallAnswer> {
        let request: ChatRequest = call.json()?;
        self.check_request(&request)?;
        let status = self.faults.borrow().answer_status;
        if let Some(status) = status.and_then(|status| StatusCode::from_u16(status).ok()) {
            let response = reply(status, &call.path);
            let (id, attempt) = (call.header("x-request-id"), call.header("x-attempt"));
            let prompt = PromptHash::of(&request.prompt_text());
            return Ok(with_identity_headers(response, id, attempt, prompt));
        }
        let text = request.prompt_text();
        let (events, job_events) = unbounded_channel();
        let job = self.job(call, &request, &text, events);
        let prompt = job.prompt;
        let start_index = job.start_index;
        self.push(job);
        let id = match self.take_crossed_answer() {
            true => CROSSED_ID,
            false => call.header("x-request-id"),
        };
        let prompt_text = match id {
            CROSSED_ID => CROSSED_ID,
            _ => &text,
        };
        let completion = CompletionStream {
            writer: CompletionWriter::new(id, &request, prompt_text),
            start_index,
            cached_tokens: 0,
            job_events,
            finished: false,
        };
        let response = match request.stream {
            true => completion.stream(),
            false => completion.collect().await?,
        };
        Ok(with_identity_headers(
            response,
            id,
            call.header("x-attempt"),
            prompt,
        ))
    }

    fn job(
        &self,
        call: &HttpCall,
        request: &ChatRequest,
        text: &str,
        events: UnboundedSender<JobEvent>,
    ) -> BatchJob {
        let end_index = request.completion_tokens();
        let resume_index = call.header_number("x-resume-tokens").unwrap_or_default();
        BatchJob {
            serial: self.record(call),
            request_id: call.header("x-request-id").to_owned(),
            model: request.model.clone(),
            prompt: PromptHash::of(text),
            blocks: block_hashes(text),
            prompt_tokens: prompt_tokens(text),
            start_index: end_index.min(resume_index),
            end_index,
            priority: call.header_number("x-priority").unwrap_or(DEFAULT_PRIORITY),
            crashes_engine: self.is_poison(text),
            events,
        }
    }

    fn check_request(&self, request: &ChatRequest) -> Result<(), CallAnswer> {
        if self.orders.borrow().is_changing_role() {
            return Err(refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "a role change is in progress",
            ));
        }
        if !self.models.borrow().contains(&request.model) {
            return Err(refuse(StatusCode::NOT_FOUND, "the model is not loaded"));
        }
        let tokens = prompt_tokens(&request.prompt_text()) + request.completion_tokens();
        if tokens.next_multiple_of(super::cache::BLOCK_TOKENS) > self.options.memory_tokens {
            return Err(refuse(
                StatusCode::BAD_REQUEST,
                "the request does not fit in memory",
            ));
        }
        Ok(())
    }

    fn take_crossed_answer(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let is_crossed = faults.cross_answers > 0;
        faults.cross_answers = faults.cross_answers.saturating_sub(1);
        is_crossed
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

/// A response that is written from the progress events of the batch.
struct CompletionStream {
    writer: CompletionWriter,
    start_index: u64,
    cached_tokens: u64,
    job_events: UnboundedReceiver<JobEvent>,
    finished: bool,
}

impl CompletionStream {
    /// Returns a response that streams server-sent events.
    fn stream(self) -> CallAnswer {
        let body = BoxBody::new(BodyStream::new(self.chunks()));
        let mut response = Response::with_body(StatusCode::OK, body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        CallAnswer::Reply(response)
    }

    /// Waits until the response is complete, and returns it as a whole.
    async fn collect(mut self) -> Result<CallAnswer, CallAnswer> {
        loop {
            match self.job_events.recv().await {
                Some(JobEvent::Prefilled(cached_tokens)) => self.cached_tokens = cached_tokens,
                Some(JobEvent::Token(_)) => {}
                Some(JobEvent::Done) => break,
                None => return Err(CallAnswer::Cut),
            }
        }
        let body = self
            .writer
            .full_response(self.start_index, self.cached_tokens);
        Ok(reply_ok(&body))
    }

    fn chunks(self) -> impl Stream<Item = io::Result<Bytes>> {
        unfold(self, |mut stream| async move {
            if stream.finished {
                return None;
            }
            let chunk = stream.next_chunk().await;
            Some((chunk, stream))
        })
    }

    /// Waits for an event, and writes all events that have arrived since the last chunk
    /// into one chunk.
    async fn next_chunk(&mut self) -> io::Result<Bytes> {
        let mut chunk = BytesMut::new();
        while chunk.is_empty() {
            let Some(event) = self.job_events.recv().await else {
                // Lets the connection flush the chunks written so far before it is aborted.
                yield_now().await;
                self.finished = true;
                return Err(io::ErrorKind::ConnectionAborted.into());
            };
            self.write(event, &mut chunk);
        }
        while let Ok(event) = self.job_events.try_recv() {
            self.write(event, &mut chunk);
        }
        Ok(chunk.freeze())
    }

    fn write(&mut self, event: JobEvent, chunk: &mut BytesMut) {
        match event {
            JobEvent::Prefilled(cached_tokens) => {
                self.cached_tokens = cached_tokens;
                if self.start_index == 0 {
                    chunk.extend_from_slice(&self.writer.first_chunk());
                }
            }
            JobEvent::Token(index) => chunk.extend_from_slice(&self.writer.token_chunk(index)),
            JobEvent::Done => {
                chunk.extend_from_slice(&self.writer.final_chunks(self.cached_tokens));
                self.finished = true;
            }
        }
    }
}

/// Adds headers that identify the request, so that a caller can detect the response of
/// another request.
fn with_identity_headers(
    mut answer: CallAnswer,
    id: &str,
    attempt: &str,
    prompt: PromptHash,
) -> CallAnswer {
    let CallAnswer::Reply(response) = &mut answer else {
        return answer;
    };
    let headers = [
        ("x-request-id", id.to_owned()),
        ("x-attempt", attempt.to_owned()),
        ("x-prompt-hash", prompt.to_string()),
    ];
    for (name, value) in headers.into_iter().filter(|(_, value)| !value.is_empty()) {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response
                .headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
    answer
}
