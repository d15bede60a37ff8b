//! Open connections, which injected faults close or blackhole.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Faults injected into one connection.
#[derive(Default)]
struct ConnectionState {
    cut: Notify,
    blackholed: Cell<bool>,
}

/// Open connections by peer address.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    rows: RefCell<BTreeMap<SocketAddr, Rc<ConnectionState>>>,
}

impl ConnectionTable {
    /// Adds a connection; dropping the returned guard removes it.
    pub(crate) fn open(self: &Rc<Self>, peer: SocketAddr) -> ConnectionGuard {
        let state = Rc::new(ConnectionState::default());
        self.rows.borrow_mut().insert(peer, state.clone());
        ConnectionGuard {
            table: self.clone(),
            peer,
            state,
        }
    }

    /// Closes the connection from `peer`, if it is open.
    pub(crate) fn cut(&self, peer: SocketAddr) {
        if let Some(state) = self.rows.borrow().get(&peer) {
            state.cut.notify_one();
        }
    }

    /// Closes all connections.
    pub(crate) fn cut_all(&self) {
        for state in self.rows.borrow().values() {
            state.cut.notify_one();
        }
    }

    /// Permanently blackholes every connection except that of `peer`, like a middlebox that has
    /// lost its connection state.
    pub(crate) fn silence_all_but(&self, peer: SocketAddr) {
        let rows = self.rows.borrow();
        for (_, state) in rows.iter().filter(|(other, _)| **other != peer) {
            state.blackholed.set(true);
        }
    }
}

/// Keeps a connection in the table until it is dropped.
pub(crate) struct ConnectionGuard {
    table: Rc<ConnectionTable>,
    peer: SocketAddr,
    state: Rc<ConnectionState>,
}

impl ConnectionGuard {
    /// Wraps the socket, so that it stalls once the connection is blackholed.
    pub(crate) fn wrap(&self, socket: TcpStream) -> FaultyStream {
        FaultyStream {
            socket,
            state: self.state.clone(),
        }
    }

    /// Waits until the connection is to be closed, by a fault or at shutdown.
    pub(crate) async fn cut(&self) {
        self.state.cut.notified().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table.rows.borrow_mut().remove(&self.peer);
    }
}

/// Socket whose reads and writes stay pending once its connection is blackholed.
pub(crate) struct FaultyStream {
    socket: TcpStream,
    state: Rc<ConnectionState>,
}

impl FaultyStream {
    fn is_blackholed(&self) -> bool {
        self.state.blackholed.get()
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_blackholed() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_blackholed() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_blackholed() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_blackholed() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
