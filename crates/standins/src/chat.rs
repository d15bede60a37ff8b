//! Chat calls as a client makes them, and the streams that answer them.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};
use futures_util::stream::{LocalBoxStream, Stream, StreamExt};
use serde_json::{json, Value};

use crate::client::ClientError;
use crate::engine::chat::ChatRequest;
use crate::engine::generation::{generated_text, PromptHash};

/// The mark that ends a stream.
const END_MARK: &str = "[DONE]";

/// A request for a chat completion with one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatCall {
    /// The model.
    pub model: String,
    /// The message.
    pub prompt: String,
    /// The answer's length in tokens.
    pub max_tokens: u64,
    /// Headers of the call.
    pub headers: BTreeMap<String, String>,
}

impl ChatCall {
    /// A call without headers.
    pub fn new(model: &str, prompt: &str, max_tokens: u64) -> Self {
        Self {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            headers: BTreeMap::new(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.insert(name.to_owned(), value.to_owned());
        self
    }

    /// Returns the call's body.
    pub fn body(&self, stream: bool) -> Bytes {
        let body = json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": self.prompt }],
            "max_tokens": self.max_tokens,
            "stream": stream,
        });
        Bytes::from(body.to_string())
    }

    /// Returns the answer that a stand-in engine gives.
    pub fn expected_text(&self) -> String {
        expected_text(&self.body(false), self.max_tokens).unwrap_or_default()
    }
}

/// Returns the first `tokens` tokens of the answer that a stand-in engine gives to
/// a chat request in JSON, or nothing where the body is no such request.
pub fn expected_text(body: &[u8], tokens: u64) -> Option<String> {
    let request: ChatRequest = serde_json::from_slice(body).ok()?;
    let prompt = PromptHash::of(&request.prompt_text());
    Some(generated_text(&request.model, prompt, 0..tokens))
}

/// Returns the text of a whole answer.
pub fn whole_text(body: &[u8]) -> Option<String> {
    let answer: Value = serde_json::from_slice(body).ok()?;
    let text = answer["choices"][0]["message"]["content"].as_str()?;
    Some(text.to_owned())
}

/// The parts of a streamed answer.
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

    /// Waits for the next part of the text; `None` is the end of a whole answer.
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

    /// Reads on to the end and returns the rest of the text.
    pub async fn read_to_end(&mut self) -> Result<String, ClientError> {
        let mut whole = String::new();
        while let Some(text) = self.next_text().await? {
            whole.push_str(&text);
        }
        Ok(whole)
    }

    /// Returns the usage, where the stream has told it.
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
