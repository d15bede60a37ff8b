//! Crowds of callers that are not controlled, at an entry and at a sidecar: each process stays alive, within its
//! memory and its file descriptors, and an ordinary caller is answered afterwards.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::Method;
use applefold_standins::{EngineOptions, PlainOptions, StandinHandle};
use serde_json::json;
use support::cluster::{chat, engine_options, first_ticket, ClusterPlan, TestCluster, CALLER_KEY};
use support::process::DaemonProcess;
use support::{run, until};

/// The smallest memory of a machine.
const MEMORY_MB: u64 = 120;
/// The file descriptors of a process under test: more than a crowd has connections.
const MAX_DESCRIPTORS: usize = 600;
/// The connections of a crowd whose members send much.
const CROWD: usize = 60;
/// The connections of a crowd whose members each hold little.
const LARGE_CROWD: usize = 700;
/// The largest request body that an entry reads.
const MAX_BODY_BYTES: usize = 8 << 20;
/// The largest message between processes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// The bytes that each member of a crowd sends whose body is far over the limit.
const ENDLESS_BODY_BYTES: usize = 24 << 20;
/// One of this many members of a crowd ends its request.
const WHOLE_PERIOD: usize = 10;
/// How long a member of a crowd waits until its bytes are taken before it gives up sending.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause between two counts of the open file descriptors.
const COUNT_PERIOD: Duration = Duration::from_millis(20);
const CHAT_PATH: &str = "/v1/chat/completions";

/// Held by the test that runs, since the crowds of two tests would disturb each other.
static RUNNING: Mutex<()> = Mutex::new(());

fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The port that a crowd meets.
#[derive(Clone, Copy, Debug)]
enum CrowdedPort {
    Callers,
    EntryPeers,
    SidecarPeers,
    EntryMetrics,
}

impl CrowdedPort {
    fn address(self, cluster: &TestCluster) -> SocketAddr {
        match self {
            Self::Callers => cluster.entries[0].address(),
            Self::EntryPeers => cluster.entries[0].process.addresses["peers"],
            Self::SidecarPeers => cluster.backends[0].sidecar.addresses["peers"],
            Self::EntryMetrics => metrics_address(),
        }
    }

    fn process(self, cluster: &mut TestCluster) -> &mut DaemonProcess {
        match self {
            Self::Callers | Self::EntryPeers | Self::EntryMetrics => {
                &mut cluster.entries[0].process
            }
            Self::SidecarPeers => &mut cluster.backends[0].sidecar,
        }
    }
}

/// Returns an address on which no other test process listens.
fn metrics_address() -> SocketAddr {
    let process = std::process::id();
    SocketAddr::from(([127, (process >> 8) as u8, process as u8, 9], 18_090))
}

async fn start(engine: EngineOptions) -> TestCluster {
    let variables = vec![
        ("APPLEFOLD_MEMORY_MB", MEMORY_MB.to_string()),
        ("APPLEFOLD_MAX_FDS", MAX_DESCRIPTORS.to_string()),
    ];
    let plan = ClusterPlan {
        engines: vec![engine; 2],
        entry_settings: vec![("--metrics-listen", metrics_address().to_string())],
        variables,
        ..ClusterPlan::default()
    };
    TestCluster::start(plan).await
}

/// Opens a connection on which a write gives up after [`SEND_TIMEOUT`].
fn open(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, SEND_TIMEOUT).ok()?;
    let limits = stream.set_write_timeout(Some(SEND_TIMEOUT));
    limits.expect("the timeout is not zero");
    Some(stream)
}

/// Returns the head of a request to this path with these further header lines.
fn head(path: &str, fields: &str) -> Vec<u8> {
    let line = format!("POST {path} HTTP/1.1\r\nHost: entry");
    format!("{line}\r\nAuthorization: Bearer {CALLER_KEY}\r\n{fields}\r\n").into_bytes()
}

/// Returns this many bytes of a body as chunks of `size` bytes, without the last one.
fn chunks(bytes: usize, size: usize) -> Vec<u8> {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    chunk.repeat(bytes / size).into_bytes()
}

/// Writes `bytes` in pieces until all are written or the connection refuses more.
fn send(mut stream: &TcpStream, bytes: &[u8], piece: usize) -> bool {
    bytes
        .chunks(piece)
        .all(|piece| stream.write_all(piece).is_ok())
}

/// Lets a crowd act on connections of its own, which stay open; returns them.
fn gather<F>(address: SocketAddr, crowd: usize, act: F) -> Vec<Option<TcpStream>>
where
    F: Fn(&TcpStream, usize) + Sync,
{
    std::thread::scope(|scope| {
        let act = &act;
        let members = (0..crowd).map(|number| {
            scope.spawn(move || {
                let stream = open(address)?;
                act(&stream, number);
                Some(stream)
            })
        });
        let members: Vec<_> = members.collect();
        let streams = members.into_iter();
        streams
            .map(|member| member.join().expect("a member"))
            .collect()
    })
}

/// Lets a crowd act at a port, then checks that its process is alive and within its limits, and that an ordinary
/// request is answered while the members that still have a connection keep it open.
async fn check<F>(cluster: &mut TestCluster, port: CrowdedPort, crowd: usize, name: &str, act: F)
where
    F: Fn(&TcpStream, usize) + Send + Sync + 'static,
{
    let address = port.address(cluster);
    let idle = port.process(cluster).peak_memory();
    let mut descriptors = 0;
    let gathered = actix_rt::task::spawn_blocking(move || gather(address, crowd, act));
    while !gathered.is_finished() {
        if !port.process(cluster).has_ended() {
            descriptors = descriptors.max(port.process(cluster).open_descriptors());
        }
        actix_rt::time::sleep(COUNT_PERIOD).await;
    }
    let held = gathered.await.expect("a crowd");
    assert!(!port.process(cluster).has_ended(), "{name}: ended");
    until(|| answers(cluster)).await;
    descriptors = descriptors.max(port.process(cluster).open_descriptors());
    drop(held);
    let peak = port.process(cluster).peak_memory();
    println!("{name}: {idle} bytes idle, {peak} bytes at most, {descriptors} descriptors");
    assert!(!port.process(cluster).has_ended(), "{name}: ended");
    assert!(peak < MEMORY_MB << 20, "{name}: {peak} bytes of memory");
    assert!(
        descriptors <= MAX_DESCRIPTORS,
        "{name}: {descriptors} descriptors"
    );
}

/// Sends one ordinary request; returns whether it is answered.
async fn answers(cluster: &TestCluster) -> bool {
    let body = chat("ordinary", 2).body(false);
    let caller = cluster.entries[0].caller();
    let answer = caller.call(Method::POST, CHAT_PATH, body).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

fn check_alone<F>(port: CrowdedPort, crowd: usize, name: &'static str, act: F)
where
    F: Fn(&TcpStream, usize) + Send + Sync + 'static,
{
    let _alone = run_alone();
    run(async {
        let mut cluster = start(engine_options()).await;
        check(&mut cluster, port, crowd, name, act).await;
    });
}

/// Bodies of the largest size that is read, which stop just before their end, written in such pieces.
fn check_lengths(name: &'static str, piece: usize) {
    let body = vec![b'x'; MAX_BODY_BYTES];
    check_alone(CrowdedPort::Callers, CROWD, name, move |stream, number| {
        let fields = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
        let missing = usize::from(number % WHOLE_PERIOD != 0);
        if send(stream, &head(CHAT_PATH, &fields), 16_384) {
            send(stream, &body[missing..], piece);
        }
    });
}

/// LOST: each caller could have 8 MiB held for 20 s, with no bound on the sum.
#[test]
fn bears_many_large_bodies_that_stop_before_their_end() {
    check_lengths("whole", MAX_BODY_BYTES);
}

#[test]
fn bears_many_large_bodies_in_pieces_that_stop_before_their_end() {
    check_lengths("in pieces", 16_384);
}

/// Chunked bodies that stop before their last chunk.
fn check_chunks(name: &'static str, bytes: usize, size: usize) {
    check_framed(name, "Transfer-Encoding: chunked\r\n", bytes, size);
}

/// Chunked bodies under a head with these fields, which stop before their last chunk.
fn check_framed(name: &'static str, fields: &'static str, bytes: usize, size: usize) {
    let body = chunks(bytes, size);
    check_alone(CrowdedPort::Callers, CROWD, name, move |stream, number| {
        let sent = send(stream, &head(CHAT_PATH, fields), 16_384);
        if sent && send(stream, &body, 65_536) && number % WHOLE_PERIOD == 0 {
            send(stream, b"0\r\n\r\n", 5);
        }
    });
}

#[test]
fn bears_many_bodies_in_large_chunks_that_stop_before_their_end() {
    check_chunks("large chunks", MAX_BODY_BYTES, 65_536);
}

#[test]
fn bears_many_bodies_in_small_chunks_that_stop_before_their_end() {
    check_chunks("small chunks", MAX_BODY_BYTES / 4, 2);
}

/// A chunked body under a head that announces a length, too, would be charged by that length. The HTTP library refuses it.
#[test]
fn bears_many_bodies_in_small_chunks_that_also_announce_a_length() {
    let fields = "Content-Length: 10\r\nTransfer-Encoding: chunked\r\n";
    check_framed("two framings", fields, MAX_BODY_BYTES / 4, 2);
}

/// Bodies of callers that have no operator credential are not read.
#[test]
fn bears_many_bodies_at_the_api_of_operators() {
    let body = vec![b'x'; MAX_BODY_BYTES];
    check_alone(
        CrowdedPort::Callers,
        CROWD,
        "operators",
        move |stream, _| {
            let fields = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
            if send(stream, &head("/operator/tickets", &fields), 16_384) {
                send(stream, &body[1..], 65_536);
            }
        },
    );
}

/// Sends the same bytes until a body is far over the limit or the connection refuses more.
fn send_endless(stream: &TcpStream, bytes: &[u8]) {
    let times = ENDLESS_BODY_BYTES / bytes.len();
    (0..times).all(|_| send(stream, bytes, 65_536));
}

/// LOST: a body that was announced over the limit was read up to the limit before it was refused.
#[test]
fn bears_many_bodies_that_are_announced_far_over_the_limit() {
    let body = vec![b'x'; 1 << 20];
    check_alone(
        CrowdedPort::Callers,
        CROWD,
        "announced",
        move |stream, _| {
            let fields = format!("Content-Length: {}\r\n", 4_000_000_000_u64);
            if send(stream, &head(CHAT_PATH, &fields), 16_384) {
                send_endless(stream, &body);
            }
        },
    );
}

#[test]
fn bears_many_chunked_bodies_far_over_the_limit() {
    let body = chunks(1 << 20, 65_536);
    check_alone(
        CrowdedPort::Callers,
        CROWD,
        "not announced",
        move |stream, _| {
            if send(
                stream,
                &head(CHAT_PATH, "Transfer-Encoding: chunked\r\n"),
                16_384,
            ) {
                send_endless(stream, &body);
            }
        },
    );
}

/// Heads that never end hold a connection each, and so a file descriptor.
#[test]
fn bears_many_heads_that_never_end() {
    check_alone(CrowdedPort::Callers, LARGE_CROWD, "heads", |stream, _| {
        let mut head = head(CHAT_PATH, &format!("Filling: {}\r\n", "x".repeat(8_192)));
        head.truncate(head.len() - 2);
        send(stream, &head, 512);
    });
}

/// LOST: a connection on which no peer has authenticated could send a whole message, as many at a time as may
/// authenticate.
fn check_messages(port: CrowdedPort, name: &'static str) {
    let mut message = vec![0, 0, 0, 0];
    message.extend_from_slice(&((MAX_MESSAGE_BYTES / 8) as u32).to_le_bytes());
    message.extend(std::iter::repeat_n(0_u8, MAX_MESSAGE_BYTES - 1));
    check_alone(port, CROWD, name, move |stream, _| {
        send(stream, &message, 65_536);
    });
}

#[test]
fn bears_many_messages_that_stop_before_their_end_at_the_peer_port_of_an_entry() {
    check_messages(CrowdedPort::EntryPeers, "messages to an entry");
}

#[test]
fn bears_many_messages_that_stop_before_their_end_at_the_peer_port_of_a_sidecar() {
    check_messages(CrowdedPort::SidecarPeers, "messages to a sidecar");
}

/// Connections to the port of the metrics took all descriptors.
#[test]
fn bears_many_connections_to_the_metrics() {
    check_alone(
        CrowdedPort::EntryMetrics,
        LARGE_CROWD,
        "metrics",
        |stream, _| {
            send(stream, b"GET /metrics HTTP/1.1\r\n", 64);
        },
    );
}

/// Callers that send requests for long streams and read nothing.
#[test]
fn bears_many_callers_that_do_not_read_streams() {
    let _alone = run_alone();
    run(async {
        let engine = EngineOptions {
            stream_rate: 10_000,
            ..engine_options()
        };
        let mut cluster = start(engine).await;
        let body = chat("unread", 20_000).body(true);
        let name = "unread streams";
        check(
            &mut cluster,
            CrowdedPort::Callers,
            CROWD,
            name,
            move |stream, _| {
                let fields = format!("Content-Length: {}\r\n", body.len());
                send(stream, &head(CHAT_PATH, &fields), 16_384);
                send(stream, &body, 16_384);
                std::thread::sleep(SEND_TIMEOUT);
            },
        )
        .await;
    });
}

/// The other side: a single request of the largest size that is read is served while nothing else goes on.
#[test]
fn a_single_request_at_the_limit_is_served() {
    let _alone = run_alone();
    run(async {
        let mut cluster = start(engine_options()).await;
        let plain = StandinHandle::plain(PlainOptions::default()).expect("the service starts");
        cluster.add_backend("till", plain).await;
        let mut service = first_ticket()["services"][1].clone();
        service["max_body_bytes"] = MAX_BODY_BYTES.into();
        let ticket = json!({"ticket": 2, "author": "ana", "services": [service]});
        assert_eq!(cluster.entries[0].file(&ticket).await.status, 200);
        cluster.wait_revision(2).await;
        let body = vec![b'x'; MAX_BODY_BYTES];
        let mut chunked = chunks(MAX_BODY_BYTES, 65_536);
        chunked.extend_from_slice(b"0\r\n\r\n");
        let length = format!("Content-Length: {MAX_BODY_BYTES}\r\n");
        let coding = "Transfer-Encoding: chunked\r\n".to_owned();
        for (fields, bytes) in [(length, body), (coding, chunked)] {
            let address = cluster.entries[0].address();
            let answered = actix_rt::task::spawn_blocking(move || {
                let mut stream = open(address).expect("a connection");
                let head = head("/till/charge", &fields);
                assert!(send(&stream, &head, 16_384) && send(&stream, &bytes, 65_536));
                let mut start = [0; 12];
                stream.read_exact(&mut start).expect("a response");
                start
            });
            let start = answered.await.expect("a response");
            assert_eq!(
                &start,
                b"HTTP/1.1 200",
                "{}",
                String::from_utf8_lossy(&start)
            );
        }
        assert!(cluster.entries[0].process.peak_memory() < MEMORY_MB << 20);
        let sidecar = &cluster.backends[2].sidecar;
        assert!(sidecar.peak_memory() < MEMORY_MB << 20);
    });
}
