//! The other entries, and what they have told.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use applefold_core::direct::WindowCounts;
use applefold_core::id::{InstanceId, Revision, TeamId, WindowId};
use applefold_core::rank::NameRank;
use applefold_core::unit::{TimePoint, TimeSpan};
use smol_str::SmolStr;

use super::messages::UsageCount;
use super::usage;

/// How many windows back counts of others are kept.
const KEPT_WINDOWS: u64 = 6;
/// After how much silence another run of an entry under a lower number is believed to be
/// the later one, as after a step of its clock.
const RUN_SILENCE: TimeSpan = TimeSpan::from_millis(400);
/// The oldest word of a holder that keeps others from asking for its lease.
const HOLDER_AGE: TimeSpan = TimeSpan::from_millis(1_200);
/// The oldest word of a configuration that is followed.
const REVISION_AGE: TimeSpan = TimeSpan::from_secs(2);

/// The oldest word of an entry that is counted among the readers.
const SPEAKING_AGE: TimeSpan = TimeSpan::from_secs(1);

/// Returns an entry's place in the order in which entries ask the store for all of them.
pub(crate) fn reader_rank(entry: &InstanceId) -> NameRank {
    NameRank::of("reader", entry.as_str())
}

/// How far the news of one entry have come.
#[derive(Clone, Copy, Debug)]
struct PeerMark {
    run: u64,
    sequence: u64,
    heard_at: TimePoint,
    /// The entry's own time since the epoch when it last told its counts.
    counted_at: TimeSpan,
    revision: Revision,
    holds: bool,
    address: SocketAddr,
    /// Its place in the order of readers, the lowest first.
    rank: NameRank,
    /// The least difference seen between when its news came and when they were told, by the
    /// clocks of the two; what exceeds it is time on the way.
    least_lag_us: i64,
}

/// Who told something, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageSource<'a> {
    /// The entry.
    pub(crate) id: &'a InstanceId,
    /// The run of its process.
    pub(crate) run: u64,
    /// Where it sent from, which is also where it listens.
    pub(crate) address: SocketAddr,
    /// The revision of the configuration that it has in force.
    pub(crate) revision: Revision,
    /// Whether it holds the lease of the work for the platform.
    pub(crate) holds: bool,
    /// When its news came.
    pub(crate) heard_at: TimePoint,
}

/// The other entries, and what they told.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<InstanceId, SocketAddr>,
    marks: BTreeMap<InstanceId, PeerMark>,
    counts: BTreeMap<WindowId, BTreeMap<SmolStr, WindowCounts>>,
}

impl PeerTable {
    /// Returns whether no other entry is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the names of the others.
    pub(crate) fn names(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.keys()
    }

    /// Returns where the others listen.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().copied().collect()
    }

    /// Replaces the list of the others.
    pub(crate) fn set_peers(&mut self, peers: BTreeMap<InstanceId, SocketAddr>) {
        self.marks.retain(|id, _| peers.contains_key(id));
        self.peers = peers;
    }

    /// Returns how many other entries are known.
    pub(crate) fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns how many entries that speak come before one of this rank in the order of readers;
    /// `None` where no other one speaks.
    pub(crate) fn place(&self, own: NameRank, now: TimePoint) -> Option<usize> {
        let speaking = self.marks.values();
        let mut speaking = speaking
            .filter(|mark| now.since(mark.heard_at) <= SPEAKING_AGE)
            .peekable();
        speaking.peek()?;
        Some(speaking.filter(|mark| mark.rank < own).count())
    }

    /// Takes in that an entry has spoken, at `told_at` by its own time since the epoch; returns
    /// how long that was on its way or waited here, `None` where it is not the run that
    /// speaks now.
    pub(crate) fn note_message(
        &mut self,
        source: &MessageSource<'_>,
        told_at: TimeSpan,
    ) -> Option<TimeSpan> {
        let lag_us = source.heard_at.0 as i64 - told_at.0 as i64;
        let known = self.marks.get_mut(source.id);
        let Some(mark) = known.filter(|mark| mark.run == source.run) else {
            return self.begin_run(source, lag_us).then_some(TimeSpan::ZERO);
        };
        mark.least_lag_us = mark.least_lag_us.min(lag_us);
        let delay = TimeSpan((lag_us - mark.least_lag_us) as u64);
        mark.heard_at = source.heard_at;
        mark.revision = source.revision;
        mark.holds = source.holds;
        mark.address = source.address;
        Some(delay)
    }

    fn begin_run(&mut self, source: &MessageSource<'_>, lag_us: i64) -> bool {
        if let Some(mark) = self.marks.get(source.id) {
            let silent = source.heard_at.since(mark.heard_at) > RUN_SILENCE;
            if source.run < mark.run && !silent {
                return false;
            }
        }
        let mark = PeerMark {
            run: source.run,
            sequence: 0,
            heard_at: source.heard_at,
            counted_at: TimeSpan::ZERO,
            revision: source.revision,
            holds: source.holds,
            address: source.address,
            rank: reader_rank(source.id),
            least_lag_us: lag_us,
        };
        self.marks.insert(source.id.clone(), mark);
        true
    }

    /// Returns whether loads are newer than all before them from the run that speaks now.
    pub(crate) fn accept(&mut self, id: &InstanceId, sequence: u64) -> bool {
        let Some(mark) = self.marks.get_mut(id) else {
            return false;
        };
        let newer = sequence > mark.sequence;
        mark.sequence = sequence.max(mark.sequence);
        newer
    }

    /// Takes in counts; they only grow, so their order does not matter.
    pub(crate) fn note_usage(
        &mut self,
        source: &MessageSource<'_>,
        told_at: TimeSpan,
        usage: &[UsageCount],
    ) {
        if let Some(mark) = self.marks.get_mut(source.id) {
            mark.counted_at = told_at.max(mark.counted_at);
        }
        let part = usage::run_name(source.id, source.run);
        for one in usage {
            let Ok(team) = one.team.parse::<TeamId>() else {
                continue;
            };
            let parts = self.counts.entry(WindowId(one.window)).or_default();
            let counts = parts.entry(part.clone()).or_default();
            let known = counts.entry(team).or_default();
            *known = one.count.max(*known);
        }
        if let Some(newest) = self.counts.keys().next_back().copied() {
            let oldest = WindowId(newest.0.saturating_sub(KEPT_WINDOWS));
            self.counts = self.counts.split_off(&oldest);
        }
    }

    /// Returns what each run of another entry has told that it counted in a window.
    pub(crate) fn counts(&self, window: WindowId) -> BTreeMap<SmolStr, WindowCounts> {
        self.counts.get(&window).cloned().unwrap_or_default()
    }

    /// Returns the same of the runs that have not spoken for `silence`, which may be gone.
    pub(crate) fn counts_of_silent(
        &self,
        window: WindowId,
        silence: TimeSpan,
        now: TimePoint,
    ) -> BTreeMap<SmolStr, WindowCounts> {
        let speaking = self
            .marks
            .iter()
            .filter(|(_, mark)| now.since(mark.heard_at) < silence);
        let speaking: Vec<SmolStr> = speaking
            .map(|(id, mark)| usage::run_name(id, mark.run))
            .collect();
        let mut counts = self.counts(window);
        counts.retain(|part, _| !speaking.contains(part));
        counts
    }

    /// Returns whether an entry has told its counts at `time` since the epoch or later.
    pub(crate) fn has_counted(&self, id: &InstanceId, time: TimeSpan) -> bool {
        self.marks
            .get(id)
            .is_some_and(|mark| mark.counted_at >= time)
    }

    /// Returns whether another entry says that it holds the lease.
    pub(crate) fn lease_holder_live(&self, now: TimePoint) -> bool {
        let fresh = |mark: &PeerMark| now.since(mark.heard_at) <= HOLDER_AGE;
        self.marks.values().any(|mark| mark.holds && fresh(mark))
    }

    /// Returns where the entry with the newest configuration listens, if that is newer than
    /// `revision`.
    pub(crate) fn newer_config(
        &self,
        revision: Revision,
        now: TimePoint,
    ) -> Option<(SocketAddr, Revision)> {
        let fresh = self.marks.values();
        let fresh = fresh.filter(|mark| now.since(mark.heard_at) <= REVISION_AGE);
        let newest = fresh.max_by_key(|mark| mark.revision)?;
        (newest.revision > revision).then_some((newest.address, newest.revision))
    }

    /// Leaves an entry's configuration aside until the entry speaks again.
    pub(crate) fn distrust_config(&mut self, address: SocketAddr) {
        let doubted = self.marks.values_mut();
        for mark in doubted.filter(|mark| mark.address == address) {
            mark.revision = Revision(0);
        }
    }
}
