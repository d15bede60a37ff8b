//! The engine's faults.

use serde::{Deserialize, Serialize};

/// Faults of an engine; fields left out of a call are switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The engine crashes now.
    pub crash: bool,
    /// How long it is down after a crash that does not end the process;
    /// `None` leaves it as set up.
    pub down_ms: Option<u64>,
    /// Nothing is answered and no stream goes on until the fault ends.
    pub freeze: bool,
    /// Everything takes so many times as long; 0 and 1 change nothing.
    pub slow_factor: u64,
    /// A prompt that holds this text crashes the engine when it starts to run.
    pub crash_on: Option<String>,
    /// Every connection open now, but the caller's, goes silent for good.
    pub silent: bool,
    /// The next stream to have sent so many tokens is cut, once.
    pub cut_after_tokens: Option<u64>,
    /// This many of the next answers are those of another request.
    pub cross_answers: u64,
    /// Exports of KV cache fail.
    pub export_fails: bool,
}
