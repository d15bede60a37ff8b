//! A TCP relay that can be made to drop traffic, like a faulty network.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const READ_TIMEOUT: Duration = Duration::from_millis(20);
const BUFFER_BYTES: usize = 16 * 1024;

#[derive(Default)]
struct RelayState {
    /// Connections with a smaller number than this forward nothing.
    silent_before: AtomicU64,
    /// The number of connections opened.
    opened: AtomicU64,
    /// Simulates a partition: new connections are closed and existing ones forward nothing.
    partitioned: AtomicBool,
    stopped: AtomicBool,
}

/// Forwards connections to a target until it is silenced or partitioned.
pub struct FaultRelay {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Arc<RelayState>,
}

impl FaultRelay {
    /// Starts a relay in front of `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = Arc::new(RelayState::default());
        let shared = state.clone();
        thread::spawn(move || accept(&listener, target, &shared));
        Self { address, state }
    }

    /// Makes all open connections forward nothing from now on, without closing them. New ones work.
    pub fn silence(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.silent_before.store(opened + 1, Ordering::SeqCst);
    }

    /// Partitions the two sides from each other.
    pub fn partition(&self) {
        self.state.partitioned.store(true, Ordering::SeqCst);
    }

    /// Ends a partition. Connections that were opened before it still forward nothing.
    pub fn heal(&self) {
        self.silence();
        self.state.partitioned.store(false, Ordering::SeqCst);
    }
}

impl Drop for FaultRelay {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<RelayState>) {
    for stream in listener.incoming().map_while(Result::ok) {
        if state.stopped.load(Ordering::SeqCst) {
            return;
        }
        if state.partitioned.load(Ordering::SeqCst) {
            continue;
        }
        let Ok(upstream) = TcpStream::connect(target) else {
            continue;
        };
        let number = state.opened.fetch_add(1, Ordering::SeqCst) + 1;
        for (from, to) in [(&stream, &upstream), (&upstream, &stream)] {
            let ends = from
                .try_clone()
                .and_then(|from| Ok((from, to.try_clone()?)));
            let (from, to) = ends.expect("a socket can be shared");
            let state = state.clone();
            thread::spawn(move || forward(from, to, number, &state));
        }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, number: u64, state: &RelayState) {
    let _ = from.set_read_timeout(Some(READ_TIMEOUT));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; BUFFER_BYTES];
    while !state.stopped.load(Ordering::SeqCst) {
        let silent = number < state.silent_before.load(Ordering::SeqCst);
        if silent || state.partitioned.load(Ordering::SeqCst) {
            thread::sleep(READ_TIMEOUT);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) if to.write_all(&buffer[..count]).is_err() => break,
            Ok(_) => {}
            Err(error) if is_timeout(error.kind()) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
