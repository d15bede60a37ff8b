//! Splits a stream of server-sent events at event boundaries.

use smol_str::SmolStr;

const ID_FIELD: &[u8] = b"id:";
/// The largest incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 65_536;

/// Buffers the bytes of an event stream until the end of an event.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    pending: Vec<u8>,
    /// The `id` of the last complete event that had one.
    last_event: Option<SmolStr>,
}

impl EventBuffer {
    /// Returns the `id` of the last complete event that had one, for `Last-Event-Id`.
    pub(crate) fn last_event(&self) -> Option<&SmolStr> {
        self.last_event.as_ref()
    }

    /// Adds received bytes and returns all complete events that are buffered.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.pending) else {
            return Vec::new();
        };
        let partial = self.pending.split_off(end);
        let events = std::mem::replace(&mut self.pending, partial);
        if let Some(id) = last_id(&events) {
            self.last_event = Some(id);
        }
        events
    }

    /// Returns whether the incomplete event is too large to be buffered further.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns the bytes that are left at the end of a complete stream.
    pub(crate) fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Discards the incomplete event at the end of a broken stream.
    pub(crate) fn discard_partial(&mut self) {
        self.pending.clear();
    }
}

/// Returns the index after the last blank line, which ends an event.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let newlines = (0..bytes.len())
        .rev()
        .filter(|index| bytes[*index] == b'\n');
    for index in newlines {
        let before = &bytes[..index];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            return Some(index + 1);
        }
    }
    None
}

/// Returns the last `id` among the events.
fn last_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(SmolStr::new(id.trim()))
}
