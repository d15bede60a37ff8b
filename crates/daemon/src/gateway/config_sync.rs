//! Keeps the configuration at its newest revision, from the store or from other entries.
//!
//! Few entries watch the store for all. An entry that learns by gossip that it is behind gets the newest
//! configuration whole from the store, or the parts that it lacks from entries that have it. See
//! [docs/design/reading.md](../../../../docs/design/reading.md#large-configurations).

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::direct::{batch_size, ConfigPart, ConfigSource, HolderRotation, SourceInputs};
use applefold_core::unit::{ByteSize, TimePoint, TimeSpan};
use applefold_platform::StoreError;
use eyre::{eyre, Result};

use super::connection::TransferMeter;
use super::peer_sync::{self, ConfigOffer};
use super::peers::{reader_name_rank, ConfigHolders};
use super::replicas::{config_policy, CONFIG_WAIT};
use super::state::GatewayState;
use super::{gossip, rules};

/// How often the revisions of other entries are compared with the own one.
const CHECK_PERIOD: TimeSpan = TimeSpan::from_millis(100);
/// How long a newer revision is known at another entry before it is fetched although no position in the store's
/// history says that this entry lacks it.
const STORE_GRACE: TimeSpan = TimeSpan::from_millis(300);
/// How long a read of the store may go without any byte of the configuration before it is fetched from other
/// entries as well.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(300);
/// How long a transfer of the configuration has one link to itself before the other source is tried as well. A copy
/// of the largest one takes as long from the store on the narrowest links.
const TRANSFER_GRACE: Duration = Duration::from_millis(1_100);
/// How long a watch call waits for a change if this entry is not the first reader.
const POLL_WAIT: TimeSpan = TimeSpan::from_millis(1);
/// The longest delay after a failed call.
pub(super) const MAX_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(1_200);
/// How many holders may fail in a row before the store is read instead.
const MAX_FAILURES: usize = 3;

/// Keeps the rules at the newest revision for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>) {
    let mut sync = ConfigSync::default();
    loop {
        let policy = config_policy(gossip::round_interval(&state));
        let rank = state.read_rank();
        let tracker = &state.replicas.config;
        let wait = tracker.next_read_at(&policy, rank).since(state.now());
        let wait = Duration::from_micros(wait.min(CHECK_PERIOD).0);
        let notified = tokio::select! {
            () = actix_rt::time::sleep(wait) => false,
            () = tracker.behind.notified() => true,
        };
        let now = state.now();
        let result = if notified && tracker.is_behind() || sync.is_behind(&state, now) {
            sync.catch_up(&state).await
        } else if tracker.next_read_at(&policy, rank) <= now {
            let wait = if rank == 0 { CONFIG_WAIT } else { POLL_WAIT };
            sync.read_due(&state, wait).await
        } else {
            continue;
        };
        match result {
            // After a return from an older copy, the store has less than the other entries.
            Ok(()) => sync.failed = holders(&state).map(|_| ConfigSource::Store),
            Err(SyncError::Store(error)) => {
                log::info!(own = state.revision().0, rank, error = error.to_string();
                    "could not read the configuration from the store");
                sync.failed = Some(ConfigSource::Store);
                let span = policy.retry_delay(rank).min(MAX_RETRY_DELAY);
                tracker.note_failure(span, state.now());
            }
            Err(SyncError::Peers(error)) => {
                log::info!(own = state.revision().0, error = format!("{error:#}");
                    "could not fetch the configuration from other entries");
                sync.failed = Some(ConfigSource::Peers);
                actix_rt::time::sleep(Duration::from_micros(CHECK_PERIOD.0)).await;
            }
        }
    }
}

/// Why the configuration could not be brought up to date.
enum SyncError {
    Store(StoreError),
    Peers(eyre::Report),
}

/// What is known of the sources of the configuration.
#[derive(Default)]
struct ConfigSync {
    behind_since: Option<TimePoint>,
    /// The source that failed last, until the configuration was up to date again.
    failed: Option<ConfigSource>,
    rotation: RefCell<HolderRotation<SocketAddr>>,
}

impl ConfigSync {
    /// Returns whether another entry has had a newer configuration for a while.
    fn is_behind(&mut self, state: &GatewayState, now: TimePoint) -> bool {
        if holders(state).is_none() {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        now.since(since) >= STORE_GRACE
    }

    /// Reads what the store has that this entry lacks, since no other entry has confirmed its replica.
    async fn read_due(&self, state: &GatewayState, wait: TimeSpan) -> Result<(), SyncError> {
        let known = state.replicas.config.position();
        let known = known.filter(|known| known.era() == state.store.era());
        let Some(after) = known else {
            return self.read_store(state).await;
        };
        match rules::watch(state, after, wait).await {
            Ok(()) => Ok(()),
            // All versions since then would come, each whole, where the newest one is enough.
            Err(StoreError::Compacted | StoreError::TooLarge) => self.read_store(state).await,
            Err(error) => Err(SyncError::Store(error)),
        }
    }

    /// Gets the newest configuration from the source that suits best.
    async fn catch_up(&self, state: &GatewayState) -> Result<(), SyncError> {
        let tracker = &state.replicas.config;
        let now = state.now();
        let held = holders(state);
        let mut inputs = SourceInputs {
            holders: held.as_ref().map_or(0, |held| held.addresses.len()),
            lagging: held.as_ref().map_or(1, |held| held.lagging),
            size: ByteSize(state.config.borrow().bytes().len() as u64),
            missing: None,
            store_failing: tracker.is_backing_off(now),
            failed: self.failed,
        };
        let mut offer = None;
        if inputs.needs_parts() {
            match self.next_offer(state).await {
                Ok(known) => {
                    inputs.size = known.parts.size();
                    inputs.missing = Some(total(&missing(state, &known)));
                    offer = Some(known);
                }
                Err(error) => {
                    log::info!(error = format!("{error:#}");
                        "no other entry has told the parts of its configuration");
                    inputs.failed = Some(ConfigSource::Peers);
                }
            }
        }
        let source = inputs.choose();
        if source == ConfigSource::Store && inputs.store_failing {
            return Ok(());
        }
        log::info!(own = state.revision().0, source = format!("{source:?}"), holders = inputs.holders,
            lagging = inputs.lagging, size = inputs.size.0, store_failing = inputs.store_failing,
            missing = inputs.missing.map_or(0, |missing| missing.0); "configuration is behind");
        match source {
            ConfigSource::Store => self.read_store(state).await,
            ConfigSource::Peers => {
                let fetch = self.fetch_from_peers(state, offer);
                match inputs.store_failing {
                    true => fetch.await.map_err(SyncError::Peers),
                    false => {
                        let limited = tokio::time::timeout(TRANSFER_GRACE, fetch).await;
                        let slow = || Err(eyre!("the parts have not arrived in time"));
                        limited.unwrap_or_else(|_| slow()).map_err(SyncError::Peers)
                    }
                }
            }
        }
    }

    /// Reads the newest configuration from the store, and fetches it from other entries as well once that takes
    /// long. The read goes on if what these have may be older than what it will bring.
    async fn read_store(&self, state: &GatewayState) -> Result<(), SyncError> {
        let sent_at = state.now();
        let meter = TransferMeter::default();
        let helped = async {
            actix_rt::time::sleep(FIRST_BYTE_GRACE).await;
            if meter.received() > 0 {
                actix_rt::time::sleep(TRANSFER_GRACE - FIRST_BYTE_GRACE).await;
            }
            loop {
                let known = state.replicas.config.confirmed_at();
                if known.is_some_and(|known| known >= sent_at) && holders(state).is_none() {
                    return;
                }
                if holders(state).is_some() {
                    if let Err(error) = self.fetch_from_peers(state, None).await {
                        log::info!(error = format!("{error:#}");
                            "could not fetch the configuration from other entries");
                    }
                }
                actix_rt::time::sleep(Duration::from_micros(CHECK_PERIOD.0)).await;
            }
        };
        tokio::select! {
            read = rules::read(state, &meter) => read.map_err(SyncError::Store),
            () = helped => Ok(()),
        }
    }

    /// Fetches the parts of the newest configuration that this entry lacks from the entries that have it, and puts it
    /// in force. Parts that have arrived stay, also if this is given up.
    async fn fetch_from_peers(
        &self,
        state: &GatewayState,
        offer: Option<ConfigOffer>,
    ) -> Result<()> {
        let mut offer = match offer {
            Some(offer) => offer,
            None => self.next_offer(state).await?,
        };
        let mut failures = 0;
        loop {
            let lacking = missing(state, &offer);
            if lacking.is_empty() {
                return put_in_force(state, &offer);
            }
            let (Some(held), Some(holder)) = (holders(state), self.next_holder(state)) else {
                return Err(eyre!("no other entry has a newer configuration"));
            };
            let size = batch_size(held.addresses.len(), held.lagging);
            let asked_at = state.now();
            let fetched = peer_sync::fetch_parts(state, holder, &lacking, size).await;
            let now = state.now();
            let took = fetched.is_ok().then(|| now.since(asked_at));
            self.rotation.borrow_mut().record(holder, took, now);
            match fetched {
                Ok(0) => offer = self.next_offer(state).await?,
                Ok(_) => failures = 0,
                Err(error) => {
                    log::info!(from = holder.to_string(), error = format!("{error:#}");
                        "could not fetch parts of the configuration from another entry");
                    failures += 1;
                    if failures >= MAX_FAILURES {
                        return Err(error);
                    }
                }
            }
        }
    }

    /// Asks an entry that has the newest configuration for its parts.
    async fn next_offer(&self, state: &GatewayState) -> Result<ConfigOffer> {
        let holder = self.next_holder(state);
        let holder = holder.ok_or_else(|| eyre!("no other entry has a newer configuration"))?;
        let asked_at = state.now();
        let offer = peer_sync::fetch_offer(state, holder).await;
        let now = state.now();
        let took = offer.is_ok().then(|| now.since(asked_at));
        self.rotation.borrow_mut().record(holder, took, now);
        offer
    }

    fn next_holder(&self, state: &GatewayState) -> Option<SocketAddr> {
        let seed = reader_name_rank(&state.settings().instance);
        let addresses = holders(state)?.addresses;
        let mut rotation = self.rotation.borrow_mut();
        rotation.next(&addresses, seed, state.now())
    }
}

/// Returns the entries that have a newer configuration.
fn holders(state: &GatewayState) -> Option<ConfigHolders> {
    let peers = state.peers.borrow();
    peers.config_holders(state.revision(), state.now())
}

fn missing(state: &GatewayState, offer: &ConfigOffer) -> Vec<ConfigPart> {
    state.config.borrow_mut().missing(&offer.parts)
}

fn total(parts: &[ConfigPart]) -> ByteSize {
    parts.iter().map(|part| ByteSize(part.length.into())).sum()
}

/// Puts the configuration of an offer in force, all of whose parts are here. The replica has then reached the
/// position at which the other entry had it in force.
fn put_in_force(state: &GatewayState, offer: &ConfigOffer) -> Result<()> {
    let bytes = state.config.borrow().assemble(&offer.parts);
    let bytes = bytes.ok_or_else(|| eyre!("a part of the configuration has gone"))?;
    rules::apply(state, bytes, "peers")?;
    if let Some(digest) = offer.digest {
        let at = offer.asked_at - digest.age;
        let replica = &state.replicas.config;
        replica.confirm(digest.position, digest.last_change, at);
    }
    Ok(())
}
