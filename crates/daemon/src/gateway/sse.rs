//! Passes the events of a stream on, whole ones only.

use smol_str::SmolStr;

const ID_FIELD: &[u8] = b"id:";
/// The largest event that is held until it is whole.
const MAX_EVENT_BYTES: usize = 65_536;

/// Cuts the bytes of a stream at the ends of its events.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    pending: Vec<u8>,
    last_event: Option<SmolStr>,
}

impl EventBuffer {
    /// Returns the identifier of the last whole event.
    pub(crate) fn last_event(&self) -> Option<&SmolStr> {
        self.last_event.as_ref()
    }

    /// Takes bytes in and returns the whole events among what has come.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.pending) else {
            return Vec::new();
        };
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_id(&whole) {
            self.last_event = Some(id);
        }
        whole
    }

    /// Returns whether an event has come so far that it is held no longer.
    pub(crate) fn is_overfull(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Returns what is left at the end of a whole stream.
    pub(crate) fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Forgets the event that a broken stream ended in.
    pub(crate) fn forget_part(&mut self) {
        self.pending.clear();
    }
}

/// Returns the place after the last blank line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let newlines = (0..bytes.len())
        .rev()
        .filter(|place| bytes[*place] == b'\n');
    for place in newlines {
        let before = &bytes[..place];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            return Some(place + 1);
        }
    }
    None
}

fn last_id(events: &[u8]) -> Option<SmolStr> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(SmolStr::new(id.trim()))
}
