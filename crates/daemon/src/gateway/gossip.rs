//! Tells the other entries what this one does, several times a second, and listens to them.
//!
//! Each entry sees only its own requests at an engine that all of them send
//! to. A datagram that is lost is made up for by the next one, so nothing is
//! acknowledged or sent again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{BackendHash, PeerLoad};
use applefold_core::id::{InstanceId, Revision};
use applefold_core::unit::{TimeSpan, TokenCount};
use eyre::{Result, WrapErr};
use smol_str::SmolStr;
use tokio::net::UdpSocket;

use super::messages::{
    crash_reports, load_message, usage_counts, CrashReport, GossipMessage, GossipPayload,
    LoadMessage,
};
use super::peers::MessageSource;
use super::state::GatewayState;

/// The pause between two rounds with few entries.
const NEWS_PERIOD: Duration = Duration::from_millis(50);
/// Up to how many entries the shortest pause is kept; with more it grows with
/// their number, so that what an entry sends a second does not.
const FULL_PACE_ENTRIES: u32 = 64;
/// In which rounds prompts that have been read are told.
const READ_ROUNDS: u64 = 2;
/// In which rounds words of backend servers are told.
const WORD_ROUNDS: u64 = 2;
/// In which rounds suspicions are told.
const SUSPECT_ROUNDS: u64 = 2;
/// In which rounds the counts of usage are told.
const USAGE_ROUNDS: u64 = 8;
/// The largest datagram that is sent, below what one packet carries.
const MAX_NEWS_BYTES: usize = 1_400;

/// Returns the pause between two rounds beside this many other entries.
fn round_period(peers: usize) -> Duration {
    NEWS_PERIOD * (peers as u32 + 1).div_ceil(FULL_PACE_ENTRIES).max(1)
}

/// Returns how long counts of usage are on their way: two rounds of them, so that one may be lost.
pub(crate) fn usage_delay(peers: usize) -> TimeSpan {
    let rounds = 2 * USAGE_ROUNDS as u32;
    TimeSpan((round_period(peers) * rounds).as_micros() as u64)
}

/// Returns the pause between two rounds now.
pub(crate) fn round_interval(state: &GatewayState) -> TimeSpan {
    let peers = state.peers.borrow().count();
    TimeSpan(round_period(peers).as_micros() as u64)
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
            Ok(news) => take(&state, &news, from),
            Err(error) => {
                log::warn!(from = from.to_string(), length, error = error.to_string();
                    "unreadable news ignored");
            }
        }
    }
}

fn take(state: &GatewayState, news: &GossipMessage, from: SocketAddr) {
    let id = match news.instance.parse::<InstanceId>() {
        Ok(id) => id,
        Err(error) => {
            log::warn!(from = from.to_string(), error = error.to_string();
                "news without a sender ignored");
            return;
        }
    };
    if id == state.settings().instance {
        return;
    }
    let source = MessageSource {
        id: &id,
        run: news.run,
        address: from,
        revision: Revision(news.revision),
        holds: news.holds,
        heard_at: state.now(),
    };
    let told_at = TimeSpan(news.wall_us);
    let Some(delay) = state.peers.borrow_mut().note_message(&source, told_at) else {
        log::debug!(peer = id.as_str(), run = news.run; "news of an earlier run ignored");
        return;
    };
    state.note_peer_time(&id, told_at);
    match &news.content {
        GossipPayload::Loads(loads) => {
            let newer = state.peers.borrow_mut().accept(&id, loads.sequence);
            if newer {
                take_loads(state, &id, loads);
            }
        }
        GossipPayload::Reads(reads) => {
            let mut table = state.table.borrow_mut();
            for read in reads {
                match read.backend.parse() {
                    Ok(backend) => table.note_read(&backend, &read.parts(), source.heard_at),
                    Err(_) => log::debug!(peer = id.as_str(); "read without a backend server"),
                }
            }
        }
        GossipPayload::Suspects(suspects) => take_suspects(state, &id, suspects),
        GossipPayload::Words(words) => {
            // News may have waited in the buffer of a process that was paused.
            let age = state.cluster_time().saturating_sub(told_at);
            for word in words {
                state.handle_gossiped_notice(&id, word, age);
            }
        }
        GossipPayload::Usage(usage) => {
            let mut peers = state.peers.borrow_mut();
            peers.note_usage(&source, told_at, usage);
        }
        GossipPayload::Alive => {}
        GossipPayload::Listing(lines) => {
            // What cannot be used is fetched from its teller, as its marks below say.
            state.backend_list.apply_update(state, lines, delay);
        }
    }
    let now = source.heard_at;
    state.replicas.note_digests(news.copies, from, delay, now);
}

fn take_loads(state: &GatewayState, id: &InstanceId, news: &LoadMessage) {
    let now = state.now();
    let mut table = state.table.borrow_mut();
    let loads = news.loads.iter().filter_map(|one| {
        let backend = table.tagged(BackendHash(u32::from_be_bytes(one.tag)))?;
        let load = PeerLoad {
            flights: one.flights,
            backlog: TokenCount(one.backlog),
        };
        Some((backend.clone(), load))
    });
    let loads = loads.collect();
    table.note_peer(id, &loads, now);
    for backend in news.away.iter().filter_map(|name| name.parse().ok()) {
        table.note_away(&backend, now);
    }
}

fn take_suspects(state: &GatewayState, id: &InstanceId, suspects: &[CrashReport]) {
    let now = state.now();
    for one in suspects {
        match one.read() {
            Some(news) => state.suspects.merge_report(id.as_str(), news, now),
            None => {
                log::debug!(peer = id.as_str(); "suspicion of an unnamed backend server ignored");
            }
        }
    }
}

async fn talk(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut idle = false;
    loop {
        let peers = state.peers.borrow().addresses();
        actix_rt::time::sleep(round_period(peers.len())).await;
        sequence += 1;
        if let Some(lines) = state.backend_list.next_update(&state) {
            send(&state, &socket, &peers, GossipPayload::Listing(lines)).await;
        }
        let loads = load_message(&state, sequence);
        let empty = loads.is_empty();
        // The last engine's becoming idle is told once.
        if empty && std::mem::replace(&mut idle, empty) {
            // Who reads for all, and who holds the lease, is heard also where nothing is sent.
            send(&state, &socket, &peers, GossipPayload::Alive).await;
        } else {
            send(&state, &socket, &peers, GossipPayload::Loads(loads)).await;
        }
        idle = empty;
        if sequence % WORD_ROUNDS == 0 {
            let words = state.notices.borrow_mut().next_news(state.now());
            if !words.is_empty() {
                send(&state, &socket, &peers, GossipPayload::Words(words)).await;
            }
        }
        if sequence % SUSPECT_ROUNDS == 0 {
            for part in crash_reports(&state) {
                send(&state, &socket, &peers, GossipPayload::Suspects(part)).await;
            }
        }
        if sequence % READ_ROUNDS == 0 {
            let reads = state.prefills.borrow_mut().next();
            if !reads.is_empty() {
                send(&state, &socket, &peers, GossipPayload::Reads(reads)).await;
            }
        }
        if sequence % USAGE_ROUNDS == 0 {
            let delay = usage_delay(peers.len());
            for part in usage_counts(&state, delay) {
                send(&state, &socket, &peers, GossipPayload::Usage(part)).await;
            }
        }
    }
}

async fn send(
    state: &GatewayState,
    socket: &UdpSocket,
    peers: &[SocketAddr],
    content: GossipPayload,
) {
    let news = GossipMessage {
        instance: SmolStr::new(state.settings().instance.as_str()),
        run: state.run,
        wall_us: state.local_time().0,
        revision: state.revision().0,
        holds: state.duty.authority(state).is_some(),
        copies: state.replicas.digests(state.now()),
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
