//! A pool of idle keep-alive connections to backend servers.

use std::cell::RefCell;
use std::collections::BTreeMap;

use applefold_core::id::BackendId;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_h1::ResponseHead;

use super::connection::ClientConnection;

/// How long an idle connection is kept if the response states no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// How long before its keep-alive timeout a connection is no longer used, so that a request is
/// not sent while the backend server closes the connection.
const EXPIRY_MARGIN: TimeSpan = TimeSpan::from_millis(150);
/// The most idle connections kept per backend server.
const MAX_IDLE_PER_BACKEND: usize = 64;

#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    /// When it is no longer used.
    expires_at: TimePoint,
}

/// Idle connections by backend server. The one that was used last is taken first.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<BTreeMap<BackendId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection, if one is open and has received no byte since its last response.
    pub(crate) fn take(&self, id: &BackendId, now: TimePoint) -> Option<ClientConnection> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(id)?;
        while let Some(mut kept) = idle.pop() {
            if kept.expires_at > now && kept.connection.is_idle() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response with this head. A connection that
    /// cannot be reused, or is one too many, is closed.
    pub(crate) fn put(
        &self,
        id: &BackendId,
        mut connection: ClientConnection,
        head: &ResponseHead,
        now: TimePoint,
    ) {
        if !head.keep_alive || !connection.is_idle() {
            return;
        }
        connection.mark_reused();
        let stated = head.idle_timeout_secs.map(TimeSpan::from_secs);
        let timeout = stated.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let expires_at = now + timeout.saturating_sub(EXPIRY_MARGIN);
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(id.clone()).or_default();
        idle.retain(|kept| kept.expires_at > now);
        if idle.len() < MAX_IDLE_PER_BACKEND {
            idle.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes idle connections until at most this many are left.
    pub(crate) fn shrink(&self, most: usize) {
        let mut pool = self.idle.borrow_mut();
        let count: usize = pool.values().map(Vec::len).sum();
        let mut surplus = count.saturating_sub(most);
        for idle in pool.values_mut() {
            let closed = surplus.min(idle.len());
            idle.drain(..closed);
            surplus -= closed;
        }
    }

    /// Closes the idle connections to a backend server that is leaving or gone.
    pub(crate) fn remove(&self, id: &BackendId) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes the connections that have expired.
    pub(crate) fn close_expired(&self, now: TimePoint) {
        let mut pool = self.idle.borrow_mut();
        for idle in pool.values_mut() {
            idle.retain(|kept| kept.expires_at > now);
        }
        pool.retain(|_, idle| !idle.is_empty());
    }
}
