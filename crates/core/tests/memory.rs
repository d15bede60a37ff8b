//! With reservations, memory is never exceeded, so no running request is evicted.

use applefold_core::code::ResultCode;
use applefold_core::memory::{BlockCount, MemoryReservation, MemoryTracker};
use applefold_core::unit::{TimeSpan, TokenCount};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CAPACITY: BlockCount = BlockCount(64);
const MAX_ROUNDS: u32 = 100_000;
const WAIT: TimeSpan = TimeSpan::from_millis(300);

struct RunningAnswer {
    prompt: u64,
    answer: u64,
    generated: u64,
    _reservation: Option<MemoryReservation>,
}

/// Simulates an engine that evicts the newest request when its answers exceed the memory, and returns
/// the number of evictions.
fn evictions(requests: &[(u64, u64)], tracker: Option<&MemoryTracker>) -> usize {
    let mut waiting: Vec<(u64, u64)> = requests.iter().rev().copied().collect();
    let mut running: Vec<RunningAnswer> = Vec::new();
    let mut evicted = 0;
    for round in 0.. {
        if waiting.is_empty() && running.is_empty() {
            break;
        }
        assert!(round < MAX_ROUNDS, "memory is not released");
        admit(&mut waiting, &mut running, tracker);
        for one in &mut running {
            one.generated += 64;
        }
        running.retain(|one| one.generated < one.answer);
        while blocks_of(&running) > CAPACITY.0 {
            running.pop();
            evicted += 1;
        }
    }
    evicted
}

fn admit(
    waiting: &mut Vec<(u64, u64)>,
    running: &mut Vec<RunningAnswer>,
    tracker: Option<&MemoryTracker>,
) {
    while let Some((prompt, answer)) = waiting.last().copied() {
        let fits_now = blocks_of(running) + prompt.div_ceil(1_024) <= CAPACITY.0;
        let reservation = match tracker {
            None if fits_now => None,
            None => return,
            Some(tracker) => match tracker.reserve(TokenCount(prompt), TokenCount(answer), WAIT) {
                Ok(reservation) => Some(reservation),
                Err(_) => return,
            },
        };
        waiting.pop();
        running.push(RunningAnswer {
            prompt,
            answer,
            generated: 0,
            _reservation: reservation,
        });
    }
}

fn blocks_of(running: &[RunningAnswer]) -> u64 {
    let tokens = running.iter().map(|one| one.prompt + one.generated);
    tokens.map(|tokens| tokens.div_ceil(1_024)).sum()
}

#[test]
fn refusals_distinguish_never_from_not_now() {
    let tracker = MemoryTracker::new(BlockCount(4));
    let held = tracker.reserve(TokenCount(2_000), TokenCount(48), WAIT);
    let held = held.expect("two blocks of four fit");
    assert_eq!(held.blocks(), BlockCount(2));
    let cases = [
        (2_048, 0, None),
        (2_048, 1, Some((ResultCode::BackendBusy, Some(WAIT)))),
        (4_096, 0, Some((ResultCode::BackendBusy, Some(WAIT)))),
        (4_096, 1, Some((ResultCode::MemoryExceeded, None))),
    ];
    for (prompt, answer, expected) in cases {
        let result = tracker.reserve(TokenCount(prompt), TokenCount(answer), WAIT);
        let refusal = result.as_ref().err();
        let found = refusal.map(|refusal| (refusal.code, refusal.retry_after));
        assert_eq!(found, expected, "{prompt} + {answer}");
    }
    drop(held);
    assert_eq!(tracker.reserved(), BlockCount(0));
}

#[test]
fn a_smaller_capacity_keeps_reservations() {
    let mut tracker = MemoryTracker::new(BlockCount(4));
    let held = tracker.reserve(TokenCount(4_096), TokenCount(0), WAIT);
    tracker.resize(BlockCount(2));
    assert_eq!(tracker.free(), BlockCount(0));
    drop(held);
    assert_eq!(tracker.free(), BlockCount(2));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_is_evicted(requests in prop::collection::vec((1_u64..20_000, 1_u64..20_000), 1..40)) {
        let tracker = MemoryTracker::new(CAPACITY);
        prop_assert_eq!(evictions(&requests, Some(&tracker)), 0);
        prop_assert_eq!(tracker.reserved(), BlockCount(0));
    }
}

#[test]
fn the_engine_model_evicts_without_reservations() {
    let requests = vec![(8_000, 12_000); 20];
    assert!(evictions(&requests, None) > 0);
}
