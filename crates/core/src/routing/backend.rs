use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use crate::id::{BackendId, DomainId, ModelId, PoolId, RegionId};
use crate::routing::FlightId;
use crate::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};

/// The weight of the previous value in the moving average of the call time.
const CALL_TIME_KEEP_PERCENT: u64 = 80;
const FULL_PERCENT: u64 = 100;
/// A request sent less than this before a load report was measured may be missing from it.
const DISPATCH_DELAY: TimeSpan = TimeSpan::from_millis(5);
const DEFAULT_PREFILL_RATE: TokenRate = TokenRate(8_000);
const DEFAULT_DECODE_RATE: TokenRate = TokenRate(1_000);
const DEFAULT_CALL_TIME: TimeSpan = TimeSpan::from_millis(10);

/// The kind of work that a backend server is configured for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BackendRole {
    /// A model engine that runs both prefill and decode.
    #[default]
    Both,
    /// A model engine that runs prefill only.
    Prefill,
    /// A model engine that runs decode only.
    Decode,
    /// A plain service, whose requests have no tokens.
    Plain,
}

impl BackendRole {
    /// Returns the name used in settings and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Both => "both",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Plain => "plain",
        }
    }

    /// Returns whether a backend server of this role can serve `phase`.
    pub const fn serves(self, phase: RoutePhase) -> bool {
        match phase {
            RoutePhase::Unsplit => true,
            RoutePhase::Prefill => matches!(self, Self::Both | Self::Prefill),
            RoutePhase::Decode => matches!(self, Self::Both | Self::Decode),
        }
    }
}

impl fmt::Display for BackendRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error returned when a text names no role; it displays the accepted names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleError;

impl fmt::Display for RoleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("both, prefill, decode or plain")
    }
}

impl std::error::Error for RoleError {}

impl FromStr for BackendRole {
    type Err = RoleError;

    fn from_str(text: &str) -> Result<Self, RoleError> {
        match text {
            "both" => Ok(Self::Both),
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            "plain" => Ok(Self::Plain),
            _ => Err(RoleError),
        }
    }
}

/// The part of a request that is routed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePhase {
    /// Prefill and decode at one backend server, of any role.
    #[default]
    Unsplit,
    /// Prefill only.
    Prefill,
    /// Decode only, from an imported KV cache.
    Decode,
}

/// Whether a backend server may be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendAvailability {
    /// It accepts requests.
    #[default]
    Serving,
    /// It is leaving or changing its role and accepts no new requests.
    Draining,
    /// It failed its health checks or is not connected, and gets no requests for now.
    Ejected,
}

/// The identity, location and configuration of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSpec {
    /// Its identifier.
    pub id: BackendId,
    /// Its pool.
    pub pool: PoolId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Its role.
    pub role: BackendRole,
    /// The loaded models; empty for a plain service.
    pub models: BTreeSet<ModelId>,
}

/// The load of a backend server as measured by its sidecar.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Requests queued at the sidecar or in the engine.
    pub waiting: u32,
    /// Prompt tokens of the queued requests.
    pub waiting_tokens: TokenCount,
    /// Free KV cache, in tokens.
    pub free_tokens: TokenCount,
    /// Prefill throughput in tokens per second; zero if unknown.
    pub prefill_rate: TokenRate,
    /// Decode throughput in tokens per second over all running requests; zero if unknown.
    pub decode_rate: TokenRate,
}

/// An unfinished request that this entry sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightRequest {
    /// When the request was sent.
    pub sent_at: TimePoint,
    /// The prompt tokens that were expected to need prefill.
    pub prompt_tokens: TokenCount,
    /// Whether the first token has arrived.
    pub decoding: bool,
}

/// The state of a backend server as known to an entry; a row of the backend table.
#[derive(Clone, Debug)]
pub struct BackendState {
    /// Its identity, location and configuration.
    pub spec: BackendSpec,
    /// Whether it may be sent requests.
    pub availability: BackendAvailability,
    /// The latest load report.
    pub report: LoadReport,
    /// When the latest report was measured, which is earlier than its arrival; `None` before
    /// the first report.
    pub measured_at: Option<TimePoint>,
    pub(crate) in_flight_requests: BTreeMap<FlightId, InFlightRequest>,
    pub(crate) prefill_rate: TokenRate,
    pub(crate) decode_rate: TokenRate,
    pub(crate) call_time: TimeSpan,
}

impl BackendState {
    pub(crate) fn new(spec: BackendSpec) -> Self {
        Self {
            spec,
            availability: BackendAvailability::Serving,
            report: LoadReport::default(),
            measured_at: None,
            in_flight_requests: BTreeMap::new(),
            prefill_rate: DEFAULT_PREFILL_RATE,
            decode_rate: DEFAULT_DECODE_RATE,
            call_time: DEFAULT_CALL_TIME,
        }
    }

    /// Returns the number of unfinished requests that this entry has sent.
    pub fn in_flight(&self) -> usize {
        self.in_flight_requests.len()
    }

    /// Returns the number of requests sent by this entry that the latest report may not include.
    pub fn unreported_requests(&self) -> u32 {
        self.unreported().count() as u32
    }

    /// Returns the prompt tokens queued ahead of a new request: those that the latest report
    /// counts as queued, and those of later requests of this entry that have no first token yet.
    pub fn backlog(&self) -> TokenCount {
        let queued = self.unreported().filter(|request| !request.decoding);
        let sent: TokenCount = queued.map(|request| request.prompt_tokens).sum();
        self.report.waiting_tokens + sent
    }

    /// Returns the number of requests that share the backend server: running, queued and not
    /// yet reported.
    pub fn competing(&self) -> u32 {
        self.report.running + self.report.waiting + self.unreported_requests()
    }

    pub(crate) fn apply_report(&mut self, report: LoadReport, measured_at: TimePoint) {
        if self.measured_at.is_some_and(|latest| measured_at < latest) {
            return;
        }
        self.report = report;
        self.measured_at = Some(measured_at);
        if report.prefill_rate != TokenRate::ZERO {
            self.prefill_rate = report.prefill_rate;
        }
        if report.decode_rate != TokenRate::ZERO {
            self.decode_rate = report.decode_rate;
        }
    }

    pub(crate) fn update_call_time(&mut self, elapsed: TimeSpan) {
        let previous = self.call_time.0 * CALL_TIME_KEEP_PERCENT;
        let added = elapsed.0 * (FULL_PERCENT - CALL_TIME_KEEP_PERCENT);
        self.call_time = TimeSpan((previous + added) / FULL_PERCENT);
    }

    fn unreported(&self) -> impl Iterator<Item = &InFlightRequest> {
        let since = self.measured_at.unwrap_or(TimePoint::START);
        let requests = self.in_flight_requests.values();
        requests.filter(move |request| request.sent_at + DISPATCH_DELAY >= since)
    }
}
