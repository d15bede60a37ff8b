//! A shared bound on the memory of responses that are buffered until they are complete.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that each response may buffer however many others there are.
const FREE_BYTES: usize = 64 << 10;
/// The bytes that all responses together may buffer beyond that: a fifth of the smallest memory that
/// the platform gives an entry.
const MAX_SHARED_BYTES: usize = 32 << 20;

/// The memory for buffered responses, which all requests of an entry share. Without it an engine that
/// never ends its responses takes it all, in as many connections as it accepts.
#[derive(Clone, Debug, Default)]
pub(crate) struct BufferBudget(Rc<Cell<usize>>);

impl BufferBudget {
    /// Begins the buffer of a response.
    pub(crate) fn begin(&self) -> BufferGuard {
        BufferGuard {
            used: Rc::clone(&self.0),
            held: 0,
        }
    }
}

/// The share of one response in the budget, which is returned when it is dropped.
#[derive(Debug)]
pub(crate) struct BufferGuard {
    used: Rc<Cell<usize>>,
    held: usize,
}

impl BufferGuard {
    /// Takes what a buffer of this many bytes needs; returns whether there was enough left.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let needed = bytes.saturating_sub(FREE_BYTES).max(self.held);
        let used = self.used.get() + (needed - self.held);
        if used > MAX_SHARED_BYTES {
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
