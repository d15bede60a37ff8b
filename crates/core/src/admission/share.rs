use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::id::{InstanceId, TeamId};
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// The part of a limit that is spread evenly, so that no entry starts from nothing.
const EVEN_PART: f64 = 0.1;
const SETTLE_PERIODS: u64 = 3;
const LIFETIME_PERIODS: u64 = 4;

/// What an entry was asked for by a team in the last heartbeat period, refused work included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamId,
    /// Prompt and answer tokens, at least one for each request.
    pub tokens: TokenCount,
}

#[derive(Clone, Debug)]
struct PeerRow {
    heard_at: TimePoint,
    entries: u32,
    uses: BTreeMap<TeamId, TokenCount>,
}

#[derive(Clone, Copy, Debug)]
struct ShareSample {
    share: f64,
    replaced_at: Option<TimePoint>,
}

/// The least share that was due within a time, without the samples that cannot be it.
#[derive(Clone, Debug, Default)]
struct ShareWindow {
    samples: VecDeque<ShareSample>,
}

impl ShareWindow {
    fn push(&mut self, share: f64, now: TimePoint, settle: TimeSpan) {
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
            .is_some_and(|first| first.is_past(now, settle))
        {
            self.samples.pop_front();
        }
    }

    fn least(&self, now: TimePoint, settle: TimeSpan) -> f64 {
        let mut recent = self.samples.iter().filter(|one| !one.is_past(now, settle));
        recent.next().map_or(1.0, |one| one.share)
    }
}

impl ShareSample {
    fn is_past(&self, now: TimePoint, settle: TimeSpan) -> bool {
        self.replaced_at.is_some_and(|at| now.since(at) > settle)
    }
}

#[derive(Clone, Debug)]
struct DemandRow {
    since: TimePoint,
    asked_at: TimePoint,
    published: TokenCount,
    counting: TokenCount,
    window: ShareWindow,
}

/// This entry's share of each team's limits.
///
/// Shares follow reported demand. A share falls as soon as a report says so and
/// rises only after it has been due for three heartbeat periods, by which time
/// every peer has heard why; so the shares of all entries add up to at most the
/// limit while heartbeats arrive.
#[derive(Clone, Debug)]
pub struct TeamShares {
    period: TimeSpan,
    listed: u32,
    heard: u32,
    peers: BTreeMap<InstanceId, PeerRow>,
    elsewhere: BTreeMap<TeamId, TokenCount>,
    demands: BTreeMap<TeamId, DemandRow>,
}

impl TeamShares {
    /// Creates shares for entries that send heartbeats every `period`.
    pub fn new(period: TimeSpan) -> Self {
        Self {
            period,
            listed: 1,
            heard: 0,
            peers: BTreeMap::new(),
            elsewhere: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// Sets the number of entries on the instance list, this one included.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.listed = entries.max(1);
    }

    /// Takes in what a peer published; `entries` is more than one where it sums up a group.
    pub fn observe(&mut self, peer: InstanceId, entries: u32, uses: &[TeamDemand], now: TimePoint) {
        let mut changed = self.forget(&peer);
        let mut row = PeerRow {
            heard_at: now,
            entries,
            uses: BTreeMap::new(),
        };
        for report in uses {
            *row.uses.entry(report.team.clone()).or_default() += report.tokens;
            *self.elsewhere.entry(report.team.clone()).or_default() += report.tokens;
            changed.insert(report.team.clone());
        }
        self.heard += entries;
        self.peers.insert(peer, row);
        self.sample(changed, now);
    }

    /// Notes demand at this entry, whether or not it is met.
    pub fn record_demand(&mut self, team: &TeamId, tokens: TokenCount, now: TimePoint) {
        if let Some(row) = self.demands.get_mut(team) {
            row.counting += tokens;
            row.asked_at = now;
            return;
        }
        let row = DemandRow {
            since: now,
            asked_at: now,
            published: TokenCount::ZERO,
            counting: tokens,
            window: ShareWindow::default(),
        };
        self.demands.insert(team.clone(), row);
        self.sample(BTreeSet::from([team.clone()]), now);
    }

    /// Ends a heartbeat period and returns what the heartbeat is to carry.
    pub fn publish(&mut self, now: TimePoint) -> Vec<TeamDemand> {
        self.expire(now);
        let mut uses = Vec::new();
        for (team, row) in &mut self.demands {
            row.published = std::mem::take(&mut row.counting);
            if row.published > TokenCount::ZERO {
                uses.push(TeamDemand {
                    team: team.clone(),
                    tokens: row.published,
                });
            }
        }
        let teams = self.demands.keys().cloned().collect();
        self.sample(teams, now);
        uses
    }

    /// Returns this entry's share of the limits of `team`, between 0 and 1.
    pub fn share(&self, team: &TeamId, now: TimePoint) -> f64 {
        let Some(row) = self.demands.get(team) else {
            return self.due_share(team).min(self.even());
        };
        let settle = self.settle();
        let least = row.window.least(now, settle);
        match now.since(row.since) > settle {
            true => least,
            false => least.min(self.even()),
        }
    }

    fn sample(&mut self, teams: BTreeSet<TeamId>, now: TimePoint) {
        let settle = self.settle();
        for team in teams {
            let share = self.due_share(&team);
            if let Some(row) = self.demands.get_mut(&team) {
                row.window.push(share, now, settle);
            }
        }
    }

    fn due_share(&self, team: &TeamId) -> f64 {
        let own = self.demands.get(team).map_or(0, |row| row.published.0);
        let total = own + self.elsewhere.get(team).map_or(0, |tokens| tokens.0);
        let even = self.even();
        if total == 0 {
            return even;
        }
        EVEN_PART * even + (1.0 - EVEN_PART) * own as f64 / total as f64
    }

    fn even(&self) -> f64 {
        1.0 / f64::from(self.listed.max(self.heard + 1))
    }

    fn expire(&mut self, now: TimePoint) {
        let lifetime = TimeSpan(self.period.0 * LIFETIME_PERIODS);
        let silent = |row: &PeerRow| now.since(row.heard_at) > lifetime;
        let gone = self.peers.iter().filter(|(_, row)| silent(row));
        let gone: Vec<InstanceId> = gone.map(|(peer, _)| peer.clone()).collect();
        for peer in gone {
            self.forget(&peer);
        }
        self.demands
            .retain(|_, row| now.since(row.asked_at) <= lifetime);
    }

    /// Takes a peer's figures out of the sums and returns the teams that they were of.
    fn forget(&mut self, peer: &InstanceId) -> BTreeSet<TeamId> {
        let Some(row) = self.peers.remove(peer) else {
            return BTreeSet::new();
        };
        self.heard -= row.entries;
        for (team, tokens) in &row.uses {
            let rest = self.elsewhere.remove(team).unwrap_or_default();
            let rest = rest.saturating_sub(*tokens);
            if rest > TokenCount::ZERO {
                self.elsewhere.insert(team.clone(), rest);
            }
        }
        row.uses.into_keys().collect()
    }

    fn settle(&self) -> TimeSpan {
        TimeSpan(self.period.0 * SETTLE_PERIODS)
    }
}
