use std::hint::black_box;

use applefold_core::fairness::{
    CallClass, CallId, PrefillLoad, QueuePolicy, QueuedCall, TeamQueue,
};
use applefold_core::unit::{TimePoint, TokenCount, TokenRate};

use super::admitting::team;
use super::probe::{ScaleProbe, SeriesPlan};

const CALLS: &[u64] = &[10, 30, 100, 256, 1_000, 3_000];
const TEAMS_AT_A_SIDECAR: u64 = 530;
const FIRST_NEW_CALL: u64 = 1_000_000;
const NOW: TimePoint = TimePoint(1_000_000);
const FAR: TimePoint = TimePoint(u64::MAX / 2);

pub(super) fn grow(probe: &mut ScaleProbe) -> eyre::Result<()> {
    let plan = SeriesPlan {
        table: "calls that wait at a sidecar, of up to 530 teams",
        row: "call",
        event: "take a call, charge its answer, take in another",
        sizes: CALLS,
    };
    probe.measure(plan, queue, serve)
}

fn queue(rows: u64) -> TeamQueue {
    let policy = QueuePolicy {
        max_waiting: 2 * rows as usize,
        ..QueuePolicy::default()
    };
    let mut queue = TeamQueue::new(policy);
    for number in 0..rows {
        push(&mut queue, number);
    }
    queue
}

fn push(queue: &mut TeamQueue, number: u64) {
    let call = QueuedCall {
        id: CallId(number),
        team: team(number % TEAMS_AT_A_SIDECAR),
        class: CallClass::Interactive,
        prompt_tokens: TokenCount(500 + number % 500),
        answer_tokens: TokenCount(100),
        deadline: FAR,
    };
    let pace = PrefillLoad {
        prefill_rate: TokenRate(10_000),
        in_flight: TokenCount::ZERO,
    };
    let _ = black_box(queue.push(call, pace, NOW));
}

fn serve(queue: &mut TeamQueue, turn: u64) {
    if let Some(call) = queue.pop() {
        queue.charge(&call.team, TokenCount::ZERO, call.answer_tokens);
    }
    push(queue, FIRST_NEW_CALL + turn);
}
