//! How revisions spread, and when a process may serve requests that carry a key.
//!
//! The ways weighed, the bound on withdrawn keys and its proof are in
//! [docs/design/spreading.md](../../../../docs/design/spreading.md).

mod election;
mod freshness;
mod quorum;
mod replica;

pub use crate::replication::election::{WatcherElection, WATCHERS_PER_DOMAIN};
pub use crate::replication::freshness::{
    ConfigFreshness, Confirmation, ReplicaSettings, UnconfirmedRule,
};
pub use crate::replication::replica::{CallNumber, ConfigReplica, ReplicaAction};
