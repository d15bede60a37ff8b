//! Parses the fields of chat requests that entries need. The body itself is forwarded unchanged.

use std::fmt;

use applefold_core::id::ModelId;
use applefold_core::unit::TokenCount;
use serde::de::{Error, IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// The average number of bytes in a token, by estimate.
const BYTES_PER_TOKEN: u64 = 4;
/// The expected decode length of requests that set no limit.
const DEFAULT_ANSWER_TOKENS: TokenCount = TokenCount(16);

/// The fields of a chat request that decide its routing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChatFields {
    /// The requested model.
    pub(crate) model: ModelId,
    /// Whether the response is streamed as events.
    pub(crate) stream: bool,
    /// The limit of generated tokens, or [`DEFAULT_ANSWER_TOKENS`].
    pub(crate) answer_tokens: TokenCount,
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = ChatFields;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chat request with a model and messages")
    }

    fn visit_map<A>(self, mut map: A) -> Result<ChatFields, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut model: Option<ModelId> = None;
        let mut stream: Option<bool> = None;
        let mut answer: Option<u64> = None;
        let mut messages = false;
        while let Some(field) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            match &*field {
                "model" => model = Some(map.next_value()?),
                "stream" => stream = map.next_value()?,
                "max_tokens" | "max_completion_tokens" => answer = map.next_value()?,
                "messages" => {
                    let _: Vec<IgnoredAny> = map.next_value()?;
                    messages = true;
                }
                _ => {
                    let _: IgnoredAny = map.next_value()?;
                }
            }
        }
        if !messages {
            return Err(A::Error::missing_field("messages"));
        }
        Ok(ChatFields {
            model: model.ok_or_else(|| A::Error::missing_field("model"))?,
            stream: stream.unwrap_or(false),
            answer_tokens: answer.map_or(DEFAULT_ANSWER_TOKENS, TokenCount),
        })
    }
}

impl<'de> Deserialize<'de> for ChatFields {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

/// Estimates the prompt length from the size of the request body.
pub(crate) fn estimate_prompt(body: &[u8]) -> TokenCount {
    TokenCount((body.len() as u64).div_ceil(BYTES_PER_TOKEN))
}
