//! Splitting a token stream into events and telling what each one is.

use serde::Deserialize;

/// What an event of a token stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EventKind {
    /// It holds a token of the answer.
    Token,
    /// It opens the answer and holds no token.
    Opening,
    /// It says why the answer ended.
    Finish,
    /// It gives the figures of the answer.
    Usage,
    /// It ends the stream.
    Done,
    /// It is a comment, or of another kind.
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

/// Returns the length of the first whole event, with the blank line that ends it.
///
/// `from` is how many bytes have been searched before without success.
pub(super) fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut start = from;
    while let Some(at) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let next = start + at + 1;
        match &bytes[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

/// Returns what a whole event is.
pub(super) fn event_kind(event: &[u8]) -> EventKind {
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
        Ok(body) => body_kind(&body),
        Err(_) => EventKind::Other,
    }
}

fn body_kind(body: &ChunkBody) -> EventKind {
    let choices = &body.choices;
    if choices.iter().any(ChunkChoice::has_token) {
        return EventKind::Token;
    }
    if choices.iter().any(|choice| choice.finish_reason.is_some()) {
        return EventKind::Finish;
    }
    if choices.iter().any(|choice| choice.delta.role.is_some()) {
        return EventKind::Opening;
    }
    match body.usage {
        Some(_) => EventKind::Usage,
        None => EventKind::Other,
    }
}
