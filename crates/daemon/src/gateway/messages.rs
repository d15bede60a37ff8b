//! The datagrams in which entries tell each other what they have sent and counted.

use applefold_core::claim::RequestFingerprint;
use applefold_core::direct::{BackendHash, PeerLoad};
use applefold_core::id::WindowId;
use applefold_core::quarantine::{BackendRun, SuspectReport};
use applefold_core::unit::TimeSpan;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::list_updates::ListUpdate;
use super::notices::NoticeReport;
use super::prefills::PrefillReport;
use super::replicas::ReplicaDigests;
use super::state::GatewayState;

/// The most loads in one datagram.
const MAX_LOADS: usize = 90;
/// The most bytes of a datagram that tell of suspicions, and what each of them takes besides
/// its name.
const MAX_PART_BYTES: usize = 1_050;
const SUSPECT_BYTES: usize = 30;
/// The most engines that one datagram tells to be changing.
const MAX_AWAY: usize = 6;
/// The most counts of usage in one datagram.
const MAX_COUNTS: usize = 40;
/// For how many times the delay of counts those of a window that has ended are told.
const SETTLING_DELAYS: u64 = 3;

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct GossipMessage {
    pub(crate) instance: SmolStr,
    pub(crate) run: u64,
    /// The sender's own time since the epoch, in microseconds.
    pub(crate) wall_us: u64,
    /// The revision of the configuration that the sender has in force; 0 for none.
    pub(crate) revision: u64,
    /// Whether the sender holds the lease of the work for the platform.
    pub(crate) holds: bool,
    /// How far the sender's copies of what all entries read go.
    pub(crate) copies: ReplicaDigests,
    pub(crate) content: GossipPayload,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum GossipPayload {
    /// What the sender has at each backend server now.
    Loads(LoadMessage),
    /// Prompts that engines have read for the sender.
    Reads(Vec<PrefillReport>),
    /// Requests during which backend servers went away, and requests that completed since.
    Suspects(Vec<CrashReport>),
    /// What backend servers have said of themselves to the sender.
    Words(Vec<NoticeReport>),
    /// What the sender has counted; figures only grow, so their order does not matter.
    Usage(Vec<UsageCount>),
    /// Changes of the list of backend servers that the sender has read in the store.
    Listing(ListUpdate),
    /// Nothing but that the sender lives, and what stands above.
    Alive,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadMessage {
    /// Grows with each datagram of a run, so that an overtaken one is dropped.
    pub(crate) sequence: u64,
    pub(crate) loads: Vec<BackendLoad>,
    /// Engines that are changing what they do, as the holder of the lease has ordered.
    pub(crate) away: Vec<SmolStr>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    pub(crate) fingerprint: u64,
    /// The backend server that went away; none where the request completed.
    pub(crate) backend: Option<SmolStr>,
    /// Which of its runs ended.
    pub(crate) start: u64,
    pub(crate) age_ms: u64,
}

impl CrashReport {
    pub(crate) fn new(news: SuspectReport) -> Self {
        let (backend, start) = match news.crashed {
            Some(run) => (Some(SmolStr::new(run.backend.as_str())), run.incarnation),
            None => (None, 0),
        };
        Self {
            fingerprint: news.fingerprint.0,
            backend,
            start,
            age_ms: news.age.as_millis(),
        }
    }

    /// Returns what is told; `None` where the backend server's name cannot be one.
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

impl LoadMessage {
    pub(crate) fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.away.is_empty()
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct BackendLoad {
    /// Its tag: names would be most of what entries send each other.
    pub(crate) tag: [u8; 4],
    pub(crate) flights: u32,
    pub(crate) backlog: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct UsageCount {
    pub(crate) window: u64,
    pub(crate) team: SmolStr,
    pub(crate) count: u64,
}

/// Returns what this entry has at the backend servers where it has most.
pub(crate) fn load_message(state: &GatewayState, sequence: u64) -> LoadMessage {
    let table = state.table.borrow();
    let loads = table.own_loads().into_iter();
    let loads = loads.filter_map(|(id, load)| Some((table.get(&id)?.tag(), load)));
    let mut loads: Vec<(BackendHash, PeerLoad)> = loads.collect();
    loads.sort_by_key(|(_, load)| std::cmp::Reverse((load.backlog, load.flights)));
    let loads = loads.into_iter().take(MAX_LOADS);
    let loads = loads.map(|(tag, load)| BackendLoad {
        tag: tag.0.to_be_bytes(),
        flights: load.flights,
        backlog: load.backlog.0,
    });
    let phases = state.phases.borrow();
    let away = phases.moving().take(MAX_AWAY);
    LoadMessage {
        sequence,
        loads: loads.collect(),
        away: away.map(|id| SmolStr::new(id.as_str())).collect(),
    }
}

/// Returns the suspicions whose turn it is, in parts that fit a datagram.
pub(crate) fn crash_reports(state: &GatewayState) -> Vec<Vec<CrashReport>> {
    let mut parts: Vec<Vec<CrashReport>> = Vec::new();
    let mut length = 0;
    for one in state.suspects.next_reports(state.now()) {
        let news = CrashReport::new(one);
        let bytes = SUSPECT_BYTES + news.backend.as_ref().map_or(0, SmolStr::len);
        length += bytes;
        match parts.last_mut() {
            Some(part) if length <= MAX_PART_BYTES => part.push(news),
            _ => {
                length = bytes;
                parts.push(vec![news]);
            }
        }
    }
    parts
}

/// Returns the counts of this window, and shortly after its start those of the one before it,
/// in parts that fit a datagram; one part at least, since it also says that this entry lives.
pub(crate) fn usage_counts(state: &GatewayState, delay: TimeSpan) -> Vec<Vec<UsageCount>> {
    let counter = state.counter.borrow();
    let wall = state.cluster_time();
    let current = counter.window_at(wall);
    let before = WindowId(current.0.saturating_sub(1));
    let settling = wall < counter.end_of(before) + TimeSpan(delay.0 * SETTLING_DELAYS);
    let windows = if settling {
        vec![before, current]
    } else {
        vec![current]
    };
    let news = windows.iter().flat_map(|window| {
        let counts = counter.counts(*window).into_iter();
        counts.map(|(team, count)| UsageCount {
            window: window.0,
            team: SmolStr::new(team.as_str()),
            count,
        })
    });
    let mut parts: Vec<Vec<UsageCount>> = vec![Vec::new()];
    for one in news {
        match parts.last_mut() {
            Some(part) if part.len() < MAX_COUNTS => part.push(one),
            _ => parts.push(vec![one]),
        }
    }
    parts
}
