//! The memory of one backend server, reserved before a request is sent.
//!
//! A model engine that runs out of KV cache evicts a running request, which
//! then starts over and misses its deadline. The sidecar therefore reserves
//! prompt and answer together and sends only what fits; see
//! [docs/design/admission.md](../../../docs/design/admission.md).

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use crate::code::{CallRefusal, ResultCode};
use crate::unit::{TimeSpan, TokenCount, UnitError};

/// The tokens in one piece of KV cache, the unit in which engines allot memory.
pub const BLOCK_TOKENS: u64 = 1_024;

/// A number of pieces of KV cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockCount(pub u64);

impl BlockCount {
    /// Returns the pieces that hold `tokens`, the last one perhaps in part.
    pub const fn for_tokens(tokens: TokenCount) -> Self {
        Self(tokens.0.div_ceil(BLOCK_TOKENS))
    }

    /// Returns the whole pieces that `tokens` make up.
    pub const fn full_blocks(tokens: TokenCount) -> Self {
        Self(tokens.0 / BLOCK_TOKENS)
    }

    /// Returns the tokens that the pieces hold when full.
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

/// The pieces of one backend server and how many are reserved.
#[derive(Debug)]
pub struct MemoryTracker {
    capacity: BlockCount,
    reserved: Rc<Cell<u64>>,
}

impl MemoryTracker {
    /// Creates a ledger over `capacity` pieces, none of them reserved.
    pub fn new(capacity: BlockCount) -> Self {
        Self {
            capacity,
            reserved: Rc::default(),
        }
    }

    /// Returns the pieces of the backend server.
    pub fn capacity(&self) -> BlockCount {
        self.capacity
    }

    /// Changes the capacity, as a newly loaded model does; reservations stand.
    pub fn resize(&mut self, capacity: BlockCount) {
        self.capacity = capacity;
    }

    /// Returns the pieces that are reserved.
    pub fn reserved(&self) -> BlockCount {
        BlockCount(self.reserved.get())
    }

    /// Returns the pieces that may still be reserved.
    pub fn free(&self) -> BlockCount {
        BlockCount(self.capacity.0.saturating_sub(self.reserved.get()))
    }

    /// Returns whether `prompt` and `answer` fit now.
    pub fn fits(&self, prompt: TokenCount, answer: TokenCount) -> bool {
        BlockCount::for_tokens(prompt + answer) <= self.free()
    }

    /// Reserves room for `prompt` and the longest `answer`.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::MemoryExceeded`] what can never fit, and with
    /// [`ResultCode::BackendBusy`] and `wait` what does not fit now.
    pub fn reserve(
        &self,
        prompt: TokenCount,
        answer: TokenCount,
        wait: TimeSpan,
    ) -> Result<MemoryReservation, CallRefusal> {
        let blocks = BlockCount::for_tokens(prompt + answer);
        if blocks > self.capacity {
            return Err(CallRefusal::permanent(ResultCode::MemoryExceeded));
        }
        if blocks > self.free() {
            return Err(CallRefusal::retryable(ResultCode::BackendBusy, wait));
        }
        self.reserved.set(self.reserved.get() + blocks.0);
        Ok(MemoryReservation {
            blocks,
            reserved: Rc::clone(&self.reserved),
        })
    }
}

/// A reservation, released when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    blocks: BlockCount,
    reserved: Rc<Cell<u64>>,
}

impl MemoryReservation {
    /// Returns the pieces that the ticket holds.
    pub fn blocks(&self) -> BlockCount {
        self.blocks
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.blocks.0);
    }
}
