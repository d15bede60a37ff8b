//! Splits a token stream into server-sent events and classifies them.

use serde::Deserialize;

/// The kind of an event in a token stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EventKind {
    /// It contains a generated token.
    Token,
    /// It opens the stream with the role of the author and contains no token.
    Role,
    /// It gives the reason why generation finished.
    Finish,
    /// It gives the token counts of the response.
    Usage,
    /// It marks the end of the stream (`[DONE]`).
    Done,
    /// It is a comment or of an unknown kind.
    Other,
}

#[derive(Deserialize)]
struct ChunkBody {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    usage: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct ChunkDelta {
    role: Option<String>,
    content: Option<String>,
    reasoning_content: Option<String>,
    tool_calls: Option<serde::de::IgnoredAny>,
}

impl ChunkChoice {
    fn has_token(&self) -> bool {
        let texts = [
            &self.delta.content,
            &self.delta.reasoning_content,
            &self.text,
        ];
        let text = texts.into_iter().flatten().any(|text| !text.is_empty());
        text || self.delta.tool_calls.is_some()
    }
}

/// Returns the length of the first complete event, including the blank line that ends it.
///
/// The search starts at byte `from`; the bytes before it have been searched already.
pub(super) fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut start = from;
    while let Some(newline) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let next = start + newline + 1;
        match &bytes[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

/// Returns the kind of a complete event.
pub(super) fn classify_event(event: &[u8]) -> EventKind {
    let Ok(text) = std::str::from_utf8(event) else {
        return EventKind::Other;
    };
    let mut data = String::new();
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("data:") {
            if !data.is_empty() {
                data.push('\n');
            }
            data.push_str(value.strip_prefix(' ').unwrap_or(value));
        }
    }
    if data.trim() == "[DONE]" {
        return EventKind::Done;
    }
    match serde_json::from_str(&data) {
        Ok(body) => classify_chunk(&body),
        Err(_) => EventKind::Other,
    }
}

fn classify_chunk(body: &ChunkBody) -> EventKind {
    let choices = &body.choices;
    if choices.iter().any(ChunkChoice::has_token) {
        return EventKind::Token;
    }
    if choices.iter().any(|choice| choice.finish_reason.is_some()) {
        return EventKind::Finish;
    }
    if choices.iter().any(|choice| choice.delta.role.is_some()) {
        return EventKind::Role;
    }
    match body.usage {
        Some(_) => EventKind::Usage,
        None => EventKind::Other,
    }
}
