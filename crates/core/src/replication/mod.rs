//! Replication of the configuration to all processes, and the rule for serving requests that
//! carry a caller key.
//!
//! The alternatives considered, and the bound on how long a withdrawn key is accepted with its
//! proof, are in
//! [docs/design/spreading.md](../../../../docs/design/spreading.md).

mod election;
mod freshness;
mod quorum;
mod replica;

pub use crate::replication::election::{WatcherElection, WATCHERS_PER_DOMAIN};
pub use crate::replication::freshness::{
    ConfigFreshness, Confirmation, ReplicationSettings, UnconfirmedRule,
};
pub use crate::replication::replica::{CallNumber, ConfigReplica, ReplicationAction};
