//! The gossip datagrams of entries: their loads, prefills, crash reports, notices and counts.

use applefold_core::claim::RequestFingerprint;
use applefold_core::direct::{BackendHash, ClassLoad, PeerLoad};
use applefold_core::id::WindowId;
use applefold_core::quarantine::{BackendRun, LifeReport, SuspectReport};
use applefold_core::unit::{TimeSpan, TokenCount};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::limits::LimitReport;
use super::list_updates::UpdateRecord;
use super::notices::NoticeReport;
use super::origins::OriginReport;
use super::permits::{PermitAnswer, PermitRequest};
use super::prefills::PrefillReport;
use super::replicas::ReplicaDigests;
use super::speeds::SpeedReport;
use super::state::GatewayState;

/// The most loads in one datagram.
const MAX_LOADS: usize = 90;
/// The same if the loads are told by urgency. Each then takes up to 23 bytes, which leaves
/// room for the names of engines that change their role.
const MAX_CLASS_LOADS: usize = 44;
/// The most bytes of crash reports in one datagram, and the bytes that each takes besides the
/// name of its backend server.
const MAX_PART_BYTES: usize = 1_050;
const CRASH_REPORT_BYTES: usize = 30;
/// The most engines in one datagram that are changing their role.
const MAX_CHANGING: usize = 6;
/// The most usage counts in one datagram.
const MAX_COUNTS: usize = 40;
/// How long the counts of an ended window are still sent, as a multiple of the delay of counts.
const SETTLING_DELAYS: u64 = 3;

/// One datagram. Only `postcard` encodes it, so the order of its fields counts, not their names.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct GossipMessage {
    /// The name of the sender.
    pub(crate) instance: SmolStr,
    /// The process run of the sender.
    pub(crate) run: u64,
    /// The sender's own time since the Unix epoch, in microseconds.
    pub(crate) sent_at_us: u64,
    /// The configuration revision in force at the sender; 0 for none.
    pub(crate) revision: u64,
    /// Whether the sender holds the duty lease.
    pub(crate) holds_lease: bool,
    /// The digests of the sender's store replicas.
    pub(crate) replicas: ReplicaDigests,
    /// What the datagram is about.
    pub(crate) payload: GossipPayload,
}

/// The payload of a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum GossipPayload {
    /// The sender's requests in flight at each backend server.
    Loads(LoadMessage),
    /// Prefills that engines have done for the sender.
    #[serde(rename = "Reads")]
    Prefills(Vec<PrefillReport>),
    /// Requests suspected of crashing backend servers, and suspects that completed since.
    Suspects(Vec<CrashReport>),
    /// Drain and cooldown notices that backend servers sent to the sender.
    #[serde(rename = "Words")]
    Notices(Vec<NoticeReport>),
    /// The sender's usage counts. Counts only grow, so their order does not matter.
    Usage(Vec<UsageCount>),
    /// Changes of the backend list that the sender has read from the store.
    #[serde(rename = "Listing")]
    ListUpdate(UpdateRecord),
    /// Nothing besides the fields of [`GossipMessage`].
    #[serde(rename = "Alive")]
    Heartbeat,
    /// Rate limits that backend servers named to the sender.
    RateLimits(Vec<LimitReport>),
    /// Asks for a permit to send a request to a backend server with a rate limit.
    PermitRequest(PermitRequest),
    /// The reply to that.
    PermitAnswer(PermitAnswer),
    /// The hashes of the entries that the sender does not hear from.
    Unheard(Vec<u32>),
    /// Prompt parts suspected of crashing engines, and suspects on which an answer has begun since.
    SuspectParts(Vec<CrashReport>),
    /// Backend servers that were suspected of a crash and have answered the sender since.
    LifeSigns(Vec<LifeSignReport>),
    /// Streams that began at the sender, and the software versions that it has seen.
    StreamOrigins(Vec<OriginReport>),
    /// For how long the store has confirmed the list without a gap.
    StoreContinuity(ContinuityReport),
    /// Times to first tokens that the sender has observed.
    Speeds(Vec<SpeedReport>),
    /// The sender's requests in flight at each backend server, by urgency. It replaces `Loads` at
    /// entries that follow the contract `pressure`.
    ClassLoads(ClassLoadMessage),
}

/// The encoding of the span of a [`StoreContinuity`](applefold_core::direct::StoreContinuity).
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ContinuityReport {
    /// The span until the datagram was sent, in microseconds.
    pub(crate) span_us: u64,
    /// The era of the store.
    pub(crate) era: u64,
}

/// The load that the sender puts on backend servers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadMessage {
    /// Grows with each round of a process run, so that reordered messages are dropped.
    pub(crate) sequence: u64,
    /// The loads. A backend server that is missing here counts as idle.
    pub(crate) loads: Vec<BackendLoad>,
    /// Engines that are changing their role by order of the sender as lease holder.
    #[serde(rename = "away")]
    pub(crate) changing_role: Vec<SmolStr>,
}

/// The encoding of a [`SuspectReport`], in datagrams and in the store.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    /// The fingerprint of the suspected request.
    pub(crate) fingerprint: u64,
    /// The backend server that crashed; `None` if the request completed.
    pub(crate) backend: Option<SmolStr>,
    /// The incarnation that crashed: the start time of its process.
    pub(crate) start: u64,
    /// The time since the crash or the completion, in milliseconds.
    pub(crate) age_ms: u64,
}

impl CrashReport {
    pub(crate) fn new(report: SuspectReport) -> Self {
        let (backend, start) = match report.crashed {
            Some(run) => (Some(SmolStr::new(run.backend.as_str())), run.incarnation),
            None => (None, 0),
        };
        Self {
            fingerprint: report.fingerprint.0,
            backend,
            start,
            age_ms: report.age.as_millis(),
        }
    }

    /// Decodes the report; `None` if the name of the backend server is invalid.
    pub(crate) fn read(&self) -> Option<SuspectReport> {
        let crashed = match &self.backend {
            None => None,
            Some(name) => Some(BackendRun {
                backend: name.parse().ok()?,
                incarnation: self.start,
            }),
        };
        Some(SuspectReport {
            fingerprint: RequestFingerprint(self.fingerprint),
            crashed,
            age: TimeSpan::from_millis(self.age_ms),
        })
    }
}

/// The encoding of a [`LifeReport`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LifeSignReport {
    /// The backend server.
    pub(crate) backend: SmolStr,
    /// The time since the answered request was sent, in microseconds.
    pub(crate) age_us: u64,
}

impl LifeSignReport {
    pub(crate) fn new(report: &LifeReport) -> Self {
        Self {
            backend: SmolStr::new(report.backend.as_str()),
            age_us: report.age.0,
        }
    }

    /// Decodes the report, which was in transit for `delay`; `None` if the name of the backend
    /// server is invalid.
    pub(crate) fn read(&self, delay: TimeSpan) -> Option<LifeReport> {
        Some(LifeReport {
            backend: self.backend.parse().ok()?,
            age: TimeSpan(self.age_us) + delay,
        })
    }
}

impl LoadMessage {
    pub(crate) fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.changing_role.is_empty()
    }
}

impl ClassLoadMessage {
    pub(crate) fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.changing_role.is_empty()
    }
}

/// The sender's load on one backend server.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct BackendLoad {
    /// The hash of the backend server's name. Full names would make up most of the gossip.
    #[serde(rename = "tag")]
    pub(crate) hash: [u8; 4],
    /// The sender's requests in flight there.
    #[serde(rename = "flights")]
    pub(crate) in_flight: u32,
    /// The prompt tokens of those whose first token has not come.
    pub(crate) backlog: u64,
}

/// The load that the sender puts on backend servers, by urgency.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ClassLoadMessage {
    /// As in [`LoadMessage`], with which it shares its sequence.
    pub(crate) sequence: u64,
    /// The loads. A backend server that is missing here counts as idle.
    pub(crate) loads: Vec<BackendClassLoad>,
    /// As in [`LoadMessage`].
    pub(crate) changing_role: Vec<SmolStr>,
}

/// The sender's load on one backend server, by urgency.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct BackendClassLoad {
    /// The whole load.
    pub(crate) total: BackendLoad,
    /// The requests and prompt tokens that are less urgent than each of the more urgent classes.
    pub(crate) less_urgent: [(u32, u64); 2],
    /// Whether requests reserve it that were admitted for their minimum share.
    pub(crate) reserved: bool,
}

impl BackendLoad {
    fn new(hash: BackendHash, load: &PeerLoad) -> Self {
        Self {
            hash: hash.0.to_be_bytes(),
            in_flight: load.flights,
            backlog: load.backlog.0,
        }
    }

    /// Decodes the load and the hash of its backend server.
    pub(crate) fn read(&self) -> (BackendHash, PeerLoad) {
        let load = PeerLoad {
            flights: self.in_flight,
            backlog: TokenCount(self.backlog),
            ..PeerLoad::default()
        };
        (BackendHash(u32::from_be_bytes(self.hash)), load)
    }
}

impl BackendClassLoad {
    fn new(hash: BackendHash, load: &PeerLoad) -> Self {
        let less_urgent = load.less_urgent;
        Self {
            total: BackendLoad::new(hash, load),
            less_urgent: less_urgent.map(|part| (part.flights, part.backlog.0)),
            reserved: load.reserved,
        }
    }

    /// Decodes the load and the hash of its backend server.
    pub(crate) fn read(&self) -> (BackendHash, PeerLoad) {
        let (hash, load) = self.total.read();
        let less_urgent = self.less_urgent.map(|(flights, backlog)| ClassLoad {
            flights,
            backlog: TokenCount(backlog),
        });
        (
            hash,
            PeerLoad {
                less_urgent,
                reserved: self.reserved,
                ..load
            },
        )
    }
}

/// The sender's count of one team's requests in a usage window.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct UsageCount {
    pub(crate) window: u64,
    pub(crate) team: SmolStr,
    pub(crate) count: u64,
}

/// Returns this entry's loads, limited to the backend servers with the highest ones.
pub(crate) fn load_message(state: &GatewayState, sequence: u64) -> LoadMessage {
    let loads = highest_loads(state, MAX_LOADS).into_iter();
    LoadMessage {
        sequence,
        loads: loads
            .map(|(hash, load)| BackendLoad::new(hash, &load))
            .collect(),
        changing_role: changing_role(state),
    }
}

/// Returns this entry's loads by urgency, limited to the backend servers with the highest ones.
pub(crate) fn class_load_message(state: &GatewayState, sequence: u64) -> ClassLoadMessage {
    let loads = highest_loads(state, MAX_CLASS_LOADS).into_iter();
    ClassLoadMessage {
        sequence,
        loads: loads
            .map(|(hash, load)| BackendClassLoad::new(hash, &load))
            .collect(),
        changing_role: changing_role(state),
    }
}

/// Returns the `count` highest of this entry's loads.
fn highest_loads(state: &GatewayState, count: usize) -> Vec<(BackendHash, PeerLoad)> {
    let table = state.table.borrow();
    let loads = table.own_loads(state.now()).into_iter();
    let loads = loads.filter_map(|(id, load)| Some((table.get(&id)?.name_hash(), load)));
    let mut loads: Vec<(BackendHash, PeerLoad)> = loads.collect();
    loads.sort_by_key(|(_, load)| std::cmp::Reverse((load.backlog, load.flights)));
    loads.truncate(count);
    loads
}

/// Returns the engines that are changing their role by order of this entry.
fn changing_role(state: &GatewayState) -> Vec<SmolStr> {
    let phases = state.phases.borrow();
    let changing = phases.changing().take(MAX_CHANGING);
    changing.map(|id| SmolStr::new(id.as_str())).collect()
}

/// Returns for how long the store has confirmed the list without a gap, if this entry knows.
pub(crate) fn continuity_report(state: &GatewayState) -> Option<ContinuityReport> {
    let continuity = state.replicas.list.continuity();
    let span = continuity.span(state.now())?;
    Some(ContinuityReport {
        span_us: span.0,
        era: continuity.era().number(),
    })
}

/// Returns crash reports in parts that fit a datagram.
pub(crate) fn crash_reports(reports: Vec<SuspectReport>) -> Vec<Vec<CrashReport>> {
    let mut parts: Vec<Vec<CrashReport>> = Vec::new();
    let mut length = 0;
    for report in reports {
        let report = CrashReport::new(report);
        let bytes = CRASH_REPORT_BYTES + report.backend.as_ref().map_or(0, SmolStr::len);
        length += bytes;
        match parts.last_mut() {
            Some(part) if length <= MAX_PART_BYTES => part.push(report),
            _ => {
                length = bytes;
                parts.push(vec![report]);
            }
        }
    }
    parts
}

/// Returns the usage counts of the current window, and shortly after its start those of the
/// previous one too, in parts that fit a datagram. There is at least one part, since peers also
/// note when an entry sent its counts last.
pub(crate) fn usage_counts(state: &GatewayState, delay: TimeSpan) -> Vec<Vec<UsageCount>> {
    let counter = state.counter.borrow();
    let now = state.cluster_time();
    let current = counter.window_at(now);
    let previous = WindowId(current.0.saturating_sub(1));
    let settling = now < counter.end_of(previous) + TimeSpan(delay.0 * SETTLING_DELAYS);
    let windows = if settling {
        vec![previous, current]
    } else {
        vec![current]
    };
    let counts = windows.iter().flat_map(|window| {
        let counts = counter.counts(*window).into_iter();
        counts.map(|(team, count)| UsageCount {
            window: window.0,
            team: SmolStr::new(team.as_str()),
            count,
        })
    });
    let mut parts: Vec<Vec<UsageCount>> = vec![Vec::new()];
    for count in counts {
        match parts.last_mut() {
            Some(part) if part.len() < MAX_COUNTS => part.push(count),
            _ => parts.push(vec![count]),
        }
    }
    parts
}
