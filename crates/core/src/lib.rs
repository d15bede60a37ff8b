//! The decisions of applefold, without I/O, clock, threads or hidden randomness.
//!
//! Everything that applefold decides is a function of events and of the time
//! that the caller passes in, so that a test, an experiment or another bench
//! can drive it with as many nodes as it likes in one thread. The reasons are
//! in [docs/DESIGN.md](../../../docs/DESIGN.md).

pub mod code;
pub mod config;
pub mod id;
pub mod reach;
pub mod spread;
pub mod ticket;
pub mod unit;
