//! The prompt of a request, split into parts for prefix caching.

use smol_str::SmolStr;

use crate::unit::TokenCount;

/// A part of a prompt. Prompts of other requests may start with the same parts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PromptPart {
    /// A name for the part's content; equal names mean equal content.
    pub name: SmolStr,
    /// The length of the part.
    pub tokens: TokenCount,
}

/// The size and the parts of a request's prompt, and the size of its completion.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The name of the requested model.
    pub model: SmolStr,
    /// The length of the prompt.
    pub prompt_tokens: TokenCount,
    /// The length limit of the completion.
    pub answer_tokens: TokenCount,
    /// The parts at the start of the prompt, in order. The last one belongs to this request alone.
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

    /// Returns the key that routes requests with the same prefix to the same backend server: the
    /// name of the last shared part, or of the only part.
    pub fn affinity_key(&self) -> Option<&SmolStr> {
        let shared = self.shared().last();
        shared.or(self.parts.last()).map(|part| &part.name)
    }
}
