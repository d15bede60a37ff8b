//! The queue of a fake sidecar: fair over teams, or first come, first served.

use std::collections::BTreeMap;

use applefold_core::code::CallRefusal;
use applefold_core::fairness::{
    CallClass, CallId, DroppedCall, PrefillLoad, QueuePolicy, QueuedCall, TeamQueue,
};
use applefold_core::naive::NaiveQueue;
use applefold_core::unit::{TimePoint, TokenCount};

#[derive(Debug)]
enum QueueOrder {
    Fair(Box<TeamQueue>),
    Naive(NaiveQueue),
}

/// Calls that wait, with their tokens summed up.
#[derive(Debug)]
pub(crate) struct CallQueue {
    order: QueueOrder,
    waiting: BTreeMap<CallId, TokenCount>,
    tokens: u64,
}

impl CallQueue {
    pub(crate) fn new(fair: bool) -> Self {
        let order = match fair {
            true => QueueOrder::Fair(Box::new(TeamQueue::new(QueuePolicy::default()))),
            false => QueueOrder::Naive(NaiveQueue::default()),
        };
        Self {
            order,
            waiting: BTreeMap::new(),
            tokens: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Prompt tokens that wait.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Takes in a call; returns what lost its place to it.
    pub(crate) fn push(
        &mut self,
        call: QueuedCall,
        pace: PrefillLoad,
        now: TimePoint,
    ) -> Result<Option<DroppedCall>, CallRefusal> {
        let (id, tokens) = (call.id, call.prompt_tokens);
        let displaced = match &mut self.order {
            QueueOrder::Fair(queue) => queue.push(call, pace, now)?.evicted,
            QueueOrder::Naive(queue) => {
                queue.push(call);
                None
            }
        };
        self.waiting.insert(id, tokens);
        self.tokens += tokens.0;
        if let Some(dropped) = displaced {
            self.forget(dropped.id);
        }
        Ok(displaced)
    }

    pub(crate) fn pop(&mut self) -> Option<QueuedCall> {
        let call = match &mut self.order {
            QueueOrder::Fair(queue) => queue.pop(),
            QueueOrder::Naive(queue) => queue.pop(),
        }?;
        self.forget(call.id);
        Some(call)
    }

    /// Takes out what could not be on time any more; the naive queue never does.
    pub(crate) fn drop_late(&mut self, now: TimePoint) -> Vec<DroppedCall> {
        let QueueOrder::Fair(queue) = &mut self.order else {
            return Vec::new();
        };
        let dropped = queue.drop_late(now);
        for call in &dropped {
            self.forget(call.id);
        }
        dropped
    }

    /// Tells whether an urgent call waits that goes before others.
    pub(crate) fn urgent_waits(&self) -> bool {
        match &self.order {
            QueueOrder::Fair(queue) => {
                let next = queue.peek();
                next.is_some_and(|call| call.class == CallClass::Interactive)
            }
            QueueOrder::Naive(_) => false,
        }
    }

    /// Empties the queue and returns the calls that waited.
    pub(crate) fn take_all(&mut self) -> Vec<CallId> {
        let mut ids = Vec::new();
        while let Some(call) = self.pop() {
            ids.push(call.id);
        }
        ids
    }

    fn forget(&mut self, id: CallId) {
        if let Some(tokens) = self.waiting.remove(&id) {
            self.tokens -= tokens.0;
        }
    }
}
