//! The platform's service, behind one trait at the edge of the process.
//!
//! Another wire format is one new adapter; [`http`] is the one in use.

pub(crate) mod http;
pub(crate) mod message;

use applefold_core::id::{FencingNumber, ScopeId};
use applefold_core::unit::TimeSpan;
use futures_util::future::LocalBoxFuture;

use message::{
    InstanceRow, KeyValue, LeaseGrant, OrderRecord, PutRequest, StoreVersion, UsageRecord,
    WatchBatch,
};

/// Why a call to the platform did not end well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlatformFault {
    /// The call took no effect, and the platform cannot be reached or refuses for now.
    Unavailable,
    /// The call may or may not have taken effect.
    Unsettled,
    /// The value has another version than expected, or the lease another holder.
    Conflict(StoreVersion),
    /// There is no such value.
    Missing,
    /// The value is larger than the store takes.
    TooLarge,
    /// The answer cannot be read.
    Malformed,
}

impl std::fmt::Display for PlatformFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unavailable => f.write_str("the platform cannot be reached"),
            Self::Unsettled => f.write_str("the platform's answer was lost"),
            Self::Conflict(version) => write!(f, "the platform holds version {version}"),
            Self::Missing => f.write_str("the platform has no such value"),
            Self::TooLarge => f.write_str("the value is larger than the platform takes"),
            Self::Malformed => f.write_str("the platform's answer cannot be read"),
        }
    }
}

impl std::error::Error for PlatformFault {}

/// The end of a call to the platform.
pub(crate) type PlatformResult<T> = Result<T, PlatformFault>;

/// What the platform offers.
pub(crate) trait PlatformApi {
    fn get(&self, key: String) -> LocalBoxFuture<'_, PlatformResult<KeyValue>>;
    fn put(&self, put: PutRequest) -> LocalBoxFuture<'_, PlatformResult<StoreVersion>>;
    fn list(&self, prefix: String) -> LocalBoxFuture<'_, PlatformResult<Vec<KeyValue>>>;
    fn delete(&self, key: String) -> LocalBoxFuture<'_, PlatformResult<()>>;
    fn watch(
        &self,
        prefix: String,
        since: StoreVersion,
        wait: TimeSpan,
    ) -> LocalBoxFuture<'_, PlatformResult<WatchBatch>>;
    fn acquire(
        &self,
        scope: ScopeId,
        ttl: TimeSpan,
    ) -> LocalBoxFuture<'_, PlatformResult<LeaseGrant>>;
    fn renew(
        &self,
        scope: ScopeId,
        fencing: FencingNumber,
        ttl: TimeSpan,
    ) -> LocalBoxFuture<'_, PlatformResult<LeaseGrant>>;
    fn release(
        &self,
        scope: ScopeId,
        fencing: FencingNumber,
    ) -> LocalBoxFuture<'_, PlatformResult<()>>;
    fn instances(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<InstanceRow>>>;
    fn order(&self, order: OrderRecord) -> LocalBoxFuture<'_, PlatformResult<()>>;
    fn orders(&self) -> LocalBoxFuture<'_, PlatformResult<Vec<OrderRecord>>>;
    fn report(&self, usage: UsageRecord) -> LocalBoxFuture<'_, PlatformResult<()>>;
}
