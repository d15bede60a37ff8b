//! The prompt of a request, as parts that other requests may share.

use smol_str::SmolStr;

use crate::unit::TokenCount;

/// A part of a prompt that other requests may begin with too.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PromptPart {
    /// Names the part's content.
    pub name: SmolStr,
    /// Its length.
    pub tokens: TokenCount,
}

/// What a request says of its prompt and answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The model that it asks for.
    pub model: SmolStr,
    /// The length of the prompt.
    pub prompt_tokens: TokenCount,
    /// The longest answer.
    pub answer_tokens: TokenCount,
    /// The parts at the start of the prompt, in order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the parts that other requests are likely to share.
    pub fn shared(&self) -> &[PromptPart] {
        match self.parts.len() {
            0 => &[],
            count => &self.parts[..count - 1],
        }
    }

    /// Returns the name by which requests with the same start find the same backend server.
    pub fn affinity_key(&self) -> Option<&SmolStr> {
        let shared = self.shared().last();
        shared.or(self.parts.last()).map(|part| &part.name)
    }
}
