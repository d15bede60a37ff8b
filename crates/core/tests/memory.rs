//! Reserved memory is never overrun, so no running request is evicted.

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
    _ticket: Option<MemoryReservation>,
}

/// An engine that evicts the newest request when its answers outgrow the memory.
fn evictions(requests: &[(u64, u64)], ledger: Option<&MemoryTracker>) -> usize {
    let mut waiting: Vec<(u64, u64)> = requests.iter().rev().copied().collect();
    let mut running: Vec<RunningAnswer> = Vec::new();
    let mut evicted = 0;
    for round in 0.. {
        if waiting.is_empty() && running.is_empty() {
            break;
        }
        assert!(round < MAX_ROUNDS, "memory is not given back");
        admit(&mut waiting, &mut running, ledger);
        for one in &mut running {
            one.generated += 64;
        }
        running.retain(|one| one.generated < one.answer);
        while pieces_of(&running) > CAPACITY.0 {
            running.pop();
            evicted += 1;
        }
    }
    evicted
}

fn admit(
    waiting: &mut Vec<(u64, u64)>,
    running: &mut Vec<RunningAnswer>,
    ledger: Option<&MemoryTracker>,
) {
    while let Some((prompt, answer)) = waiting.last().copied() {
        let fits_now = pieces_of(running) + prompt.div_ceil(1_024) <= CAPACITY.0;
        let ticket = match ledger {
            None if fits_now => None,
            None => return,
            Some(ledger) => match ledger.reserve(TokenCount(prompt), TokenCount(answer), WAIT) {
                Ok(ticket) => Some(ticket),
                Err(_) => return,
            },
        };
        waiting.pop();
        running.push(RunningAnswer {
            prompt,
            answer,
            generated: 0,
            _ticket: ticket,
        });
    }
}

fn pieces_of(running: &[RunningAnswer]) -> u64 {
    let tokens = running.iter().map(|one| one.prompt + one.generated);
    tokens.map(|tokens| tokens.div_ceil(1_024)).sum()
}

#[test]
fn refusals_tell_never_from_not_now() {
    let ledger = MemoryTracker::new(BlockCount(4));
    let held = ledger.reserve(TokenCount(2_000), TokenCount(48), WAIT);
    let held = held.expect("two pieces of four fit");
    assert_eq!(held.blocks(), BlockCount(2));
    let cases = [
        (2_048, 0, None),
        (2_048, 1, Some((ResultCode::BackendBusy, Some(WAIT)))),
        (4_096, 0, Some((ResultCode::BackendBusy, Some(WAIT)))),
        (4_096, 1, Some((ResultCode::MemoryExceeded, None))),
    ];
    for (prompt, answer, expected) in cases {
        let result = ledger.reserve(TokenCount(prompt), TokenCount(answer), WAIT);
        let refusal = result.as_ref().err();
        let found = refusal.map(|refusal| (refusal.code, refusal.retry_after));
        assert_eq!(found, expected, "{prompt} + {answer}");
    }
    drop(held);
    assert_eq!(ledger.reserved(), BlockCount(0));
}

#[test]
fn a_smaller_capacity_leaves_reservations_standing() {
    let mut ledger = MemoryTracker::new(BlockCount(4));
    let held = ledger.reserve(TokenCount(4_096), TokenCount(0), WAIT);
    ledger.resize(BlockCount(2));
    assert_eq!(ledger.free(), BlockCount(0));
    drop(held);
    assert_eq!(ledger.free(), BlockCount(2));
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
        let ledger = MemoryTracker::new(CAPACITY);
        prop_assert_eq!(evictions(&requests, Some(&ledger)), 0);
        prop_assert_eq!(ledger.reserved(), BlockCount(0));
    }
}

#[test]
fn the_engine_model_evicts_without_reservations() {
    let requests = vec![(8_000, 12_000); 20];
    assert!(evictions(&requests, None) > 0);
}
