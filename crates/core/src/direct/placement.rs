//! Placement: the choice of the backend server for a request.

mod predict;

use std::collections::BTreeSet;

use crate::code::{CallRefusal, ResultCode};
use crate::direct::{
    PrefillWork, PromptShape, SendDecision, ServerRow, ServerTable, SoftwareVersion, VersionBound,
};
use crate::id::{BackendId, DomainId, ServiceId};
use crate::rank::NameRank;
use crate::routing::BackendRole;
use crate::unit::{TimePoint, TimeSpan, TokenCount};
use smol_str::SmolStr;

/// The costs and limits by which a backend server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// The time that is added to the prediction for a backend server in another failure domain.
    pub cross_domain_cost: TimeSpan,
    /// The number of engines that a shared prompt part is assigned to for caching.
    pub affinity_engines: usize,
    /// The number of engines of each role that are compared first. With many entries that each know
    /// little of the load, all of them would send to the engine that looks least loaded.
    pub shortlist_size: usize,
    /// The age after which a reported load is ignored.
    pub max_load_age: TimeSpan,
    /// The prompt tokens assumed for each queued request that a backend server reports.
    pub queued_request_tokens: TokenCount,
    /// The time that each concurrent request adds to a new one.
    pub concurrent_cost: TimeSpan,
    /// The cost of a separate prefill besides its time: a second call, and the transfer of the KV
    /// cache.
    pub handoff_cost: TimeSpan,
    /// The share of a prefill's time, in percent, that each concurrent request loses if the prefill
    /// runs on an engine that also decodes.
    pub interference_percent: u64,
    /// The extra cost of prefilling a shared part again on another engine, in percent of its tokens.
    /// It is high because the part evicts others from the cache there.
    pub recompute_percent: u64,
    /// The shortest time after which a caller may retry.
    pub min_retry_after: TimeSpan,
    /// The time after which a caller may retry if no backend server serves the request.
    pub missing_retry_after: TimeSpan,
    /// The longest wait for other requests that a late request may have, in percent of its latency
    /// objective. Late requests that wait longer are refused, since they delay those that can still
    /// be on time. A long prompt that is late by itself is not refused.
    pub max_wait_percent: u64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            cross_domain_cost: TimeSpan::from_millis(2),
            affinity_engines: 1,
            shortlist_size: 6,
            max_load_age: TimeSpan::from_millis(400),
            queued_request_tokens: TokenCount(600),
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
    /// The complete request; another engine may run the prefill.
    Splittable,
    /// The complete request, at one backend server.
    Unsplit,
    /// The decode only, from a KV cache in this failure domain.
    Decode(&'a DomainId),
}

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The name of the request, which breaks ties.
    pub name: &'a str,
    /// The service that serves it.
    pub service: &'a ServiceId,
    /// The prompt; `None` for a request to a plain service.
    pub prompt: Option<&'a PromptShape>,
    /// The part of the work that is to be placed.
    pub stage: PlacementStage<'a>,
    /// The backend servers that have failed the request, which are not chosen again.
    pub excluded: &'a BTreeSet<BackendId>,
    /// The software versions that may run it.
    pub versions: VersionBound<'a>,
    /// The time left before the deadline.
    pub time_left: TimeSpan,
    /// The time within which the response, or the first event of a stream, is on time.
    pub latency_objective: TimeSpan,
}

/// The work that a backend server gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementWork {
    /// The request, or the remaining decode.
    Run,
    /// The prefill only; another engine decodes.
    Prefill,
}

/// The choice for a request, with the figures that it was based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The chosen backend server.
    pub backend: BackendId,
    /// The incarnation that it is listed with: the start time of its process.
    pub incarnation: u64,
    /// The software version that it is listed with.
    pub version: Option<SoftwareVersion>,
    /// The work that it gets.
    pub work: PlacementWork,
    /// The predicted time to the response, or to its first token.
    pub predicted: TimeSpan,
    /// The prompt tokens to prefill there.
    pub uncached: TokenCount,
    /// The prompt tokens before them that it is expected to have cached.
    pub cached: TokenCount,
    /// The number of backend servers that were compared.
    pub compared: usize,
}

impl Placement {
    /// Returns what the backend server has to prefill.
    pub fn prefill_work(&self) -> PrefillWork {
        PrefillWork {
            uncached: self.uncached,
            cached: self.cached,
        }
    }
}

/// A backend server under comparison, with its predicted cost.
struct Candidate<'a> {
    row: &'a ServerRow,
    work: PlacementWork,
    /// The predicted time, including waits.
    cost: TimeSpan,
    /// The part of the cost that the request takes without other requests.
    unloaded: TimeSpan,
    /// Costs to other requests, expressed as time. They count in the comparison only.
    bias: TimeSpan,
    prefill: PrefillWork,
}

impl PlacementPolicy {
    /// Chooses the backend server with the least predicted time.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::VersionMissing`] if no backend server has the version that began
    /// the stream, with [`ResultCode::BackendMissing`] if no backend server may be used, with
    /// [`ResultCode::BackendBusy`] if none is available but one may be soon, after a backoff, a
    /// cooldown or a trial request, and with [`ResultCode::DeadlineHopeless`] if none would respond
    /// in time.
    pub fn choose(
        &self,
        table: &ServerTable,
        request: &PlacementRequest<'_>,
        domain: &DomainId,
        now: TimePoint,
    ) -> Result<Placement, CallRefusal> {
        let listed = drop_expired(table.of_service(request.service).collect());
        let listed = self.of_version(listed, request, now)?;
        let rows = self.usable(&listed, request, now)?;
        let prefill_rows = self.prefill_engines(&listed, request, now);
        let shortlist = self.shortlist(&rows, request);
        let prefill_shortlist = self.shortlist(&prefill_rows, request);
        let mut best = self.best(&shortlist, &prefill_shortlist, request, domain, now);
        let mut compared = shortlist.len() + prefill_shortlist.len();
        let compared_all =
            shortlist.len() == rows.len() && prefill_shortlist.len() == prefill_rows.len();
        if !compared_all
            && best
                .as_ref()
                .is_none_or(|best| best.cost > request.latency_objective)
        {
            best = self.best(&rows, &prefill_rows, request, domain, now);
            compared = rows.len() + prefill_rows.len();
        }
        let Some(best) = best else {
            return Err(self.missing());
        };
        self.check_time(&best, request, now)?;
        Ok(Placement {
            backend: best.row.spec.id.clone(),
            incarnation: best.row.spec.started_at_ms,
            version: best.row.spec.version.clone(),
            work: best.work,
            predicted: best.cost,
            uncached: best.prefill.uncached,
            cached: best.prefill.cached,
            compared,
        })
    }

    /// Returns the backend servers whose software version may run the request.
    fn of_version<'a>(
        &self,
        listed: Vec<&'a ServerRow>,
        request: &PlacementRequest<'_>,
        now: TimePoint,
    ) -> Result<Vec<&'a ServerRow>, CallRefusal> {
        let versions = request.versions;
        let allowed = listed.iter().copied();
        let allowed = allowed.filter(|row| versions.allows(row.spec.version.as_ref()));
        let allowed: Vec<&ServerRow> = allowed.collect();
        match versions {
            VersionBound::Any => Ok(listed),
            VersionBound::Avoid(_) => {
                let mut runs = allowed.iter().filter(|row| may_run(row, request));
                match runs.any(|row| row.decision(now) == SendDecision::Send) {
                    true => Ok(allowed),
                    false => Ok(listed),
                }
            }
            VersionBound::Only(_) if allowed.is_empty() => {
                Err(CallRefusal::permanent(ResultCode::VersionMissing))
            }
            VersionBound::Only(_) => Ok(allowed),
        }
    }

    /// Returns the candidate with the lowest cost among `rows`, which may run the request, and
    /// `prefill_rows`, which may prefill its prompt.
    fn best<'a>(
        &self,
        rows: &[&'a ServerRow],
        prefill_rows: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
        domain: &DomainId,
        now: TimePoint,
    ) -> Option<Candidate<'a>> {
        let mut candidates = self.run_candidates(rows, request, domain, now);
        let handoff = candidates
            .iter()
            .map(|candidate| candidate.row.base_ttft(now))
            .min();
        if let Some(handoff) = handoff {
            candidates.extend(self.prefill_candidates(prefill_rows, request, handoff, now));
        }
        candidates.into_iter().min_by_key(|candidate| {
            let tie = NameRank::of(request.name, candidate.row.spec.id.as_str());
            (
                candidate.cost + candidate.bias,
                candidate.row.total_in_flight(now),
                tie,
            )
        })
    }

    /// Returns the engines that are compared first. Prompts that share a part get the same ones, so
    /// that they find it cached. A decode gets others for each request.
    fn shortlist<'a>(
        &self,
        rows: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
    ) -> Vec<&'a ServerRow> {
        if rows.len() <= self.shortlist_size || request.prompt.is_none() {
            return rows.to_vec();
        }
        let affinity_key = match request.stage {
            PlacementStage::Decode(_) => None,
            PlacementStage::Splittable | PlacementStage::Unsplit => {
                request.prompt.and_then(PromptShape::affinity_key)
            }
        };
        let key = affinity_key.map_or(request.name, SmolStr::as_str);
        let key = NameRank::of("prompt", key);
        let mut ranked = rows.to_vec();
        ranked.select_nth_unstable_by_key(self.shortlist_size, |row| row.name_rank.combine(key));
        ranked.truncate(self.shortlist_size);
        ranked
    }

    /// Returns the refusal for a request that no backend server serves.
    fn missing(&self) -> CallRefusal {
        CallRefusal::retryable(ResultCode::BackendMissing, self.missing_retry_after)
    }

    /// Refuses a request that would miss its deadline, or that would be late after a long wait. The
    /// refusal states when a retry may be in time.
    ///
    /// A decode is not refused for being late, since that would waste the prefill. An engine that has been
    /// idle gets a trial request, which shows whether it still is as slow as predicted.
    fn check_time(
        &self,
        best: &Candidate<'_>,
        request: &PlacementRequest<'_>,
        now: TimePoint,
    ) -> Result<(), CallRefusal> {
        let wait = best.cost.saturating_sub(best.unloaded);
        let max_wait = TimeSpan(request.latency_objective.0 * self.max_wait_percent / 100);
        let late = best.cost > request.latency_objective && wait > max_wait;
        let hopeless = best.cost > request.time_left;
        let needs_prefill =
            request.prompt.is_some() && !matches!(request.stage, PlacementStage::Decode(_));
        let refused = hopeless || (late && needs_prefill);
        if !refused || best.row.is_trial_due(now) {
            return Ok(());
        }
        let excess = best.cost.saturating_sub(request.latency_objective);
        let retry_after = excess.max(self.min_retry_after);
        Err(CallRefusal::retryable(
            ResultCode::DeadlineHopeless,
            retry_after,
        ))
    }

    /// Returns the backend servers that may run the request. Ejected ones are used only as a
    /// last resort.
    fn usable<'a>(
        &self,
        listed: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
        now: TimePoint,
    ) -> Result<Vec<&'a ServerRow>, CallRefusal> {
        let all = listed.iter().copied();
        let (mut open, mut last_resort, mut earliest) = (Vec::new(), Vec::new(), None);
        for row in all.filter(|row| may_run(row, request)) {
            match row.decision(now) {
                SendDecision::Send => open.push(row),
                SendDecision::LastResort => last_resort.push(row),
                SendDecision::Wait(until) => {
                    earliest = Some(earliest.map_or(until, |other: TimePoint| until.min(other)));
                }
                SendDecision::Never => {}
            }
        }
        match earliest {
            _ if !open.is_empty() => Ok(open),
            Some(until) => {
                let wait = until.since(now);
                Err(CallRefusal::retryable(ResultCode::BackendBusy, wait))
            }
            None if !last_resort.is_empty() => Ok(last_resort),
            None => Err(self.missing()),
        }
    }

    /// Returns the candidates for running the request.
    fn run_candidates<'a>(
        &self,
        rows: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
        domain: &DomainId,
        now: TimePoint,
    ) -> Vec<Candidate<'a>> {
        let assigned = self.assigned_engines(rows, request);
        let local_domain = match request.stage {
            PlacementStage::Decode(domain) => domain,
            PlacementStage::Splittable | PlacementStage::Unsplit => domain,
        };
        let candidates = rows.iter().map(|row| {
            let distance_cost = match row.spec.domain == *local_domain {
                true => TimeSpan::ZERO,
                false => self.cross_domain_cost,
            };
            self.predict(row, request, &assigned, distance_cost, now)
        });
        candidates.collect()
    }

    /// Returns the engines that may run a separate prefill.
    fn prefill_engines<'a>(
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
                && is_eligible(row, request)
                && row.decision(now) == SendDecision::Send
        });
        usable.collect()
    }

    /// Returns the candidates for a separate prefill. `handoff` is the time that the decode engine
    /// takes to its first token.
    fn prefill_candidates<'a>(
        &self,
        rows: &[&'a ServerRow],
        request: &PlacementRequest<'_>,
        handoff: TimeSpan,
        now: TimePoint,
    ) -> Vec<Candidate<'a>> {
        let Some(prompt) = request.prompt else {
            return Vec::new();
        };
        let assigned = self.assigned_engines(rows, request);
        let candidates = rows.iter().map(|row| {
            let (prefill, recomputed) = self.prefill_work(row, prompt, &assigned);
            let unloaded = row.base_ttft(now) + row.work_time(prefill, now) + handoff;
            let queued = row.prefill_time(self.queued_tokens(row, now), now);
            Candidate {
                row,
                work: PlacementWork::Prefill,
                cost: unloaded + queued + self.handoff_cost,
                unloaded,
                bias: row.prefill_time(recomputed, now),
                prefill,
            }
        });
        candidates.collect()
    }

    /// Returns the engines that the request's shared parts are assigned to if none is known to have
    /// them cached. Every entry computes the same ones, by rendezvous hashing.
    fn assigned_engines(
        &self,
        rows: &[&ServerRow],
        request: &PlacementRequest<'_>,
    ) -> BTreeSet<BackendId> {
        let Some(prompt) = request.prompt else {
            return BTreeSet::new();
        };
        let shared = prompt.shared();
        let shared_tokens: TokenCount = shared.iter().map(|part| part.tokens).sum();
        let is_cached = rows.iter().any(|row| row.cached(shared) == shared_tokens);
        let Some(affinity_key) = prompt.affinity_key().filter(|_| !is_cached) else {
            return BTreeSet::new();
        };
        let ids = rows.iter().map(|row| &row.spec.id);
        let assigned = crate::rank::highest(affinity_key, ids, self.affinity_engines);
        assigned.into_iter().cloned().collect()
    }
}

/// Drops backend servers whose registrations have expired, unless at least half have. Then a store
/// outage is the likely cause.
fn drop_expired(listed: Vec<&ServerRow>) -> Vec<&ServerRow> {
    let expired = listed.iter().filter(|row| row.expired).count();
    if expired * 2 >= listed.len() {
        return listed;
    }
    listed.into_iter().filter(|row| !row.expired).collect()
}

/// Returns whether a backend server may get any part of a request: it has not failed it and has its
/// model.
fn is_eligible(row: &ServerRow, request: &PlacementRequest<'_>) -> bool {
    if request.excluded.contains(&row.spec.id) {
        return false;
    }
    let models = &row.spec.models;
    let model = request.prompt.map(|prompt| &prompt.model);
    model.is_none_or(|model| models.is_empty() || models.contains(model))
}

/// Returns whether a backend server may run a request; prefill engines do not decode.
fn may_run(row: &ServerRow, request: &PlacementRequest<'_>) -> bool {
    let engine = request.prompt.is_some();
    is_eligible(row, request) && !(engine && row.spec.role == BackendRole::Prefill)
}
