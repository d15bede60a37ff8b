//! The benefit and the cost of a role change, both in engine-seconds.

use serde::{Deserialize, Serialize};

use super::{EngineReport, EngineRole, RoleSettings};
use crate::forecast::PoolDemand;
use crate::unit::{ByteSize, TimeSpan, TokenRate};

/// The figures that justify a role change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleFigures {
    /// The expected prefill demand in tokens per second.
    pub prefill_demand: TokenRate,
    /// The expected decode demand in tokens per second.
    pub decode_demand: TokenRate,
    /// Engines that serve prefill before the change.
    pub prefill_engines: u32,
    /// Engines that serve decode before the change.
    pub decode_engines: u32,
    /// The share of demand served on time before the change, from 0 to 1.
    pub served_before: f64,
    /// The share of demand served on time after the change, from 0 to 1.
    pub served_after: f64,
    /// Engine-seconds gained over the horizon.
    pub gain_secs: f64,
    /// Engine-seconds lost while the engine drains and switches its role.
    pub loss_secs: f64,
}

/// The prefill and decode throughput of a set of engines, in tokens per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SplitCapacity {
    pub(super) prefill: f64,
    pub(super) decode: f64,
    pub(super) prefill_engines: u32,
    pub(super) decode_engines: u32,
    pub(super) both_engines: u32,
}

/// The share of its time that an engine with both roles spends on each.
const BOTH_SHARE: f64 = 0.5;

impl SplitCapacity {
    pub(super) fn add(&mut self, engine: &EngineReport, role: EngineRole, settings: &RoleSettings) {
        let prefill = prefill_rate_with_transfer(engine, settings);
        let decode = engine.decode_rate.0 as f64;
        match role {
            EngineRole::Prefill => {
                self.prefill += prefill;
                self.prefill_engines += 1;
            }
            EngineRole::Decode => {
                self.decode += decode;
                self.decode_engines += 1;
            }
            EngineRole::Both => {
                self.prefill += engine.prefill_rate.0 as f64 * BOTH_SHARE;
                self.decode += decode * BOTH_SHARE;
                self.both_engines += 1;
            }
        }
    }

    pub(super) fn engines(&self) -> u32 {
        self.prefill_engines + self.decode_engines + self.both_engines
    }

    /// Returns the share of the demand that is served on time.
    ///
    /// A request needs both prefill and decode, so the scarcer of the two limits the share.
    pub(super) fn served_share(
        &self,
        prefill: TokenRate,
        decode: TokenRate,
        max_utilization: f64,
    ) -> f64 {
        let share = |capacity: f64, demand: TokenRate| match demand.0 {
            0 => 1.0,
            rate => max_utilization * capacity / rate as f64,
        };
        let scarcest = share(self.prefill, prefill).min(share(self.decode, decode));
        scarcest.min(1.0)
    }
}

/// Returns the prefill throughput of an engine that also has to transfer the KV cache.
fn prefill_rate_with_transfer(engine: &EngineReport, settings: &RoleSettings) -> f64 {
    let rate = engine.prefill_rate.0.max(1) as f64;
    let transfer = transfer_secs(1.0, settings);
    1.0 / (1.0 / rate + transfer)
}

/// Returns the seconds that the transfer of the KV cache of `tokens` takes.
fn transfer_secs(tokens: f64, settings: &RoleSettings) -> f64 {
    let ByteSize(token_bytes) = settings.token_bytes;
    let ByteSize(link_bandwidth) = settings.link_bandwidth;
    tokens * token_bytes as f64 / link_bandwidth.max(1) as f64
}

/// How an engine is drained, and how long that takes.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainCost {
    pub(super) hand_over: bool,
    pub(super) duration: TimeSpan,
}

/// Returns the cost of draining `engine`.
///
/// Running decodes move with their KV cache to other engines if that is faster than finishing
/// them.
pub(super) fn drain_cost(engine: &EngineReport, settings: &RoleSettings) -> DrainCost {
    let held = engine.held_tokens.0 as f64;
    let move_secs = transfer_secs(held, settings);
    let finish_secs = match engine.role {
        Some(EngineRole::Prefill) => held / engine.prefill_rate.0.max(1) as f64,
        _ => held / engine.decode_rate.0.max(1) as f64,
    };
    let decoding = engine.role != Some(EngineRole::Prefill);
    let hand_over = decoding && move_secs < finish_secs;
    let secs = if hand_over { move_secs } else { finish_secs };
    DrainCost {
        hand_over,
        duration: TimeSpan::from_secs_f64(secs),
    }
}

/// Compares the capacity after a role change with the capacity before it.
///
/// The demand is taken at the end of its uncertainty band that favours no change, so that a
/// mix that only fluctuates never justifies one.
pub(super) fn evaluate_change(
    before: &SplitCapacity,
    after: &SplitCapacity,
    demand: &PoolDemand,
    loss: TimeSpan,
    settings: &RoleSettings,
) -> RoleFigures {
    let more_prefill = after.prefill > before.prefill;
    let (prefill, decode) = match more_prefill {
        true => (demand.prefill.lower, demand.decode.upper),
        false => (demand.prefill.upper, demand.decode.lower),
    };
    let served_before = before.served_share(prefill, decode, settings.max_utilization);
    let served_after = after.served_share(prefill, decode, settings.max_utilization);
    let engines = f64::from(before.engines());
    RoleFigures {
        prefill_demand: demand.prefill.expected,
        decode_demand: demand.decode.expected,
        prefill_engines: before.prefill_engines + before.both_engines,
        decode_engines: before.decode_engines + before.both_engines,
        served_before,
        served_after,
        gain_secs: (served_after - served_before) * engines * settings.horizon.as_secs_f64(),
        loss_secs: loss.as_secs_f64(),
    }
}
