//! How many engines a pool needs, with and without one failure domain.

use serde::{Deserialize, Serialize};

use super::{FleetSettings, PoolPlan};
use crate::forecast::PoolDemand;
use crate::unit::{TimeSpan, TokenRate};

/// The figures that a decision was taken on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetFigures {
    /// Prompt tokens a second expected after the lead time, at the upper end of the band.
    pub prefill_demand: TokenRate,
    /// Answer tokens a second expected after the lead time, at the upper end of the band.
    pub decode_demand: TokenRate,
    /// The lead time.
    pub lead: TimeSpan,
    /// Backend servers needed while all failure domains stand.
    pub need_whole: u32,
    /// Backend servers that must be left when the largest failure domain is lost.
    pub need_left: u32,
    /// Backend servers aimed for, within the pool's bounds.
    pub target: u32,
    /// Backend servers in service or expected back.
    pub serving: u32,
    /// Backend servers on order that the list does not show yet.
    pub ordered: u32,
}

fn engines_for(prefill: f64, decode: f64, plan: &PoolPlan) -> f64 {
    let prefill_engines = prefill / plan.prefill_rate.0.max(1) as f64;
    let decode_engines = decode / plan.decode_rate.0.max(1) as f64;
    prefill_engines + decode_engines
}

/// Backend servers that are left of `count`, spread evenly, when one failure domain is lost.
fn left_of(count: u32, domains: u32) -> u32 {
    match domains {
        0 | 1 => count,
        _ => count - count.div_ceil(domains),
    }
}

/// Works out the target for a pool.
///
/// With all failure domains the upper end of the forecast is served on time.
/// With one lost, what is left carries the expected demand at its full rate.
pub(super) fn figures(
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
    while target < plan.max && left_of(target, domains) < need_left {
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
