//! Messages between the processes of applefold.
//!
//! The schema is `applefold.capnp`; the generated code is committed, so that a
//! build needs no generator. `tools/regenerate.sh` writes it anew.

#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    reason = "the schema compiler writes this module"
)]
pub mod applefold_capnp;
