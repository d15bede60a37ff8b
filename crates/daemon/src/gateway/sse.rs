//! Splits a stream of server-sent events at event boundaries.

use applefold_h1::BodyFraming;
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
    /// The number of events of the current stream that were complete.
    events: u64,
}

impl EventBuffer {
    /// Returns the `id` of the last complete event that had one, for `Last-Event-Id`.
    pub(crate) fn last_event(&self) -> Option<&SmolStr> {
        self.last_event.as_ref()
    }

    /// Begins the stream of another attempt.
    pub(crate) fn begin_stream(&mut self) {
        self.pending.clear();
        self.events = 0;
    }

    /// Returns how many events of the current stream were complete.
    pub(crate) fn event_count(&self) -> u64 {
        self.events
    }

    /// Adds received bytes and returns all complete events that are buffered.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = event_ends(&self.pending).next() else {
            return Vec::new();
        };
        let partial = self.pending.split_off(end);
        let events = std::mem::replace(&mut self.pending, partial);
        if let Some(id) = last_id(&events) {
            self.last_event = Some(id);
        }
        self.events += event_ends(&events).count() as u64;
        events
    }

    /// Returns whether the incomplete event is too large to be buffered further.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns how many bytes follow the last complete event.
    pub(crate) fn partial_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether a stream whose body ended here is truncated: within an event, or before its
    /// first one if only the end of the connection marks the end of the body.
    pub(crate) fn is_truncated(&self, framing: BodyFraming) -> bool {
        let nothing_received = framing == BodyFraming::UntilClose && self.events == 0;
        nothing_received || !self.pending.is_empty()
    }
}

/// Returns the indices after the blank lines, which end events, from the last one to the first.
fn event_ends(bytes: &[u8]) -> impl Iterator<Item = usize> + '_ {
    let newlines = (0..bytes.len())
        .rev()
        .filter(|index| bytes[*index] == b'\n');
    let blank_lines = newlines.filter(|index| {
        let before = &bytes[..*index];
        before.ends_with(b"\n") || before.ends_with(b"\n\r")
    });
    blank_lines.map(|index| index + 1)
}

/// Returns the last `id` among the events.
fn last_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(SmolStr::new(id.trim()))
}
