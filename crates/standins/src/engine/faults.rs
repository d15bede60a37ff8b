//! Faults that a test can inject into an engine.

use serde::{Deserialize, Serialize};

/// Active faults of an engine. Fields that a call omits are switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Crashes the engine immediately.
    pub crash: bool,
    /// Downtime in milliseconds after a crash that does not end the process. `None` uses
    /// the configured downtime.
    pub down_ms: Option<u64>,
    /// Suspends all calls and all streams until the fault is switched off. Calls to
    /// the fault and history interfaces still work.
    pub freeze: bool,
    /// Factor by which prefill, decode and orders take longer. 0 and 1 change nothing.
    pub slow_factor: u64,
    /// A request whose prompt contains this text crashes the engine when it starts to run.
    pub crash_on: Option<String>,
    /// Makes every connection that is open now, except the caller's, silent for good: it
    /// stays open, but neither reads nor writes.
    pub silent: bool,
    /// Aborts the next stream that has sent this many tokens, once.
    pub cut_after_tokens: Option<u64>,
    /// Number of upcoming responses that are replaced by the response to another request.
    pub cross_answers: u64,
    /// Answers each chat request with this status, from 200 to 999, and without running it.
    pub answer_status: Option<u16>,
    /// Makes exports of KV cache fail.
    pub export_fails: bool,
}
