use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::id::{InstanceId, TeamId};
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// The fraction of a limit that is divided evenly, so that an entry without earlier
/// demand has a share.
const EVEN_FRACTION: f64 = 0.1;
/// For how many heartbeat periods a larger share must be due before it is used.
const STABILIZATION_PERIODS: u64 = 3;
/// After how many heartbeat periods without a report or a request demand is forgotten.
const EXPIRY_PERIODS: u64 = 4;

/// The demand of a team at an entry in one heartbeat period, including refused requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamId,
    /// Prompt and generated tokens, at least one per request.
    pub tokens: TokenCount,
}

#[derive(Clone, Debug)]
struct PeerRow {
    received_at: TimePoint,
    entries: u32,
    demands: BTreeMap<TeamId, TokenCount>,
}

#[derive(Clone, Copy, Debug)]
struct ShareSample {
    share: f64,
    replaced_at: Option<TimePoint>,
}

/// The minimum of the target shares over a sliding window of time.
///
/// Samples that can no longer become the minimum are dropped.
#[derive(Clone, Debug, Default)]
struct ShareWindow {
    samples: VecDeque<ShareSample>,
}

impl ShareWindow {
    fn push(&mut self, share: f64, now: TimePoint, stabilization: TimeSpan) {
        if let Some(last) = self.samples.back_mut() {
            last.replaced_at = Some(now);
        }
        while self.samples.back().is_some_and(|last| last.share >= share) {
            self.samples.pop_back();
        }
        self.samples.push_back(ShareSample {
            share,
            replaced_at: None,
        });
        while self
            .samples
            .front()
            .is_some_and(|first| first.is_expired(now, stabilization))
        {
            self.samples.pop_front();
        }
    }

    fn minimum(&self, now: TimePoint, stabilization: TimeSpan) -> f64 {
        let mut recent = self
            .samples
            .iter()
            .filter(|sample| !sample.is_expired(now, stabilization));
        recent.next().map_or(1.0, |sample| sample.share)
    }
}

impl ShareSample {
    fn is_expired(&self, now: TimePoint, stabilization: TimeSpan) -> bool {
        self.replaced_at
            .is_some_and(|at| now.since(at) > stabilization)
    }
}

#[derive(Clone, Debug)]
struct DemandRow {
    first_demand_at: TimePoint,
    last_demand_at: TimePoint,
    published: TokenCount,
    current: TokenCount,
    window: ShareWindow,
}

/// This entry's share of each team's limits.
///
/// Shares follow the demand that the entries report. A share shrinks as soon as a
/// report requires it, and grows only after the larger share has been due for three
/// heartbeat periods, by which time every peer has received the reports behind it.
/// The shares of all entries therefore add up to at most the limit as long as
/// heartbeats arrive.
#[derive(Clone, Debug)]
pub struct TeamShares {
    period: TimeSpan,
    listed_entries: u32,
    reporting_entries: u32,
    peers: BTreeMap<InstanceId, PeerRow>,
    peer_demands: BTreeMap<TeamId, TokenCount>,
    demands: BTreeMap<TeamId, DemandRow>,
}

impl TeamShares {
    /// Creates the shares of an entry that exchanges heartbeats every `period`.
    pub fn new(period: TimeSpan) -> Self {
        Self {
            period,
            listed_entries: 1,
            reporting_entries: 0,
            peers: BTreeMap::new(),
            peer_demands: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// Sets the number of registered entries, including this one.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.listed_entries = entries.max(1);
    }

    /// Records the demand that a peer published.
    ///
    /// `entries` is larger than one if the report sums up a group of entries.
    pub fn observe(
        &mut self,
        peer: InstanceId,
        entries: u32,
        demands: &[TeamDemand],
        now: TimePoint,
    ) {
        let mut changed = self.remove_peer(&peer);
        let mut row = PeerRow {
            received_at: now,
            entries,
            demands: BTreeMap::new(),
        };
        for report in demands {
            *row.demands.entry(report.team.clone()).or_default() += report.tokens;
            *self.peer_demands.entry(report.team.clone()).or_default() += report.tokens;
            changed.insert(report.team.clone());
        }
        self.reporting_entries += entries;
        self.peers.insert(peer, row);
        self.record_samples(changed, now);
    }

    /// Records demand at this entry, whether or not the request is admitted.
    pub fn record_demand(&mut self, team: &TeamId, tokens: TokenCount, now: TimePoint) {
        if let Some(row) = self.demands.get_mut(team) {
            row.current += tokens;
            row.last_demand_at = now;
            return;
        }
        let row = DemandRow {
            first_demand_at: now,
            last_demand_at: now,
            published: TokenCount::ZERO,
            current: tokens,
            window: ShareWindow::default(),
        };
        self.demands.insert(team.clone(), row);
        self.record_samples(BTreeSet::from([team.clone()]), now);
    }

    /// Ends a heartbeat period and returns the demand to publish with the heartbeat.
    pub fn publish(&mut self, now: TimePoint) -> Vec<TeamDemand> {
        self.expire(now);
        let mut demands = Vec::new();
        for (team, row) in &mut self.demands {
            row.published = std::mem::take(&mut row.current);
            if row.published > TokenCount::ZERO {
                demands.push(TeamDemand {
                    team: team.clone(),
                    tokens: row.published,
                });
            }
        }
        let teams = self.demands.keys().cloned().collect();
        self.record_samples(teams, now);
        demands
    }

    /// Returns this entry's share of the limits of `team`, between 0 and 1.
    pub fn share(&self, team: &TeamId, now: TimePoint) -> f64 {
        let Some(row) = self.demands.get(team) else {
            return self.target_share(team).min(self.even_share());
        };
        let stabilization = self.stabilization();
        let minimum = row.window.minimum(now, stabilization);
        match now.since(row.first_demand_at) > stabilization {
            true => minimum,
            false => minimum.min(self.even_share()),
        }
    }

    fn record_samples(&mut self, teams: BTreeSet<TeamId>, now: TimePoint) {
        let stabilization = self.stabilization();
        for team in teams {
            let share = self.target_share(&team);
            if let Some(row) = self.demands.get_mut(&team) {
                row.window.push(share, now, stabilization);
            }
        }
    }

    fn target_share(&self, team: &TeamId) -> f64 {
        let own = self.demands.get(team).map_or(0, |row| row.published.0);
        let total = own + self.peer_demands.get(team).map_or(0, |tokens| tokens.0);
        let even_share = self.even_share();
        if total == 0 {
            return even_share;
        }
        EVEN_FRACTION * even_share + (1.0 - EVEN_FRACTION) * own as f64 / total as f64
    }

    fn even_share(&self) -> f64 {
        1.0 / f64::from(self.listed_entries.max(self.reporting_entries + 1))
    }

    fn expire(&mut self, now: TimePoint) {
        let expiry = TimeSpan(self.period.0 * EXPIRY_PERIODS);
        let is_expired = |row: &PeerRow| now.since(row.received_at) > expiry;
        let expired = self.peers.iter().filter(|(_, row)| is_expired(row));
        let expired: Vec<InstanceId> = expired.map(|(peer, _)| peer.clone()).collect();
        for peer in expired {
            self.remove_peer(&peer);
        }
        self.demands
            .retain(|_, row| now.since(row.last_demand_at) <= expiry);
    }

    /// Removes the demand of a peer from the sums and returns the teams concerned.
    fn remove_peer(&mut self, peer: &InstanceId) -> BTreeSet<TeamId> {
        let Some(row) = self.peers.remove(peer) else {
            return BTreeSet::new();
        };
        self.reporting_entries -= row.entries;
        for (team, tokens) in &row.demands {
            let remaining = self.peer_demands.remove(team).unwrap_or_default();
            let remaining = remaining.saturating_sub(*tokens);
            if remaining > TokenCount::ZERO {
                self.peer_demands.insert(team.clone(), remaining);
            }
        }
        row.demands.into_keys().collect()
    }

    fn stabilization(&self) -> TimeSpan {
        TimeSpan(self.period.0 * STABILIZATION_PERIODS)
    }
}
