//! The client of the platform's service.
//!
//! The rest of the process uses the trait [`PlatformApi`]; [`http`] is its only implementation. Another
//! wire format needs only another implementation.

mod config_log;
pub(crate) mod http;
pub(crate) mod message;

use applefold_core::claim::store::{StoreCall, StoreCompletion};
use applefold_core::fence::LeaseStatus;
use applefold_core::id::ScopeId;
use applefold_core::lease::LeaseReply;
use applefold_core::ticket::{StoreCall as ConfigCall, StoreReply as ConfigReply};
use futures_util::future::LocalBoxFuture;

use message::{InstanceRow, LeaseRequest, OrderRecord, UsageRecord};

/// Why a call to the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlatformError {
    /// The call had no effect: the platform is unreachable or temporarily refuses calls.
    Unavailable,
    /// No response arrived, so the call may or may not have taken effect.
    Unknown,
    /// The platform rejected the call, or its response is malformed. A retry does not help.
    Refused,
}

impl std::fmt::Display for PlatformError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "the platform is unavailable",
            Self::Unknown => "no response from the platform; the outcome of the call is unknown",
            Self::Refused => "the platform rejected the call",
        })
    }
}

impl std::error::Error for PlatformError {}

/// The result of a call to the platform.
pub(crate) type PlatformResult<T> = Result<T, PlatformError>;

/// The calls that the platform serves.
pub(crate) trait PlatformApi {
    /// Calls the key-value service.
    fn store(&self, call: StoreCall) -> LocalBoxFuture<'_, StoreCompletion>;

    /// Calls the key-value service for the configuration log.
    fn config(&self, call: ConfigCall) -> LocalBoxFuture<'_, ConfigReply>;

    /// Acquires, renews or releases a lease.
    fn lease(&self, scope: ScopeId, request: LeaseRequest) -> LocalBoxFuture<'_, LeaseReply>;

    /// Reads the holder of a lease.
    fn read_lease(&self, scope: ScopeId) -> LocalBoxFuture<'_, LeaseStatus>;

    /// Lists the instances; the list lags behind reality.
    fn instances(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<InstanceRow>>>;

    /// Orders the platform to start or release a backend server.
    fn order(&self, order: OrderRecord) -> LocalBoxFuture<'_, PlatformResult<()>>;

    /// Lists the orders that the platform has received.
    fn orders(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<OrderRecord>>>;

    /// Reports usage.
    fn report(&self, usage: UsageRecord) -> LocalBoxFuture<'_, PlatformResult<()>>;
}
