//! A shared bound on the memory of responses that are buffered until they are complete.

use std::cell::Cell;
use std::ops::Deref;
use std::rc::Rc;

/// The largest buffer that counts as small; larger ones leave a part of the budget to small ones.
const SMALL_BYTES: usize = 64 << 10;
/// The share of the memory limit of the process that all responses together may buffer, in percent.
const RESPONSE_PERCENT: u64 = 20;
/// The share of the budget that larger buffers may use, in percent.
const LARGE_PERCENT: usize = 75;

/// The memory for buffered responses, which all requests of an entry share. Without it an engine that
/// never ends its responses takes it all, in as many connections as it accepts.
#[derive(Clone, Debug)]
pub(crate) struct BufferBudget {
    limit: usize,
    used: Rc<Cell<usize>>,
}

impl BufferBudget {
    /// Creates the budget of a process with this memory limit.
    pub(crate) fn new(memory_mb: u64) -> Self {
        let limit = (memory_mb << 20) / 100 * RESPONSE_PERCENT;
        Self {
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
            used: Rc::default(),
        }
    }

    /// Begins the buffer of a response.
    pub(crate) fn begin(&self) -> BufferGuard {
        BufferGuard {
            limit: self.limit,
            used: Rc::clone(&self.used),
            held: 0,
        }
    }
}

/// The share of one response in the budget, which is returned when it is dropped.
#[derive(Debug)]
pub(crate) struct BufferGuard {
    limit: usize,
    used: Rc<Cell<usize>>,
    held: usize,
}

impl BufferGuard {
    /// Takes what a buffer of this many bytes needs; returns whether there was enough left.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let needed = bytes.max(self.held);
        let used = self.used.get() + (needed - self.held);
        let limit = match needed <= SMALL_BYTES {
            true => self.limit,
            false => self.limit * LARGE_PERCENT / 100,
        };
        if needed > self.held && used > limit {
            return false;
        }
        self.used.set(used);
        self.held = needed;
        true
    }
}

impl Drop for BufferGuard {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.held);
    }
}

/// A buffered response body, with its share in the budget until it has been sent.
#[derive(Debug, Default)]
pub(crate) struct BufferedBody {
    bytes: Vec<u8>,
    _share: Option<BufferGuard>,
}

impl BufferedBody {
    pub(crate) fn new(bytes: Vec<u8>, share: BufferGuard) -> Self {
        Self {
            bytes,
            _share: Some(share),
        }
    }
}

impl Deref for BufferedBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}
