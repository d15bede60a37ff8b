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
pub const PIECE_TOKENS: u64 = 1_024;

/// A number of pieces of KV cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceCount(pub u64);

impl PieceCount {
    /// Returns the pieces that hold `tokens`, the last one perhaps in part.
    pub const fn holding(tokens: TokenCount) -> Self {
        Self(tokens.0.div_ceil(PIECE_TOKENS))
    }

    /// Returns the whole pieces that `tokens` make up.
    pub const fn within(tokens: TokenCount) -> Self {
        Self(tokens.0 / PIECE_TOKENS)
    }

    /// Returns the tokens that the pieces hold when full.
    pub const fn tokens(self) -> TokenCount {
        TokenCount(self.0 * PIECE_TOKENS)
    }
}

impl fmt::Display for PieceCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}pieces", self.0)
    }
}

impl FromStr for PieceCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let digits = text.strip_suffix("pieces").unwrap_or(text);
        let tokens: TokenCount = digits.parse()?;
        Ok(Self(tokens.0))
    }
}

/// The pieces of one backend server and how many are reserved.
#[derive(Debug)]
pub struct MemoryLedger {
    capacity: PieceCount,
    reserved: Rc<Cell<u64>>,
}

impl MemoryLedger {
    /// Creates a ledger over `capacity` pieces, none of them reserved.
    pub fn new(capacity: PieceCount) -> Self {
        Self {
            capacity,
            reserved: Rc::default(),
        }
    }

    /// Returns the pieces of the backend server.
    pub fn capacity(&self) -> PieceCount {
        self.capacity
    }

    /// Changes the capacity, as a newly loaded model does; reservations stand.
    pub fn resize(&mut self, capacity: PieceCount) {
        self.capacity = capacity;
    }

    /// Returns the pieces that are reserved.
    pub fn reserved(&self) -> PieceCount {
        PieceCount(self.reserved.get())
    }

    /// Returns the pieces that may still be reserved.
    pub fn free(&self) -> PieceCount {
        PieceCount(self.capacity.0.saturating_sub(self.reserved.get()))
    }

    /// Returns whether `prompt` and `answer` fit now.
    pub fn fits(&self, prompt: TokenCount, answer: TokenCount) -> bool {
        PieceCount::holding(prompt + answer) <= self.free()
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
    ) -> Result<MemoryTicket, CallRefusal> {
        let pieces = PieceCount::holding(prompt + answer);
        if pieces > self.capacity {
            return Err(CallRefusal::lasting(ResultCode::MemoryExceeded));
        }
        if pieces > self.free() {
            return Err(CallRefusal::passing(ResultCode::BackendBusy, wait));
        }
        self.reserved.set(self.reserved.get() + pieces.0);
        Ok(MemoryTicket {
            pieces,
            reserved: Rc::clone(&self.reserved),
        })
    }
}

/// A reservation, released when it is dropped.
#[derive(Debug)]
pub struct MemoryTicket {
    pieces: PieceCount,
    reserved: Rc<Cell<u64>>,
}

impl MemoryTicket {
    /// Returns the pieces that the ticket holds.
    pub fn pieces(&self) -> PieceCount {
        self.pieces
    }
}

impl Drop for MemoryTicket {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.pieces.0);
    }
}
