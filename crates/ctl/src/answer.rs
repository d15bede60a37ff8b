//! What the entries answer to operators.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

/// The error of a call.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorAnswer {
    pub(crate) error: ErrorBody,
}

/// What is said of an error.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ErrorBody {
    pub(crate) code: u16,
    pub(crate) message: String,
    #[serde(default)]
    pub(crate) run_state: SmolStr,
    #[serde(default)]
    pub(crate) faults: Vec<FaultRow>,
}

/// One thing that is wrong with a ticket.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct FaultRow {
    pub(crate) path: SmolStr,
    pub(crate) expected: String,
    pub(crate) code: u16,
}

/// A ticket that was checked.
#[derive(Debug, Deserialize)]
pub(crate) struct CheckedTicket {
    pub(crate) ticket: u64,
    #[serde(default)]
    pub(crate) touches: Vec<Value>,
}

/// A ticket that was accepted.
#[derive(Debug, Deserialize)]
pub(crate) struct AcceptedTicket {
    pub(crate) ticket: u64,
    pub(crate) revision: u64,
    #[serde(default)]
    pub(crate) repeat: bool,
}

/// A ticket as it stands in the log.
#[derive(Debug, Deserialize)]
pub(crate) struct StoredTicket {
    pub(crate) revision: u64,
    #[serde(default)]
    pub(crate) body: Value,
}

/// What an entry knows of the system.
#[derive(Debug, Deserialize)]
pub(crate) struct SystemStatus {
    pub(crate) instance: SmolStr,
    pub(crate) revision: u64,
    pub(crate) confirmed_ms_ago: Option<u64>,
    pub(crate) reach: ReachRow,
    pub(crate) instances: Vec<InstanceRow>,
    #[serde(default)]
    pub(crate) leases: Vec<LeaseRow>,
    #[serde(default)]
    pub(crate) alarms: Vec<AlarmRow>,
}

/// How much of the fleet the entry reaches.
#[derive(Debug, Deserialize)]
pub(crate) struct ReachRow {
    pub(crate) reached: u64,
    pub(crate) listed: u64,
    pub(crate) holds: bool,
}

/// One process of the system.
#[derive(Debug, Deserialize)]
pub(crate) struct InstanceRow {
    pub(crate) id: SmolStr,
    pub(crate) kind: SmolStr,
    pub(crate) domain: SmolStr,
    #[serde(default)]
    pub(crate) revision: Option<u64>,
    #[serde(default)]
    pub(crate) age_ms: Option<u64>,
    pub(crate) state: SmolStr,
}

/// One lease.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseRow {
    pub(crate) scope: SmolStr,
    pub(crate) holder: Option<SmolStr>,
    pub(crate) fencing: Option<u64>,
}

/// One thing that wants an operator's eye.
#[derive(Debug, Deserialize)]
pub(crate) struct AlarmRow {
    pub(crate) code: u16,
    pub(crate) text: String,
}

/// What the system did for the teams.
#[derive(Debug, Deserialize)]
pub(crate) struct UsageReport {
    #[serde(default)]
    pub(crate) teams: Vec<TeamRow>,
    #[serde(default)]
    pub(crate) decisions: Vec<DecisionRow>,
}

/// What one team got.
#[derive(Debug, Deserialize)]
pub(crate) struct TeamRow {
    pub(crate) team: SmolStr,
    pub(crate) requests: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) refused: u64,
    pub(crate) broken: u64,
}

/// One decision and the figures it was taken on.
#[derive(Debug, Deserialize)]
pub(crate) struct DecisionRow {
    pub(crate) at_ms: u64,
    pub(crate) system: SmolStr,
    pub(crate) text: String,
}
