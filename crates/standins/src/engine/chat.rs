//! Requests and responses of chat completions, in the OpenAI-compatible format.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{json, Value};

use super::generation::{token_text, PromptHash};

/// Length of a response whose request sets no limit, in tokens.
pub(crate) const DEFAULT_ANSWER_TOKENS: u64 = 16;
/// Bytes of a prompt that count as one token.
pub(crate) const TOKEN_BYTES: u64 = 4;
/// Creation time in every response, in seconds since the Unix epoch. It is fixed so that
/// a resumed response is byte-identical.
const CREATED_UNIX_SECS: u64 = 1_750_000_000;

/// A request for a chat completion.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Messages of the conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Largest number of generated tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Largest number of generated tokens, under the newer name of the field; it takes
    /// precedence.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Options of a streamed response.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
}

/// A message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text, or a list of content parts.
    #[serde(default)]
    pub content: Value,
}

/// Options of a streamed response.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct StreamOptions {
    /// Whether the stream ends with a chunk that has the usage and no choices.
    #[serde(default)]
    pub include_usage: bool,
}

impl ChatRequest {
    /// Returns the conversation as one text, with the role of each message.
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

    /// Returns the limit on generated tokens, if the request sets one.
    pub fn completion_limit(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Returns the number of tokens to generate.
    pub fn completion_tokens(&self) -> u64 {
        self.completion_limit().unwrap_or(DEFAULT_ANSWER_TOKENS)
    }

    fn includes_usage(&self) -> bool {
        let options = self.stream_options.as_ref();
        options.is_some_and(|options| options.include_usage)
    }
}

/// Returns the number of tokens in a prompt.
pub fn prompt_tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(TOKEN_BYTES)
}

/// Formats the response to one request, in full or as the chunks of a stream.
pub(crate) struct CompletionWriter {
    id: String,
    model: String,
    prompt: PromptHash,
    prompt_tokens: u64,
    completion_tokens: u64,
    finish_reason: &'static str,
    includes_usage: bool,
}

impl CompletionWriter {
    pub(crate) fn new(request_id: &str, request: &ChatRequest, text: &str) -> Self {
        Self {
            id: format!("chatcmpl-{request_id}"),
            model: request.model.clone(),
            prompt: PromptHash::of(text),
            prompt_tokens: prompt_tokens(text),
            completion_tokens: request.completion_tokens(),
            finish_reason: match request.completion_limit() {
                Some(_) => "length",
                None => "stop",
            },
            includes_usage: request.includes_usage(),
        }
    }

    /// Returns the full response, with the text from token `start_index` on.
    pub(crate) fn full_response(&self, start_index: u64, cached_tokens: u64) -> Value {
        let tokens = start_index..self.completion_tokens;
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

    /// Returns the chunk that starts a stream, with the role and no text.
    pub(crate) fn first_chunk(&self) -> Bytes {
        self.chunk(json!({ "role": "assistant", "content": "" }), Value::Null)
    }

    /// Returns the chunk with the token at `index`.
    pub(crate) fn token_chunk(&self, index: u64) -> Bytes {
        self.chunk(json!({ "content": self.token(index) }), Value::Null)
    }

    /// Returns the chunks that end a stream: the finish reason, the usage if requested, and
    /// the end marker.
    pub(crate) fn final_chunks(&self, cached_tokens: u64) -> Bytes {
        let mut text = self.chunk(json!({}), json!(self.finish_reason)).to_vec();
        if self.includes_usage {
            let mut chunk = self.envelope(json!([]));
            chunk["usage"] = self.usage(cached_tokens);
            text.extend_from_slice(&format_event(&chunk));
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
        format_event(&chunk)
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
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": { "cached_tokens": cached_tokens },
        })
    }
}

fn format_event(chunk: &Value) -> Bytes {
    Bytes::from(format!("data: {chunk}\n\n"))
}
