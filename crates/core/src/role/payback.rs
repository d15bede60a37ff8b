//! What a change of role gains and what it loses, both in engine-seconds.

use serde::{Deserialize, Serialize};

use super::{EngineReport, EngineRole, RoleSettings};
use crate::forecast::PoolDemand;
use crate::unit::{ByteSize, TimeSpan, TokenRate};

/// The figures that a decision was taken on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleFigures {
    /// Prompt tokens a second expected.
    pub prefill_demand: TokenRate,
    /// Answer tokens a second expected.
    pub decode_demand: TokenRate,
    /// Engines in service for prompts before the change.
    pub prefill_engines: u32,
    /// Engines in service for answers before the change.
    pub decode_engines: u32,
    /// Share of the demand that is served on time before the change.
    pub served_before: f64,
    /// Share of the demand that is served on time after the change.
    pub served_after: f64,
    /// Engine-seconds gained over the horizon.
    pub gain_secs: f64,
    /// Engine-seconds lost by drain, hand-over and switch.
    pub loss_secs: f64,
}

/// The rates that a set of engines offers for each kind of work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SplitCapacity {
    pub(super) prefill: f64,
    pub(super) decode: f64,
    pub(super) prefill_engines: u32,
    pub(super) decode_engines: u32,
    pub(super) both_engines: u32,
}

/// An engine in both roles spends half of its time on each.
const BOTH_SHARE: f64 = 0.5;

impl SplitCapacity {
    pub(super) fn add(&mut self, engine: &EngineReport, role: EngineRole, settings: &RoleSettings) {
        let prefill = prefill_rate(engine, settings);
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

    /// The share of the demand that is served on time: a request needs both kinds of work.
    pub(super) fn served(&self, prefill: TokenRate, decode: TokenRate, usable: f64) -> f64 {
        let share = |capacity: f64, demand: TokenRate| match demand.0 {
            0 => 1.0,
            rate => usable * capacity / rate as f64,
        };
        let least = share(self.prefill, prefill).min(share(self.decode, decode));
        least.min(1.0)
    }
}

/// An engine's prompt rate where each prompt's KV cache has to be handed over as well.
fn prefill_rate(engine: &EngineReport, settings: &RoleSettings) -> f64 {
    let rate = engine.prefill_rate.0.max(1) as f64;
    let transfer_secs = transfer_span(1.0, settings);
    1.0 / (1.0 / rate + transfer_secs)
}

fn transfer_span(tokens: f64, settings: &RoleSettings) -> f64 {
    let ByteSize(token_bytes) = settings.token_bytes;
    let ByteSize(link_bandwidth) = settings.link_bandwidth;
    tokens * token_bytes as f64 / link_bandwidth.max(1) as f64
}

/// How a drain empties an engine, and how long that takes.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainCost {
    pub(super) hand_over: bool,
    pub(super) span: TimeSpan,
}

/// Running answers move with their KV cache where that is quicker than finishing them.
pub(super) fn drain_cost(engine: &EngineReport, settings: &RoleSettings) -> DrainCost {
    let held = engine.held_tokens.0 as f64;
    let move_secs = transfer_span(held, settings);
    let finish_secs = match engine.role {
        Some(EngineRole::Prefill) => held / engine.prefill_rate.0.max(1) as f64,
        _ => held / engine.decode_rate.0.max(1) as f64,
    };
    let decoding = engine.role != Some(EngineRole::Prefill);
    let hand_over = decoding && move_secs < finish_secs;
    let secs = if hand_over { move_secs } else { finish_secs };
    DrainCost {
        hand_over,
        span: TimeSpan::from_secs_f64(secs),
    }
}

/// Weighs a change of `engine` to `to` against leaving things as they are.
///
/// The demand is taken at the end of its uncertainty band that speaks against
/// the change, so a mix that only flickers never pays.
pub(super) fn weigh(
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
    let served_before = before.served(prefill, decode, settings.max_utilization);
    let served_after = after.served(prefill, decode, settings.max_utilization);
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
