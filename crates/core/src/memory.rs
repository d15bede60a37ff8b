//! Reservations of a backend server's KV cache, made before a request is sent.
//!
//! A model engine that runs out of KV cache evicts a running request, which
//! then starts over and misses its deadline. The sidecar therefore reserves
//! memory for prompt and answer together and sends only what fits. See
//! [docs/design/admission.md](../../../docs/design/admission.md).

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use crate::code::{CallRefusal, ResultCode};
use crate::unit::{TimeSpan, TokenCount, UnitError};

/// The tokens in one block of KV cache, the unit in which engines allocate memory.
pub const BLOCK_TOKENS: u64 = 1_024;

/// A number of blocks of KV cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockCount(pub u64);

impl BlockCount {
    /// Returns the blocks needed for `tokens`; the last one may be filled in part.
    pub const fn for_tokens(tokens: TokenCount) -> Self {
        Self(tokens.0.div_ceil(BLOCK_TOKENS))
    }

    /// Returns the full blocks in `tokens`.
    pub const fn full_blocks(tokens: TokenCount) -> Self {
        Self(tokens.0 / BLOCK_TOKENS)
    }

    /// Returns the tokens that the blocks can hold.
    pub const fn tokens(self) -> TokenCount {
        TokenCount(self.0 * BLOCK_TOKENS)
    }
}

impl fmt::Display for BlockCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}pieces", self.0)
    }
}

impl FromStr for BlockCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let digits = text.strip_suffix("pieces").unwrap_or(text);
        let tokens: TokenCount = digits.parse()?;
        Ok(Self(tokens.0))
    }
}

/// The blocks of one backend server, and how many of them are reserved.
#[derive(Debug)]
pub struct MemoryTracker {
    capacity: BlockCount,
    reserved: Rc<Cell<u64>>,
}

impl MemoryTracker {
    /// Creates a tracker of `capacity` blocks, none of them reserved.
    pub fn new(capacity: BlockCount) -> Self {
        Self {
            capacity,
            reserved: Rc::default(),
        }
    }

    /// Returns the blocks of the backend server.
    pub fn capacity(&self) -> BlockCount {
        self.capacity
    }

    /// Changes the capacity, as after a model was loaded; reservations are kept.
    pub fn resize(&mut self, capacity: BlockCount) {
        self.capacity = capacity;
    }

    /// Returns the blocks that are reserved.
    pub fn reserved(&self) -> BlockCount {
        BlockCount(self.reserved.get())
    }

    /// Returns the blocks that are not reserved.
    pub fn free(&self) -> BlockCount {
        BlockCount(self.capacity.0.saturating_sub(self.reserved.get()))
    }

    /// Returns whether a request with `prompt` and `answer` tokens fits now.
    pub fn fits(&self, prompt: TokenCount, answer: TokenCount) -> bool {
        BlockCount::for_tokens(prompt + answer) <= self.free()
    }

    /// Reserves memory for a request with `prompt` tokens and at most `answer` tokens.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::MemoryExceeded`] a request that can never fit, and with
    /// [`ResultCode::BackendBusy`] and `retry_after` one that does not fit now.
    pub fn reserve(
        &self,
        prompt: TokenCount,
        answer: TokenCount,
        retry_after: TimeSpan,
    ) -> Result<MemoryReservation, CallRefusal> {
        let blocks = BlockCount::for_tokens(prompt + answer);
        if blocks > self.capacity {
            return Err(CallRefusal::permanent(ResultCode::MemoryExceeded));
        }
        if blocks > self.free() {
            return Err(CallRefusal::retryable(ResultCode::BackendBusy, retry_after));
        }
        self.reserved.set(self.reserved.get() + blocks.0);
        Ok(MemoryReservation {
            blocks,
            reserved: Rc::clone(&self.reserved),
        })
    }
}

/// A reservation of memory, released when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    blocks: BlockCount,
    reserved: Rc<Cell<u64>>,
}

impl MemoryReservation {
    /// Returns the reserved blocks.
    pub fn blocks(&self) -> BlockCount {
        self.blocks
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.blocks.0);
    }
}
