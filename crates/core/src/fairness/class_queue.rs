use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::fairness::{CallId, QueuedCall, TeamWeight};
use crate::id::TeamId;
use crate::unit::TokenCount;

/// Tokens served to a team, scaled and divided by its weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VirtualTokens(pub(crate) u64);

/// The calls of one team and class that wait, in the order in which they came.
#[derive(Clone, Debug, Default)]
struct TeamLine {
    calls: VecDeque<QueuedCall>,
    tokens: TokenCount,
}

/// The calls of one class, and which team is next.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    lines: BTreeMap<TeamId, TeamLine>,
    order: BTreeSet<(VirtualTokens, TeamId)>,
}

impl ClassQueue {
    pub(crate) fn push(&mut self, call: QueuedCall, counter: VirtualTokens) {
        let team = call.team.clone();
        let line = self.lines.entry(team.clone()).or_default();
        line.tokens += call.prompt_tokens;
        line.calls.push_back(call);
        self.order.insert((counter, team));
    }

    pub(crate) fn next_team(&self) -> Option<&TeamId> {
        self.order.first().map(|(_, team)| team)
    }

    pub(crate) fn least(&self) -> Option<VirtualTokens> {
        self.order.first().map(|(counter, _)| *counter)
    }

    pub(crate) fn head(&self, team: &TeamId) -> Option<&QueuedCall> {
        self.lines.get(team)?.calls.front()
    }

    pub(crate) fn last(&self, team: &TeamId) -> Option<&QueuedCall> {
        self.lines.get(team)?.calls.back()
    }

    pub(crate) fn holds(&self, team: &TeamId) -> bool {
        self.lines.contains_key(team)
    }

    pub(crate) fn waiting_of(&self, team: &TeamId) -> usize {
        self.lines.get(team).map_or(0, |line| line.calls.len())
    }

    pub(crate) fn move_team(&mut self, team: &TeamId, from: VirtualTokens, to: VirtualTokens) {
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
        let line = self.lines.get_mut(team)?;
        let place = line.calls.iter().position(|call| call.id == id)?;
        let call = line.calls.remove(place)?;
        line.tokens = line.tokens.saturating_sub(call.prompt_tokens);
        if line.calls.is_empty() {
            self.lines.remove(team);
            self.order.remove(&(counter, team.clone()));
        }
        Some(call)
    }

    /// Returns the team with the most waiting calls for its weight, and how many it has.
    pub(crate) fn most_waiting(
        &self,
        weights: &BTreeMap<TeamId, TeamWeight>,
    ) -> Option<(&TeamId, u64)> {
        let shares = self.lines.iter().map(|(team, line)| {
            let weight = weights.get(team).copied().unwrap_or_default();
            (team, share_of(line.calls.len(), weight))
        });
        shares.max_by_key(|(_, share)| *share)
    }

    /// Returns the prompt tokens that are served before a new call of `team`:
    /// its own that wait, and as many of every other team, by weight.
    pub(crate) fn tokens_ahead(
        &self,
        team: &TeamId,
        own: TokenCount,
        weights: &BTreeMap<TeamId, TeamWeight>,
    ) -> TokenCount {
        let weight_of =
            |team: &TeamId| u64::from(weights.get(team).copied().unwrap_or_default().get());
        let own_line = self.lines.get(team);
        let own_ahead = own_line.map_or(TokenCount::ZERO, |line| line.tokens);
        let per_weight = (own_ahead + own).0.div_ceil(weight_of(team));
        let others = self.lines.iter().filter(|(other, _)| *other != team);
        let ahead = others.map(|(other, line)| line.tokens.0.min(per_weight * weight_of(other)));
        own_ahead + TokenCount(ahead.sum())
    }
}

/// Calls for each unit of weight, scaled to keep fractions.
pub(crate) fn share_of(calls: usize, weight: TeamWeight) -> u64 {
    calls as u64 * u64::from(TeamWeight::MAX.get()) / u64::from(weight.get())
}
