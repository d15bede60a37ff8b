//! Something between two ends of a connection that can lose track of it.

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
    /// Connections opened before this generation are silent.
    silent_before: AtomicU64,
    opened: AtomicU64,
    /// While set, new connections are closed and old ones silent: a partition.
    cut: AtomicBool,
    stopped: AtomicBool,
}

/// Passes bytes on to a target, until it is told not to.
pub struct SilentRelay {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<RelayState>,
}

impl SilentRelay {
    /// Starts a relay in front of `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let state = Arc::new(RelayState::default());
        let kept = state.clone();
        thread::spawn(move || accept(&listener, target, &kept));
        Self { address, state }
    }

    /// Makes every connection open now silent for good; new ones work.
    pub fn silence(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.silent_before.store(opened + 1, Ordering::SeqCst);
    }

    /// Cuts the two ends off from each other.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::SeqCst);
    }

    /// Ends a partition; connections from before it stay silent.
    pub fn heal(&self) {
        self.silence();
        self.state.cut.store(false, Ordering::SeqCst);
    }
}

impl Drop for SilentRelay {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<RelayState>) {
    for stream in listener.incoming().map_while(Result::ok) {
        if state.stopped.load(Ordering::SeqCst) {
            return;
        }
        if state.cut.load(Ordering::SeqCst) {
            continue;
        }
        let Ok(far) = TcpStream::connect(target) else {
            continue;
        };
        let number = state.opened.fetch_add(1, Ordering::SeqCst) + 1;
        for (from, to) in [(&stream, &far), (&far, &stream)] {
            let ends = from
                .try_clone()
                .and_then(|from| Ok((from, to.try_clone()?)));
            let (from, to) = ends.expect("a socket can be shared");
            let state = state.clone();
            thread::spawn(move || pump(from, to, number, &state));
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, number: u64, state: &RelayState) {
    let _ = from.set_read_timeout(Some(READ_TIMEOUT));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; BUFFER_BYTES];
    while !state.stopped.load(Ordering::SeqCst) {
        let silent = number < state.silent_before.load(Ordering::SeqCst);
        if silent || state.cut.load(Ordering::SeqCst) {
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
