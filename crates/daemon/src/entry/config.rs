//! The replica of the configuration at this entry, and the tasks that keep it current.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::CallRefusal;
use applefold_core::config::ServingConfig;
use applefold_core::id::{InstanceId, Revision};
use applefold_core::quorum::{ListedInstance, QuorumCount};
use applefold_core::replication::{ConfigReplica, Confirmation, ReplicationAction};
use applefold_core::ticket::{ConfigPush, LogCompaction};
use applefold_core::unit::TimePoint;
use applefold_wire::applefold_capnp::session;
use eyre::{Result, WrapErr};
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

use super::state::EntryState;

const TICK_PERIOD: Duration = Duration::from_millis(100);
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
const COMPACT_PERIOD: Duration = Duration::from_secs(10);

/// The configuration replica, and the tasks that wait for a change of it.
pub(crate) struct ConfigManager {
    replica: RefCell<ConfigReplica>,
    changed: Notify,
}

impl ConfigManager {
    pub(crate) fn new(replica: ConfigReplica) -> Self {
        Self {
            replica: RefCell::new(replica),
            changed: Notify::new(),
        }
    }

    /// Calls `look` with the configuration in force.
    pub(crate) fn with<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&ServingConfig) -> T,
    {
        look(self.replica.borrow().config())
    }

    pub(crate) fn revision(&self) -> Revision {
        self.with(|config| config.revision)
    }

    /// Returns the revision and its confirmation, as sent to peers.
    pub(crate) fn confirmation(&self, now: TimePoint) -> Confirmation {
        self.replica.borrow().confirmation(now)
    }

    /// Decides whether to serve a request that carries a caller key.
    ///
    /// # Errors
    ///
    /// Refuses if the configuration may be outdated.
    pub(crate) fn serves_keyed(&self, now: TimePoint) -> Result<(), CallRefusal> {
        self.replica.borrow().serves_keyed(now)
    }

    /// Returns how many of the listed entries are reachable, as input to the quorum rules.
    pub(crate) fn quorum_count(&self, now: TimePoint) -> QuorumCount {
        self.replica.borrow().reachable_count(now)
    }

    /// Starts counting the reachable entries, before a ticket is filed.
    pub(crate) fn begin_filing(&self, now: TimePoint) {
        self.replica.borrow_mut().begin_filing(now);
    }

    /// Decides whether a ticket may be filed through this entry.
    ///
    /// # Errors
    ///
    /// Refuses if too few entries are reachable.
    pub(crate) fn may_file(&self, now: TimePoint) -> Result<(), CallRefusal> {
        self.replica.borrow().may_file(now)
    }

    /// Returns whether a ticket in the log may be acknowledged: whether enough entries run its
    /// revision.
    pub(crate) fn may_acknowledge(&self, revision: Revision) -> bool {
        self.replica.borrow().may_acknowledge(revision)
    }

    /// Returns the number of log entries that could not be parsed.
    pub(crate) fn refused_entries(&self) -> u64 {
        self.replica.borrow().reader().refused_entries()
    }

    /// Replaces the list of entries.
    pub(crate) fn update_fleet(&self, entries: &[ListedInstance]) {
        self.replica.borrow_mut().update_fleet(entries);
    }

    /// Records a peer's reply to a heartbeat that was sent at `sent_at`.
    pub(crate) fn handle_reply(
        &self,
        peer: &InstanceId,
        confirmation: Confirmation,
        sent_at: TimePoint,
    ) {
        self.replica
            .borrow_mut()
            .handle_reply(peer, confirmation, sent_at);
    }

    /// Records the confirmation in a peer's own heartbeat, which is no reply.
    pub(crate) fn observe_peer(&self, peer: &InstanceId, confirmation: &Confirmation) {
        self.replica.borrow_mut().observe_peer(peer, confirmation);
    }

    /// Returns the update for a peer that has revision `known`.
    pub(crate) fn push_since(&self, known: Revision) -> ConfigPush {
        self.replica.borrow().push_since(known)
    }

    /// Returns a future that completes at the next change of the configuration.
    pub(crate) fn wait_change(&self) -> Notified<'_> {
        self.changed.notified()
    }
}

/// Calls `change` with the replica, and applies the configuration if that raised its revision.
fn update<T, F>(state: &EntryState, change: F) -> T
where
    F: FnOnce(&mut ConfigReplica) -> T,
{
    let before = state.config.revision();
    let result = change(&mut state.config.replica.borrow_mut());
    if state.config.revision() > before {
        state.apply_config();
        state.config.changed.notify_waiters();
    }
    result
}

/// Merges a configuration update from a peer or from the filing of a ticket.
pub(crate) fn apply_push(state: &EntryState, push: ConfigPush) {
    update(state, |replica| replica.handle_push(push));
}

/// Keeps the configuration current until the process ends.
pub(crate) async fn run(state: Rc<EntryState>) {
    loop {
        let now = state.now();
        let actions = update(&state, |replica| replica.tick(now));
        for action in actions {
            perform(&state, action);
        }
        actix_rt::time::sleep(TICK_PERIOD).await;
    }
}

fn perform(state: &Rc<EntryState>, action: ReplicationAction) {
    match action {
        ReplicationAction::Heartbeat { peer } => state.links.borrow().wake(&peer),
        ReplicationAction::Fetch { peer, known } => {
            let link = state.links.borrow().peer(&peer);
            if let Some(link) = link {
                actix_rt::spawn(fetch_or_log(state.clone(), link.session, known));
            }
        }
        ReplicationAction::Call { number, call } => {
            let state = state.clone();
            actix_rt::spawn(async move {
                let sent_at = state.now();
                let answer = state.platform.config(call).await;
                let now = state.now();
                update(&state, |replica| {
                    replica.handle_answer(number, answer, sent_at, now)
                });
            });
        }
    }
}

/// Fetches the changes after revision `known` from a peer. Failures are only logged.
pub(crate) async fn fetch_or_log(state: Rc<EntryState>, session: session::Client, known: Revision) {
    if let Err(error) = fetch(&state, &session, known).await {
        log::debug!("could not fetch the configuration from a peer: {error:#}");
    }
}

async fn fetch(state: &EntryState, session: &session::Client, known: Revision) -> Result<()> {
    let mut request = session.fetch_request();
    request.get().set_known(known.0);
    let reply = actix_rt::time::timeout(FETCH_TIMEOUT, request.send().promise).await;
    let reply = reply.wrap_err("the peer did not reply in time")??;
    let text = reply.get()?.get_update()?.get_body()?.to_str()?;
    apply_push(state, ConfigPush::from_json(text)?);
    Ok(())
}

/// Compacts the configuration log in the store whenever that is due and this entry is one of its
/// watchers.
pub(crate) async fn compact(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(COMPACT_PERIOD).await;
        let Some(mut run) = due_compaction(&state) else {
            continue;
        };
        while let Some(call) = run.next_call() {
            run.handle_reply(state.platform.config(call).await);
        }
    }
}

fn due_compaction(state: &EntryState) -> Option<LogCompaction> {
    let replica = state.config.replica.borrow();
    if !replica.is_watcher(state.now()) {
        return None;
    }
    LogCompaction::due(replica.config(), replica.reader().snapshot_revision())
}
