//! Which backend server a request is sent to.

use std::collections::BTreeSet;

use crate::code::{CallRefusal, ResultCode};
use crate::direct::{InstanceRow, InstanceTable, PromptShape};
use crate::id::{BackendId, DomainId, ServiceId};
use crate::rank::NameRank;
use crate::routing::BackendRole;
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// What the choice of a backend server goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// The cost of another failure domain, as time added to the prediction.
    pub domain_cost: TimeSpan,
    /// How many engines are expected to hold a shared part of prompts.
    pub homes: usize,
    /// The oldest stated load that is believed.
    pub load_age: TimeSpan,
    /// What each waiting request of others costs, as prompt tokens.
    pub waiting_tokens: TokenCount,
    /// How soon a caller may return where nothing serves the request.
    pub missing_retry: TimeSpan,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            domain_cost: TimeSpan::from_millis(2),
            homes: 2,
            load_age: TimeSpan::from_millis(400),
            waiting_tokens: TokenCount(600),
            missing_retry: TimeSpan::from_millis(500),
        }
    }
}

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The caller's name for it, which breaks ties.
    pub name: &'a str,
    /// The service that serves it.
    pub service: &'a ServiceId,
    /// The prompt; `None` for a plain call.
    pub prompt: Option<&'a PromptShape>,
    /// Backend servers that have failed it.
    pub excluded: &'a BTreeSet<BackendId>,
    /// The time left until the answer, or its first event, is of no use.
    pub time_left: TimeSpan,
}

/// Where a request goes, with what the choice was made on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The backend server.
    pub backend: BackendId,
    /// The predicted time to the answer or its first token.
    pub predicted: TimeSpan,
    /// Prompt tokens that are to be computed there.
    pub uncached: TokenCount,
    /// How many backend servers were compared.
    pub compared: usize,
}

impl PlacementPolicy {
    /// Chooses the backend server with the least predicted time.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::BackendMissing`] where none may be used, and
    /// with [`ResultCode::DeadlineHopeless`] where none would be in time.
    pub fn choose(
        &self,
        table: &InstanceTable,
        request: &PlacementRequest<'_>,
        domain: &DomainId,
        now: TimePoint,
    ) -> Result<Placement, CallRefusal> {
        let listed: Vec<&InstanceRow> = table.of_service(request.service).collect();
        let usable = listed.iter().copied().filter(|row| may_take(row, request));
        let mut rows: Vec<&InstanceRow> = usable.clone().filter(|row| !row.left_out).collect();
        if rows.is_empty() {
            rows = usable.collect();
        }
        let homes = self.homes_of(&rows, request);
        let compared = rows.len();
        let candidates = rows.into_iter().map(|row| {
            let (predicted, uncached) = self.predict(row, request, &homes, now);
            let far = match row.spec.domain == *domain {
                true => TimeSpan::ZERO,
                false => self.domain_cost,
            };
            let tie = NameRank::of(request.name, row.spec.id.as_str());
            (predicted + far, row.in_flight(), tie, row, uncached)
        });
        let best = candidates.min_by_key(|(cost, flights, tie, _, _)| (*cost, *flights, *tie));
        let Some((predicted, _, _, row, uncached)) = best else {
            let code = ResultCode::BackendMissing;
            return Err(CallRefusal::passing(code, self.missing_retry));
        };
        if predicted > request.time_left {
            let wait = predicted.saturating_sub(request.time_left);
            return Err(CallRefusal::passing(ResultCode::DeadlineHopeless, wait));
        }
        Ok(Placement {
            backend: row.spec.id.clone(),
            predicted,
            uncached,
            compared,
        })
    }

    /// Returns the engines that every entry expects to hold the request's shared parts.
    fn homes_of(
        &self,
        rows: &[&InstanceRow],
        request: &PlacementRequest<'_>,
    ) -> BTreeSet<BackendId> {
        let affinity = request.prompt.and_then(PromptShape::affinity);
        let Some(affinity) = affinity else {
            return BTreeSet::new();
        };
        let ids = rows.iter().map(|row| &row.spec.id);
        let homes = crate::rank::highest(affinity, ids, self.homes);
        homes.into_iter().cloned().collect()
    }

    fn predict(
        &self,
        row: &InstanceRow,
        request: &PlacementRequest<'_>,
        homes: &BTreeSet<BackendId>,
        now: TimePoint,
    ) -> (TimeSpan, TokenCount) {
        let load = row.fresh_load(now, self.load_age);
        let Some(prompt) = request.prompt else {
            return (predict_call(row, load.map_or(0, |load| load.waiting)), TokenCount::ZERO);
        };
        let mut cached = row.cached(&prompt.parts);
        if homes.contains(&row.spec.id) {
            let shared = prompt.shared().iter().map(|part| part.tokens).sum();
            cached = cached.max(shared);
        }
        let uncached = prompt.prompt_tokens.saturating_sub(cached);
        let others = load.map_or(0, |load| u64::from(load.waiting));
        let ahead = row.backlog() + TokenCount(others * self.waiting_tokens.0);
        (row.first_time() + row.time_for(uncached + ahead), uncached)
    }
}

fn predict_call(row: &InstanceRow, waiting: u32) -> TimeSpan {
    let slots = u64::from(row.spec.slots.max(1));
    let ahead = (row.in_flight() as u64).max(u64::from(waiting));
    TimeSpan(row.call_time().0 + row.call_time().0 * ahead / slots)
}

fn may_take(row: &InstanceRow, request: &PlacementRequest<'_>) -> bool {
    if row.spec.draining || request.excluded.contains(&row.spec.id) {
        return false;
    }
    match request.prompt {
        None => true,
        Some(prompt) => {
            let models = &row.spec.models;
            let loaded = models.is_empty() || models.contains(&prompt.model);
            loaded && row.spec.role != BackendRole::Prefill
        }
    }
}
