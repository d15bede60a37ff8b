//! The body of a request while it is received.

/// The first segment of a body.
const MIN_SEGMENT_BYTES: usize = 4_096;
/// The largest segment, unless more was received at once.
const MAX_SEGMENT_BYTES: usize = 65_536;

/// The bytes of a body in segments, of which most have the same size.
///
/// With one buffer per body that doubles, the freed buffers of many bodies left gaps in the heap
/// that others did not fit: the process grew to twice what bodies held at any time.
#[derive(Debug)]
pub(crate) struct BodySegments {
    segments: Vec<Vec<u8>>,
    len: usize,
    capacity: usize,
    /// The announced length, or else the limit.
    end: usize,
}

impl BodySegments {
    /// Creates an empty body of at most `end` bytes.
    pub(crate) fn new(end: usize) -> Self {
        Self {
            segments: vec![Vec::new()],
            len: 0,
            capacity: 0,
            end,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the memory of all segments.
    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the size of the segment that has to be added before this many bytes are received, if
    /// one has to be.
    pub(crate) fn needed_segment(&self, incoming: usize) -> Option<usize> {
        let last = self.segments.last()?;
        let incoming = incoming.min(self.end - self.len);
        if incoming <= last.capacity() - last.len() {
            return None;
        }
        let size = (2 * last.capacity()).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        Some(size.min(self.end - self.len).max(incoming))
    }

    /// Adds a segment of this size.
    pub(crate) fn add_segment(&mut self, size: usize) {
        self.segments.retain(|segment| !segment.is_empty());
        self.segments.push(Vec::with_capacity(size));
        self.capacity += size;
    }

    /// Calls `receive` with the last segment, to which it appends bytes.
    pub(crate) fn receive<T, F>(&mut self, receive: F) -> T
    where
        F: FnOnce(&mut Vec<u8>) -> T,
    {
        if self.segments.is_empty() {
            self.segments.push(Vec::new());
        }
        let last = self.segments.len() - 1;
        let before = self.segments[last].len();
        let result = receive(&mut self.segments[last]);
        self.len += self.segments[last].len() - before;
        result
    }

    /// Returns the body in one piece.
    pub(crate) fn join(mut self) -> Vec<u8> {
        if self.segments.len() == 1 {
            return self.segments.remove(0);
        }
        let mut body = Vec::with_capacity(self.len);
        for segment in self.segments {
            body.extend_from_slice(&segment);
        }
        body
    }
}
