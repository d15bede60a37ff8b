//! Runs property checks over random event histories with a fixed seed.

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

/// The maximum number of steps to shrink a failing history.
const MAX_SHRINK_STEPS: u32 = 200;

/// Runs `check` over `cases` random histories of `seed`; the error holds a shrunken failing one.
pub(crate) fn check_histories<S, F>(
    seed: u64,
    cases: u32,
    histories: S,
    check: F,
) -> Result<(), String>
where
    S: Strategy,
    F: Fn(S::Value) -> Result<(), String>,
{
    let mut runner = TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_STEPS,
        ..ProptestConfig::default()
    });
    let result = runner.run(&histories, |history| {
        check(history).map_err(TestCaseError::fail)
    });
    result.map_err(|error| error.to_string())
}
