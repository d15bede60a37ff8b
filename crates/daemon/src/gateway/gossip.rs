//! UDP gossip between entries, several rounds a second.
//!
//! All entries send to the same engines, but each sees only its own requests there, so they
//! exchange their loads. The next datagram makes up for a lost one, so nothing is acknowledged
//! or retransmitted.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{BackendHash, PeerLoad, StoreEra};
use applefold_core::id::{BackendId, InstanceId, Revision};
use applefold_core::quarantine::SuspectReport;
use applefold_core::unit::{TimeSpan, TokenCount};
use eyre::{Result, WrapErr};
use smol_str::SmolStr;
use tokio::net::UdpSocket;

use super::limits::LimitReport;
use super::list_updates::UpdateRecord;
use super::messages::{
    continuity_report, crash_reports, load_message, usage_counts, CrashReport, GossipMessage,
    GossipPayload, LifeSignReport, LoadMessage,
};
use super::peers::MessageSource;
use super::state::GatewayState;

/// The interval between rounds while there are few entries.
const ROUND_PERIOD: Duration = Duration::from_millis(50);
/// The number of entries up to which the shortest interval is kept. Beyond it the interval grows
/// with their number, so that the datagrams that an entry sends a second stay bounded.
const FULL_RATE_ENTRIES: u32 = 64;
/// Prefills are sent every this many rounds.
const PREFILL_ROUNDS: u64 = 2;
/// Notices of backend servers are sent every this many rounds.
const NOTICE_ROUNDS: u64 = 2;
/// Crash reports are sent every this many rounds.
const SUSPECT_ROUNDS: u64 = 2;
/// The most signs of life in one datagram, which fits them whatever their backend servers are called.
const MAX_LIFE_SIGNS: usize = 16;
/// For how long the store has been available is sent every this many rounds.
const CONTINUITY_ROUNDS: u64 = 4;
/// Times to first tokens are sent every this many rounds.
const SPEED_ROUNDS: u64 = 4;
/// Usage counts are sent every this many rounds.
const USAGE_ROUNDS: u64 = 8;
/// The largest datagram that is sent, in bytes. It fits one packet, without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Returns the interval between rounds with this many other entries.
fn round_period(peers: usize) -> Duration {
    ROUND_PERIOD * (peers as u32 + 1).div_ceil(FULL_RATE_ENTRIES).max(1)
}

/// Returns the time in which usage counts reach the peers: two sends of them, since one may be
/// lost.
pub(crate) fn usage_delay(peers: usize) -> TimeSpan {
    let rounds = 2 * USAGE_ROUNDS as u32;
    TimeSpan((round_period(peers) * rounds).as_micros() as u64)
}

/// Returns the current interval between rounds.
pub(crate) fn round_interval(state: &GatewayState) -> TimeSpan {
    let peers = state.peers.borrow().count();
    TimeSpan(round_period(peers).as_micros() as u64)
}

/// Starts to receive and send gossip on this entry's peer address, for as long as the process
/// runs.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn serve(state: &Rc<GatewayState>) -> Result<()> {
    let address = state.peer_address();
    let socket = UdpSocket::bind(address).await;
    let socket = Rc::new(socket.wrap_err_with(|| format!("could not listen on {address}"))?);
    state.set_gossip_socket(Rc::clone(&socket));
    actix_rt::spawn(receive_loop(Rc::clone(state), Rc::clone(&socket)));
    actix_rt::spawn(send_loop(Rc::clone(state), socket));
    Ok(())
}

async fn receive_loop(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error = error.to_string(); "could not receive gossip; retrying");
                actix_rt::time::sleep(ROUND_PERIOD).await;
                continue;
            }
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(message) => handle_message(&state, &message, from),
            Err(error) => {
                log::warn!(from = from.to_string(), length, error = error.to_string();
                    "gossip message ignored: cannot be decoded");
            }
        }
    }
}

fn handle_message(state: &Rc<GatewayState>, message: &GossipMessage, from: SocketAddr) {
    let id = match message.instance.parse::<InstanceId>() {
        Ok(id) => id,
        Err(error) => {
            log::warn!(from = from.to_string(), error = error.to_string();
                "gossip message ignored: invalid sender name");
            return;
        }
    };
    if id == state.settings().instance {
        return;
    }
    let source = MessageSource {
        id: &id,
        run: message.run,
        address: from,
        revision: Revision(message.revision),
        holds_lease: message.holds_lease,
        received_at: state.now(),
    };
    let sent_at = TimeSpan(message.sent_at_us);
    let Some(delay) = state.peers.borrow_mut().note_message(&source, sent_at) else {
        log::debug!(peer = id.as_str(), run = message.run;
            "gossip message of an earlier process run ignored");
        return;
    };
    state.note_peer_time(&id, sent_at);
    match &message.payload {
        GossipPayload::Loads(loads) => {
            let newer = state
                .peers
                .borrow_mut()
                .accept_sequence(&id, loads.sequence);
            if newer {
                apply_loads(state, &id, loads);
            }
        }
        GossipPayload::Prefills(reports) => {
            let mut table = state.table.borrow_mut();
            for report in reports {
                match report.backend.parse() {
                    Ok(backend) => {
                        table.record_prefill(&backend, &report.parts(), source.received_at)
                    }
                    Err(_) => {
                        log::debug!(peer = id.as_str();
                            "prefill report ignored: invalid backend server name")
                    }
                }
            }
        }
        GossipPayload::Suspects(reports) => {
            apply_crash_reports(state, &source, delay, reports, |report| {
                let now = source.received_at;
                state.suspects.merge_report(id.as_str(), report, now);
            });
        }
        GossipPayload::SuspectParts(reports) => {
            apply_crash_reports(state, &source, delay, reports, |report| {
                let now = source.received_at;
                state.suspect_parts.merge_report(id.as_str(), report, now);
            });
        }
        GossipPayload::LifeSigns(reports) => {
            for report in reports {
                match report.read(delay) {
                    Some(report) => state.merge_life_sign(id.as_str(), &report),
                    None => log::debug!(peer = id.as_str();
                        "sign of life ignored: invalid backend server name"),
                }
            }
        }
        GossipPayload::Notices(notices) => {
            // The message may have waited in the socket buffer while this process was paused.
            let age = state.cluster_time().saturating_sub(sent_at);
            for notice in notices {
                state.handle_gossiped_notice(&id, notice, age);
            }
        }
        GossipPayload::Usage(usage) => {
            let mut peers = state.peers.borrow_mut();
            peers.note_usage(&source, sent_at, usage);
        }
        GossipPayload::Heartbeat => {}
        GossipPayload::RateLimits(reports) => apply_limits(state, &id, reports, delay),
        GossipPayload::PermitRequest(ask) => state.answer_permit(&id, from, ask),
        GossipPayload::Unheard(unheard) => {
            let mut peers = state.peers.borrow_mut();
            peers.note_unheard(&id, unheard, source.received_at);
        }
        GossipPayload::StreamOrigins(reports) => {
            state.origins.receive_gossip(state, &id, reports, delay);
        }
        GossipPayload::StoreContinuity(report) => {
            let (span, era) = (TimeSpan(report.span_us), StoreEra::new(report.era));
            let list = &state.replicas.list;
            list.merge_continuity(span, era, delay, source.received_at);
        }
        GossipPayload::Speeds(reports) => {
            let mut table = state.table.borrow_mut();
            for report in reports {
                let observation = report.observation();
                table.record_peer_token(report.backend(), &observation, source.received_at);
            }
        }
        GossipPayload::PermitAnswer(answer) => state.receive_permit(answer),
        GossipPayload::QuotaRequest(ask) => state.answer_quota(from, ask),
        GossipPayload::QuotaAnswer(answer) => state.receive_quota(answer),
        GossipPayload::QuotaHandover(handover) => state.receive_handover(&id, handover),
        GossipPayload::EntryCount(known) => {
            state.note_entry_count(&id, *known, source.received_at);
        }
        GossipPayload::ListUpdate(update) => {
            // If the update does not apply, the digests below trigger a fetch from the sender.
            match update.read() {
                Some(update) => {
                    state.backend_list.apply_update(state, &update, delay);
                }
                None => log::warn!(peer = id.as_str();
                    "list update rejected: a change cannot be decoded"),
            }
        }
    }
    let now = source.received_at;
    if let Some(era) = message.replicas.latest_era() {
        state.store.note_era(era, id.as_str());
    }
    state
        .replicas
        .note_digests(message.replicas, from, delay, now);
}

fn apply_loads(state: &GatewayState, id: &InstanceId, message: &LoadMessage) {
    let now = state.now();
    let mut table = state.table.borrow_mut();
    let loads = message.loads.iter().filter_map(|load| {
        let backend = table.by_hash(BackendHash(u32::from_be_bytes(load.hash)))?;
        let peer_load = PeerLoad {
            flights: load.in_flight,
            backlog: TokenCount(load.backlog),
        };
        Some((backend.clone(), peer_load))
    });
    let loads = loads.collect();
    table.record_peer_loads(id, &loads, now);
    for backend in message
        .changing_role
        .iter()
        .filter_map(|name| name.parse().ok())
    {
        table.mark_unavailable(&backend, now);
    }
}

fn apply_limits(state: &GatewayState, id: &InstanceId, reports: &[LimitReport], delay: TimeSpan) {
    for report in reports {
        let Ok(backend) = report.backend.parse::<BackendId>() else {
            log::debug!(peer = id.as_str(); "rate limit ignored: invalid backend server name");
            continue;
        };
        let statement = report.statement(delay, state.now());
        let mut limits = state.limits.borrow_mut();
        limits.note_peer(&backend, report.incarnation, &statement);
        drop(limits);
        state.apply_limit(&backend, report.incarnation, &statement, id.as_str());
    }
}

/// Merges the crash reports of a message that was in transit for `delay`, but for those that a sign
/// of life disproves.
fn apply_crash_reports<Merge>(
    state: &GatewayState,
    source: &MessageSource<'_>,
    delay: TimeSpan,
    reports: &[CrashReport],
    merge: Merge,
) where
    Merge: Fn(SuspectReport),
{
    for report in reports {
        match report.read() {
            Some(mut report) => {
                report.age += delay;
                let crashed_at = source.received_at - report.age;
                let disproved = report.crashed.as_ref().is_some_and(|run| {
                    state.note_suspicion(&run.backend, crashed_at);
                    state.is_disproved(run, crashed_at)
                });
                if !disproved {
                    merge(report);
                }
            }
            None => {
                log::debug!(peer = source.id.as_str();
                    "crash report ignored: invalid backend server name");
            }
        }
    }
}

async fn send_loop(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut idle = false;
    loop {
        let peers = state.peers.borrow().addresses();
        actix_rt::time::sleep(round_period(peers.len())).await;
        sequence += 1;
        if let Some(update) = state.backend_list.next_update(&state) {
            let update = GossipPayload::ListUpdate(UpdateRecord::new(&update));
            send(&state, &socket, &peers, update).await;
        }
        state.origins.refresh(&state);
        for part in state.origins.next_reports(&state) {
            send(&state, &socket, &peers, GossipPayload::StreamOrigins(part)).await;
        }
        let loads = load_message(&state, sequence);
        let empty = loads.is_empty();
        // One empty message tells the peers that this entry has become idle.
        if empty && std::mem::replace(&mut idle, empty) {
            // An idle entry still shows that it is live, and whether it holds the lease.
            send(&state, &socket, &peers, GossipPayload::Heartbeat).await;
        } else {
            send(&state, &socket, &peers, GossipPayload::Loads(loads)).await;
        }
        idle = empty;
        if sequence % NOTICE_ROUNDS == 0 {
            let notices = state.notices.borrow_mut().next_batch(state.now());
            if !notices.is_empty() {
                send(&state, &socket, &peers, GossipPayload::Notices(notices)).await;
            }
        }
        if sequence % NOTICE_ROUNDS == 0 {
            let silent = state.peers.borrow().silent_peers(state.now());
            if !silent.is_empty() {
                send(&state, &socket, &peers, GossipPayload::Unheard(silent)).await;
            }
        }
        let has_news = state.limits.borrow().has_news(state.now());
        if has_news || sequence % NOTICE_ROUNDS == 0 {
            let limits = state.limits.borrow_mut().next_batch(state.now());
            if !limits.is_empty() {
                send(&state, &socket, &peers, GossipPayload::RateLimits(limits)).await;
            }
        }
        if sequence % SUSPECT_ROUNDS == 0 {
            for part in crash_reports(state.suspects.next_reports(state.now())) {
                send(&state, &socket, &peers, GossipPayload::Suspects(part)).await;
            }
            for part in crash_reports(state.suspect_parts.next_reports(state.now())) {
                send(&state, &socket, &peers, GossipPayload::SuspectParts(part)).await;
            }
            let signs = state.next_life_reports(MAX_LIFE_SIGNS);
            if !signs.is_empty() {
                let signs = signs.iter().map(LifeSignReport::new).collect();
                send(&state, &socket, &peers, GossipPayload::LifeSigns(signs)).await;
            }
        }
        if sequence % CONTINUITY_ROUNDS == 0 {
            if let Some(report) = continuity_report(&state) {
                send(
                    &state,
                    &socket,
                    &peers,
                    GossipPayload::StoreContinuity(report),
                )
                .await;
            }
        }
        if sequence % PREFILL_ROUNDS == 0 {
            let prefills = state.prefills.borrow_mut().next_batch();
            if !prefills.is_empty() {
                send(&state, &socket, &peers, GossipPayload::Prefills(prefills)).await;
            }
        }
        if sequence % SPEED_ROUNDS == 0 {
            let speeds = state.speeds.borrow_mut().take();
            if !speeds.is_empty() {
                send(&state, &socket, &peers, GossipPayload::Speeds(speeds)).await;
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
    payload: GossipPayload,
) {
    let Some(bytes) = encode(state, payload) else {
        return;
    };
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer = peer.to_string(), error = error.to_string();
                "gossip message not sent");
        }
    }
}

/// Sends a message to one entry. It is dropped if the socket is not ready, like one that is lost on
/// the way.
pub(crate) fn send_to(state: &GatewayState, peer: SocketAddr, payload: GossipPayload) {
    let Some(bytes) = encode(state, payload) else {
        return;
    };
    let sent = state
        .gossip_socket()
        .map(|socket| socket.try_send_to(&bytes, peer));
    if let Some(Err(error)) = sent {
        log::debug!(peer = peer.to_string(), error = error.to_string();
            "gossip message not sent");
    }
}

/// Encodes a message; `None` if that fails, or if it is too long for a datagram.
fn encode(state: &GatewayState, payload: GossipPayload) -> Option<Vec<u8>> {
    let message = GossipMessage {
        instance: SmolStr::new(state.settings().instance.as_str()),
        run: state.run,
        sent_at_us: state.local_time().0,
        revision: state.revision().0,
        holds_lease: state.duty.authority(state).is_some(),
        replicas: state.replicas.digests(state.now()),
        payload,
    };
    match postcard::to_stdvec(&message) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => Some(bytes),
        Ok(bytes) => {
            log::warn!(length = bytes.len(); "gossip message dropped: too long for a datagram");
            None
        }
        Err(error) => {
            log::warn!(error = error.to_string(); "gossip message dropped: cannot be encoded");
            None
        }
    }
}
