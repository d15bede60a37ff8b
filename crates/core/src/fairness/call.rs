use std::fmt;
use std::str::FromStr;

use crate::code::CallRefusal;
use crate::id::TeamId;
use crate::unit::{TimePoint, TokenCount, UnitError};

/// The first of the priorities 0 to 9 that counts as batch work.
const FIRST_BATCH_PRIORITY: u8 = 5;

/// A call that waits at a sidecar, numbered by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Whether somebody waits for the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallClass {
    /// Somebody waits; it goes first.
    #[default]
    Interactive,
    /// Nobody waits; it takes what is left, and a small part in any case.
    Batch,
}

impl CallClass {
    /// Returns the class of a priority between 0, the most urgent, and 9.
    pub const fn from_priority(priority: u8) -> Self {
        match priority {
            0..FIRST_BATCH_PRIORITY => Self::Interactive,
            _ => Self::Batch,
        }
    }
}

/// A team's part of a contended backend server, relative to the other teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamWeight(u32);

impl TeamWeight {
    /// The weight of a team that the configuration gives none.
    pub const ONE: Self = Self(1);
    /// The largest weight.
    pub const MAX: Self = Self(1_000);

    /// Creates a weight, clamped to between one and [`TeamWeight::MAX`].
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

/// A call that waits for its turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// Its number.
    pub id: CallId,
    /// The team that it runs for.
    pub team: TeamId,
    /// Whether somebody waits for the answer.
    pub class: CallClass,
    /// The prompt tokens that are to be computed.
    pub prompt_tokens: TokenCount,
    /// The longest answer that it allows.
    pub answer_tokens: TokenCount,
    /// When its first token is due.
    pub deadline: TimePoint,
}

/// A call that will not run, with its final refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DroppedCall {
    /// The call.
    pub id: CallId,
    /// What its caller is told.
    pub refusal: CallRefusal,
}
