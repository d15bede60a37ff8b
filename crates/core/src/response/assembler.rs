//! The parts of an answer, checked and put in order.

use std::collections::BTreeSet;

use super::event::{event_end, event_kind, EventKind};
use super::plan::ResponseProgress;
use crate::code::{CallRefusal, ResultCode};
use crate::id::{AttemptNumber, RequestId};
use crate::unit::{ByteSize, TokenCount};

/// The largest answer that is held back until it is whole.
pub const RESPONSE_BUFFER_LIMIT: ByteSize = ByteSize(1_024 * 1_024);

/// The largest event of a token stream.
pub const MAX_EVENT_SIZE: ByteSize = ByteSize(1_024 * 1_024);

const HTTP_OK: u16 = 200;

/// How an answer is put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFormat {
    /// A stream of events with one token each, which can be resumed.
    TokenStream,
    /// Bytes, held back until the answer is whole or larger than `hold`.
    Bytes {
        /// The most bytes to hold back.
        buffer_limit: ByteSize,
    },
}

/// What the head of an attempt's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadDecision {
    /// It is the head to give to the caller, with the first bytes.
    Forward,
    /// The caller has an equal head already.
    Duplicate,
    /// The caller has another head: the attempt is of no use.
    Mismatch,
    /// It belongs to an earlier attempt and is dropped.
    Stale,
    /// It belongs to another request or to an attempt never made.
    Crossed(CallRefusal),
}

/// What a part of an answer means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartDecision {
    /// These bytes, perhaps none, go to the caller.
    Forward(Vec<u8>),
    /// It belongs to an earlier attempt and is dropped.
    Stale,
    /// It belongs to another request or to an attempt never made.
    Crossed(CallRefusal),
    /// Bytes before it are missing, or an event is too large: the attempt is broken.
    Broken,
}

/// What the end of an attempt's answer means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloseDecision {
    /// The answer is whole; these bytes were held back until now.
    Complete(Vec<u8>),
    /// It belongs to an earlier attempt and is dropped.
    Stale,
    /// It belongs to another request or to an attempt never made.
    Crossed(CallRefusal),
    /// Something is missing.
    Broken,
}

enum Place {
    Current,
    Stale,
    Crossed,
}

/// Puts the answer of one request together.
#[derive(Debug)]
pub struct ResponseAssembler {
    request: RequestId,
    asked: ResponseFormat,
    shape: ResponseFormat,
    attempt: AttemptNumber,
    /// How many bytes of this attempt's answer have come.
    received: u64,
    /// Bytes that are not forwarded yet: a partial event, or a held answer.
    held: Vec<u8>,
    /// How many of the held bytes hold no end of an event.
    searched: usize,
    status: Option<u16>,
    forwarded: bool,
    tokens: TokenCount,
    once: BTreeSet<EventKind>,
    ended: bool,
}

impl ResponseAssembler {
    /// An assembler for a request's answer, of which nothing has come.
    pub fn new(request: RequestId, shape: ResponseFormat) -> Self {
        Self {
            request,
            asked: shape,
            shape,
            attempt: AttemptNumber::default(),
            received: 0,
            held: Vec::new(),
            searched: 0,
            status: None,
            forwarded: false,
            tokens: TokenCount::ZERO,
            once: BTreeSet::new(),
            ended: false,
        }
    }

    /// Begins an attempt; what was held back of the one before is dropped.
    pub fn begin(&mut self, attempt: AttemptNumber) {
        self.attempt = attempt;
        self.received = 0;
        self.held.clear();
        self.searched = 0;
        if !self.forwarded {
            self.status = None;
            self.shape = self.asked;
        }
    }

    /// Returns how far the answer has come.
    pub fn progress(&self) -> ResponseProgress {
        let resumable = match self.shape {
            ResponseFormat::TokenStream => true,
            ResponseFormat::Bytes { .. } => !self.forwarded,
        };
        ResponseProgress {
            complete: self.ended,
            forwarded: self.forwarded,
            resumable,
            resume_tokens: self.tokens,
        }
    }

    /// Takes the head of an attempt's answer.
    pub fn head(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        status: u16,
    ) -> HeadDecision {
        match self.place(request, attempt) {
            Place::Stale => return HeadDecision::Stale,
            Place::Crossed => return HeadDecision::Crossed(crossed()),
            Place::Current => {}
        }
        if self.forwarded {
            return match self.status == Some(status) {
                true => HeadDecision::Duplicate,
                false => HeadDecision::Mismatch,
            };
        }
        // Errors come as one body, also where a token stream was asked for.
        if status != HTTP_OK && self.shape == ResponseFormat::TokenStream {
            self.shape = ResponseFormat::Bytes {
                buffer_limit: RESPONSE_BUFFER_LIMIT,
            };
        }
        self.status = Some(status);
        HeadDecision::Forward
    }

    /// Takes a part of an attempt's answer, whose first byte is at `offset`.
    pub fn part(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        offset: u64,
        data: &[u8],
    ) -> PartDecision {
        match self.place(request, attempt) {
            Place::Stale => return PartDecision::Stale,
            Place::Crossed => return PartDecision::Crossed(crossed()),
            Place::Current => {}
        }
        if offset > self.received {
            return PartDecision::Broken;
        }
        let known = (self.received - offset).min(data.len() as u64);
        let fresh = &data[known as usize..];
        self.received += fresh.len() as u64;
        self.held.extend_from_slice(fresh);
        match self.shape {
            ResponseFormat::TokenStream => self.take_events(),
            ResponseFormat::Bytes { buffer_limit: hold } => self.take_bytes(hold),
        }
    }

    /// Takes the end of an attempt's answer, which says how long it is.
    pub fn close(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        length: u64,
    ) -> CloseDecision {
        match self.place(request, attempt) {
            Place::Stale => return CloseDecision::Stale,
            Place::Crossed => return CloseDecision::Crossed(crossed()),
            Place::Current => {}
        }
        let complete = match self.shape {
            ResponseFormat::TokenStream => self.ended && self.held.is_empty(),
            ResponseFormat::Bytes { .. } => true,
        };
        if self.received != length || !complete {
            return CloseDecision::Broken;
        }
        self.forwarded |= !self.held.is_empty();
        CloseDecision::Complete(std::mem::take(&mut self.held))
    }

    fn place(&self, request: &RequestId, attempt: AttemptNumber) -> Place {
        if *request != self.request || attempt > self.attempt {
            return Place::Crossed;
        }
        match attempt < self.attempt {
            true => Place::Stale,
            false => Place::Current,
        }
    }

    fn take_bytes(&mut self, hold: ByteSize) -> PartDecision {
        if !self.forwarded && self.held.len() as u64 <= hold.0 {
            return PartDecision::Forward(Vec::new());
        }
        self.forwarded |= !self.held.is_empty();
        PartDecision::Forward(std::mem::take(&mut self.held))
    }

    fn take_events(&mut self) -> PartDecision {
        let mut forward = Vec::new();
        let mut start = 0;
        let mut search = self.searched;
        while let Some(end) = event_end(&self.held, search) {
            if self.admit(event_kind(&self.held[start..end])) {
                forward.extend_from_slice(&self.held[start..end]);
            }
            start = end;
            search = end;
        }
        self.held.drain(..start);
        // The end of an event is a blank line, which may have come in part.
        self.searched = self.held.len().saturating_sub(2);
        if self.held.len() as u64 > MAX_EVENT_SIZE.0 {
            return PartDecision::Broken;
        }
        self.forwarded |= !forward.is_empty();
        PartDecision::Forward(forward)
    }

    /// Returns whether an event goes to the caller.
    fn admit(&mut self, kind: EventKind) -> bool {
        match kind {
            // Nothing may follow the end of the stream.
            _ if self.ended => false,
            EventKind::Token => {
                self.tokens += TokenCount(1);
                true
            }
            EventKind::Other => true,
            EventKind::Done => {
                self.ended = true;
                true
            }
            // A resumed attempt sends these once more.
            EventKind::Opening | EventKind::Finish | EventKind::Usage => self.once.insert(kind),
        }
    }
}

fn crossed() -> CallRefusal {
    CallRefusal::permanent(ResultCode::AnswerCrossed)
}
