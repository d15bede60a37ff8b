//! Idle connections to backend servers, kept for the next request.

use std::cell::RefCell;
use std::collections::BTreeMap;

use applefold_core::id::BackendId;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_h1::ResponseHead;

use super::connection::ClientConnection;

/// How long a connection is kept where the backend server does not say.
const UNSTATED_IDLE: TimeSpan = TimeSpan::from_millis(500);
/// How long before the stated end a connection is no longer used, so that a
/// request does not cross the backend server's close.
const IDLE_MARGIN: TimeSpan = TimeSpan::from_millis(150);
/// The most idle connections to one backend server.
const MAX_IDLE: usize = 64;

#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    until: TimePoint,
}

/// Idle connections by backend server, the last used first.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<BTreeMap<BackendId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes a connection on which nothing has come since its last exchange.
    pub(crate) fn take(&self, id: &BackendId, now: TimePoint) -> Option<ClientConnection> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(id)?;
        while let Some(mut kept) = idle.pop() {
            if kept.until > now && kept.connection.is_idle() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection after a whole answer with this head.
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
        let stated = head.idle_secs.map(TimeSpan::from_secs);
        let span = stated.unwrap_or(UNSTATED_IDLE);
        let until = now + span.saturating_sub(IDLE_MARGIN);
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(id.clone()).or_default();
        idle.retain(|kept| kept.until > now);
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection { connection, until });
        }
    }

    /// Closes the connections to a backend server that is gone.
    pub(crate) fn remove(&self, id: &BackendId) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes the connections that are no longer used.
    pub(crate) fn close_expired(&self, now: TimePoint) {
        let mut pool = self.idle.borrow_mut();
        for idle in pool.values_mut() {
            idle.retain(|kept| kept.until > now);
        }
        pool.retain(|_, idle| !idle.is_empty());
    }
}
