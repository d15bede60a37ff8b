//! The target size of a pool, with all failure domains and with one of them lost.

use serde::{Deserialize, Serialize};

use super::{FleetSettings, PoolPlan};
use crate::forecast::PoolDemand;
use crate::unit::{TimeSpan, TokenRate};

/// The figures that justify an order or a drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetFigures {
    /// The prefill demand in tokens per second that is forecast for the end of the lead time, at
    /// the upper end of its uncertainty band.
    pub prefill_demand: TokenRate,
    /// The decode demand in tokens per second that is forecast for the end of the lead time, at
    /// the upper end of its uncertainty band.
    pub decode_demand: TokenRate,
    /// The lead time.
    pub lead: TimeSpan,
    /// Backend servers needed with all failure domains up.
    pub need_whole: u32,
    /// Backend servers that must remain after the loss of the largest failure domain.
    pub need_left: u32,
    /// The target number of backend servers, within the bounds of the pool.
    pub target: u32,
    /// Backend servers in service, including crashed ones that may still restart.
    pub serving: u32,
    /// Ordered backend servers that the server list does not show yet.
    pub ordered: u32,
}

/// Returns how many engines serve the given demand at full throughput.
fn engines_for(prefill: f64, decode: f64, plan: &PoolPlan) -> f64 {
    let prefill_engines = prefill / plan.prefill_rate.0.max(1) as f64;
    let decode_engines = decode / plan.decode_rate.0.max(1) as f64;
    prefill_engines + decode_engines
}

/// Returns how many of `count` evenly distributed backend servers remain when one failure domain
/// is lost.
fn remaining_after_domain_loss(count: u32, domains: u32) -> u32 {
    match domains {
        0 | 1 => count,
        _ => count - count.div_ceil(domains),
    }
}

/// Computes the target size of a pool.
///
/// With all failure domains up, the upper end of the forecast is served on time. With one lost,
/// the remaining engines carry the expected demand at full throughput.
pub(super) fn target_figures(
    plan: &PoolPlan,
    demand: &PoolDemand,
    settings: &FleetSettings,
) -> FleetFigures {
    let upper = engines_for(
        demand.prefill.upper.0 as f64,
        demand.decode.upper.0 as f64,
        plan,
    );
    let expected = engines_for(
        demand.prefill.expected.0 as f64,
        demand.decode.expected.0 as f64,
        plan,
    );
    let plain = plan.prefill_rate == TokenRate::ZERO;
    let (need_whole, need_left) = match plain {
        true => (plan.min, 0),
        false => (
            (upper / settings.max_utilization).ceil() as u32,
            expected.ceil() as u32,
        ),
    };
    let domains = plan.domains.len() as u32;
    let mut target = need_whole.clamp(plan.min, plan.max.max(plan.min));
    while target < plan.max && remaining_after_domain_loss(target, domains) < need_left {
        target += 1;
    }
    FleetFigures {
        prefill_demand: demand.prefill.upper,
        decode_demand: demand.decode.upper,
        lead: settings.lead_time,
        need_whole,
        need_left,
        target,
        serving: 0,
        ordered: 0,
    }
}
