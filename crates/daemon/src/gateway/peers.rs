//! The other entries, and the state received from them by gossip.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use applefold_core::direct::{choose_issuer, IssuerChoice, PeerReach, WindowCounts};
use applefold_core::id::{InstanceId, Revision, TeamId, WindowId};
use applefold_core::rank::NameRank;
use applefold_core::unit::{TimePoint, TimeSpan};
use smol_str::SmolStr;

use super::messages::UsageCount;
use super::usage;

/// The number of past usage windows for which the counts of peers are kept.
const KEPT_WINDOWS: u64 = 6;
/// The silence after which a process run with a lower number is accepted as the newer one. Run
/// numbers come from the clock, which may have stepped back before a restart.
const RUN_SILENCE: TimeSpan = TimeSpan::from_millis(400);
/// The age up to which a message from the lease holder keeps others from acquiring the lease.
const MAX_HOLDER_AGE: TimeSpan = TimeSpan::from_millis(1_200);
/// The age up to which the configuration revision of a peer is trusted.
const MAX_REVISION_AGE: TimeSpan = TimeSpan::from_secs(2);

/// The age of its last message up to which an entry counts as live in the read order.
const MAX_LIVE_AGE: TimeSpan = TimeSpan::from_secs(1);

/// The age up to which a peer's report counts of whom it does not hear.
const MAX_UNHEARD_AGE: TimeSpan = TimeSpan::from_millis(1_500);
/// The most entries in such a report.
const MAX_UNHEARD: usize = 250;

/// Returns the hash that stands for an entry's name in reports of whom a peer does not hear.
fn name_hash(entry: &InstanceId) -> u32 {
    reader_name_rank(entry).value() as u32
}

/// Returns the rank of an entry in the read order: the first live entry reads the store on behalf
/// of all.
pub(crate) fn reader_name_rank(entry: &InstanceId) -> NameRank {
    NameRank::of("reader", entry.as_str())
}

/// The latest state received from one peer.
#[derive(Clone, Debug)]
struct PeerState {
    run: u64,
    /// The highest sequence number of its load messages.
    sequence: u64,
    received_at: TimePoint,
    /// When it last sent its usage counts, by its own time since the Unix epoch.
    counts_sent_at: TimeSpan,
    revision: Revision,
    holds_lease: bool,
    address: SocketAddr,
    /// Its rank in the read order; the lowest reads first.
    rank: NameRank,
    /// The least difference seen between receive and send time, by the clocks of the two entries.
    /// Whatever exceeds it is transit time.
    least_lag_us: i64,
    /// The hashes of the entries that it does not hear from, and when it said so.
    unheard: BTreeSet<u32>,
    unheard_at: TimePoint,
}

impl PeerState {
    fn is_live(&self, now: TimePoint) -> bool {
        now.since(self.received_at) <= MAX_LIVE_AGE
    }

    /// Returns the hashes of the entries that it does not hear from.
    fn unheard(&self, now: TimePoint) -> impl Iterator<Item = &u32> {
        let fresh = now.since(self.unheard_at) <= MAX_UNHEARD_AGE;
        self.unheard.iter().filter(move |_| fresh)
    }
}

/// The sender of a gossip message, and when the message was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageSource<'a> {
    /// The sending entry.
    pub(crate) id: &'a InstanceId,
    /// The run of its process.
    pub(crate) run: u64,
    /// The address that it sends from and listens on.
    pub(crate) address: SocketAddr,
    /// The configuration revision in force there.
    pub(crate) revision: Revision,
    /// Whether it holds the duty lease.
    pub(crate) holds_lease: bool,
    /// When the message was received.
    pub(crate) received_at: TimePoint,
}

/// The peers that have the newest configuration.
#[derive(Clone, Debug)]
pub(crate) struct ConfigHolders {
    pub(crate) addresses: Vec<SocketAddr>,
    /// The entries that do not have it, this one included.
    pub(crate) lagging: usize,
}

/// The other entries, their latest state, and their usage counts.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<InstanceId, SocketAddr>,
    states: BTreeMap<InstanceId, PeerState>,
    /// Usage counts by window and by process run, as [`usage::run_name`] names it.
    counts: BTreeMap<WindowId, BTreeMap<SmolStr, WindowCounts>>,
}

impl PeerTable {
    /// Returns whether no other entry is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the names of the other entries.
    pub(crate) fn names(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.keys()
    }

    /// Returns the peer addresses of the other entries.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().copied().collect()
    }

    /// Replaces the membership list, and forgets the state of entries that are no longer on it.
    pub(crate) fn set_peers(&mut self, peers: BTreeMap<InstanceId, SocketAddr>) {
        self.states.retain(|id, _| peers.contains_key(id));
        self.peers = peers;
    }

    /// Returns how many other entries are known.
    pub(crate) fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of live peers that precede `own` in the read order; `None` if no peer is
    /// live.
    pub(crate) fn read_rank(&self, own: NameRank, now: TimePoint) -> Option<usize> {
        let mut live = self.live(now).peekable();
        live.peek()?;
        Some(live.filter(|(_, state)| state.rank < own).count())
    }

    /// Returns whether a peer was heard from recently.
    pub(crate) fn has_live(&self, now: TimePoint) -> bool {
        self.live(now).next().is_some()
    }

    /// Returns what this entry, `own`, knows of the reach of each listed peer, in the order of names.
    pub(crate) fn reach(&self, own: &InstanceId, now: TimePoint) -> Vec<PeerReach> {
        let own = name_hash(own);
        let mut unheard_by: BTreeMap<u32, usize> = BTreeMap::new();
        for (_, state) in self.live(now) {
            for hash in state.unheard(now) {
                *unheard_by.entry(*hash).or_default() += 1;
            }
        }
        let peers = self.peers.keys().map(|id| {
            let state = self.states.get(id);
            PeerReach {
                rank: reader_name_rank(id),
                heard: state.is_some_and(|state| state.is_live(now)),
                deaf: state.is_some_and(|state| state.unheard(now).any(|hash| *hash == own)),
                unheard_by: unheard_by.get(&name_hash(id)).copied().unwrap_or(0),
            }
        });
        peers.collect()
    }

    /// Returns the same, with the peers that `excluded` holds for as out of reach.
    pub(crate) fn reach_without<F>(
        &self,
        own: &InstanceId,
        excluded: F,
        now: TimePoint,
    ) -> Vec<PeerReach>
    where
        F: Fn(&InstanceId) -> bool,
    {
        let mut reach = self.reach(own, now);
        for (peer, name) in reach.iter_mut().zip(self.peers.keys()) {
            if excluded(name) {
                peer.heard = false;
                peer.unheard_by = self.peers.len();
            }
        }
        reach
    }

    /// Returns the peer that issues the permits of the backend server with this rank; `None` if this
    /// entry, `own`, does.
    pub(crate) fn permit_issuer(
        &self,
        own: &InstanceId,
        backend: NameRank,
        now: TimePoint,
    ) -> Option<(InstanceId, SocketAddr)> {
        let reach = self.reach(own, now);
        let IssuerChoice::Peer(index) = choose_issuer(reader_name_rank(own), &reach, backend)
        else {
            return None;
        };
        self.peer_at(index)
    }

    /// Returns the peer with this index in [`Self::reach`].
    pub(crate) fn peer_at(&self, index: usize) -> Option<(InstanceId, SocketAddr)> {
        let (id, listed) = self.peers.iter().nth(index)?;
        let heard_at = self.states.get(id).map(|state| state.address);
        Some((id.clone(), heard_at.unwrap_or(*listed)))
    }

    /// Returns the hashes of the names of listed peers that have been silent.
    pub(crate) fn silent_peers(&self, now: TimePoint) -> Vec<u32> {
        let silent = self.peers.keys();
        let silent = silent.filter(|id| {
            let state = self.states.get(*id);
            !state.is_some_and(|state| state.is_live(now))
        });
        silent.map(name_hash).take(MAX_UNHEARD).collect()
    }

    /// Records which entries a peer does not hear from.
    pub(crate) fn note_unheard(&mut self, id: &InstanceId, unheard: &[u32], now: TimePoint) {
        if let Some(state) = self.states.get_mut(id) {
            state.unheard = unheard.iter().copied().collect();
            state.unheard_at = now;
        }
    }

    /// Returns the peers that were heard from recently.
    fn live(&self, now: TimePoint) -> impl Iterator<Item = (&InstanceId, &PeerState)> {
        let states = self.states.iter();
        states.filter(move |(_, state)| state.is_live(now))
    }

    /// Records a message that an entry sent at `sent_at` by its own time since the Unix epoch.
    /// Returns the time that the message spent in transit and in the buffer here; `None` if it
    /// belongs to an outdated process run.
    pub(crate) fn note_message(
        &mut self,
        source: &MessageSource<'_>,
        sent_at: TimeSpan,
    ) -> Option<TimeSpan> {
        let lag_us = source.received_at.0 as i64 - sent_at.0 as i64;
        let known = self.states.get_mut(source.id);
        let Some(state) = known.filter(|state| state.run == source.run) else {
            // A new entry needs gossip before the membership list is read again.
            self.peers
                .entry(source.id.clone())
                .or_insert(source.address);
            return self.begin_run(source, lag_us).then_some(TimeSpan::ZERO);
        };
        state.least_lag_us = state.least_lag_us.min(lag_us);
        let delay = TimeSpan((lag_us - state.least_lag_us) as u64);
        state.received_at = source.received_at;
        state.revision = source.revision;
        state.holds_lease = source.holds_lease;
        state.address = source.address;
        Some(delay)
    }

    /// Starts to track a process run; returns `false` if the tracked run is the newer one.
    fn begin_run(&mut self, source: &MessageSource<'_>, lag_us: i64) -> bool {
        if let Some(state) = self.states.get(source.id) {
            let silent = source.received_at.since(state.received_at) > RUN_SILENCE;
            if source.run < state.run && !silent {
                return false;
            }
        }
        let state = PeerState {
            run: source.run,
            sequence: 0,
            received_at: source.received_at,
            counts_sent_at: TimeSpan::ZERO,
            revision: source.revision,
            holds_lease: source.holds_lease,
            address: source.address,
            rank: reader_name_rank(source.id),
            least_lag_us: lag_us,
            unheard: BTreeSet::new(),
            unheard_at: TimePoint::START,
        };
        self.states.insert(source.id.clone(), state);
        true
    }

    /// Records the sequence number of a load message; returns whether it is the highest one of the
    /// current process run.
    pub(crate) fn accept_sequence(&mut self, id: &InstanceId, sequence: u64) -> bool {
        let Some(state) = self.states.get_mut(id) else {
            return false;
        };
        let newer = sequence > state.sequence;
        state.sequence = sequence.max(state.sequence);
        newer
    }

    /// Merges usage counts of a peer. Counts only grow, so their order does not matter.
    pub(crate) fn note_usage(
        &mut self,
        source: &MessageSource<'_>,
        sent_at: TimeSpan,
        usage: &[UsageCount],
    ) {
        if let Some(state) = self.states.get_mut(source.id) {
            state.counts_sent_at = sent_at.max(state.counts_sent_at);
        }
        let run = usage::run_name(source.id, source.run);
        for update in usage {
            let Ok(team) = update.team.parse::<TeamId>() else {
                continue;
            };
            let runs = self.counts.entry(WindowId(update.window)).or_default();
            let counts = runs.entry(run.clone()).or_default();
            let known = counts.entry(team).or_default();
            *known = update.count.max(*known);
        }
        if let Some(newest) = self.counts.keys().next_back().copied() {
            let oldest = WindowId(newest.0.saturating_sub(KEPT_WINDOWS));
            self.counts = self.counts.split_off(&oldest);
        }
    }

    /// Returns the usage counts of a window by process run of the other entries.
    pub(crate) fn counts(&self, window: WindowId) -> BTreeMap<SmolStr, WindowCounts> {
        self.counts.get(&window).cloned().unwrap_or_default()
    }

    /// Returns the usage counts of the process runs that have been silent for `silence` and may be
    /// gone.
    pub(crate) fn counts_of_silent(
        &self,
        window: WindowId,
        silence: TimeSpan,
        now: TimePoint,
    ) -> BTreeMap<SmolStr, WindowCounts> {
        let live = self
            .states
            .iter()
            .filter(|(_, state)| now.since(state.received_at) < silence);
        let live: Vec<SmolStr> = live
            .map(|(id, state)| usage::run_name(id, state.run))
            .collect();
        let mut counts = self.counts(window);
        counts.retain(|run, _| !live.contains(run));
        counts
    }

    /// Returns whether an entry has sent its usage counts at `time` since the Unix epoch or later.
    pub(crate) fn has_sent_counts(&self, id: &InstanceId, time: TimeSpan) -> bool {
        self.states
            .get(id)
            .is_some_and(|state| state.counts_sent_at >= time)
    }

    /// Returns whether a peer has claimed the duty lease within [`MAX_HOLDER_AGE`].
    pub(crate) fn is_lease_held(&self, now: TimePoint) -> bool {
        let fresh = |state: &PeerState| now.since(state.received_at) <= MAX_HOLDER_AGE;
        self.states
            .values()
            .any(|state| state.holds_lease && fresh(state))
    }

    /// Returns the peers with the newest configuration, if that is newer than `revision`.
    pub(crate) fn config_holders(
        &self,
        revision: Revision,
        now: TimePoint,
    ) -> Option<ConfigHolders> {
        let fresh = |state: &&PeerState| now.since(state.received_at) <= MAX_REVISION_AGE;
        let states = || self.states.values().filter(fresh);
        let newest = states().map(|state| state.revision).max()?;
        let holders = states().filter(|state| state.revision == newest);
        let addresses: Vec<SocketAddr> = holders.map(|state| state.address).collect();
        (newest > revision).then(|| ConfigHolders {
            lagging: states().count() + 1 - addresses.len(),
            addresses,
        })
    }
}
