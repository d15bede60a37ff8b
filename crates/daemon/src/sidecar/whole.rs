//! Whether the body of an answer came whole.
//!
//! The client library ends a chunked body in the same way whether its last
//! chunk came or the connection broke, so the body itself has to show it, see
//! [docs/design/answers.md](../../../../docs/design/answers.md).

use applefold_core::unit::ByteSize;

const LAST_EVENT: &[u8] = b"data: [DONE]";
const TAIL_BYTES: usize = 32;

/// How the end of a body is recognized.
#[derive(Clone, Debug, PartialEq, Eq)]
enum WholeRule {
    /// By the event that closes a stream of events.
    Events { tail: Vec<u8> },
    /// By its announced size.
    Sized { size: ByteSize },
    /// By being one JSON value.
    Json { body: Vec<u8> },
    /// Not at all: the backend server announced nothing that could be checked.
    Unproven,
}

/// Follows a body and says in the end whether it is whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WholeCheck {
    rule: WholeRule,
    seen: ByteSize,
}

impl WholeCheck {
    pub(crate) fn events() -> Self {
        Self::by(WholeRule::Events { tail: Vec::new() })
    }

    pub(crate) fn sized(size: ByteSize) -> Self {
        Self::by(WholeRule::Sized { size })
    }

    pub(crate) fn json() -> Self {
        Self::by(WholeRule::Json { body: Vec::new() })
    }

    pub(crate) fn unproven() -> Self {
        Self::by(WholeRule::Unproven)
    }

    fn by(rule: WholeRule) -> Self {
        let seen = ByteSize::ZERO;
        Self { rule, seen }
    }

    /// Takes in the next piece.
    pub(crate) fn feed(&mut self, piece: &[u8]) {
        self.seen += ByteSize(piece.len() as u64);
        match &mut self.rule {
            WholeRule::Events { tail } => {
                tail.extend_from_slice(piece);
                let excess = tail.len().saturating_sub(TAIL_BYTES);
                tail.drain(..excess);
            }
            WholeRule::Json { body } => body.extend_from_slice(piece),
            WholeRule::Sized { .. } | WholeRule::Unproven => {}
        }
    }

    /// Returns how many bytes have come.
    pub(crate) fn seen(&self) -> ByteSize {
        self.seen
    }

    /// Returns whether the bytes that came are the whole body.
    pub(crate) fn is_whole(&self) -> bool {
        match &self.rule {
            WholeRule::Events { tail } => tail.trim_ascii_end().ends_with(LAST_EVENT),
            WholeRule::Sized { size } => self.seen == *size,
            WholeRule::Json { body } => {
                serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
            }
            WholeRule::Unproven => false,
        }
    }
}
