//! Runs the real processes on loopback, with stand-ins for the platform and the backend servers.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "each test binary uses a different part of this module"
)]

pub mod cluster;
pub mod process;
pub mod relay;

use std::future::Future;
use std::time::Duration;

/// The interval at which [`until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a test on an `actix` runtime, which the clients need.
pub fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(test);
}

/// Waits until `condition` holds. Only the timeout of the test runner bounds the wait.
pub async fn until<F, R>(mut condition: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    while !condition().await {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
