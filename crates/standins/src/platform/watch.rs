//! Watches: long polls for changes of keys with a prefix.

use std::cell::RefCell;
use std::time::Duration;

use serde_json::json;
use tokio::time::{timeout_at, Instant};

use super::stats::CallStats;
use super::PlatformService;
use crate::http::{reply_ok, CallAnswer, HttpCall};

/// Counts a watch as waiting until it is dropped, also when the caller disconnects.
struct WatchGuard<'a> {
    stats: &'a RefCell<CallStats>,
}

impl<'a> WatchGuard<'a> {
    fn new(stats: &'a RefCell<CallStats>) -> Self {
        stats.borrow_mut().watch_started();
        Self { stats }
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.stats.borrow_mut().watch_ended();
    }
}

impl PlatformService {
    /// Responds immediately if a key changed since the given revision, otherwise at the
    /// next change or at the timeout.
    ///
    /// A deletion also ends the wait, but is visible only in the revision.
    pub(super) async fn handle_watch(&self, call: &HttpCall) -> CallAnswer {
        let prefix = call.param("prefix");
        let since = call.param_number("since").unwrap_or_default();
        let timeout = Duration::from_millis(call.param_number("wait_ms").unwrap_or_default());
        let deadline = Instant::now() + timeout;
        let _guard = WatchGuard::new(&self.stats);
        loop {
            let changed = self.store_changed.notified();
            if self.has_changed(prefix, since) || timeout_at(deadline, changed).await.is_err() {
                break;
            }
        }
        let store = self.store.borrow();
        let entries = store.changed_since(prefix, since);
        reply_ok(&json!({ "revision": store.revision(), "entries": entries }))
    }

    fn has_changed(&self, prefix: &str, since: u64) -> bool {
        let store = self.store.borrow();
        store.deleted_since(prefix, since) || !store.changed_since(prefix, since).is_empty()
    }
}
