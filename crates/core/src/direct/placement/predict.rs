//! How long a request would take at a backend server.

use std::collections::BTreeSet;

use super::{Candidate, PlacementPolicy, PlacementRequest, PlacementStage, PlacementWork};
use crate::direct::{PromptShape, ServerRow};
use crate::id::BackendId;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

impl PlacementPolicy {
    pub(super) fn predict<'a>(
        &self,
        row: &'a ServerRow,
        request: &PlacementRequest<'_>,
        homes: &BTreeSet<BackendId>,
        far: TimeSpan,
        now: TimePoint,
    ) -> Candidate<'a> {
        let (uncached, reread) = match (request.prompt, request.stage) {
            (None, _) | (_, PlacementStage::Answer(_)) => (TokenCount::ZERO, TokenCount::ZERO),
            (Some(prompt), _) => self.uncached(row, prompt, homes),
        };
        let time = match request.prompt {
            None => self.predict_call(row, now),
            Some(_) => {
                let read = row.time_for(uncached + self.ahead(row, now), now);
                let beside = TimeSpan(self.beside_cost.0 * row.competing(now));
                row.first_time(now) + read + beside + overflow(row, now)
            }
        };
        let own = row.time_for(uncached, now).0;
        let mixing = TimeSpan(own * row.competing(now) * self.mixing_percent / 100);
        Candidate {
            row,
            work: PlacementWork::Run,
            cost: time + far,
            own: row.first_time(now) + row.time_for(uncached, now),
            bias: mixing + row.time_for(reread, now),
            uncached,
        }
    }

    /// Returns the prompt tokens to be computed, and what of them counts besides because
    /// another engine is expected to hold it.
    pub(super) fn uncached(
        &self,
        row: &ServerRow,
        prompt: &PromptShape,
        homes: &BTreeSet<BackendId>,
    ) -> (TokenCount, TokenCount) {
        let cached = row.cached(&prompt.parts);
        let uncached = prompt.prompt_tokens.saturating_sub(cached);
        if homes.contains(&row.spec.id) {
            return (uncached, TokenCount::ZERO);
        }
        let shared: TokenCount = prompt.shared().iter().map(|part| part.tokens).sum();
        let again = shared.saturating_sub(cached).0 * self.reread_percent / 100;
        (uncached, TokenCount(again))
    }

    /// Returns the prompt tokens that are read before a new request's.
    pub(super) fn ahead(&self, row: &ServerRow, now: TimePoint) -> TokenCount {
        let load = row.fresh_load(now, self.load_age);
        let waiting = load.map_or(0, |load| u64::from(load.waiting));
        let stated = TokenCount(waiting * self.waiting_tokens.0);
        row.backlog(now).max(stated)
    }

    fn predict_call(&self, row: &ServerRow, now: TimePoint) -> TimeSpan {
        let load = row.fresh_load(now, self.load_age);
        let waiting = load.map_or(0, |load| u64::from(load.waiting));
        let ahead = row.competing(now).max(waiting);
        let slots = u64::from(row.spec.slots.max(1));
        TimeSpan(row.call_time().0 + row.call_time().0 * ahead / slots)
    }
}

/// Returns the wait for a place where more requests are sent than run at once.
fn overflow(row: &ServerRow, now: TimePoint) -> TimeSpan {
    let slots = u64::from(row.spec.slots.max(1));
    let excess = (row.competing(now) + 1).saturating_sub(slots);
    TimeSpan(row.call_time().0 * excess / slots)
}
