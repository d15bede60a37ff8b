//! Open connections, which faults cut or silence.

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

/// What faults have done to one connection.
#[derive(Default)]
struct ConnectionState {
    cut: Notify,
    silent: Cell<bool>,
}

/// The open connections by the peer's address.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    rows: RefCell<BTreeMap<SocketAddr, Rc<ConnectionState>>>,
}

impl ConnectionTable {
    /// Enters a connection, which leaves the table when the guard is dropped.
    pub(crate) fn open(self: &Rc<Self>, peer: SocketAddr) -> ConnectionGuard {
        let state = Rc::new(ConnectionState::default());
        self.rows.borrow_mut().insert(peer, state.clone());
        ConnectionGuard {
            table: self.clone(),
            peer,
            state,
        }
    }

    /// Cuts one connection.
    pub(crate) fn cut(&self, peer: SocketAddr) {
        if let Some(state) = self.rows.borrow().get(&peer) {
            state.cut.notify_one();
        }
    }

    /// Cuts every connection.
    pub(crate) fn cut_all(&self) {
        for state in self.rows.borrow().values() {
            state.cut.notify_one();
        }
    }

    /// Silences every connection for good but that of `peer`, as a middlebox
    /// does that has lost track of them.
    pub(crate) fn silence_all_but(&self, peer: SocketAddr) {
        let rows = self.rows.borrow();
        for (_, state) in rows.iter().filter(|(other, _)| **other != peer) {
            state.silent.set(true);
        }
    }
}

/// Keeps a connection in the table.
pub(crate) struct ConnectionGuard {
    table: Rc<ConnectionTable>,
    peer: SocketAddr,
    state: Rc<ConnectionState>,
}

impl ConnectionGuard {
    /// Wraps the socket, so that silence reaches it.
    pub(crate) fn wrap(&self, socket: TcpStream) -> FaultyStream {
        FaultyStream {
            socket,
            state: self.state.clone(),
        }
    }

    /// Waits until a fault cuts the connection.
    pub(crate) async fn cut(&self) {
        self.state.cut.notified().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table.rows.borrow_mut().remove(&self.peer);
    }
}

/// A socket that neither reads nor writes once its connection is silent.
pub(crate) struct FaultyStream {
    socket: TcpStream,
    state: Rc<ConnectionState>,
}

impl FaultyStream {
    fn is_silent(&self) -> bool {
        self.state.silent.get()
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
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
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
