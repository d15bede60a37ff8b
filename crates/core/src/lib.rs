//! The decisions of applefold, without I/O, clock, threads or hidden randomness.
//!
//! Everything that applefold decides is a function of events and of the time
//! that the caller passes in, so that a test, an experiment or another bench
//! can drive it with as many nodes as it likes in one thread. The reasons are
//! in [docs/DESIGN.md](../../../docs/DESIGN.md).

pub mod answer;
pub mod claim;
pub mod code;
pub mod drain;
pub mod fence;
pub mod id;
pub mod lease;
pub mod membership;
pub mod order;
pub mod quarantine;
pub mod unit;
pub mod usage;
