//! Turns at the backend server: who waits, who runs, and with how much memory.

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

/// How often calls that can no longer be on time are looked for.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// The rate assumed while neither the engine nor the configuration names one.
const DEFAULT_PREFILL_RATE: TokenRate = TokenRate(8_000);
const UNBOUNDED_MEMORY: BlockCount = BlockCount(u64::MAX / 2_048);
const BUSY_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(250);

/// A call that asks for its turn.
#[derive(Clone, Debug)]
pub(crate) struct TurnRequest {
    pub(crate) team: TeamId,
    pub(crate) class: CallClass,
    pub(crate) prompt: TokenCount,
    pub(crate) answer: TokenCount,
    pub(crate) deadline: TimePoint,
}

type TurnReply = oneshot::Sender<Result<MemoryReservation, CallRefusal>>;

/// Gives turns by the teams' shares.
pub(crate) struct TurnTable {
    queue: RefCell<TeamQueue>,
    memory: RefCell<MemoryTracker>,
    waiting: RefCell<BTreeMap<CallId, TurnReply>>,
    slots: usize,
    running: Cell<usize>,
    ahead: Rc<Cell<u64>>,
    prefill_rate: Cell<TokenRate>,
    last_call: Cell<u64>,
}

/// A call whose turn it is; dropping it ends the turn.
pub(crate) struct TurnGuard {
    table: Rc<TurnTable>,
    team: TeamId,
    prompt: Cell<TokenCount>,
    _memory: MemoryReservation,
}

impl TurnGuard {
    /// Notes that the first token has come, so that the prompt is computed.
    pub(crate) fn note_answering(&self) {
        let prompt = self.prompt.replace(TokenCount::ZERO);
        let ahead = &self.table.ahead;
        ahead.set(ahead.get().saturating_sub(prompt.0));
    }

    /// Charges the team for answer tokens as they are served.
    pub(crate) fn charge(&self, answer: TokenCount) {
        let mut queue = self.table.queue.borrow_mut();
        queue.charge(&self.team, TokenCount::ZERO, answer);
    }
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        self.note_answering();
        self.table.running.set(self.table.running.get() - 1);
        // The memory ticket is released after this; the next tick sees it at the latest.
        let table = self.table.clone();
        actix_rt::spawn(async move { table.give_turns() });
    }
}

/// Takes a call out of the queue when its caller leaves.
struct LeaveGuard<'a> {
    table: &'a TurnTable,
    id: CallId,
}

impl Drop for LeaveGuard<'_> {
    fn drop(&mut self) {
        if self.table.waiting.borrow_mut().remove(&self.id).is_some() {
            self.table.queue.borrow_mut().cancel(self.id);
        }
    }
}

impl TurnTable {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            queue: RefCell::new(TeamQueue::new(QueuePolicy::default())),
            memory: RefCell::new(MemoryTracker::new(UNBOUNDED_MEMORY)),
            waiting: RefCell::default(),
            slots,
            running: Cell::new(0),
            ahead: Rc::default(),
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

    /// Returns the prompt tokens sent to the backend server and not yet computed.
    pub(crate) fn ahead(&self) -> TokenCount {
        TokenCount(self.ahead.get())
    }

    /// Takes in the rate that the backend server reports.
    pub(crate) fn note_rate(&self, rate: TokenRate) {
        if rate > TokenRate::ZERO {
            self.prefill_rate.set(rate);
        }
    }

    /// Takes in weights and memory from the configuration.
    pub(crate) fn configure(&self, config: &ServingConfig, pool: &PoolId) {
        let mut queue = self.queue.borrow_mut();
        for team in config.teams().values() {
            queue.set_weight(team.id.clone(), TeamWeight::new(team.weight.0));
        }
        let Some(pool) = config.pools().get(pool) else {
            return;
        };
        let known = pool.memory_tokens.filter(|_| pool.kind == PoolKind::Model);
        let capacity = known.map_or(UNBOUNDED_MEMORY, BlockCount::full_blocks);
        self.memory.borrow_mut().resize(capacity);
        if let Some(rate) = pool.prefill_rate {
            self.note_rate(rate);
        }
    }

    /// Waits for a call's turn; a call that cannot be on time is refused at once.
    pub(crate) async fn wait(
        self: &Rc<Self>,
        request: TurnRequest,
        now: TimePoint,
    ) -> Result<TurnGuard, CallRefusal> {
        self.check_memory(&request)?;
        let id = CallId(self.last_call.get() + 1);
        self.last_call.set(id.0);
        let (reply, turn) = oneshot::channel();
        self.push(id, &request, now)?;
        self.waiting.borrow_mut().insert(id, reply);
        let leave = LeaveGuard { table: self, id };
        self.give_turns();
        let lost = CallRefusal::retryable(ResultCode::BackendBusy, BUSY_RETRY_AFTER);
        let memory = turn.await.map_err(|_| lost)??;
        drop(leave);
        Ok(TurnGuard {
            table: self.clone(),
            team: request.team,
            prompt: Cell::new(request.prompt),
            _memory: memory,
        })
    }

    /// What can never fit is told so before it waits.
    fn check_memory(&self, request: &TurnRequest) -> Result<(), CallRefusal> {
        let needed = BlockCount::for_tokens(request.prompt + request.answer);
        if needed > self.memory.borrow().capacity() {
            return Err(CallRefusal::permanent(ResultCode::MemoryExceeded));
        }
        Ok(())
    }

    fn push(&self, id: CallId, request: &TurnRequest, now: TimePoint) -> Result<(), CallRefusal> {
        let call = QueuedCall {
            id,
            team: request.team.clone(),
            class: request.class,
            prompt_tokens: request.prompt,
            answer_tokens: request.answer,
            deadline: request.deadline,
        };
        let pace = PrefillLoad {
            prefill_rate: self.prefill_rate.get(),
            in_flight: self.ahead(),
        };
        let outcome = self.queue.borrow_mut().push(call, pace, now)?;
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

    /// Gives turns while there is room.
    fn give_turns(&self) {
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
            self.ahead.set(self.ahead.get() + call.prompt_tokens.0);
            if reply.send(Ok(memory)).is_err() {
                self.running.set(self.running.get() - 1);
                self.ahead.set(self.ahead.get() - call.prompt_tokens.0);
            }
        }
    }

    fn reserve_next(&self) -> Option<MemoryReservation> {
        let queue = self.queue.borrow();
        let call = queue.peek()?;
        let memory = self.memory.borrow();
        let reserved = memory.reserve(call.prompt_tokens, call.answer_tokens, BUSY_RETRY_AFTER);
        reserved.ok()
    }

    fn tick(&self, now: TimePoint) {
        let dropped = self.queue.borrow_mut().drop_late(now);
        self.refuse(dropped);
        self.give_turns();
    }
}

/// Refuses calls as soon as they can no longer be on time.
pub(crate) async fn follow<F>(table: Rc<TurnTable>, now: F)
where
    F: Fn() -> TimePoint,
{
    loop {
        actix_rt::time::sleep(TICK_PERIOD).await;
        if !table.queue.borrow().is_empty() {
            table.tick(now());
        }
    }
}
