//! Schedules requests at the backend server: which ones wait and which run, within its slots and
//! its KV cache memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::config::{PoolKind, ServingConfig};
use applefold_core::fairness::{
    CallClass, CallId, DroppedCall, PrefillLoad, QueuePolicy, QueuedCall, TeamQueue, TeamWeight,
};
use applefold_core::id::{PoolId, TeamId};
use applefold_core::memory::{BlockCount, MemoryReservation, MemoryTracker};
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};
use tokio::sync::oneshot;

/// The interval at which calls that can no longer meet their deadline are dropped.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The prefill rate assumed until the engine or the configuration states one.
const DEFAULT_PREFILL_RATE: TokenRate = TokenRate(8_000);
/// The capacity of a pool whose memory is not configured or that serves no model.
const UNBOUNDED_MEMORY: BlockCount = BlockCount(u64::MAX / 2_048);
/// The retry delay in refusals for lack of capacity.
const BUSY_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(250);

/// A call to be scheduled.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) team: TeamId,
    pub(crate) class: CallClass,
    pub(crate) prompt: TokenCount,
    pub(crate) answer: TokenCount,
    pub(crate) deadline: TimePoint,
}

type SlotReply = oneshot::Sender<Result<MemoryReservation, CallRefusal>>;

/// Schedules calls by the weights of their teams.
pub(crate) struct SlotScheduler {
    queue: RefCell<TeamQueue>,
    memory: RefCell<MemoryTracker>,
    waiting: RefCell<BTreeMap<CallId, SlotReply>>,
    slots: usize,
    running: Cell<usize>,
    prefill_backlog: Rc<Cell<u64>>,
    prefill_rate: Cell<TokenRate>,
    last_call: Cell<u64>,
}

/// A slot that a call holds; dropping it frees the slot.
pub(crate) struct SlotGuard {
    scheduler: Rc<SlotScheduler>,
    team: TeamId,
    prompt: Cell<TokenCount>,
    _memory: MemoryReservation,
}

impl SlotGuard {
    /// Records that a part of the response has arrived, so that the prompt is prefilled.
    pub(crate) fn finish_prefill(&self) {
        let prompt = self.prompt.replace(TokenCount::ZERO);
        let backlog = &self.scheduler.prefill_backlog;
        backlog.set(backlog.get().saturating_sub(prompt.0));
    }

    /// Charges generated tokens to the team as they are forwarded.
    pub(crate) fn charge(&self, answer: TokenCount) {
        let mut queue = self.scheduler.queue.borrow_mut();
        queue.charge(&self.team, TokenCount::ZERO, answer);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        self.scheduler.running.set(self.scheduler.running.get() - 1);
        // The memory reservation is released only after this function, hence the task. The next tick
        // observes the release at the latest.
        let scheduler = self.scheduler.clone();
        actix_rt::spawn(async move { scheduler.start_calls() });
    }
}

/// Removes a call from the queue if its caller disconnects while it waits.
struct CancelGuard<'a> {
    scheduler: &'a SlotScheduler,
    id: CallId,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self
            .scheduler
            .waiting
            .borrow_mut()
            .remove(&self.id)
            .is_some()
        {
            self.scheduler.queue.borrow_mut().cancel(self.id);
        }
    }
}

impl SlotScheduler {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            queue: RefCell::new(TeamQueue::new(QueuePolicy::default())),
            memory: RefCell::new(MemoryTracker::new(UNBOUNDED_MEMORY)),
            waiting: RefCell::default(),
            slots,
            running: Cell::new(0),
            prefill_backlog: Rc::default(),
            prefill_rate: Cell::new(DEFAULT_PREFILL_RATE),
            last_call: Cell::new(0),
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.get()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Returns the prompt tokens that were sent to the backend server and are not yet prefilled.
    pub(crate) fn prefill_backlog(&self) -> TokenCount {
        TokenCount(self.prefill_backlog.get())
    }

    /// Sets the prefill rate; zero means unknown and is ignored.
    pub(crate) fn set_prefill_rate(&self, rate: TokenRate) {
        if rate > TokenRate::ZERO {
            self.prefill_rate.set(rate);
        }
    }

    /// Applies the team weights of the configuration, and the memory and prefill rate of the pool.
    pub(crate) fn configure(&self, config: &ServingConfig, pool: &PoolId) {
        let mut queue = self.queue.borrow_mut();
        for team in config.teams().values() {
            queue.set_weight(team.id.clone(), TeamWeight::new(team.weight.0));
        }
        let Some(pool) = config.pools().get(pool) else {
            return;
        };
        let tokens = pool.memory_tokens.filter(|_| pool.kind == PoolKind::Model);
        let capacity = tokens.map_or(UNBOUNDED_MEMORY, BlockCount::full_blocks);
        self.memory.borrow_mut().resize(capacity);
        if let Some(rate) = pool.prefill_rate {
            self.set_prefill_rate(rate);
        }
    }

    /// Waits until a slot and the memory for the call are free.
    ///
    /// # Errors
    ///
    /// Refuses a call that can never fit into memory or cannot meet its deadline, without waiting,
    /// and a waiting call as soon as it can no longer meet its deadline.
    pub(crate) async fn wait(
        self: &Rc<Self>,
        request: SlotRequest,
        now: TimePoint,
    ) -> Result<SlotGuard, CallRefusal> {
        self.check_memory(&request)?;
        let id = CallId(self.last_call.get() + 1);
        self.last_call.set(id.0);
        let (reply, granted) = oneshot::channel();
        self.push(id, &request, now)?;
        self.waiting.borrow_mut().insert(id, reply);
        let cancel = CancelGuard {
            scheduler: self,
            id,
        };
        self.start_calls();
        let busy = CallRefusal::retryable(ResultCode::BackendBusy, BUSY_RETRY_DELAY);
        let memory = granted.await.map_err(|_| busy)??;
        drop(cancel);
        Ok(SlotGuard {
            scheduler: self.clone(),
            team: request.team,
            prompt: Cell::new(request.prompt),
            _memory: memory,
        })
    }

    /// Refuses a call that needs more memory than the backend server has.
    fn check_memory(&self, request: &SlotRequest) -> Result<(), CallRefusal> {
        let needed = BlockCount::for_tokens(request.prompt + request.answer);
        if needed > self.memory.borrow().capacity() {
            return Err(CallRefusal::permanent(ResultCode::MemoryExceeded));
        }
        Ok(())
    }

    fn push(&self, id: CallId, request: &SlotRequest, now: TimePoint) -> Result<(), CallRefusal> {
        let call = QueuedCall {
            id,
            team: request.team.clone(),
            class: request.class,
            prompt_tokens: request.prompt,
            answer_tokens: request.answer,
            deadline: request.deadline,
        };
        let load = PrefillLoad {
            prefill_rate: self.prefill_rate.get(),
            in_flight: self.prefill_backlog(),
        };
        let outcome = self.queue.borrow_mut().push(call, load, now)?;
        self.refuse(outcome.evicted);
        Ok(())
    }

    fn refuse<I>(&self, dropped: I)
    where
        I: IntoIterator<Item = DroppedCall>,
    {
        for call in dropped {
            if let Some(reply) = self.waiting.borrow_mut().remove(&call.id) {
                let _ = reply.send(Err(call.refusal));
            }
        }
    }

    /// Starts waiting calls while there are free slots and memory.
    fn start_calls(&self) {
        while self.running.get() < self.slots {
            let Some(memory) = self.reserve_next() else {
                return;
            };
            let Some(call) = self.queue.borrow_mut().pop() else {
                return;
            };
            let reply = self.waiting.borrow_mut().remove(&call.id);
            let Some(reply) = reply else {
                continue;
            };
            self.running.set(self.running.get() + 1);
            self.prefill_backlog
                .set(self.prefill_backlog.get() + call.prompt_tokens.0);
            if reply.send(Ok(memory)).is_err() {
                self.running.set(self.running.get() - 1);
                self.prefill_backlog
                    .set(self.prefill_backlog.get() - call.prompt_tokens.0);
            }
        }
    }

    fn reserve_next(&self) -> Option<MemoryReservation> {
        let queue = self.queue.borrow();
        let call = queue.peek()?;
        let memory = self.memory.borrow();
        let reserved = memory.reserve(call.prompt_tokens, call.answer_tokens, BUSY_RETRY_DELAY);
        reserved.ok()
    }

    fn tick(&self, now: TimePoint) {
        let dropped = self.queue.borrow_mut().drop_late(now);
        self.refuse(dropped);
        self.start_calls();
    }
}

/// Refuses calls as soon as they can no longer meet their deadline, for as long as the process
/// runs.
pub(crate) async fn run<F>(scheduler: Rc<SlotScheduler>, now: F)
where
    F: Fn() -> TimePoint,
{
    loop {
        actix_rt::time::sleep(TICK_INTERVAL).await;
        if !scheduler.queue.borrow().is_empty() {
            scheduler.tick(now());
        }
    }
}
