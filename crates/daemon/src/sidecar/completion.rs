//! Detects truncated response bodies.
//!
//! The client library ends a chunked body in the same way whether its last chunk arrived or the
//! connection broke, so truncation has to be detected from the body itself, see
//! [docs/design/answers.md](../../../../docs/design/answers.md).

use applefold_core::unit::ByteSize;

/// The event that ends a complete event stream.
const LAST_EVENT: &[u8] = b"data: [DONE]";
/// How much of the end of an event stream is kept to find the last event.
const TAIL_BYTES: usize = 32;

/// How a complete body is recognized.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CompletionRule {
    /// By the last event of an event stream.
    Events { tail: Vec<u8> },
    /// By the `content-length` header.
    Sized { size: ByteSize },
    /// By being a valid JSON document.
    Json { body: Vec<u8> },
    /// Not at all, since the response has neither a length nor a known format.
    Unverifiable,
}

/// Observes a body as it is received and decides at its end whether it is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompletionCheck {
    rule: CompletionRule,
    received: ByteSize,
}

impl CompletionCheck {
    pub(crate) fn events() -> Self {
        Self::by(CompletionRule::Events { tail: Vec::new() })
    }

    pub(crate) fn sized(size: ByteSize) -> Self {
        Self::by(CompletionRule::Sized { size })
    }

    pub(crate) fn json() -> Self {
        Self::by(CompletionRule::Json { body: Vec::new() })
    }

    pub(crate) fn unverifiable() -> Self {
        Self::by(CompletionRule::Unverifiable)
    }

    fn by(rule: CompletionRule) -> Self {
        let received = ByteSize::ZERO;
        Self { rule, received }
    }

    /// Records the next chunk of the body.
    pub(crate) fn feed(&mut self, chunk: &[u8]) {
        self.received += ByteSize(chunk.len() as u64);
        match &mut self.rule {
            CompletionRule::Events { tail } => {
                tail.extend_from_slice(chunk);
                let excess = tail.len().saturating_sub(TAIL_BYTES);
                tail.drain(..excess);
            }
            CompletionRule::Json { body } => body.extend_from_slice(chunk),
            CompletionRule::Sized { .. } | CompletionRule::Unverifiable => {}
        }
    }

    /// Returns the number of bytes received.
    pub(crate) fn received(&self) -> ByteSize {
        self.received
    }

    /// Returns whether the bytes received are the complete body.
    pub(crate) fn is_complete(&self) -> bool {
        match &self.rule {
            CompletionRule::Events { tail } => tail.trim_ascii_end().ends_with(LAST_EVENT),
            CompletionRule::Sized { size } => self.received == *size,
            CompletionRule::Json { body } => {
                serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
            }
            CompletionRule::Unverifiable => false,
        }
    }
}
