use std::fmt;
use std::str::FromStr;

use crate::code::CallRefusal;
use crate::id::TeamId;
use crate::unit::{TimePoint, TokenCount, UnitError};

/// The lowest number among the priorities 0 to 9 that is treated as batch work.
const FIRST_BATCH_PRIORITY: u8 = 5;

/// The number that a sidecar gives to a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The scheduling class of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallClass {
    /// A user waits for the response; scheduled before batch calls.
    #[default]
    Interactive,
    /// No user waits; runs on the remaining capacity, with a small guaranteed share.
    Batch,
}

impl CallClass {
    /// Returns the class of a priority from 0, the most urgent, to 9.
    pub const fn from_priority(priority: u8) -> Self {
        match priority {
            0..FIRST_BATCH_PRIORITY => Self::Interactive,
            _ => Self::Batch,
        }
    }
}

/// The weight of a team in the division of a contended backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamWeight(u32);

impl TeamWeight {
    /// The weight of a team without a configured weight.
    pub const ONE: Self = Self(1);
    /// The largest weight.
    pub const MAX: Self = Self(1_000);

    /// Creates a weight, clamped to the range from one to [`TeamWeight::MAX`].
    pub fn new(weight: u32) -> Self {
        Self(weight.clamp(Self::ONE.0, Self::MAX.0))
    }

    /// Returns the weight as a number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl Default for TeamWeight {
    fn default() -> Self {
        Self::ONE
    }
}

impl fmt::Display for TeamWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for TeamWeight {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let tokens: TokenCount = text.parse()?;
        Ok(Self::new(u32::try_from(tokens.0).unwrap_or(u32::MAX)))
    }
}

/// A call in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// The number of the call.
    pub id: CallId,
    /// The team of the caller.
    pub team: TeamId,
    /// The scheduling class.
    pub class: CallClass,
    /// The prompt tokens to compute in the prefill.
    pub prompt_tokens: TokenCount,
    /// The maximum number of tokens to generate.
    pub answer_tokens: TokenCount,
    /// When the first token is due.
    pub deadline: TimePoint,
}

/// A call that was removed from the queue without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedCall {
    /// The number of the call.
    pub id: CallId,
    /// The refusal for the caller.
    pub refusal: CallRefusal,
}
