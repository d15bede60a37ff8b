//! The shapes of chat completions, as model clients speak them.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{json, Value};

use super::answer::{token_text, PromptHash};

/// The length of an answer whose request does not bound it, in tokens.
pub(crate) const DEFAULT_ANSWER_TOKENS: u64 = 16;
/// The bytes of a prompt that make up a token.
pub(crate) const TOKEN_BYTES: u64 = 4;
/// The time of creation that every answer carries, in seconds since the epoch; a
/// fixed one makes a resumed answer equal to the byte.
const CREATED_UNIX_SECS: u64 = 1_750_000_000;

/// A request for a chat completion.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// The longest answer.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// The longest answer, under its newer name.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// How it is streamed.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
}

/// A message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// Text, or a list of parts.
    #[serde(default)]
    pub content: Value,
}

/// How an answer is streamed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct StreamOptions {
    /// Whether a last chunk without choices carries the usage.
    #[serde(default)]
    pub include_usage: bool,
}

impl ChatRequest {
    /// Returns the whole conversation as one text.
    pub fn prompt_text(&self) -> String {
        let lines = self.messages.iter().map(|message| {
            let content = match &message.content {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            format!("{}\n{content}\n", message.role)
        });
        lines.collect()
    }

    /// Returns the bound on the answer, where the request has one.
    pub fn answer_limit(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Returns the answer's length in tokens.
    pub fn answer_tokens(&self) -> u64 {
        self.answer_limit().unwrap_or(DEFAULT_ANSWER_TOKENS)
    }

    fn includes_usage(&self) -> bool {
        let options = self.stream_options.as_ref();
        options.is_some_and(|options| options.include_usage)
    }
}

/// Counts the tokens of a prompt.
pub fn prompt_tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(TOKEN_BYTES)
}

/// Writes one answer, whole or in chunks.
pub(crate) struct AnswerWriter {
    id: String,
    model: String,
    prompt: PromptHash,
    prompt_tokens: u64,
    answer_tokens: u64,
    finish_reason: &'static str,
    includes_usage: bool,
}

impl AnswerWriter {
    pub(crate) fn new(request_id: &str, request: &ChatRequest, text: &str) -> Self {
        Self {
            id: format!("chatcmpl-{request_id}"),
            model: request.model.clone(),
            prompt: PromptHash::of(text),
            prompt_tokens: prompt_tokens(text),
            answer_tokens: request.answer_tokens(),
            finish_reason: match request.answer_limit() {
                Some(_) => "length",
                None => "stop",
            },
            includes_usage: request.includes_usage(),
        }
    }

    /// The whole answer from token `first` on.
    pub(crate) fn whole(&self, first: u64, cached_tokens: u64) -> Value {
        let tokens = first..self.answer_tokens;
        let text: String = tokens.map(|index| self.token(index)).collect();
        json!({
            "id": self.id,
            "object": "chat.completion",
            "created": CREATED_UNIX_SECS,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "logprobs": null,
                "finish_reason": self.finish_reason,
            }],
            "usage": self.usage(cached_tokens),
        })
    }

    /// The chunk that opens a stream.
    pub(crate) fn opening(&self) -> Bytes {
        self.chunk(json!({ "role": "assistant", "content": "" }), Value::Null)
    }

    /// The chunk of one token.
    pub(crate) fn part(&self, index: u64) -> Bytes {
        self.chunk(json!({ "content": self.token(index) }), Value::Null)
    }

    /// The chunks that close a stream.
    pub(crate) fn closing(&self, cached_tokens: u64) -> Bytes {
        let mut text = self.chunk(json!({}), json!(self.finish_reason)).to_vec();
        if self.includes_usage {
            let mut chunk = self.envelope(json!([]));
            chunk["usage"] = self.usage(cached_tokens);
            text.extend_from_slice(&event(&chunk));
        }
        text.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(text)
    }

    fn token(&self, index: u64) -> String {
        token_text(&self.model, self.prompt, index)
    }

    fn chunk(&self, delta: Value, finish_reason: Value) -> Bytes {
        let choice = json!({
            "index": 0,
            "delta": delta,
            "logprobs": null,
            "finish_reason": finish_reason,
        });
        let mut chunk = self.envelope(json!([choice]));
        if self.includes_usage {
            chunk["usage"] = Value::Null;
        }
        event(&chunk)
    }

    fn envelope(&self, choices: Value) -> Value {
        json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": CREATED_UNIX_SECS,
            "model": self.model,
            "choices": choices,
        })
    }

    fn usage(&self, cached_tokens: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.answer_tokens,
            "total_tokens": self.prompt_tokens + self.answer_tokens,
            "prompt_tokens_details": { "cached_tokens": cached_tokens },
        })
    }
}

fn event(chunk: &Value) -> Bytes {
    Bytes::from(format!("data: {chunk}\n\n"))
}
