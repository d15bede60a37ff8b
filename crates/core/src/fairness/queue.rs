use std::collections::{BTreeMap, BTreeSet};

use crate::code::{CallRefusal, ResultCode};
use crate::fairness::class_queue::{calls_per_weight, ClassQueue, VirtualTokens};
use crate::fairness::{CallClass, CallId, DroppedCall, QueuedCall, TeamWeight};
use crate::id::TeamId;
use crate::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};

/// The factor by which virtual counters are scaled to preserve fractions.
const COUNTER_SCALE: u64 = 1_000;
/// The cost of a generated token in prompt tokens. It occupies the engine for longer than a
/// prompt token, since prompt tokens are computed in bulk.
const DECODE_TOKEN_COST: u64 = 2;
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(50);

/// The limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePolicy {
    /// The maximum number of queued calls.
    pub max_waiting: usize,
    /// Among this many calls served in a row, at least one is a batch call if any is queued.
    pub batch_interval: u32,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            batch_interval: 10,
        }
    }
}

/// The prefill rate and backlog of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefillLoad {
    /// Prompt tokens computed per second.
    pub prefill_rate: TokenRate,
    /// Prompt tokens of calls that were sent and have not returned their first token.
    pub in_flight: TokenCount,
}

/// The result of queueing a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PushOutcome {
    /// The call that was removed from a full queue to make room for the new one.
    pub evicted: Option<DroppedCall>,
}

/// The team and class under which a call is queued, and when it must start at the latest.
#[derive(Clone, Debug, PartialEq, Eq)]
struct CallLocation {
    team: TeamId,
    class: CallClass,
    latest_start: TimePoint,
}

/// The calls that are queued in a sidecar, served fairly by team.
#[derive(Clone, Debug, Default)]
pub struct TeamQueue {
    policy: QueuePolicy,
    weights: BTreeMap<TeamId, TeamWeight>,
    counters: BTreeMap<TeamId, VirtualTokens>,
    last_served: VirtualTokens,
    interactive: ClassQueue,
    batch: ClassQueue,
    locations: BTreeMap<CallId, CallLocation>,
    latest_starts: BTreeSet<(TimePoint, CallId)>,
    calls_since_batch: u32,
}

impl TeamQueue {
    /// Creates an empty queue.
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Sets the weight of a team, which applies from the next charge on.
    pub fn set_weight(&mut self, team: TeamId, weight: TeamWeight) {
        self.weights.insert(team, weight);
    }

    /// Removes a team that is no longer configured; its queued calls stay.
    pub fn remove_team(&mut self, team: &TeamId) {
        self.weights.remove(team);
        if !self.has_waiting_calls(team) {
            self.counters.remove(team);
        }
    }

    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns how long `call` would wait until its prefill starts if it were queued now.
    pub fn predicted_wait(&self, call: &QueuedCall, load: PrefillLoad) -> TimeSpan {
        let queue = self.class_queue(call.class);
        let ahead = queue.tokens_ahead(&call.team, call.prompt_tokens, &self.weights);
        prefill_time(load.in_flight + ahead, load.prefill_rate)
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// Refuses a call with [`ResultCode::DeadlineHopeless`] if its first token would be
    /// late, and with [`ResultCode::BackendBusy`] if a full queue has no room for it. In a
    /// full queue, the team with the most queued calls for its weight loses its newest call
    /// to a team with fewer, and batch calls make room for interactive ones.
    pub fn push(
        &mut self,
        call: QueuedCall,
        load: PrefillLoad,
        now: TimePoint,
    ) -> Result<PushOutcome, CallRefusal> {
        let wait = self.predicted_wait(&call, load);
        let prefill = prefill_time(call.prompt_tokens, load.prefill_rate);
        let first_token_at = now + wait + prefill;
        if first_token_at > call.deadline {
            return Err(deadline_refusal(first_token_at.since(call.deadline), wait));
        }
        let mut outcome = PushOutcome::default();
        if self.locations.len() >= self.policy.max_waiting {
            outcome.evicted = Some(self.evict_for(&call, wait)?);
        }
        self.insert(call, prefill);
        Ok(outcome)
    }

    /// Returns the call to serve next without removing it.
    pub fn peek(&self) -> Option<&QueuedCall> {
        let queue = self.class_queue(self.next_class()?);
        queue.first(queue.next_team()?)
    }

    /// Removes the call to serve next and charges its prompt to its team.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        let class = self.next_class()?;
        let id = self.peek()?.id;
        let call = self.remove(id)?;
        self.calls_since_batch = match class {
            CallClass::Interactive => self.calls_since_batch.saturating_add(1),
            CallClass::Batch => 0,
        };
        self.last_served = self.last_served.max(self.counter_of(&call.team));
        self.charge(&call.team, call.prompt_tokens, TokenCount::ZERO);
        Some(call)
    }

    /// Charges served tokens to a team.
    pub fn charge(&mut self, team: &TeamId, prompt: TokenCount, generated: TokenCount) {
        let weight = self.weights.get(team).copied().unwrap_or_default();
        let served = prompt.0 + generated.0 * DECODE_TOKEN_COST;
        let from = self.counter_of(team);
        let to = VirtualTokens(from.0 + served * COUNTER_SCALE / u64::from(weight.get()));
        self.set_counter(team, from, to);
    }

    /// Removes a call whose caller has disconnected; returns whether it was queued.
    pub fn cancel(&mut self, id: CallId) -> bool {
        self.remove(id).is_some()
    }

    /// Removes the calls that would miss their deadline even if they were sent now.
    pub fn drop_late(&mut self, now: TimePoint) -> Vec<DroppedCall> {
        let mut dropped = Vec::new();
        while let Some((latest, id)) = self.latest_starts.first().copied() {
            if latest >= now {
                break;
            }
            self.remove(id);
            let refusal = CallRefusal::retryable(ResultCode::DeadlineHopeless, MIN_RETRY_AFTER);
            dropped.push(DroppedCall { id, refusal });
        }
        dropped
    }

    /// Removes all calls, each with `refusal`; used when the sidecar shuts down.
    pub fn drain(&mut self, refusal: CallRefusal) -> Vec<DroppedCall> {
        let ids: Vec<CallId> = self.locations.keys().copied().collect();
        for id in &ids {
            self.remove(*id);
        }
        ids.into_iter()
            .map(|id| DroppedCall { id, refusal })
            .collect()
    }

    fn next_class(&self) -> Option<CallClass> {
        let interactive = self.interactive.min_counter().is_some();
        let batch = self.batch.min_counter().is_some();
        let batch_due = self.calls_since_batch + 1 >= self.policy.batch_interval;
        match (interactive, batch) {
            (false, false) => None,
            (true, false) => Some(CallClass::Interactive),
            (false, true) => Some(CallClass::Batch),
            (true, true) if batch_due => Some(CallClass::Batch),
            (true, true) => Some(CallClass::Interactive),
        }
    }

    fn insert(&mut self, call: QueuedCall, prefill: TimeSpan) {
        self.lift_counter(&call.team);
        let counter = self.counter_of(&call.team);
        let latest_start = call.deadline - prefill;
        let location = CallLocation {
            team: call.team.clone(),
            class: call.class,
            latest_start,
        };
        self.latest_starts.insert((latest_start, call.id));
        self.locations.insert(call.id, location);
        self.class_queue_mut(call.class).push(call, counter);
    }

    /// Raises the counter of a team without queued calls to the smallest one of the others.
    ///
    /// A team therefore gains no credit from time without calls.
    fn lift_counter(&mut self, team: &TeamId) {
        if self.has_waiting_calls(team) {
            return;
        }
        let counters = [self.interactive.min_counter(), self.batch.min_counter()];
        let baseline = counters
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.last_served);
        let counter = self.counter_of(team).max(baseline);
        self.counters.insert(team.clone(), counter);
    }

    /// Removes the newest call of the most loaded team to make room for `call`.
    fn evict_for(&mut self, call: &QueuedCall, wait: TimeSpan) -> Result<DroppedCall, CallRefusal> {
        let busy = CallRefusal::retryable(ResultCode::BackendBusy, wait.max(MIN_RETRY_AFTER));
        let class = match self.batch.min_counter() {
            Some(_) => CallClass::Batch,
            None => CallClass::Interactive,
        };
        if class < call.class {
            return Err(busy);
        }
        let queue = self.class_queue(class);
        let (team, share) = queue.most_loaded_team(&self.weights).ok_or(busy)?;
        let weight = self.weights.get(&call.team).copied().unwrap_or_default();
        let own = calls_per_weight(queue.waiting_count(&call.team) + 1, weight);
        if class == call.class && own >= share {
            return Err(busy);
        }
        let id = queue.last(team).map(|last| last.id).ok_or(busy)?;
        self.remove(id);
        Ok(DroppedCall { id, refusal: busy })
    }

    fn remove(&mut self, id: CallId) -> Option<QueuedCall> {
        let location = self.locations.remove(&id)?;
        self.latest_starts.remove(&(location.latest_start, id));
        let counter = self.counter_of(&location.team);
        self.class_queue_mut(location.class)
            .remove(&location.team, id, counter)
    }

    fn has_waiting_calls(&self, team: &TeamId) -> bool {
        self.interactive.has_team(team) || self.batch.has_team(team)
    }

    fn counter_of(&self, team: &TeamId) -> VirtualTokens {
        self.counters.get(team).copied().unwrap_or_default()
    }

    fn set_counter(&mut self, team: &TeamId, from: VirtualTokens, to: VirtualTokens) {
        self.counters.insert(team.clone(), to);
        self.interactive.update_counter(team, from, to);
        self.batch.update_counter(team, from, to);
    }

    fn class_queue(&self, class: CallClass) -> &ClassQueue {
        match class {
            CallClass::Interactive => &self.interactive,
            CallClass::Batch => &self.batch,
        }
    }

    fn class_queue_mut(&mut self, class: CallClass) -> &mut ClassQueue {
        match class {
            CallClass::Interactive => &mut self.interactive,
            CallClass::Batch => &mut self.batch,
        }
    }
}

/// Returns the refusal of a call that would be late by `excess` after a queueing time of `wait`.
///
/// The queue must shrink by `excess` before the call can meet its deadline. If the queue
/// is shorter than that, the prefill alone takes too long and the refusal is permanent.
fn deadline_refusal(excess: TimeSpan, wait: TimeSpan) -> CallRefusal {
    if wait < excess {
        return CallRefusal::permanent(ResultCode::DeadlineHopeless);
    }
    CallRefusal::retryable(ResultCode::DeadlineHopeless, excess.max(MIN_RETRY_AFTER))
}

fn prefill_time(tokens: TokenCount, rate: TokenRate) -> TimeSpan {
    TimeSpan::from_secs_f64(tokens.0 as f64 / rate.0.max(1) as f64)
}
