//! Watches, which wait for a change under a prefix.

use std::cell::RefCell;
use std::time::Duration;

use serde_json::json;
use tokio::time::{timeout_at, Instant};

use super::stats::CallStats;
use super::PlatformService;
use crate::http::{reply_ok, CallAnswer, HttpCall};

/// Counts a waiting watch for as long as it waits.
struct WatchGuard<'a> {
    stats: &'a RefCell<CallStats>,
}

impl<'a> WatchGuard<'a> {
    fn new(stats: &'a RefCell<CallStats>) -> Self {
        stats.borrow_mut().watch_begun();
        Self { stats }
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.stats.borrow_mut().watch_ended();
    }
}

impl PlatformService {
    /// Answers at once where there is news, else when some comes or time is up.
    ///
    /// A deletion ends the wait as well; it shows in the revision alone.
    pub(super) async fn handle_watch(&self, call: &HttpCall) -> CallAnswer {
        let prefix = call.param("prefix");
        let since = call.param_number("since").unwrap_or_default();
        let wait = Duration::from_millis(call.param_number("wait_ms").unwrap_or_default());
        let deadline = Instant::now() + wait;
        let _guard = WatchGuard::new(&self.stats);
        loop {
            let changed = self.changed.notified();
            if self.has_news(prefix, since) || timeout_at(deadline, changed).await.is_err() {
                break;
            }
        }
        let store = self.store.borrow();
        let entries = store.changed(prefix, since);
        reply_ok(&json!({ "revision": store.revision(), "entries": entries }))
    }

    fn has_news(&self, prefix: &str, since: u64) -> bool {
        let store = self.store.borrow();
        store.deleted_since(prefix, since) || !store.changed(prefix, since).is_empty()
    }
}
