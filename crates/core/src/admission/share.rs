use std::collections::{BTreeMap, VecDeque};

use crate::id::{InstanceId, TeamId};
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// The part of a limit that is spread evenly, so that no entry starts from nothing.
const EVEN_PART: f64 = 0.1;

/// What an entry was asked for by a team in the last heartbeat period, refused work included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamUse {
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
    taken_at: TimePoint,
    share: f64,
}

#[derive(Clone, Debug, Default)]
struct DemandRow {
    published: TokenCount,
    counting: TokenCount,
    samples: VecDeque<ShareSample>,
}

/// This entry's share of each team's limits.
///
/// Shares follow reported demand. A share falls as soon as a report says so and
/// rises only after it has been due for two heartbeat periods, by which time
/// every peer has heard why; so the shares of all entries add up to at most the
/// limit while heartbeats arrive.
#[derive(Clone, Debug)]
pub struct TeamShares {
    period: TimeSpan,
    listed: u32,
    peers: BTreeMap<InstanceId, PeerRow>,
    demands: BTreeMap<TeamId, DemandRow>,
}

impl TeamShares {
    /// Creates shares for entries that send heartbeats every `period`.
    pub fn new(period: TimeSpan) -> Self {
        Self {
            period,
            listed: 1,
            peers: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// Sets the number of entries on the instance list, this one included.
    pub fn set_listed(&mut self, entries: u32) {
        self.listed = entries.max(1);
    }

    /// Takes in what a peer published; `entries` is more than one where it sums up a group.
    pub fn observe(&mut self, peer: InstanceId, entries: u32, uses: &[TeamUse], now: TimePoint) {
        let uses = uses.iter().map(|use_| (use_.team.clone(), use_.tokens));
        let row = PeerRow {
            heard_at: now,
            entries,
            uses: uses.collect(),
        };
        self.peers.insert(peer, row);
        self.sample(now);
    }

    /// Notes demand at this entry, whether or not it is met.
    pub fn demand(&mut self, team: &TeamId, tokens: TokenCount) {
        if !self.demands.contains_key(team) {
            self.demands.insert(team.clone(), DemandRow::default());
        }
        if let Some(row) = self.demands.get_mut(team) {
            row.counting += tokens;
        }
    }

    /// Ends a heartbeat period and returns what the heartbeat is to carry.
    pub fn publish(&mut self, now: TimePoint) -> Vec<TeamUse> {
        let lifetime = self.lifetime();
        self.peers
            .retain(|_, row| now.since(row.heard_at) <= lifetime);
        for row in self.demands.values_mut() {
            row.published = std::mem::take(&mut row.counting);
        }
        self.sample(now);
        let settle = self.settle();
        self.demands.retain(|_, row| {
            let oldest = row.samples.front().map(|sample| sample.taken_at);
            row.published > TokenCount::ZERO || oldest.is_none_or(|at| now.since(at) <= settle)
        });
        let active = self.demands.iter();
        let active = active.filter(|(_, row)| row.published > TokenCount::ZERO);
        let uses = active.map(|(team, row)| TeamUse {
            team: team.clone(),
            tokens: row.published,
        });
        uses.collect()
    }

    /// Returns this entry's share of the limits of `team`, between 0 and 1.
    pub fn share(&self, team: &TeamId, now: TimePoint) -> f64 {
        let even = self.even();
        let Some(row) = self.demands.get(team) else {
            return even;
        };
        let settled = now.0 >= self.settle().0;
        let due = row.samples.iter().map(|sample| sample.share);
        let least = due.fold(f64::INFINITY, f64::min);
        match row.samples.front() {
            Some(oldest) if settled && now.since(oldest.taken_at) >= self.settle() => least,
            _ => least.min(even),
        }
    }

    fn sample(&mut self, now: TimePoint) {
        let teams: Vec<TeamId> = self.demands.keys().cloned().collect();
        let settle = self.settle();
        for team in teams {
            let share = self.due_share(&team);
            let Some(row) = self.demands.get_mut(&team) else {
                continue;
            };
            row.samples.push_back(ShareSample {
                taken_at: now,
                share,
            });
            trim(&mut row.samples, now, settle);
        }
    }

    fn due_share(&self, team: &TeamId) -> f64 {
        let own = self.demands.get(team).map_or(0, |row| row.published.0);
        let heard = self.peers.values().filter_map(|row| row.uses.get(team));
        let total = own + heard.map(|tokens| tokens.0).sum::<u64>();
        let even = self.even();
        if total == 0 {
            return even;
        }
        EVEN_PART * even + (1.0 - EVEN_PART) * own as f64 / total as f64
    }

    fn even(&self) -> f64 {
        let heard: u32 = self.peers.values().map(|row| row.entries).sum();
        1.0 / f64::from(self.listed.max(heard + 1))
    }

    fn settle(&self) -> TimeSpan {
        TimeSpan(self.period.0 * 2)
    }

    fn lifetime(&self) -> TimeSpan {
        TimeSpan(self.period.0 * 4)
    }
}

/// Keeps the samples of the last `settle`, and one older one that held at its start.
fn trim(samples: &mut VecDeque<ShareSample>, now: TimePoint, settle: TimeSpan) {
    while samples.len() > 1 && now.since(samples[1].taken_at) >= settle {
        samples.pop_front();
    }
}
