use std::collections::{BTreeMap, BTreeSet};

use crate::code::{CallRefusal, ResultCode};
use crate::fairness::class_queue::{share_of, ClassQueue, VirtualTokens};
use crate::fairness::{CallClass, CallId, DroppedCall, QueuedCall, TeamWeight};
use crate::id::TeamId;
use crate::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};

const COUNTER_SCALE: u64 = 1_000;
/// An answer token occupies the engine longer than a prompt token, which is computed in bulk.
const ANSWER_COST: u64 = 2;
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(50);

/// The bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePolicy {
    /// The most calls that wait.
    pub max_waiting: usize,
    /// Of so many calls taken in a row, at least one is a batch call if any waits.
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

/// How fast the backend server gets through prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefillLoad {
    /// Prompt tokens computed per second.
    pub prefill_rate: TokenRate,
    /// Prompt tokens that were sent and whose first answer token has not come.
    pub in_flight: TokenCount,
}

/// What taking in a call has led to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PushOutcome {
    /// The call that lost its place in a full queue to the new one.
    pub evicted: Option<DroppedCall>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct CallPlace {
    team: TeamId,
    class: CallClass,
    latest_start: TimePoint,
}

/// The calls that wait at a sidecar.
#[derive(Clone, Debug, Default)]
pub struct TeamQueue {
    policy: QueuePolicy,
    weights: BTreeMap<TeamId, TeamWeight>,
    counters: BTreeMap<TeamId, VirtualTokens>,
    last_served: VirtualTokens,
    interactive: ClassQueue,
    batch: ClassQueue,
    places: BTreeMap<CallId, CallPlace>,
    latest_starts: BTreeSet<(TimePoint, CallId)>,
    since_batch: u32,
}

impl TeamQueue {
    /// Creates an empty queue.
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Sets the weight of a team, which holds from the next charge on.
    pub fn set_weight(&mut self, team: TeamId, weight: TeamWeight) {
        self.weights.insert(team, weight);
    }

    /// Forgets a team that the configuration no longer has; its waiting calls stay.
    pub fn remove_team(&mut self, team: &TeamId) {
        self.weights.remove(team);
        if !self.is_waiting(team) {
            self.counters.remove(team);
        }
    }

    /// Returns the number of calls that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the prompt tokens of the calls that wait of `class`, as `team` would see them.
    pub fn predicted_wait(&self, call: &QueuedCall, pace: PrefillLoad) -> TimeSpan {
        let lane = self.lane(call.class);
        let ahead = lane.tokens_ahead(&call.team, call.prompt_tokens, &self.weights);
        time_for(pace.in_flight + ahead, pace.prefill_rate)
    }

    /// Takes in a call.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::DeadlineHopeless`] what would not get its first
    /// token in time, and with [`ResultCode::BackendBusy`] what a full queue has
    /// no room for. In a full queue, a team that has more than its part waiting
    /// loses its newest call to a team that has less.
    pub fn push(
        &mut self,
        call: QueuedCall,
        pace: PrefillLoad,
        now: TimePoint,
    ) -> Result<PushOutcome, CallRefusal> {
        let wait = self.predicted_wait(&call, pace);
        let work = time_for(call.prompt_tokens, pace.prefill_rate);
        let due = now + wait + work;
        if due > call.deadline {
            return Err(hopeless(due.since(call.deadline), wait));
        }
        let mut outcome = PushOutcome::default();
        if self.places.len() >= self.policy.max_waiting {
            outcome.evicted = Some(self.displace(&call, wait)?);
        }
        self.insert(call, work);
        Ok(outcome)
    }

    /// Returns the call whose turn it is, without taking it.
    pub fn peek(&self) -> Option<&QueuedCall> {
        let lane = self.lane(self.next_class()?);
        lane.head(lane.next_team()?)
    }

    /// Takes the call whose turn it is and charges its prompt to its team.
    pub fn pop(&mut self) -> Option<QueuedCall> {
        let class = self.next_class()?;
        let id = self.peek()?.id;
        let call = self.take(id)?;
        self.since_batch = match class {
            CallClass::Interactive => self.since_batch.saturating_add(1),
            CallClass::Batch => 0,
        };
        self.last_served = self.last_served.max(self.counter_of(&call.team));
        self.charge(&call.team, call.prompt_tokens, TokenCount::ZERO);
        Some(call)
    }

    /// Charges tokens to a team as they are served.
    pub fn charge(&mut self, team: &TeamId, prompt: TokenCount, answer: TokenCount) {
        let weight = self.weights.get(team).copied().unwrap_or_default();
        let served = prompt.0 + answer.0 * ANSWER_COST;
        let from = self.counter_of(team);
        let to = VirtualTokens(from.0 + served * COUNTER_SCALE / u64::from(weight.get()));
        self.set_counter(team, from, to);
    }

    /// Removes a call whose caller has gone.
    pub fn cancel(&mut self, id: CallId) -> bool {
        self.take(id).is_some()
    }

    /// Removes the calls that could not be on time even if they were sent now.
    pub fn drop_late(&mut self, now: TimePoint) -> Vec<DroppedCall> {
        let mut dropped = Vec::new();
        while let Some((latest, id)) = self.latest_starts.first().copied() {
            if latest >= now {
                break;
            }
            self.take(id);
            let refusal = CallRefusal::retryable(ResultCode::DeadlineHopeless, MIN_RETRY_AFTER);
            dropped.push(DroppedCall { id, refusal });
        }
        dropped
    }

    /// Removes all calls, as a stopping sidecar does, each with `refusal`.
    pub fn drain(&mut self, refusal: CallRefusal) -> Vec<DroppedCall> {
        let ids: Vec<CallId> = self.places.keys().copied().collect();
        for id in &ids {
            self.take(*id);
        }
        ids.into_iter()
            .map(|id| DroppedCall { id, refusal })
            .collect()
    }

    fn next_class(&self) -> Option<CallClass> {
        let interactive = self.interactive.least().is_some();
        let batch = self.batch.least().is_some();
        let batch_due = self.since_batch + 1 >= self.policy.batch_interval;
        match (interactive, batch) {
            (false, false) => None,
            (true, false) => Some(CallClass::Interactive),
            (false, true) => Some(CallClass::Batch),
            (true, true) if batch_due => Some(CallClass::Batch),
            (true, true) => Some(CallClass::Interactive),
        }
    }

    fn insert(&mut self, call: QueuedCall, work: TimeSpan) {
        self.lift(&call.team);
        let counter = self.counter_of(&call.team);
        let latest_start = call.deadline - work;
        let place = CallPlace {
            team: call.team.clone(),
            class: call.class,
            latest_start,
        };
        self.latest_starts.insert((latest_start, call.id));
        self.places.insert(call.id, place);
        self.lane_mut(call.class).push(call, counter);
    }

    /// A team that comes back starts level with the others: time without calls earns nothing.
    fn lift(&mut self, team: &TeamId) {
        if self.is_waiting(team) {
            return;
        }
        let lanes = [self.interactive.least(), self.batch.least()];
        let level = lanes
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.last_served);
        let counter = self.counter_of(team).max(level);
        self.counters.insert(team.clone(), counter);
    }

    fn displace(&mut self, call: &QueuedCall, wait: TimeSpan) -> Result<DroppedCall, CallRefusal> {
        let busy = CallRefusal::retryable(ResultCode::BackendBusy, wait.max(MIN_RETRY_AFTER));
        let class = match self.batch.least() {
            Some(_) => CallClass::Batch,
            None => CallClass::Interactive,
        };
        if class < call.class {
            return Err(busy);
        }
        let lane = self.lane(class);
        let (team, share) = lane.most_waiting(&self.weights).ok_or(busy)?;
        let weight = self.weights.get(&call.team).copied().unwrap_or_default();
        let own = share_of(lane.waiting_of(&call.team) + 1, weight);
        if class == call.class && own >= share {
            return Err(busy);
        }
        let id = lane.last(team).map(|last| last.id).ok_or(busy)?;
        self.take(id);
        Ok(DroppedCall { id, refusal: busy })
    }

    fn take(&mut self, id: CallId) -> Option<QueuedCall> {
        let place = self.places.remove(&id)?;
        self.latest_starts.remove(&(place.latest_start, id));
        let counter = self.counter_of(&place.team);
        self.lane_mut(place.class).remove(&place.team, id, counter)
    }

    fn is_waiting(&self, team: &TeamId) -> bool {
        self.interactive.holds(team) || self.batch.holds(team)
    }

    fn counter_of(&self, team: &TeamId) -> VirtualTokens {
        self.counters.get(team).copied().unwrap_or_default()
    }

    fn set_counter(&mut self, team: &TeamId, from: VirtualTokens, to: VirtualTokens) {
        self.counters.insert(team.clone(), to);
        self.interactive.move_team(team, from, to);
        self.batch.move_team(team, from, to);
    }

    fn lane(&self, class: CallClass) -> &ClassQueue {
        match class {
            CallClass::Interactive => &self.interactive,
            CallClass::Batch => &self.batch,
        }
    }

    fn lane_mut(&mut self, class: CallClass) -> &mut ClassQueue {
        match class {
            CallClass::Interactive => &mut self.interactive,
            CallClass::Batch => &mut self.batch,
        }
    }
}

/// The queue must shrink by `excess` before the same call could be on time.
fn hopeless(excess: TimeSpan, wait: TimeSpan) -> CallRefusal {
    if wait < excess {
        return CallRefusal::permanent(ResultCode::DeadlineHopeless);
    }
    CallRefusal::retryable(ResultCode::DeadlineHopeless, excess.max(MIN_RETRY_AFTER))
}

fn time_for(tokens: TokenCount, rate: TokenRate) -> TimeSpan {
    TimeSpan::from_secs_f64(tokens.0 as f64 / rate.0.max(1) as f64)
}
