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
            (None, _) | (_, PlacementStage::Decode(_)) => (TokenCount::ZERO, TokenCount::ZERO),
            (Some(prompt), _) => self.uncached(row, prompt, homes),
        };
        let time = match request.prompt {
            None => self.predict_call(row, now),
            Some(_) => {
                let read = row.prefill_time(uncached + self.ahead(row, now), now);
                let beside = TimeSpan(self.concurrent_cost.0 * row.total_in_flight(now));
                row.base_ttft(now) + read + beside + overflow(row, now)
            }
        };
        let own = row.prefill_time(uncached, now).0;
        let mixing = TimeSpan(own * row.total_in_flight(now) * self.interference_percent / 100);
        Candidate {
            row,
            work: PlacementWork::Run,
            cost: time + far,
            own: row.base_ttft(now) + row.prefill_time(uncached, now),
            bias: mixing + row.prefill_time(reread, now),
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
        let again = shared.saturating_sub(cached).0 * self.recompute_percent / 100;
        (uncached, TokenCount(again))
    }

    /// Returns the prompt tokens that are read before a new request's.
    pub(super) fn ahead(&self, row: &ServerRow, now: TimePoint) -> TokenCount {
        let load = row.fresh_load(now, self.max_load_age);
        let waiting = load.map_or(0, |load| u64::from(load.waiting));
        let stated = TokenCount(waiting * self.waiting_tokens.0);
        row.backlog(now).max(stated)
    }

    fn predict_call(&self, row: &ServerRow, now: TimePoint) -> TimeSpan {
        let load = row.fresh_load(now, self.max_load_age);
        let waiting = load.map_or(0, |load| u64::from(load.waiting));
        let ahead = row.total_in_flight(now).max(waiting);
        let slots = u64::from(row.spec.slots.max(1));
        TimeSpan(row.mean_call_time().0 + row.mean_call_time().0 * ahead / slots)
    }
}

/// Returns the wait for a place where more requests are sent than run at once.
fn overflow(row: &ServerRow, now: TimePoint) -> TimeSpan {
    let slots = u64::from(row.spec.slots.max(1));
    let excess = (row.total_in_flight(now) + 1).saturating_sub(slots);
    TimeSpan(row.mean_call_time().0 * excess / slots)
}
