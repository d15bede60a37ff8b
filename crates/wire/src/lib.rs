//! Messages between the processes of applefold.
//!
//! The schema is `applefold.capnp`; the generated code is committed, so that a
//! build needs no generator. `tools/regenerate.sh` writes it anew. The other
//! modules hold the typed messages and turn them into the generated ones and
//! back, see [docs/DESIGN.md](../../../docs/DESIGN.md#messages).

#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    reason = "the schema compiler writes this module"
)]
pub mod applefold_capnp;
pub mod claim;
pub mod dispatch;
pub mod error;
pub mod heartbeat;
pub mod order;
pub mod usage;
