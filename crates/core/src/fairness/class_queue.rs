use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::fairness::{CallId, QueuedCall, TeamWeight};
use crate::id::TeamId;
use crate::unit::TokenCount;

/// The virtual counter of a team: tokens served to it, scaled and divided by its weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTokens(pub(crate) u64);

/// The queued calls of one team and class, in order of arrival, and their prompt tokens.
#[derive(Clone, Debug, Default)]
struct TeamCalls {
    calls: VecDeque<QueuedCall>,
    tokens: TokenCount,
}

/// The queued calls of one class, and the order in which the teams are served.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    teams: BTreeMap<TeamId, TeamCalls>,
    order: BTreeSet<(VirtualTokens, TeamId)>,
}

impl ClassQueue {
    pub(crate) fn push(&mut self, call: QueuedCall, counter: VirtualTokens) {
        let team = call.team.clone();
        let queued = self.teams.entry(team.clone()).or_default();
        queued.tokens += call.prompt_tokens;
        queued.calls.push_back(call);
        self.order.insert((counter, team));
    }

    pub(crate) fn next_team(&self) -> Option<&TeamId> {
        self.order.first().map(|(_, team)| team)
    }

    pub(crate) fn min_counter(&self) -> Option<VirtualTokens> {
        self.order.first().map(|(counter, _)| *counter)
    }

    pub(crate) fn first(&self, team: &TeamId) -> Option<&QueuedCall> {
        self.teams.get(team)?.calls.front()
    }

    pub(crate) fn last(&self, team: &TeamId) -> Option<&QueuedCall> {
        self.teams.get(team)?.calls.back()
    }

    pub(crate) fn has_team(&self, team: &TeamId) -> bool {
        self.teams.contains_key(team)
    }

    pub(crate) fn waiting_count(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, |queued| queued.calls.len())
    }

    pub(crate) fn update_counter(&mut self, team: &TeamId, from: VirtualTokens, to: VirtualTokens) {
        if self.order.remove(&(from, team.clone())) {
            self.order.insert((to, team.clone()));
        }
    }

    pub(crate) fn remove(
        &mut self,
        team: &TeamId,
        id: CallId,
        counter: VirtualTokens,
    ) -> Option<QueuedCall> {
        let queued = self.teams.get_mut(team)?;
        let index = queued.calls.iter().position(|call| call.id == id)?;
        let call = queued.calls.remove(index)?;
        queued.tokens = queued.tokens.saturating_sub(call.prompt_tokens);
        if queued.calls.is_empty() {
            self.teams.remove(team);
            self.order.remove(&(counter, team.clone()));
        }
        Some(call)
    }

    /// Returns the team with the most queued calls relative to its weight, and that ratio.
    pub(crate) fn most_loaded_team(
        &self,
        weights: &BTreeMap<TeamId, TeamWeight>,
    ) -> Option<(&TeamId, u64)> {
        let shares = self.teams.iter().map(|(team, queued)| {
            let weight = weights.get(team).copied().unwrap_or_default();
            (team, calls_per_weight(queued.calls.len(), weight))
        });
        shares.max_by_key(|(_, share)| *share)
    }

    /// Returns the prompt tokens that are served before a new call of `team` with `own` tokens.
    ///
    /// These are the queued tokens of the team itself and, by weight, as many of each other
    /// team.
    pub(crate) fn tokens_ahead(
        &self,
        team: &TeamId,
        own: TokenCount,
        weights: &BTreeMap<TeamId, TeamWeight>,
    ) -> TokenCount {
        let weight_of =
            |team: &TeamId| u64::from(weights.get(team).copied().unwrap_or_default().get());
        let own_queued = self.teams.get(team);
        let own_ahead = own_queued.map_or(TokenCount::ZERO, |queued| queued.tokens);
        let per_weight = (own_ahead + own).0.div_ceil(weight_of(team));
        let others = self.teams.iter().filter(|(other, _)| *other != team);
        let ahead =
            others.map(|(other, queued)| queued.tokens.0.min(per_weight * weight_of(other)));
        own_ahead + TokenCount(ahead.sum())
    }
}

/// Returns the number of calls per unit of weight, scaled to preserve fractions.
pub(crate) fn calls_per_weight(calls: usize, weight: TeamWeight) -> u64 {
    calls as u64 * u64::from(TeamWeight::MAX.get()) / u64::from(weight.get())
}
