//! Counts the tokens of an answer as it passes.

use applefold_core::unit::TokenCount;
use serde::Deserialize;

const DATA_PREFIX: &[u8] = b"data: ";
/// A line longer than this is not an event that carries tokens.
const MAX_LINE_BYTES: usize = 256 * 1024;

#[derive(Deserialize)]
struct UsageBody {
    prompt_tokens: u64,
    completion_tokens: u64,
}

#[derive(Deserialize)]
struct DeltaBody {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Deserialize)]
struct ChoiceBody {
    #[serde(default)]
    delta: Option<DeltaBody>,
}

#[derive(Deserialize)]
struct EventBody {
    #[serde(default)]
    choices: Vec<ChoiceBody>,
    #[serde(default)]
    usage: Option<UsageBody>,
}

/// What an answer has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AnswerUse {
    /// Tokens of the prompt, where the backend server told.
    pub(crate) prompt: Option<TokenCount>,
    /// Tokens of the answer.
    pub(crate) answer: TokenCount,
}

/// Reads a model's answer line by line.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenTally {
    line: Vec<u8>,
    used: AnswerUse,
}

impl TokenTally {
    /// Takes in the next piece of a stream of events.
    pub(crate) fn feed(&mut self, piece: &[u8]) {
        for line in piece.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + line.len() <= MAX_LINE_BYTES {
                self.line.extend_from_slice(line);
            }
            if line.ends_with(b"\n") {
                self.count_line();
                self.line.clear();
            }
        }
    }

    /// Returns what has been used so far.
    pub(crate) fn used(&self) -> AnswerUse {
        self.used
    }

    /// Counts what is left without an end of line.
    pub(crate) fn close(&mut self) {
        self.count_line();
        self.line.clear();
    }

    fn count_line(&mut self) {
        let line = self.line.trim_ascii();
        let body = line.strip_prefix(DATA_PREFIX).unwrap_or(line);
        let Ok(event) = serde_json::from_slice::<EventBody>(body) else {
            return;
        };
        if let Some(usage) = event.usage {
            self.used.prompt = Some(TokenCount(usage.prompt_tokens));
            // A resumed stream may tell of tokens that an earlier attempt brought.
            if self.used.answer == TokenCount::ZERO {
                self.used.answer = TokenCount(usage.completion_tokens);
            }
            return;
        }
        let deltas = event
            .choices
            .iter()
            .filter_map(|choice| choice.delta.as_ref());
        let texts = deltas.filter_map(|delta| delta.content.as_ref());
        let tokens = texts.filter(|text| !text.is_empty()).count();
        self.used.answer += TokenCount(tokens as u64);
    }
}
