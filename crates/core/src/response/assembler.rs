//! Checks the parts of a response and puts them in order.

use std::collections::BTreeSet;

use super::event::{classify_event, find_event_end, EventKind};
use super::plan::ResponseProgress;
use crate::code::{CallRefusal, ResultCode};
use crate::id::{AttemptNumber, RequestId};
use crate::unit::{ByteSize, TokenCount};

/// The largest response that is buffered until it is complete.
pub const RESPONSE_BUFFER_LIMIT: ByteSize = ByteSize(1_024 * 1_024);

/// The largest event of a token stream.
pub const MAX_EVENT_SIZE: ByteSize = ByteSize(1_024 * 1_024);

const HTTP_OK: u16 = 200;

/// The format of a response, which decides how it is assembled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFormat {
    /// A stream of server-sent events with one token each, which can be resumed.
    TokenStream,
    /// Opaque bytes, buffered until the response is complete or exceeds `buffer_limit`.
    Bytes {
        /// The maximum number of bytes to buffer.
        buffer_limit: ByteSize,
    },
}

/// What to do with the head of an attempt's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadDecision {
    /// Forward the head to the caller together with the first bytes of the body.
    Forward,
    /// Drop it: the caller has already received a head with the same status.
    Duplicate,
    /// End the attempt: the caller has already received another status.
    Mismatch,
    /// Drop it: it belongs to an earlier attempt.
    Stale,
    /// Refuse it: it belongs to another request or to an attempt that was never made.
    Crossed(CallRefusal),
}

/// What to do with a part of a response body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartDecision {
    /// Forward these bytes, possibly none, to the caller.
    Forward(Vec<u8>),
    /// Drop it: it belongs to an earlier attempt.
    Stale,
    /// Refuse it: it belongs to another request or to an attempt that was never made.
    Crossed(CallRefusal),
    /// End the attempt: earlier bytes are missing, or an event is too large.
    Broken,
}

/// What the end of an attempt's response means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloseDecision {
    /// The response is complete. These buffered bytes remain to be forwarded.
    Complete(Vec<u8>),
    /// Drop it: it belongs to an earlier attempt.
    Stale,
    /// Refuse it: it belongs to another request or to an attempt that was never made.
    Crossed(CallRefusal),
    /// The response is incomplete.
    Broken,
}

/// How a message relates to the current attempt.
enum AttemptMatch {
    Current,
    Stale,
    Crossed,
}

/// Assembles the response to one request from the responses of its attempts.
#[derive(Debug)]
pub struct ResponseAssembler {
    request: RequestId,
    requested_format: ResponseFormat,
    format: ResponseFormat,
    attempt: AttemptNumber,
    /// The number of body bytes received in this attempt.
    received: u64,
    /// Bytes that are not forwarded yet: a partial event or a buffered response.
    buffer: Vec<u8>,
    /// The number of buffered bytes that are known to contain no end of an event.
    scanned: usize,
    status: Option<u16>,
    forwarded: bool,
    forwarded_tokens: TokenCount,
    forwarded_once: BTreeSet<EventKind>,
    done: bool,
}

impl ResponseAssembler {
    /// Creates an assembler for the response to a request.
    pub fn new(request: RequestId, format: ResponseFormat) -> Self {
        Self {
            request,
            requested_format: format,
            format,
            attempt: AttemptNumber::default(),
            received: 0,
            buffer: Vec::new(),
            scanned: 0,
            status: None,
            forwarded: false,
            forwarded_tokens: TokenCount::ZERO,
            forwarded_once: BTreeSet::new(),
            done: false,
        }
    }

    /// Starts an attempt and discards what was buffered in the previous one.
    pub fn begin_attempt(&mut self, attempt: AttemptNumber) {
        self.attempt = attempt;
        self.received = 0;
        self.buffer.clear();
        self.scanned = 0;
        if !self.forwarded {
            self.status = None;
            self.format = self.requested_format;
        }
    }

    /// Returns how much of the response has been received and forwarded.
    pub fn progress(&self) -> ResponseProgress {
        let resumable = match self.format {
            ResponseFormat::TokenStream => true,
            ResponseFormat::Bytes { .. } => !self.forwarded,
        };
        ResponseProgress {
            complete: self.done,
            forwarded: self.forwarded,
            resumable,
            resume_tokens: self.forwarded_tokens,
        }
    }

    /// Handles the head of an attempt's response.
    pub fn handle_head(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        status: u16,
    ) -> HeadDecision {
        match self.match_attempt(request, attempt) {
            AttemptMatch::Stale => return HeadDecision::Stale,
            AttemptMatch::Crossed => return HeadDecision::Crossed(crossed_refusal()),
            AttemptMatch::Current => {}
        }
        if self.forwarded {
            return match self.status == Some(status) {
                true => HeadDecision::Duplicate,
                false => HeadDecision::Mismatch,
            };
        }
        // An error response is a single body even where a token stream was requested.
        if status != HTTP_OK && self.format == ResponseFormat::TokenStream {
            self.format = ResponseFormat::Bytes {
                buffer_limit: RESPONSE_BUFFER_LIMIT,
            };
        }
        self.status = Some(status);
        HeadDecision::Forward
    }

    /// Handles a part of an attempt's response body that starts at byte `offset`.
    pub fn handle_part(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        offset: u64,
        data: &[u8],
    ) -> PartDecision {
        match self.match_attempt(request, attempt) {
            AttemptMatch::Stale => return PartDecision::Stale,
            AttemptMatch::Crossed => return PartDecision::Crossed(crossed_refusal()),
            AttemptMatch::Current => {}
        }
        if offset > self.received {
            return PartDecision::Broken;
        }
        let duplicate_len = (self.received - offset).min(data.len() as u64);
        let fresh = &data[duplicate_len as usize..];
        self.received += fresh.len() as u64;
        self.buffer.extend_from_slice(fresh);
        match self.format {
            ResponseFormat::TokenStream => self.forward_events(),
            ResponseFormat::Bytes { buffer_limit } => self.forward_bytes(buffer_limit),
        }
    }

    /// Handles the end of an attempt's response, whose body is `length` bytes long.
    pub fn close(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        length: u64,
    ) -> CloseDecision {
        match self.match_attempt(request, attempt) {
            AttemptMatch::Stale => return CloseDecision::Stale,
            AttemptMatch::Crossed => return CloseDecision::Crossed(crossed_refusal()),
            AttemptMatch::Current => {}
        }
        let complete = match self.format {
            ResponseFormat::TokenStream => self.done && self.buffer.is_empty(),
            ResponseFormat::Bytes { .. } => true,
        };
        if self.received != length || !complete {
            return CloseDecision::Broken;
        }
        self.forwarded |= !self.buffer.is_empty();
        CloseDecision::Complete(std::mem::take(&mut self.buffer))
    }

    fn match_attempt(&self, request: &RequestId, attempt: AttemptNumber) -> AttemptMatch {
        if *request != self.request || attempt > self.attempt {
            return AttemptMatch::Crossed;
        }
        match attempt < self.attempt {
            true => AttemptMatch::Stale,
            false => AttemptMatch::Current,
        }
    }

    fn forward_bytes(&mut self, buffer_limit: ByteSize) -> PartDecision {
        if !self.forwarded && self.buffer.len() as u64 <= buffer_limit.0 {
            return PartDecision::Forward(Vec::new());
        }
        self.forwarded |= !self.buffer.is_empty();
        PartDecision::Forward(std::mem::take(&mut self.buffer))
    }

    fn forward_events(&mut self) -> PartDecision {
        let mut forward = Vec::new();
        let mut start = 0;
        let mut scan_from = self.scanned;
        while let Some(end) = find_event_end(&self.buffer, scan_from) {
            if self.should_forward(classify_event(&self.buffer[start..end])) {
                forward.extend_from_slice(&self.buffer[start..end]);
            }
            start = end;
            scan_from = end;
        }
        self.buffer.drain(..start);
        // An event ends with a blank line, of which a part may have been received.
        self.scanned = self.buffer.len().saturating_sub(2);
        if self.buffer.len() as u64 > MAX_EVENT_SIZE.0 {
            return PartDecision::Broken;
        }
        self.forwarded |= !forward.is_empty();
        PartDecision::Forward(forward)
    }

    /// Returns whether to forward an event to the caller.
    fn should_forward(&mut self, kind: EventKind) -> bool {
        match kind {
            // Nothing may follow the end of the stream.
            _ if self.done => false,
            EventKind::Token => {
                self.forwarded_tokens += TokenCount(1);
                true
            }
            EventKind::Other => true,
            EventKind::Done => {
                self.done = true;
                true
            }
            // A resumed attempt sends these again.
            EventKind::Role | EventKind::Finish | EventKind::Usage => {
                self.forwarded_once.insert(kind)
            }
        }
    }
}

fn crossed_refusal() -> CallRefusal {
    CallRefusal::permanent(ResultCode::AnswerCrossed)
}
