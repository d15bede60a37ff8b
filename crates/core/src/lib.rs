//! The decision logic of applefold, without I/O, clock, threads or hidden randomness.
//!
//! Every decision is a function of events and of the time that the caller passes
//! in, so that a test, a simulation or a benchmark can run any number of nodes in
//! one thread. The reasons are in [docs/DESIGN.md](../../../docs/DESIGN.md).

pub mod admission;
pub mod claim;
pub mod code;
pub mod config;
pub mod direct;
pub mod drain;
pub mod fairness;
pub mod fence;
pub mod fleet;
pub mod forecast;
pub mod health;
pub mod id;
pub mod lease;
pub mod membership;
pub mod memory;
pub mod naive;
pub mod order;
pub mod quarantine;
pub mod quorum;
pub mod rank;
pub mod replication;
pub mod response;
pub mod retry;
pub mod role;
pub mod routing;
pub mod ticket;
pub mod unit;
pub mod usage;
pub mod weight;
