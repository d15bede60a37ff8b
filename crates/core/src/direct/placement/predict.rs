//! Prediction of the time that a request takes at a backend server.

use std::collections::BTreeSet;

use super::{Candidate, PlacementPolicy, PlacementRequest, PlacementStage, PlacementWork};
use crate::direct::{PrefillWork, PromptShape, ServerRow};
use crate::id::BackendId;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

impl PlacementPolicy {
    /// Predicts the cost of running a request at a backend server. `distance_cost` is added for
    /// another failure domain.
    pub(super) fn predict<'a>(
        &self,
        row: &'a ServerRow,
        request: &PlacementRequest<'_>,
        assigned: &BTreeSet<BackendId>,
        distance_cost: TimeSpan,
        now: TimePoint,
    ) -> Candidate<'a> {
        let (prefill, recomputed) = match (request.prompt, request.stage) {
            (None, _) | (_, PlacementStage::Decode(_)) => {
                (PrefillWork::default(), TokenCount::ZERO)
            }
            (Some(prompt), _) => self.prefill_work(row, prompt, assigned),
        };
        let prefill_time = row.work_time(prefill, now);
        let time = match request.prompt {
            None => self.predict_call(row, now),
            Some(_) => {
                let queued = row.prefill_time(self.queued_tokens(row, request, now), now);
                let in_flight = request.in_flight_ahead(row, now);
                let concurrent = TimeSpan(self.concurrent_cost.0 * in_flight);
                row.base_ttft(now) + queued + prefill_time + concurrent + slot_wait(row, in_flight)
            }
        };
        // The fixed time of a prefill delays the request only, not others.
        let busy_us = row.prefill_time(prefill.uncached, now).0;
        let interference =
            TimeSpan(busy_us * row.total_in_flight(now) * self.interference_percent / 100);
        Candidate {
            row,
            work: PlacementWork::Run,
            cost: time + distance_cost,
            unloaded: row.base_ttft(now) + prefill_time,
            bias: interference + row.prefill_time(recomputed, now),
            prefill,
        }
    }

    /// Returns what is to prefill, and the tokens that count in addition because the shared parts are
    /// assigned to, or cached on, another engine.
    pub(super) fn prefill_work(
        &self,
        row: &ServerRow,
        prompt: &PromptShape,
        assigned: &BTreeSet<BackendId>,
    ) -> (PrefillWork, TokenCount) {
        let cached = row.cached(&prompt.parts);
        let uncached = prompt.prompt_tokens.saturating_sub(cached);
        let work = PrefillWork { uncached, cached };
        if assigned.contains(&row.spec.id) {
            return (work, TokenCount::ZERO);
        }
        let shared: TokenCount = prompt.shared().iter().map(|part| part.tokens).sum();
        let extra = shared.saturating_sub(cached).0 * self.recompute_percent / 100;
        (work, TokenCount(extra))
    }

    /// Returns the prompt tokens that are queued before a new request.
    pub(super) fn queued_tokens(
        &self,
        row: &ServerRow,
        request: &PlacementRequest<'_>,
        now: TimePoint,
    ) -> TokenCount {
        let load = row.fresh_load(now, self.max_load_age);
        let waiting = load.map_or(0, |load| u64::from(load.waiting));
        let reported = TokenCount(waiting * self.queued_request_tokens.0);
        let total = row.backlog(now);
        let Some(competitor) = &request.competitor else {
            return total.max(reported);
        };
        let ahead = row.backlog_ahead_of(competitor.kind.class(), now);
        // Engines do not report the urgency of what is queued, so it is split as what the entries
        // know to be queued.
        let reported = match total {
            TokenCount::ZERO => reported,
            TokenCount(total) => TokenCount(reported.0 * ahead.0 / total),
        };
        ahead.max(reported)
    }

    /// Predicts the time of a call to a plain service.
    fn predict_call(&self, row: &ServerRow, now: TimePoint) -> TimeSpan {
        let load = row.fresh_load(now, self.max_load_age);
        let waiting = load.map_or(0, |load| u64::from(load.waiting));
        let queued = row.total_in_flight(now).max(waiting);
        let slots = u64::from(row.spec.slots.max(1));
        let usual = TimeSpan(row.mean_call_time().0 + row.mean_call_time().0 * queued / slots);
        row.slowed(usual, now)
    }
}

/// Returns the wait for a free slot when more requests are in flight than run concurrently.
fn slot_wait(row: &ServerRow, in_flight: u64) -> TimeSpan {
    let slots = u64::from(row.spec.slots.max(1));
    let excess = (in_flight + 1).saturating_sub(slots);
    TimeSpan(row.mean_call_time().0 * excess / slots)
}
