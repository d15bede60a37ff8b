//! Test doubles ("stand-ins") for the platform, model engines and plain services that applefold
//! calls.
//!
//! They are test tools and are never shipped. Each serves the HTTP API of the real system on a
//! loopback port. Tests inject faults over HTTP, so that they can cause failures instead of waiting
//! for them. The design is described in
//! [docs/design/standins.md](../../../docs/design/standins.md).

mod chat;
mod client;
mod connection;
mod engine;
mod handle;
mod http;
mod load;
mod plain;
mod platform;
mod server;

pub use chat::{expected_text, whole_text, ChatCall, ChatStream};
pub use client::{ClientAnswer, ClientError, EngineHistory, StandinClient};
pub use engine::cache::{CacheChange, CacheEvent, PromptExport, BLOCK_TOKENS};
pub use engine::chat::{prompt_tokens, ChatMessage, ChatRequest, StreamOptions};
pub use engine::faults::EngineFaults;
pub use engine::generation::{generated_text, token_text, PromptHash};
pub use engine::history::{RequestRecord, RequestState};
pub use engine::load::LoadReport;
pub use engine::options::{EngineOptions, EngineRole, RoleError};
pub use engine::orders::{EngineOrder, EngineOrderRecord, OrderKind, OrderState};
pub use handle::StandinHandle;
pub use load::{run_load, LatencySummary, LoadPlan, LoadSummary};
pub use plain::{ExecutionRecord, PlainAction, PlainFaults, PlainOptions};
pub use platform::faults::PlatformFaults;
pub use platform::fleet::{
    FleetAction, FleetOrder, InstanceKind, InstanceRecord, InstanceState, OrderRecord,
};
pub use platform::lease::{LeaseGrant, LeaseRequest, LeaseView};
pub use platform::options::PlatformOptions;
pub use platform::stats::StatsView;
pub use platform::store::{KeyEntry, KeyWrite};
pub use platform::usage::{UsageReport, UsageView, UsageViolation};
pub use server::{serve, CrashMode, StandinOptions};
