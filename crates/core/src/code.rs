//! Numbered result codes, one for each way in which a call can fail.
//!
//! The table for users is [docs/RESULT-CODES.md](../../../docs/RESULT-CODES.md);
//! a test checks that it matches this module.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::unit::TimeSpan;

/// Whether the request of a caller has been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No backend server has begun to run it, and none will.
    NotRun,
    /// A backend server has run it.
    Ran,
    /// It cannot be known whether one has run it.
    Unknown,
}

impl RunState {
    /// Returns the value used in headers and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $run:ident, $meaning:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ResultCode {
            $(
                #[doc = $meaning]
                $name,
            )*
        }

        impl ResultCode {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the number that users see.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the HTTP status that goes with the code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns whether a request that ends with the code has been run.
            pub const fn run_state(self) -> RunState {
                match self { $(Self::$name => RunState::$run,)* }
            }

            /// Returns the description that users see.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }

            /// Returns the name, as in the documented table.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }
        }
    };
}

codes! {
    KeyMissing = 1001, 401, NotRun, "The call carries no caller key.";
    KeyRefused = 1002, 401, NotRun, "The caller key is unknown or withdrawn.";
    TeamForbidden = 1003, 403, NotRun, "The team may not use this service.";
    RouteUnknown = 1004, 404, NotRun, "No service has this route.";
    ModelUnknown = 1005, 404, NotRun, "No service offers this model to the team.";
    RequestMalformed = 1006, 400, NotRun, "The request cannot be read.";
    RequestTooLarge = 1007, 413, NotRun, "The request is larger than the service allows.";
    DeadlineHopeless = 1008, 503, NotRun, "The answer would not be on time.";
    TeamOverLimit = 1009, 429, NotRun, "The team is over its limit.";
    BackendMissing = 1010, 503, NotRun, "No backend server of the service can be reached.";
    InstanceDraining = 1011, 503, NotRun, "The instance is stopping and takes no new work.";
    ConfigUnconfirmed = 1012, 503, NotRun, "The configuration has gone unconfirmed for too long.";
    RequestQuarantined = 1013, 422, NotRun, "Requests like this one have crashed backend servers.";
    ClaimUnavailable = 1014, 503, NotRun, "The claim on the idempotency key cannot be made durable.";
    ClaimConflict = 1015, 409, NotRun, "The idempotency key was used for another request.";
    RetryExhausted = 1016, 503, NotRun, "The retry budget is spent.";
    BackendBusy = 1017, 503, NotRun, "The backend server has no room for the request.";
    BackendMismatch = 1018, 503, NotRun, "The backend server does not serve this request.";
    MemoryExceeded = 1019, 413, NotRun, "The request needs more memory than a backend server has.";
    ServiceShutting = 1020, 503, NotRun, "The backend server is leaving and takes no new work.";
    ConfigMissing = 1021, 503, NotRun, "The instance has no configuration yet.";
    VersionMissing = 1022, 503, NotRun, "No backend server has the version that began the stream.";
    OriginUnknown = 1023, 503, NotRun, "The version that began the stream is not known.";
    RequestStalled = 1024, 408, NotRun, "The request was sent too slowly.";
    InstanceFull = 1025, 503, NotRun, "The instance has no memory or connection left for the request.";
    RequestSuspected = 1026, 503, NotRun, "Requests like this one may have crashed backend servers, which is being checked.";
    OutcomeUnknown = 2001, 504, Unknown, "Whether the request was run cannot be known.";
    AnswerBroken = 2002, 502, Ran, "The answer broke off and is not whole.";
    AlreadyRan = 2003, 409, Ran, "The request ran before and its answer is no longer kept.";
    StillRunning = 2004, 409, Unknown, "The same request is being run now.";
    BackendFailed = 2005, 502, Ran, "The backend server failed while it ran the request.";
    TicketMalformed = 3001, 400, NotRun, "The ticket is not readable JSON.";
    FieldMissing = 3002, 422, NotRun, "A field of the ticket is missing.";
    FieldMistyped = 3003, 422, NotRun, "A field of the ticket has another type.";
    FieldUnknown = 3004, 422, NotRun, "The ticket has a field that is not known.";
    FieldOutOfRange = 3005, 422, NotRun, "A value of the ticket is out of range.";
    ReferenceUnknown = 3006, 422, NotRun, "The ticket names an object that does not exist.";
    TicketConflict = 3007, 409, NotRun, "The ticket number was used with another content.";
    TicketStale = 3008, 409, NotRun, "A later ticket has touched the same object.";
    PlatformUnavailable = 3009, 503, NotRun, "The platform's store cannot be reached.";
    TicketUnsettled = 3010, 504, Unknown, "Whether the ticket was accepted cannot be known yet.";
    ReachTooSmall = 3011, 503, NotRun, "Too few instances are reached to accept a ticket.";
    OperatorRefused = 3012, 401, NotRun, "The operator credential is missing or wrong.";
    TicketTooLarge = 3013, 413, NotRun, "The ticket is larger than the platform's store takes.";
    FencingOutdated = 4001, 409, NotRun, "The order carries an old fencing number.";
    AuthorityLapsed = 4002, 409, NotRun, "The sender no longer has authority.";
    OrderConflict = 4003, 409, NotRun, "Another order is being carried out.";
    OrderRefused = 4004, 502, NotRun, "The backend server refused the order.";
    OrderUnsettled = 4005, 504, Unknown, "Whether the order took effect cannot be known yet.";
    PeerRefused = 5001, 401, NotRun, "The peer did not prove the cluster secret.";
    FrameTooLarge = 5002, 413, NotRun, "The message is larger than a frame may be.";
    PeerSilent = 5003, 504, Unknown, "The connection to the peer went silent.";
    AnswerCrossed = 5004, 502, Unknown, "An answer came for another request or attempt.";
    SettingMissing = 6001, 500, NotRun, "A setting is missing.";
    SettingMalformed = 6002, 500, NotRun, "A setting cannot be read.";
    SettingOutOfRange = 6003, 500, NotRun, "A setting is out of range.";
    SettingConflict = 6004, 500, NotRun, "Two settings contradict each other.";
    EntryUnreachable = 7001, 503, Unknown, "No entry answers the command-line tool.";
    WaitTimeout = 7002, 504, Unknown, "The state waited for did not come in time.";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())
    }
}

/// The error for a text or number that is not a result code. Its message says what is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CodeError;

impl fmt::Display for CodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the number of a known result code")
    }
}

impl std::error::Error for CodeError {}

impl TryFrom<u16> for ResultCode {
    type Error = CodeError;

    fn try_from(number: u16) -> Result<Self, CodeError> {
        let found = Self::ALL.iter().find(|code| code.number() == number);
        found.copied().ok_or(CodeError)
    }
}

impl FromStr for ResultCode {
    type Err = CodeError;

    fn from_str(text: &str) -> Result<Self, CodeError> {
        let number: u16 = text.parse().map_err(|_| CodeError)?;
        Self::try_from(number)
    }
}

impl Serialize for ResultCode {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.serialize_u16(self.number())
    }
}

/// The error that ends a call: its result code and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// The reason.
    pub code: ResultCode,
    /// After how long a retry may succeed; `None` if the same call cannot succeed.
    pub retry_after: Option<TimeSpan>,
}

impl CallRefusal {
    /// Creates a refusal of a call that a retry cannot make succeed.
    pub const fn permanent(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// Creates a refusal of a call that may succeed when it is retried after `span`.
    pub const fn retryable(code: ResultCode, span: TimeSpan) -> Self {
        Self {
            code,
            retry_after: Some(span),
        }
    }
}

impl fmt::Display for CallRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code.number(), self.code.meaning())
    }
}

impl std::error::Error for CallRefusal {}
