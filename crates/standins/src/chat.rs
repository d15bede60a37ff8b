//! Chat requests of a client and their streamed responses.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};
use futures_util::stream::{LocalBoxStream, Stream, StreamExt};
use serde_json::{json, Value};

use crate::client::ClientError;
use crate::engine::chat::ChatRequest;
use crate::engine::generation::{generated_text, PromptHash};

/// Data of the event that ends a complete stream.
const END_MARK: &str = "[DONE]";

/// Chat completion request with one user message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatCall {
    /// Model name.
    pub model: String,
    /// Content of the user message.
    pub prompt: String,
    /// Maximum length of the completion, in tokens.
    pub max_tokens: u64,
    /// Additional request headers by name.
    pub headers: BTreeMap<String, String>,
}

impl ChatCall {
    /// Creates a request without additional headers.
    pub fn new(model: &str, prompt: &str, max_tokens: u64) -> Self {
        Self {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            headers: BTreeMap::new(),
        }
    }

    /// Adds a request header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.insert(name.to_owned(), value.to_owned());
        self
    }

    /// Returns the JSON body; `stream` requests a streamed response.
    pub fn body(&self, stream: bool) -> Bytes {
        let body = json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": self.prompt }],
            "max_tokens": self.max_tokens,
            "stream": stream,
        });
        Bytes::from(body.to_string())
    }

    /// Returns the text that a stand-in engine generates for this request.
    pub fn expected_text(&self) -> String {
        expected_text(&self.body(false), self.max_tokens).unwrap_or_default()
    }
}

/// Returns the first `tokens` tokens that a stand-in engine generates for a JSON chat request, or
/// `None` if the body is not a chat request.
pub fn expected_text(body: &[u8], tokens: u64) -> Option<String> {
    let request: ChatRequest = serde_json::from_slice(body).ok()?;
    let prompt = PromptHash::of(&request.prompt_text());
    Some(generated_text(&request.model, prompt, 0..tokens))
}

/// Returns the text of a chat response that is not streamed, or `None` if the body has no such
/// text.
pub fn whole_text(body: &[u8]) -> Option<String> {
    let answer: Value = serde_json::from_slice(body).ok()?;
    let text = answer["choices"][0]["message"]["content"].as_str()?;
    Some(text.to_owned())
}

/// Reader of a streamed chat response.
pub struct ChatStream {
    chunks: LocalBoxStream<'static, Result<Bytes, ClientError>>,
    buffer: BytesMut,
    events: VecDeque<String>,
    usage: Option<Value>,
}

impl ChatStream {
    pub(crate) fn new<S>(chunks: S) -> Self
    where
        S: Stream<Item = Result<Bytes, ClientError>> + 'static,
    {
        Self {
            chunks: chunks.boxed_local(),
            buffer: BytesMut::new(),
            events: VecDeque::new(),
            usage: None,
        }
    }

    /// Waits for the next text chunk.
    ///
    /// Returns `None` at the end marker, and [`ClientError::Cut`] if the stream ends without it.
    pub async fn next_text(&mut self) -> Result<Option<String>, ClientError> {
        loop {
            let Some(event) = self.events.pop_front() else {
                self.read_chunk().await?;
                continue;
            };
            if event == END_MARK {
                return Ok(None);
            }
            let chunk: Value = serde_json::from_str(&event)
                .map_err(|error| ClientError::Malformed(error.to_string()))?;
            if let Some(usage) = chunk.get("usage").filter(|usage| !usage.is_null()) {
                self.usage = Some(usage.clone());
            }
            let text = chunk["choices"][0]["delta"]["content"].as_str();
            if let Some(text) = text.filter(|text| !text.is_empty()) {
                return Ok(Some(text.to_owned()));
            }
        }
    }

    /// Reads to the end marker and returns the remaining text.
    pub async fn read_to_end(&mut self) -> Result<String, ClientError> {
        let mut rest = String::new();
        while let Some(text) = self.next_text().await? {
            rest.push_str(&text);
        }
        Ok(rest)
    }

    /// Returns the token usage, if the stream has reported it so far.
    pub fn usage(&self) -> Option<&Value> {
        self.usage.as_ref()
    }

    async fn read_chunk(&mut self) -> Result<(), ClientError> {
        let chunk = self.chunks.next().await.unwrap_or(Err(ClientError::Cut))?;
        self.buffer.extend_from_slice(&chunk);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end + 1);
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                self.events.push_back(data.trim_start().to_owned());
            }
        }
        Ok(())
    }
}
