//! Which backend server a request is sent to.

mod predict;

use std::collections::BTreeSet;

use crate::code::{CallRefusal, ResultCode};
use crate::direct::{PromptShape, SendDecision, ServerRow, ServerTable};
use crate::id::{BackendId, DomainId, ServiceId};
use crate::rank::NameRank;
use crate::routing::BackendRole;
use crate::unit::{TimePoint, TimeSpan, TokenCount};
use smol_str::SmolStr;

/// What the choice of a backend server goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// The cost of another failure domain, as time added to the prediction.
    pub domain_cost: TimeSpan,
    /// How many engines are expected to hold a shared part of prompts.
    pub affinity_engines: usize,
    /// How many engines of each role are compared first, out of all of them: with many entries
    /// that each know a little, the least loaded of all is where the others send too.
    pub shortlist_size: usize,
    /// The oldest stated load that is believed.
    pub max_load_age: TimeSpan,
    /// What each waiting request of others costs, as prompt tokens.
    pub waiting_tokens: TokenCount,
    /// What each request that generates beside a new one adds to its time.
    pub concurrent_cost: TimeSpan,
    /// What reading a prompt apart costs besides its time: a second call, and the
    /// movement of the KV cache.
    pub handoff_cost: TimeSpan,
    /// How much of the time that a prompt takes at an engine that also generates answers is
    /// lost to each of those answers, in percent.
    pub interference_percent: u64,
    /// How much more reading a shared part again counts than reading a new one, in percent:
    /// what is read again pushes other parts out.
    pub recompute_percent: u64,
    /// How soon a caller may return at the earliest.
    pub min_retry_after: TimeSpan,
    /// How soon a caller may return where nothing serves the request.
    pub missing_retry_after: TimeSpan,
    /// The part of its latency_objective, in percent, that a first token may wait for others although
    /// it will be late. What waits longer is refused, since it holds up those that could still
    /// be on time; a long prompt that is late by itself is not.
    pub max_wait_percent: u64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            domain_cost: TimeSpan::from_millis(2),
            affinity_engines: 1,
            shortlist_size: 6,
            max_load_age: TimeSpan::from_millis(400),
            waiting_tokens: TokenCount(600),
            concurrent_cost: TimeSpan::from_millis(1),
            handoff_cost: TimeSpan::from_millis(15),
            interference_percent: 30,
            recompute_percent: 700,
            min_retry_after: TimeSpan::from_millis(100),
            missing_retry_after: TimeSpan::from_millis(500),
            max_wait_percent: 25,
        }
    }
}

/// The part of a request's work that is to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementStage<'a> {
    /// All of it; its prompt may be read apart.
    Splittable,
    /// All of it, at one backend server.
    Unsplit,
    /// The answer alone, from a KV cache that lies in this failure domain.
    Decode(&'a DomainId),
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
    /// The part of the work that is to be placed.
    pub stage: PlacementStage<'a>,
    /// Backend servers that have failed it.
    pub excluded: &'a BTreeSet<BackendId>,
    /// The time left until the answer, or its first event, is of no use.
    pub time_left: TimeSpan,
    /// The time within which the answer, or its first event, is on time.
    pub latency_objective: TimeSpan,
}

/// What a backend server is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementWork {
    /// The request, or the rest of it.
    Run,
    /// Reading the prompt, for another engine to answer from.
    Prefill,
}

/// Where a request goes, with what the choice was made on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The backend server.
    pub backend: BackendId,
    /// What it is asked to do.
    pub work: PlacementWork,
    /// The predicted time to the answer or its first token.
    pub predicted: TimeSpan,
    /// Prompt tokens that are to be computed there.
    pub uncached: TokenCount,
    /// How many backend servers were compared.
    pub compared: usize,
}

/// A backend server that was looked at.
struct Candidate<'a> {
    row: &'a ServerRow,
    work: PlacementWork,
    /// The predicted time.
    cost: TimeSpan,
    /// What of that the request takes by itself.
    own: TimeSpan,
    /// What else speaks against it, as time.
    bias: TimeSpan,
    uncached: TokenCount,
}

impl PlacementPolicy {
    /// Chooses the backend server with the least predicted time.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::BackendMissing`] where none may be used, with
    /// [`ResultCode::BackendBusy`] where all of them have just turned requests away, and
    /// with [`ResultCode::DeadlineHopeless`] where none would be in time.
    pub fn choose(
        &self,
        table: &ServerTable,
        request: &PlacementRequest<'_>,
        domain: &DomainId,
        now: TimePoint,
    ) -> Result<Placement, CallRefusal> {
        let listed = believed(table.of_service(request.service).collect());
        let rows = self.usable(&listed, request, now)?;
        let readers = self.readers(&listed, request, now);
        let near = self.shortlist(&rows, request);
        let near_readers = self.shortlist(&readers, request);
        let mut best = self.best(&near, &near_readers, request, domain, now);
        let mut compared = near.len() + near_readers.len();
        let whole = near.len() == rows.len() && near_readers.len() == readers.len();
        if !whole
            && best
                .as_ref()
                .is_none_or(|best| best.cost > request.latency_objective)
        {
            best = self.best(&rows, &readers, request, domain, now);
            compared = rows.len() + readers.len();
        }
        let Some(best) = best else {
            return Err(self.missing());
        };
        self.check_time(&best, request)?;
        Ok(Placement {
            backend: best.row.spec.id.clone(),
            work: best.work,
            predicted: best.cost,
            uncached: best.uncached,
            compared,
        })
    }

    /// Returns the backend server with the least predicted time of those that may run the
    /// request and those that may read its prompt.
    fn best<'a>(
        &self,
        rows: &[&'a ServerRow],
        readers: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
        domain: &DomainId,
        now: TimePoint,
    ) -> Option<Candidate<'a>> {
        let mut candidates = self.runs(rows, request, domain, now);
        let handoff = candidates.iter().map(|one| one.row.base_ttft(now)).min();
        if let Some(handoff) = handoff {
            candidates.extend(self.prefills(readers, request, handoff, now));
        }
        candidates.into_iter().min_by_key(|one| {
            let tie = NameRank::of(request.name, one.row.spec.id.as_str());
            (one.cost + one.bias, one.row.total_in_flight(now), tie)
        })
    }

    /// Returns the engines that are compared first: the same ones for prompts that share a
    /// part, others for each answer to a prompt that has been read.
    fn shortlist<'a>(
        &self,
        rows: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
    ) -> Vec<&'a ServerRow> {
        if rows.len() <= self.shortlist_size || request.prompt.is_none() {
            return rows.to_vec();
        }
        let shared = match request.stage {
            PlacementStage::Decode(_) => None,
            PlacementStage::Splittable | PlacementStage::Unsplit => {
                request.prompt.and_then(PromptShape::affinity_key)
            }
        };
        let thing = shared.map_or(request.name, SmolStr::as_str);
        let thing = NameRank::of("prompt", thing);
        let mut ranked = rows.to_vec();
        ranked.select_nth_unstable_by_key(self.shortlist_size, |row| row.name_rank.combine(thing));
        ranked.truncate(self.shortlist_size);
        ranked
    }

    fn missing(&self) -> CallRefusal {
        CallRefusal::retryable(ResultCode::BackendMissing, self.missing_retry_after)
    }

    /// Refuses what would be answered too late to be of use, with the time until it would not.
    ///
    /// A prompt that has been read is answered, also late: refusing it would waste the reading.
    fn check_time(
        &self,
        best: &Candidate<'_>,
        request: &PlacementRequest<'_>,
    ) -> Result<(), CallRefusal> {
        let wait = best.cost.saturating_sub(best.own);
        let most = TimeSpan(request.latency_objective.0 * self.max_wait_percent / 100);
        let late = best.cost > request.latency_objective && wait > most;
        let hopeless = best.cost > request.time_left;
        let reads = request.prompt.is_some() && !matches!(request.stage, PlacementStage::Decode(_));
        let refused = hopeless || (late && reads);
        if !refused {
            return Ok(());
        }
        let excess = best.cost.saturating_sub(request.latency_objective);
        let back = excess.max(self.min_retry_after);
        Err(CallRefusal::retryable(ResultCode::DeadlineHopeless, back))
    }

    /// Returns the backend servers that may run the request; health counts only
    /// while it leaves any.
    fn usable<'a>(
        &self,
        listed: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
        now: TimePoint,
    ) -> Result<Vec<&'a ServerRow>, CallRefusal> {
        let all = listed.iter().copied();
        let (mut open, mut last, mut soonest) = (Vec::new(), Vec::new(), None);
        for row in all.filter(|row| may_run(row, request)) {
            match row.decision(now) {
                SendDecision::Send => open.push(row),
                SendDecision::LastResort => last.push(row),
                SendDecision::Wait(until) => {
                    soonest = Some(soonest.map_or(until, |other: TimePoint| until.min(other)));
                }
                SendDecision::Never => {}
            }
        }
        match soonest {
            _ if !open.is_empty() => Ok(open),
            Some(until) => {
                let wait = until.since(now);
                Err(CallRefusal::retryable(ResultCode::BackendBusy, wait))
            }
            None if !last.is_empty() => Ok(last),
            None => Err(self.missing()),
        }
    }

    fn runs<'a>(
        &self,
        rows: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
        domain: &DomainId,
        now: TimePoint,
    ) -> Vec<Candidate<'a>> {
        let homes = self.homes_of(rows, request);
        let near = match request.stage {
            PlacementStage::Decode(domain) => domain,
            PlacementStage::Splittable | PlacementStage::Unsplit => domain,
        };
        let candidates = rows.iter().map(|row| {
            let far = match row.spec.domain == *near {
                true => TimeSpan::ZERO,
                false => self.domain_cost,
            };
            self.predict(row, request, &homes, far, now)
        });
        candidates.collect()
    }

    /// Returns the engines that may read the prompt apart.
    fn readers<'a>(
        &self,
        listed: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
        now: TimePoint,
    ) -> Vec<&'a ServerRow> {
        if request.prompt.is_none() || request.stage != PlacementStage::Splittable {
            return Vec::new();
        }
        let usable = listed.iter().copied().filter(|row| {
            row.spec.role == BackendRole::Prefill
                && may_take(row, request)
                && row.decision(now) == SendDecision::Send
        });
        usable.collect()
    }

    fn prefills<'a>(
        &self,
        rows: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
        handoff: TimeSpan,
        now: TimePoint,
    ) -> Vec<Candidate<'a>> {
        let Some(prompt) = request.prompt else {
            return Vec::new();
        };
        let homes = self.homes_of(rows, request);
        let candidates = rows.iter().map(|row| {
            let (uncached, reread) = self.uncached(row, prompt, &homes);
            let read = row.base_ttft(now) + row.prefill_time(uncached + self.ahead(row, now), now);
            Candidate {
                row,
                work: PlacementWork::Prefill,
                cost: read + handoff + self.handoff_cost,
                own: row.base_ttft(now) + row.prefill_time(uncached, now) + handoff,
                bias: row.prefill_time(reread, now),
                uncached,
            }
        });
        candidates.collect()
    }

    /// Returns the engines that are to read the request's shared parts, where none is known to
    /// hold them: every entry comes to the same ones.
    fn homes_of(&self, rows: &[&ServerRow], request: &PlacementRequest<'_>) -> BTreeSet<BackendId> {
        let Some(prompt) = request.prompt else {
            return BTreeSet::new();
        };
        let shared = prompt.shared();
        let whole: TokenCount = shared.iter().map(|part| part.tokens).sum();
        let known = rows.iter().any(|row| row.cached(shared) == whole);
        let Some(affinity) = prompt.affinity_key().filter(|_| !known) else {
            return BTreeSet::new();
        };
        let ids = rows.iter().map(|row| &row.spec.id);
        let homes = crate::rank::highest(affinity, ids, self.affinity_engines);
        homes.into_iter().cloned().collect()
    }
}

/// Leaves out backend servers whose entries have expired, unless so many have that the
/// store's absence explains it.
fn believed(listed: Vec<&ServerRow>) -> Vec<&ServerRow> {
    let expired = listed.iter().filter(|row| row.expired).count();
    if expired * 2 >= listed.len() {
        return listed;
    }
    listed.into_iter().filter(|row| !row.expired).collect()
}

/// Returns whether a backend server may be sent any part of a request.
fn may_take(row: &ServerRow, request: &PlacementRequest<'_>) -> bool {
    if request.excluded.contains(&row.spec.id) {
        return false;
    }
    let models = &row.spec.models;
    let model = request.prompt.map(|prompt| &prompt.model);
    model.is_none_or(|model| models.is_empty() || models.contains(model))
}

fn may_run(row: &ServerRow, request: &PlacementRequest<'_>) -> bool {
    let engine = request.prompt.is_some();
    may_take(row, request) && !(engine && row.spec.role == BackendRole::Prefill)
}
