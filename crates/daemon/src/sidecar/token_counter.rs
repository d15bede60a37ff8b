//! Counts the tokens of a response as it is forwarded.

use applefold_core::unit::TokenCount;
use serde::Deserialize;

const DATA_PREFIX: &[u8] = b"data: ";
/// The maximum length of a line. The parts that exceed it are skipped, since such a line is not an
/// event that carries tokens.
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

/// The tokens that a response has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TokenUsage {
    /// Tokens of the prompt, if the backend server reported them.
    pub(crate) prompt: Option<TokenCount>,
    /// Generated tokens.
    pub(crate) answer: TokenCount,
}

/// Parses the response of a model engine line by line.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenCounter {
    line: Vec<u8>,
    usage: TokenUsage,
}

impl TokenCounter {
    /// Parses the next chunk of the response.
    pub(crate) fn feed(&mut self, chunk: &[u8]) {
        for line in chunk.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + line.len() <= MAX_LINE_BYTES {
                self.line.extend_from_slice(line);
            }
            if line.ends_with(b"\n") {
                self.count_line();
                self.line.clear();
            }
        }
    }

    /// Returns the tokens counted so far.
    pub(crate) fn usage(&self) -> TokenUsage {
        self.usage
    }

    /// Counts the last line, which may have no line end.
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
            self.usage.prompt = Some(TokenCount(usage.prompt_tokens));
            // The total of a resumed stream may include tokens that an earlier attempt delivered.
            if self.usage.answer == TokenCount::ZERO {
                self.usage.answer = TokenCount(usage.completion_tokens);
            }
            return;
        }
        let deltas = event
            .choices
            .iter()
            .filter_map(|choice| choice.delta.as_ref());
        let texts = deltas.filter_map(|delta| delta.content.as_ref());
        let tokens = texts.filter(|text| !text.is_empty()).count();
        self.usage.answer += TokenCount(tokens as u64);
    }
}
