//! Makes one whole stream of events out of the attempts that bring it.
//!
//! Only whole events are passed on, so that a break inside an event is not
//! seen; a resumed attempt continues behind the last token passed on. See
//! [docs/design/answers.md](../../../../docs/design/answers.md).

use applefold_core::unit::TokenCount;
use bytes::Bytes;
use serde_json::Value;

const EVENT_END: &[u8] = b"\n\n";
const DATA_PREFIX: &[u8] = b"data: ";
const LAST_DATA: &[u8] = b"[DONE]";
/// An event larger than this ends the attempt.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The error of an event that is too large to be one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLarge;

/// The stream of events that the caller sees.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventRelay {
    partial: Vec<u8>,
    tokens: TokenCount,
    id: Option<Value>,
    resumed: bool,
    last: Option<Bytes>,
}

impl EventRelay {
    /// Forgets what a broken attempt left unfinished.
    pub(crate) fn begin_attempt(&mut self) {
        self.partial.clear();
        self.last = None;
        self.resumed = self.id.is_some();
    }

    /// Returns how many tokens the caller has.
    pub(crate) fn tokens(&self) -> TokenCount {
        self.tokens
    }

    /// Takes in bytes and returns the events to pass on.
    pub(crate) fn feed(&mut self, data: &[u8]) -> Result<Vec<Bytes>, EventTooLarge> {
        self.partial.extend_from_slice(data);
        let mut events = Vec::new();
        while let Some(end) = find(&self.partial, EVENT_END) {
            let rest = self.partial.split_off(end + EVENT_END.len());
            let event = std::mem::replace(&mut self.partial, rest);
            events.extend(self.pass(event));
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(events)
    }

    /// Returns the event that closes the stream, once the attempt is known to be whole.
    pub(crate) fn finish(&mut self) -> Option<Bytes> {
        self.last.take()
    }

    fn pass(&mut self, event: Vec<u8>) -> Option<Bytes> {
        let data = event.trim_ascii().strip_prefix(DATA_PREFIX);
        let Some(data) = data else {
            return Some(event.into());
        };
        if data == LAST_DATA {
            self.last = Some(event.into());
            return None;
        }
        let Ok(mut value) = serde_json::from_slice::<Value>(data) else {
            return Some(event.into());
        };
        let kind = EventKind::of(&value);
        if kind == EventKind::Token {
            self.tokens += TokenCount(1);
        }
        if !self.resumed {
            self.id.get_or_insert_with(|| value["id"].clone());
            return Some(event.into());
        }
        if kind == EventKind::Opening {
            return None;
        }
        value["id"] = self.id.clone().unwrap_or_default();
        Some(format!("data: {value}\n\n").into())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventKind {
    /// Names the role and brings no text.
    Opening,
    /// Brings text.
    Token,
    Other,
}

impl EventKind {
    fn of(value: &Value) -> Self {
        let delta = &value["choices"][0]["delta"];
        let text = delta["content"].as_str().unwrap_or_default();
        if !text.is_empty() {
            return Self::Token;
        }
        if delta["role"].is_string() {
            return Self::Opening;
        }
        Self::Other
    }
}

fn find(data: &[u8], pattern: &[u8]) -> Option<usize> {
    let mut windows = data.windows(pattern.len());
    windows.position(|window| window == pattern)
}
