//! Starts real processes of the system on loopback, with stand-ins around them.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "each test program uses its own part of this module"
)]

pub mod cluster;
pub mod process;
pub mod relay;

use std::future::Future;
use std::time::Duration;

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Runs a test's future on a thread of the kind that the clients need.
pub fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(test);
}

/// Waits until `condition` holds; the test runner's own limit is the only bound.
pub async fn until<F, R>(mut condition: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    while !condition().await {
        actix_rt::time::sleep(POLL_PERIOD).await;
    }
}
