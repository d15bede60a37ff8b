//! JSON responses of the operator API of the entries.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

/// The body of an error response.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorResponse {
    pub(crate) error: ErrorBody,
}

/// The description of an error.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ErrorBody {
    /// The numbered result code.
    pub(crate) code: u16,
    pub(crate) message: String,
    /// Whether the request was executed: `not_run` if it certainly was not.
    #[serde(default)]
    pub(crate) run_state: SmolStr,
    /// The invalid fields of a rejected ticket.
    #[serde(default)]
    pub(crate) faults: Vec<FaultRow>,
}

/// One invalid field of a ticket.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct FaultRow {
    /// The path of the field, such as `teams[0].weight`; empty for the ticket itself.
    pub(crate) path: SmolStr,
    /// What a valid value looks like.
    pub(crate) expected: String,
    pub(crate) code: u16,
}

/// The result of validating a ticket without filing it.
#[derive(Debug, Deserialize)]
pub(crate) struct CheckedTicket {
    pub(crate) ticket: u64,
    #[serde(default)]
    /// The identifiers of the objects that the ticket changes.
    pub(crate) touches: Vec<Value>,
}

/// The confirmation of an accepted ticket.
#[derive(Debug, Deserialize)]
pub(crate) struct AcceptedTicket {
    pub(crate) ticket: u64,
    /// The configuration revision that the ticket created.
    pub(crate) revision: u64,
    /// Whether the ticket had already been accepted before this request.
    #[serde(default)]
    pub(crate) repeat: bool,
}

/// A ticket that is committed to the log.
#[derive(Debug, Deserialize)]
pub(crate) struct StoredTicket {
    pub(crate) revision: u64,
    /// The ticket itself, as JSON.
    #[serde(default)]
    pub(crate) body: Value,
}

/// The state of the system as one entry sees it.
#[derive(Debug, Deserialize)]
pub(crate) struct SystemStatus {
    /// The entry that sent this status.
    pub(crate) instance: SmolStr,
    /// The configuration revision in force at this entry.
    pub(crate) revision: u64,
    /// Milliseconds since the platform last confirmed the configuration; `None` if it never did.
    pub(crate) confirmed_ms_ago: Option<u64>,
    pub(crate) reach: QuorumRow,
    pub(crate) instances: Vec<InstanceRow>,
    #[serde(default)]
    pub(crate) leases: Vec<LeaseRow>,
    #[serde(default)]
    pub(crate) alarms: Vec<AlarmRow>,
}

/// How many instances of the fleet the entry reaches.
#[derive(Debug, Deserialize)]
pub(crate) struct QuorumRow {
    pub(crate) reached: u64,
    pub(crate) listed: u64,
    /// Whether the reached instances are a quorum.
    pub(crate) holds: bool,
}

/// One instance of the system.
#[derive(Debug, Deserialize)]
pub(crate) struct InstanceRow {
    pub(crate) id: SmolStr,
    pub(crate) kind: SmolStr,
    /// The failure domain.
    pub(crate) domain: SmolStr,
    /// The configuration revision in force there, if known.
    #[serde(default)]
    pub(crate) revision: Option<u64>,
    /// Milliseconds since its last heartbeat.
    #[serde(default)]
    pub(crate) age_ms: Option<u64>,
    pub(crate) state: SmolStr,
}

/// One lease and its current holder.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseRow {
    pub(crate) scope: SmolStr,
    pub(crate) holder: Option<SmolStr>,
    /// The fencing token, which only the holder itself reports.
    pub(crate) fencing: Option<u64>,
}

/// A condition that needs the attention of an operator.
#[derive(Debug, Deserialize)]
pub(crate) struct AlarmRow {
    pub(crate) code: u16,
    pub(crate) text: String,
}

/// Usage by team and recent control decisions.
#[derive(Debug, Deserialize)]
pub(crate) struct UsageReport {
    #[serde(default)]
    pub(crate) teams: Vec<TeamRow>,
    #[serde(default)]
    pub(crate) decisions: Vec<DecisionRow>,
}

/// The usage of one team.
#[derive(Debug, Deserialize)]
pub(crate) struct TeamRow {
    pub(crate) team: SmolStr,
    pub(crate) requests: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    /// Requests that failed without being run.
    pub(crate) refused: u64,
    /// Requests that failed although they ran or may have run.
    pub(crate) broken: u64,
}

/// One control decision with the measurements that it was based on.
#[derive(Debug, Deserialize)]
pub(crate) struct DecisionRow {
    /// When it was made, in milliseconds.
    pub(crate) at_ms: u64,
    /// The controller that made it.
    pub(crate) system: SmolStr,
    pub(crate) text: String,
}
