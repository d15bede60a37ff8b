use std::collections::BTreeMap;

use crate::id::{BackendId, PoolId, RegionId};
use crate::routing::{
    BackendAvailability, BackendSpec, BackendState, CacheEvent, InFlightRequest, LoadReport,
    PrefixIndex,
};
use crate::unit::{TimePoint, TimeSpan, TokenCount};

/// Identifies an in-flight request of this entry to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlightId(pub u64);

/// The state of a pool in one region, published to the other regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSummary {
    /// Backend servers that accept requests.
    pub serving: u32,
    /// Running requests.
    pub running: u32,
    /// Queued prompt tokens.
    pub waiting_tokens: TokenCount,
    /// Free KV cache, in tokens.
    pub free_tokens: TokenCount,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    pool: PoolId,
    region: RegionId,
}

/// The backend servers that an entry may send requests to.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    rows: BTreeMap<BackendId, BackendState>,
    groups: BTreeMap<GroupKey, Vec<BackendId>>,
    flights: BTreeMap<FlightId, BackendId>,
    prefixes: PrefixIndex,
    last_flight: u64,
}

impl BackendTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a backend server, or replaces its specification.
    pub fn upsert(&mut self, spec: BackendSpec) {
        let id = spec.id.clone();
        if let Some(row) = self.rows.get_mut(&id) {
            if row.spec == spec {
                return;
            }
            let previous = std::mem::replace(&mut row.spec, spec);
            self.leave_group(&previous);
        } else {
            self.rows.insert(id.clone(), BackendState::new(spec));
        }
        self.join_group(&id);
    }

    /// Removes a backend server together with its in-flight requests and cached prefixes.
    pub fn remove(&mut self, id: &BackendId) {
        let Some(row) = self.rows.remove(id) else {
            return;
        };
        for flight in row.in_flight_requests.keys() {
            self.flights.remove(flight);
        }
        self.leave_group(&row.spec);
        self.prefixes.remove(id);
    }

    /// Records a load report measured `age` ago; ignores one older than the latest.
    pub fn record_load(
        &mut self,
        id: &BackendId,
        report: LoadReport,
        age: TimeSpan,
        now: TimePoint,
    ) {
        if let Some(row) = self.rows.get_mut(id) {
            row.apply_report(report, now - age);
        }
    }

    /// Sets whether a backend server may be sent requests.
    pub fn set_availability(&mut self, id: &BackendId, availability: BackendAvailability) {
        if let Some(row) = self.rows.get_mut(id) {
            row.availability = availability;
        }
    }

    /// Applies a cache event of a backend server; ignores an unknown backend server.
    pub fn apply_cache_event(&mut self, id: &BackendId, event: &CacheEvent) {
        if self.rows.contains_key(id) {
            self.prefixes.apply(id, event);
        }
    }

    /// Records that a request is being sent, of which `prompt_tokens` need prefill.
    ///
    /// Returns `None` if the backend server is unknown.
    pub fn begin(
        &mut self,
        id: &BackendId,
        prompt_tokens: TokenCount,
        now: TimePoint,
    ) -> Option<FlightId> {
        let row = self.rows.get_mut(id)?;
        self.last_flight += 1;
        let flight = FlightId(self.last_flight);
        let request = InFlightRequest {
            sent_at: now,
            prompt_tokens,
            decoding: false,
        };
        row.in_flight_requests.insert(flight, request);
        self.flights.insert(flight, id.clone());
        Some(flight)
    }

    /// Records that the first token of a request has arrived.
    pub fn record_first_token(&mut self, flight: FlightId) {
        let Some(id) = self.flights.get(&flight) else {
            return;
        };
        let row = self.rows.get_mut(id);
        if let Some(request) = row.and_then(|row| row.in_flight_requests.get_mut(&flight)) {
            request.decoding = true;
        }
    }

    /// Records that a request has ended, with or without success.
    pub fn finish(&mut self, flight: FlightId, now: TimePoint) {
        let Some(id) = self.flights.remove(&flight) else {
            return;
        };
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        if let Some(request) = row.in_flight_requests.remove(&flight) {
            row.update_call_time(now.since(request.sent_at));
        }
    }

    /// Returns the state of a backend server.
    pub fn get(&self, id: &BackendId) -> Option<&BackendState> {
        self.rows.get(id)
    }

    /// Returns all rows in the order of their identifiers.
    pub fn rows(&self) -> std::collections::btree_map::Values<'_, BackendId, BackendState> {
        self.rows.values()
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the index of cached prefixes.
    pub fn prefixes(&self) -> &PrefixIndex {
        &self.prefixes
    }

    /// Returns the totals of a pool in one region over its available backend servers.
    pub fn summary(&self, pool: &PoolId, region: &RegionId) -> PoolSummary {
        let mut summary = PoolSummary::default();
        for row in self
            .group(pool, region)
            .iter()
            .filter_map(|id| self.rows.get(id))
        {
            if row.availability != BackendAvailability::Serving {
                continue;
            }
            summary.serving += 1;
            summary.running += row.report.running;
            summary.waiting_tokens += row.backlog();
            summary.free_tokens += row.report.free_tokens;
        }
        summary
    }

    pub(crate) fn group(&self, pool: &PoolId, region: &RegionId) -> &[BackendId] {
        let key = GroupKey {
            pool: pool.clone(),
            region: region.clone(),
        };
        self.groups.get(&key).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn in_other_regions(&self, pool: &PoolId, region: &RegionId) -> Vec<&BackendId> {
        let groups = self.groups.iter();
        let others = groups.filter(|(key, _)| key.pool == *pool && key.region != *region);
        others.flat_map(|(_, ids)| ids).collect()
    }

    fn join_group(&mut self, id: &BackendId) {
        let Some(row) = self.rows.get(id) else {
            return;
        };
        let key = group_key(&row.spec);
        self.groups.entry(key).or_default().push(id.clone());
    }

    fn leave_group(&mut self, spec: &BackendSpec) {
        let key = group_key(spec);
        let Some(ids) = self.groups.get_mut(&key) else {
            return;
        };
        ids.retain(|id| *id != spec.id);
        if ids.is_empty() {
            self.groups.remove(&key);
        }
    }
}

fn group_key(spec: &BackendSpec) -> GroupKey {
    GroupKey {
        pool: spec.pool.clone(),
        region: spec.region.clone(),
    }
}
