//! What entries tell each other several times a second.
//!
//! Each entry sees only its own requests at an engine that all of them send
//! to. A datagram that is lost is made up for by the next one, so nothing is
//! acknowledged or sent again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::RequestFingerprint;
use applefold_core::direct::{PeerLoad, WindowCounts};
use applefold_core::id::{BackendId, InstanceId, TeamId, WindowId};
use applefold_core::quarantine::SuspectNews;
use applefold_core::unit::{TimeSpan, TokenCount};
use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net::UdpSocket;

use super::state::GatewayState;
use super::usage;

/// The pause between two rounds with few entries.
const NEWS_PERIOD: Duration = Duration::from_millis(100);
/// Up to how many entries the shortest pause is kept; with more it grows with
/// their number, so that what an entry sends a second does not.
const FULL_PACE_ENTRIES: u32 = 8;
/// In which rounds the counts of usage are told.
const USAGE_ROUNDS: u64 = 4;
/// Until when a suspicion is told again and again.
const SUSPECT_AGE: TimeSpan = TimeSpan::from_secs(5);
/// The most suspicions in one datagram.
const MAX_SUSPECTS: usize = 6;
/// The most bytes of a datagram that tell of loads, and what each takes besides its name.
const MAX_LOAD_BYTES: usize = 1_050;
const LOAD_BYTES: usize = 8;
/// The most engines that one datagram tells to be changing.
const MAX_AWAY: usize = 6;
/// The most counts of usage in one datagram.
const MAX_COUNTS: usize = 40;
/// The largest datagram that is sent, below what one packet carries.
const MAX_NEWS_BYTES: usize = 1_400;
/// How many windows back counts of others are kept.
const KEPT_WINDOWS: u64 = 6;

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
struct PeerNews {
    instance: SmolStr,
    run: u64,
    content: NewsContent,
}

#[derive(Debug, Serialize, Deserialize)]
enum NewsContent {
    /// What the sender has at each backend server now.
    Loads(LoadNews),
    /// What the sender has counted; figures only grow, so their order does not matter.
    Usage(Vec<UsageNews>),
}

#[derive(Debug, Serialize, Deserialize)]
struct LoadNews {
    /// Grows with each datagram of a run, so that an overtaken one is dropped.
    sequence: u64,
    loads: Vec<BackendNews>,
    /// Engines that are changing what they do, as the holder of the lease has ordered.
    away: Vec<SmolStr>,
    /// Requests during which backend servers went away, and requests that completed since.
    suspects: Vec<CrashNews>,
}

#[derive(Debug, Serialize, Deserialize)]
struct CrashNews {
    fingerprint: u64,
    /// The backend server that went away; none where the request completed.
    backend: Option<SmolStr>,
    age_ms: u64,
}

impl LoadNews {
    fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.away.is_empty() && self.suspects.is_empty()
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct BackendNews {
    backend: SmolStr,
    flights: u32,
    backlog: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct UsageNews {
    window: u64,
    team: SmolStr,
    count: u64,
}

/// The other entries, and what they told.
#[derive(Debug, Default)]
pub(crate) struct PeerBook {
    peers: BTreeMap<InstanceId, SocketAddr>,
    last: BTreeMap<InstanceId, (u64, u64)>,
    counts: BTreeMap<WindowId, BTreeMap<SmolStr, WindowCounts>>,
}

impl PeerBook {
    /// Returns whether no other entry is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the names of the others.
    pub(crate) fn names(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.keys()
    }

    /// Replaces the list of the others.
    pub(crate) fn set_peers(&mut self, peers: BTreeMap<InstanceId, SocketAddr>) {
        self.last.retain(|id, _| peers.contains_key(id));
        self.peers = peers;
    }

    /// Returns what each run of another entry has told that it counted in a window.
    pub(crate) fn counts(&self, window: WindowId) -> BTreeMap<SmolStr, WindowCounts> {
        self.counts.get(&window).cloned().unwrap_or_default()
    }

    /// Returns whether news are newer than all before them from the same entry.
    fn accept(&mut self, id: &InstanceId, run: u64, sequence: u64) -> bool {
        let mark = (run, sequence);
        if self.last.get(id).is_some_and(|last| *last >= mark) {
            return false;
        }
        self.last.insert(id.clone(), mark);
        true
    }

    fn note_usage(&mut self, id: &InstanceId, run: u64, usage: &[UsageNews]) {
        let part = usage::part_name(id, run);
        for one in usage {
            let Ok(team) = one.team.parse::<TeamId>() else {
                continue;
            };
            let parts = self.counts.entry(WindowId(one.window)).or_default();
            let counts = parts.entry(part.clone()).or_default();
            let known = counts.entry(team).or_default();
            *known = one.count.max(*known);
        }
        if let Some(newest) = self.counts.keys().next_back().copied() {
            let oldest = WindowId(newest.0.saturating_sub(KEPT_WINDOWS));
            self.counts = self.counts.split_off(&oldest);
        }
    }
}

/// Listens to the other entries and talks to them for as long as the process runs.
pub(crate) async fn serve(state: &Rc<GatewayState>) -> Result<()> {
    let address = state.peer_address();
    let socket = UdpSocket::bind(address).await;
    let socket = Rc::new(socket.wrap_err_with(|| format!("could not listen on {address}"))?);
    actix_rt::spawn(listen(Rc::clone(state), Rc::clone(&socket)));
    actix_rt::spawn(talk(Rc::clone(state), socket));
    Ok(())
}

async fn listen(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_NEWS_BYTES + 1];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error = error.to_string(); "no news received");
                actix_rt::time::sleep(NEWS_PERIOD).await;
                continue;
            }
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(news) => take(&state, &news),
            Err(error) => {
                log::warn!(from = from.to_string(), length, error = error.to_string();
                    "unreadable news ignored");
            }
        }
    }
}

fn take(state: &GatewayState, news: &PeerNews) {
    let Ok(id) = news.instance.parse::<InstanceId>() else {
        return;
    };
    if id == state.settings().instance {
        return;
    }
    match &news.content {
        NewsContent::Loads(loads) => {
            let mut peers = state.peers.borrow_mut();
            if peers.accept(&id, news.run, loads.sequence) {
                take_loads(state, &id, loads);
            }
        }
        NewsContent::Usage(usage) => {
            let mut peers = state.peers.borrow_mut();
            peers.note_usage(&id, news.run, usage);
        }
    }
}

fn take_loads(state: &GatewayState, id: &InstanceId, news: &LoadNews) {
    let loads = news.loads.iter().filter_map(|one| {
        let backend: BackendId = one.backend.parse().ok()?;
        let load = PeerLoad {
            flights: one.flights,
            backlog: TokenCount(one.backlog),
        };
        Some((backend, load))
    });
    let loads = loads.collect();
    let now = state.now();
    let mut table = state.table.borrow_mut();
    table.note_peer(id, &loads, now);
    for backend in news.away.iter().filter_map(|name| name.parse().ok()) {
        table.note_away(&backend, now);
    }
    drop(table);
    for one in &news.suspects {
        let backend = match one.backend.as_ref().map(|name| name.parse()) {
            None => None,
            Some(Ok(backend)) => Some(backend),
            Some(Err(_)) => continue,
        };
        let news = SuspectNews {
            fingerprint: RequestFingerprint(one.fingerprint),
            backend,
            age: TimeSpan::from_millis(one.age_ms),
        };
        state.suspects.borrow_mut().learn(now, news);
    }
}

async fn talk(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut idle = false;
    loop {
        let peers: Vec<SocketAddr> = state.peers.borrow().peers.values().copied().collect();
        let scale = (peers.len() as u32 + 1).div_ceil(FULL_PACE_ENTRIES).max(1);
        actix_rt::time::sleep(NEWS_PERIOD * scale).await;
        sequence += 1;
        let loads = load_news(&state, sequence);
        let empty = loads.is_empty();
        // The last engine's becoming idle is told once.
        if !(empty && std::mem::replace(&mut idle, empty)) {
            send(&state, &socket, &peers, NewsContent::Loads(loads)).await;
        }
        idle = empty;
        if sequence % USAGE_ROUNDS == 0 {
            for part in usage_news(&state) {
                send(&state, &socket, &peers, NewsContent::Usage(part)).await;
            }
        }
    }
}

async fn send(
    state: &GatewayState,
    socket: &UdpSocket,
    peers: &[SocketAddr],
    content: NewsContent,
) {
    let news = PeerNews {
        instance: SmolStr::new(state.settings().instance.as_str()),
        run: state.run,
        content,
    };
    let bytes = match postcard::to_stdvec(&news) {
        Ok(bytes) if bytes.len() <= MAX_NEWS_BYTES => bytes,
        Ok(bytes) => {
            log::warn!(length = bytes.len(); "news left out: too long for a datagram");
            return;
        }
        Err(error) => {
            log::warn!(error = error.to_string(); "news not written");
            return;
        }
    };
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer = peer.to_string(), error = error.to_string(); "news not sent");
        }
    }
}

/// Returns what this entry has at the backend servers where it has most.
fn load_news(state: &GatewayState, sequence: u64) -> LoadNews {
    let loads = state.table.borrow().own_loads();
    let mut loads: Vec<(BackendId, PeerLoad)> = loads.into_iter().collect();
    loads.sort_by_key(|(_, load)| std::cmp::Reverse((load.backlog, load.flights)));
    let mut length = 0;
    let loads = loads.into_iter().take_while(|(backend, _)| {
        length += backend.as_str().len() + LOAD_BYTES;
        length <= MAX_LOAD_BYTES
    });
    let loads = loads.map(|(backend, load)| BackendNews {
        backend: SmolStr::new(backend.as_str()),
        flights: load.flights,
        backlog: load.backlog.0,
    });
    let phases = state.phases.borrow();
    let away = phases.moving().take(MAX_AWAY);
    LoadNews {
        sequence,
        loads: loads.collect(),
        away: away.map(|id| SmolStr::new(id.as_str())).collect(),
        suspects: suspect_news(state),
    }
}

/// Returns the latest suspicions; older ones have been told before.
fn suspect_news(state: &GatewayState) -> Vec<CrashNews> {
    let news = state.suspects.borrow().news(state.now());
    let fresh = news.into_iter().take_while(|one| one.age < SUSPECT_AGE);
    let fresh = fresh.take(MAX_SUSPECTS).map(|one| CrashNews {
        fingerprint: one.fingerprint.0,
        backend: one.backend.map(|id| SmolStr::new(id.as_str())),
        age_ms: one.age.as_millis(),
    });
    fresh.collect()
}

/// Returns the counts of this window and the one before it, in parts that fit a datagram.
fn usage_news(state: &GatewayState) -> Vec<Vec<UsageNews>> {
    let counter = state.counter.borrow();
    let current = counter.window_at(usage::wall());
    let windows = [WindowId(current.0.saturating_sub(1)), current];
    let news = windows.iter().flat_map(|window| {
        let counts = counter.counts(*window).into_iter();
        counts.map(|(team, count)| UsageNews {
            window: window.0,
            team: SmolStr::new(team.as_str()),
            count,
        })
    });
    let mut parts: Vec<Vec<UsageNews>> = Vec::new();
    for one in news {
        match parts.last_mut() {
            Some(part) if part.len() < MAX_COUNTS => part.push(one),
            _ => parts.push(vec![one]),
        }
    }
    parts
}
