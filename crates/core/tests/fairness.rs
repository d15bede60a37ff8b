//! Fair queueing: teams are served by weight, none starves, and every call ends once.

use std::collections::{BTreeMap, BTreeSet};

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::fairness::{
    CallClass, CallId, PrefillLoad, QueuePolicy, QueuedCall, TeamQueue, TeamWeight,
};
use applefold_core::id::TeamId;
use applefold_core::naive::NaiveQueue;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LOAD: PrefillLoad = PrefillLoad {
    prefill_rate: TokenRate(10_000),
    in_flight: TokenCount::ZERO,
};
const FAR: TimePoint = TimePoint(u64::MAX / 2);
const NOW: TimePoint = TimePoint(1_000_000);
const DECODE_TOKEN_COST: u64 = 2;

fn team(number: usize) -> TeamId {
    format!("t{number}").parse().expect("a valid identifier")
}

fn call(id: u64, number: usize, prompt: u64, generated: u64) -> QueuedCall {
    QueuedCall {
        id: CallId(id),
        team: team(number),
        class: CallClass::Interactive,
        prompt_tokens: TokenCount(prompt),
        answer_tokens: TokenCount(generated),
        deadline: FAR,
    }
}

fn large_queue() -> TeamQueue {
    TeamQueue::new(QueuePolicy {
        max_waiting: 100_000,
        batch_interval: 10,
    })
}

fn push(queue: &mut TeamQueue, call: QueuedCall) {
    queue.push(call, LOAD, NOW).expect("the queue has room");
}

fn cost(call: &QueuedCall) -> u64 {
    call.prompt_tokens.0 + call.answer_tokens.0 * DECODE_TOKEN_COST
}

/// Serves one call and adds its cost to the sum of its team.
fn serve(queue: &mut TeamQueue, served: &mut BTreeMap<TeamId, u64>) -> Option<QueuedCall> {
    let call = queue.pop()?;
    queue.charge(&call.team, TokenCount::ZERO, call.answer_tokens);
    *served.entry(call.team.clone()).or_default() += cost(&call);
    Some(call)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The served cost per weight of backlogged teams differs by at most the cost of two of
    /// the most expensive calls.
    #[test]
    fn backlogged_teams_are_served_by_weight(
        weights in prop::collection::vec(1_u32..8, 2..6),
        sizes in prop::collection::vec((1_u64..4_000, 1_u64..500), 50..300),
    ) {
        let mut queue = large_queue();
        for (number, weight) in weights.iter().enumerate() {
            queue.set_weight(team(number), TeamWeight::new(*weight));
        }
        let mut id = 0;
        let mut waiting: BTreeMap<TeamId, usize> = BTreeMap::new();
        for (prompt, generated) in &sizes {
            for number in 0..weights.len() {
                id += 1;
                push(&mut queue, call(id, number, *prompt, *generated));
                *waiting.entry(team(number)).or_default() += 1;
            }
        }
        let largest = sizes.iter().map(|(prompt, generated)| prompt + generated * DECODE_TOKEN_COST).max();
        let bound = 2 * largest.unwrap_or_default();
        let mut served = BTreeMap::new();
        while waiting.values().all(|left| *left > 0) {
            let call = serve(&mut queue, &mut served).expect("calls wait");
            *waiting.get_mut(&call.team).expect("a known team") -= 1;
            let share = |number: usize| {
                let sum = served.get(&team(number)).copied().unwrap_or_default();
                sum / u64::from(weights[number])
            };
            let shares: Vec<u64> = (0..weights.len()).map(share).collect();
            let spread = shares.iter().max().unwrap() - shares.iter().min().unwrap();
            prop_assert!(spread <= bound, "{spread} > {bound}");
        }
    }

    /// Each call is served, dropped, evicted or cancelled exactly once.
    #[test]
    fn every_call_ends_once(steps in prop::collection::vec((0_u8..10, 0_usize..5, 1_u64..2_000), 1..300)) {
        let mut queue = TeamQueue::new(QueuePolicy { max_waiting: 12, batch_interval: 3 });
        let mut queued = BTreeSet::new();
        let mut now = NOW;
        for (id, (kind, number, size)) in (1..).zip(steps) {
            let mut ended = Vec::new();
            match kind {
                0..=5 => {
                    let mut one = call(id, number, size, size);
                    one.class = CallClass::from_priority(kind * 2);
                    one.deadline = now + TimeSpan::from_millis(1_500);
                    if let Ok(outcome) = queue.push(one, LOAD, now) {
                        queued.insert(CallId(id));
                        ended.extend(outcome.evicted.map(|dropped| dropped.id));
                    }
                }
                6 => ended.extend(queue.pop().map(|one| one.id)),
                7 => {
                    let first = queued.first().copied().unwrap_or(CallId(0));
                    prop_assert_eq!(queue.cancel(first), queued.remove(&first));
                }
                _ => {
                    now = now + TimeSpan::from_millis(size / 4);
                    ended.extend(queue.drop_late(now).iter().map(|dropped| dropped.id));
                }
            }
            for id in ended {
                prop_assert!(queued.remove(&id), "{id:?} ended twice");
            }
            prop_assert_eq!(queue.len(), queued.len());
            prop_assert!(queue.len() <= 12);
            prop_assert_eq!(queue.peek().is_some(), !queued.is_empty());
        }
    }
}

const TOKENS_PER_MS: u64 = 10;

/// Returns the refusal of a call whose prefill takes `work` ms, behind `ahead` ms of prefill.
fn refusal_behind(ahead: u64, work: u64) -> Option<CallRefusal> {
    let load = PrefillLoad {
        in_flight: TokenCount(ahead * TOKENS_PER_MS),
        ..LOAD
    };
    let due = QueuedCall {
        deadline: NOW + TimeSpan::from_millis(430),
        ..call(1, 0, work * TOKENS_PER_MS, 1)
    };
    large_queue().push(due, load, NOW).err()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(51),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A queue that accepts no further calls shrinks by the time that has passed, so a retry
    /// at the stated time succeeds and an earlier one does not.
    #[test]
    fn retry_at_stated_time_succeeds(ahead in 0_u64..30_000, work in 0_u64..800) {
        let Some(refused) = refusal_behind(ahead, work) else {
            prop_assert!(ahead + work <= 430);
            return Ok(());
        };
        let Some(after) = refused.retry_after else {
            prop_assert!(work > 430);
            return Ok(());
        };
        let later = ahead.saturating_sub(after.0.div_ceil(1_000));
        prop_assert_eq!(refusal_behind(later, work), None);
        let sooner = ahead.saturating_sub(after.as_millis().saturating_sub(51));
        prop_assert!(refusal_behind(sooner, work).is_some());
    }
}

/// Returns how many of the next hundred calls are calls of the small team.
fn small_team_served<F>(mut next: F) -> usize
where
    F: FnMut() -> Option<QueuedCall>,
{
    let served = (0..100).filter_map(|_| next());
    served.filter(|call| call.team == team(1)).count()
}

#[test]
fn small_team_is_served_despite_flood() {
    let flood = (0..1_000).map(|id| call(id, 0, 1_000, 100));
    let small = (1_000..1_010).map(|id| call(id, 1, 1_000, 100));
    let calls: Vec<QueuedCall> = flood.chain(small).collect();
    let mut naive = NaiveQueue::default();
    let mut queue = large_queue();
    for one in calls {
        naive.push(one.clone());
        push(&mut queue, one);
    }
    let mut served = BTreeMap::new();
    assert_eq!(small_team_served(|| serve(&mut queue, &mut served)), 10);
    assert_eq!(small_team_served(|| naive.pop()), 0);
}

#[test]
fn idle_time_earns_no_credit() {
    let mut queue = large_queue();
    let mut served = BTreeMap::new();
    for id in 0..300 {
        push(&mut queue, call(id, 0, 1_000, 0));
    }
    for _ in 0..100 {
        serve(&mut queue, &mut served);
    }
    for id in 300..400 {
        push(&mut queue, call(id, 1, 1_000, 0));
    }
    let mut next = BTreeMap::new();
    for _ in 0..20 {
        serve(&mut queue, &mut next);
    }
    assert_eq!(next[&team(0)], 10_000);
    assert_eq!(next[&team(1)], 10_000);
}

#[test]
fn unused_share_is_lent_without_compensation() {
    let mut queue = large_queue();
    queue.set_weight(team(0), TeamWeight::new(1));
    queue.set_weight(team(1), TeamWeight::new(100));
    let mut served = BTreeMap::new();
    for id in 0..60 {
        push(&mut queue, call(id, 0, 1_000, 0));
    }
    for _ in 0..50 {
        assert!(serve(&mut queue, &mut served).is_some());
    }
    push(&mut queue, call(60, 1, 1_000, 0));
    serve(&mut queue, &mut served);
    serve(&mut queue, &mut served);
    assert_eq!(served[&team(0)], 51_000);
    assert_eq!(served[&team(1)], 1_000);
}

#[test]
fn batch_yields_to_interactive_without_starving() {
    let mut queue = large_queue();
    for id in 0..100 {
        let mut one = call(id, 0, 100, 0);
        if id < 50 {
            one.class = CallClass::Batch;
        }
        push(&mut queue, one);
    }
    let classes: Vec<CallClass> = (0..40)
        .filter_map(|_| queue.pop())
        .map(|one| one.class)
        .collect();
    for turn in classes.chunks(10) {
        let batch = turn
            .iter()
            .filter(|class| **class == CallClass::Batch)
            .count();
        assert_eq!(batch, 1);
    }
    assert_eq!(classes[0], CallClass::Interactive);
}

#[test]
fn full_queue_is_shared_by_weight() {
    let mut queue = TeamQueue::new(QueuePolicy {
        max_waiting: 20,
        batch_interval: 10,
    });
    for id in 0..20 {
        push(&mut queue, call(id, 0, 100, 0));
    }
    let refused = queue.push(call(20, 0, 100, 0), LOAD, NOW);
    assert_eq!(
        refused.map_err(|refusal| refusal.code),
        Err(ResultCode::BackendBusy)
    );
    for id in 21..31 {
        let outcome = queue.push(call(id, 1, 100, 0), LOAD, NOW);
        let evicted = outcome.expect("a team below its share is admitted").evicted;
        let evicted = evicted.expect("the queue was full");
        assert_eq!(evicted.refusal.code, ResultCode::BackendBusy);
        assert!(
            evicted.id < CallId(20),
            "a call of the flooding team is evicted"
        );
    }
    assert!(queue.push(call(31, 1, 100, 0), LOAD, NOW).is_err());
    assert_eq!(queue.len(), 20);
}

#[test]
fn interactive_call_evicts_batch_call_from_full_queue() {
    let mut queue = TeamQueue::new(QueuePolicy {
        max_waiting: 1,
        batch_interval: 10,
    });
    let mut batch = call(0, 0, 100, 0);
    batch.class = CallClass::Batch;
    push(&mut queue, batch.clone());
    let outcome = queue.push(call(1, 0, 100, 0), LOAD, NOW);
    let evicted = outcome
        .expect("an interactive call takes precedence")
        .evicted;
    assert_eq!(evicted.map(|dropped| dropped.id), Some(CallId(0)));
    assert!(queue.push(batch, LOAD, NOW).is_err());
}

#[test]
fn calls_that_miss_deadline_are_refused_at_once() {
    let due = |millis: u64, prompt: u64, id: u64, number: usize| QueuedCall {
        deadline: NOW + TimeSpan::from_millis(millis),
        ..call(id, number, prompt, 0)
    };
    let mut queue = large_queue();
    push(&mut queue, call(0, 0, 10_000, 0));
    let cases = [
        (500, 5_001, 1, Err(None)),
        (900, 5_000, 0, Err(Some(TimeSpan::from_millis(600)))),
        (900, 3_000, 1, Ok(())),
    ];
    for (millis, prompt, number, expected) in cases {
        let result = queue.push(due(millis, prompt, 9, number), LOAD, NOW);
        let found = result.map(|_| ()).map_err(|refusal| refusal.retry_after);
        assert_eq!(found, expected, "{prompt} tokens within {millis} ms");
    }
    assert_eq!(queue.drop_late(NOW + TimeSpan::from_millis(600)), []);
    let dropped = queue.drop_late(NOW + TimeSpan::from_millis(601));
    assert_eq!(dropped.len(), 1);
    assert_eq!(dropped[0].id, CallId(9));
    assert_eq!(dropped[0].refusal.code, ResultCode::DeadlineHopeless);
}

#[test]
fn drain_refuses_all_queued_calls() {
    let mut queue = large_queue();
    for id in 0..5 {
        push(&mut queue, call(id, id as usize, 100, 0));
    }
    let refusal = CallRefusal::permanent(ResultCode::ServiceShutting);
    let dropped = queue.drain(refusal);
    assert_eq!(dropped.len(), 5);
    assert!(queue.is_empty() && queue.pop().is_none());
}
