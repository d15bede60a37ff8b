//! The platform's service, behind one trait at the edge of the process.
//!
//! Another wire format is one new adapter; [`http`] is the one in use.

mod config_log;
pub(crate) mod http;
pub(crate) mod message;

use applefold_core::claim::store::{StoreCall, StoreCompletion};
use applefold_core::fence::LeaseStatus;
use applefold_core::id::ScopeId;
use applefold_core::lease::LeaseReply;
use applefold_core::ticket::{StoreCall as ConfigCall, StoreReply as ConfigAnswer};
use futures_util::future::LocalBoxFuture;

use message::{InstanceRow, LeaseRequest, OrderRecord, UsageRecord};

/// Why a call to the platform did not end well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlatformError {
    /// The call took no effect, and the platform cannot be reached or refuses for now.
    Unavailable,
    /// The call may or may not have taken effect.
    Unknown,
    /// The platform refuses the call as it stands.
    Refused,
}

impl std::fmt::Display for PlatformError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "the platform cannot be reached",
            Self::Unknown => "the platform's answer was lost",
            Self::Refused => "the platform refused the call",
        })
    }
}

impl std::error::Error for PlatformError {}

/// The end of a call to the platform.
pub(crate) type PlatformResult<T> = Result<T, PlatformError>;

/// What the platform offers.
pub(crate) trait PlatformApi {
    /// Calls the key-value service.
    fn store(&self, call: StoreCall) -> LocalBoxFuture<'_, StoreCompletion>;

    /// Calls the key-value service for the configuration.
    fn config(&self, call: ConfigCall) -> LocalBoxFuture<'_, ConfigAnswer>;

    /// Asks for a lease, renews it or gives it back.
    fn lease(&self, scope: ScopeId, ask: LeaseRequest) -> LocalBoxFuture<'_, LeaseReply>;

    /// Reads who holds a lease.
    fn read_lease(&self, scope: ScopeId) -> LocalBoxFuture<'_, LeaseStatus>;

    /// Reads the lagging list of instances.
    fn instances(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<InstanceRow>>>;

    /// Orders or releases a backend server.
    fn order(&self, order: OrderRecord) -> LocalBoxFuture<'_, PlatformResult<()>>;

    /// Reads the orders that the platform has.
    fn orders(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<OrderRecord>>>;

    /// Reports usage.
    fn report(&self, usage: UsageRecord) -> LocalBoxFuture<'_, PlatformResult<()>>;
}
