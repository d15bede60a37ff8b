//! Forecasts of the token demand of each pool, from the offered requests.
//!
//! Refused requests count as well: a forecast from served requests would hide the
//! load that admission control refuses. The model and its constants are explained in
//! [docs/design/roles.md](../../../docs/design/roles.md).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::PoolId;
use crate::unit::{TimePoint, TimeSpan, TokenCount, TokenRate};

/// The interval over which arrivals are summed.
const SLOT: TimeSpan = TimeSpan::from_secs(1);
/// After this many slots without a call, the averages are reset: older demand says nothing about the
/// present.
const MAX_GAP_SLOTS: u64 = 900;

/// The parameters of the forecast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForecastSettings {
    /// Time constant of the short moving average and of the level.
    pub short: TimeSpan,
    /// Time constant of the long moving average and of the uncertainty.
    pub long: TimeSpan,
    /// Time constant of the trend.
    pub trend: TimeSpan,
    /// The longest time for which the trend is extrapolated.
    pub trend_horizon: TimeSpan,
    /// Half of the width of the uncertainty band, in standard deviations of the level.
    pub band_deviations: f64,
}

impl Default for ForecastSettings {
    fn default() -> Self {
        Self {
            short: TimeSpan::from_secs(10),
            long: TimeSpan::from_secs(120),
            trend: TimeSpan::from_secs(30),
            trend_horizon: TimeSpan::from_secs(20),
            band_deviations: 1.0,
        }
    }
}

/// A request that was offered to a pool, whether it was admitted or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandEvent {
    /// The pool that serves the request.
    pub pool: PoolId,
    /// Prompt tokens that no prefix cache is expected to hold.
    pub prefill: TokenCount,
    /// Expected answer tokens.
    pub decode: TokenCount,
}

/// The forecast of one kind of work in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateForecast {
    /// Short moving average.
    pub short: TokenRate,
    /// Long moving average.
    pub long: TokenRate,
    /// The expected rate at the requested time, extrapolated from level and trend.
    pub expected: TokenRate,
    /// Lower end of the uncertainty band around `expected`.
    pub lower: TokenRate,
    /// Upper end of the uncertainty band around `expected`.
    pub upper: TokenRate,
}

/// The expected demand on a pool at the requested time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Prompt tokens to be computed.
    pub prefill: RateForecast,
    /// Answer tokens to be generated.
    pub decode: RateForecast,
    /// How long the pool's demand has been observed.
    pub observed: TimeSpan,
}

#[derive(Clone, Copy, Debug, Default)]
struct SeriesRow {
    /// Tokens of the current slot so far.
    slot_tokens: u64,
    /// The slots that the averages cover.
    slots: u64,
    short: f64,
    long: f64,
    level: f64,
    trend: f64,
    variance: f64,
}

#[derive(Clone, Debug)]
struct PoolRow {
    slot_start: TimePoint,
    prefill: SeriesRow,
    decode: SeriesRow,
}

/// The demand forecast of each pool, by exponential averages with a trend.
#[derive(Clone, Debug, Default)]
pub struct DemandForecast {
    settings: ForecastSettings,
    pools: BTreeMap<PoolId, PoolRow>,
}

impl DemandForecast {
    /// Creates a forecast without observations.
    pub fn new(settings: ForecastSettings) -> Self {
        Self {
            settings,
            pools: BTreeMap::new(),
        }
    }

    /// Records an offered request.
    pub fn handle(&mut self, now: TimePoint, event: DemandEvent) {
        let row = self.pools.entry(event.pool).or_insert(PoolRow {
            slot_start: now,
            prefill: SeriesRow::default(),
            decode: SeriesRow::default(),
        });
        row.close_slots(now, &self.settings);
        row.prefill.slot_tokens += event.prefill.0;
        row.decode.slot_tokens += event.decode.0;
    }

    /// Closes the slots that have ended, so that a time without requests counts as zero demand.
    pub fn tick(&mut self, now: TimePoint) {
        for row in self.pools.values_mut() {
            row.close_slots(now, &self.settings);
        }
    }

    /// Returns the demand that is expected of `pool` after `ahead`; zero if it has had no requests.
    pub fn demand(&self, pool: &PoolId, ahead: TimeSpan) -> PoolDemand {
        let Some(row) = self.pools.get(pool) else {
            return PoolDemand::default();
        };
        PoolDemand {
            prefill: row.prefill.forecast(ahead, &self.settings),
            decode: row.decode.forecast(ahead, &self.settings),
            observed: TimeSpan(row.prefill.slots * SLOT.0),
        }
    }
}

impl PoolRow {
    fn close_slots(&mut self, now: TimePoint, settings: &ForecastSettings) {
        let elapsed = now.since(self.slot_start).0 / SLOT.0;
        if elapsed > MAX_GAP_SLOTS {
            self.prefill = SeriesRow::idle();
            self.decode = SeriesRow::idle();
            self.slot_start = now;
        }
        while self.slot_start + SLOT <= now {
            self.prefill.close_slot(settings);
            self.decode.close_slot(settings);
            self.slot_start = self.slot_start + SLOT;
        }
    }
}

/// Returns the weight of one slot in an exponential average with this time constant.
fn slot_weight(constant: TimeSpan) -> f64 {
    let slots = constant.as_secs_f64() / SLOT.as_secs_f64();
    1.0 / (slots + 1.0)
}

fn to_rate(value: f64) -> TokenRate {
    TokenRate(value.max(0.0).round() as u64)
}

impl SeriesRow {
    /// Returns the averages after a long time without demand.
    fn idle() -> Self {
        Self {
            slots: MAX_GAP_SLOTS,
            ..Self::default()
        }
    }

    fn close_slot(&mut self, settings: &ForecastSettings) {
        let rate = self.slot_tokens as f64 / SLOT.as_secs_f64();
        self.slot_tokens = 0;
        self.slots += 1;
        if self.slots == 1 {
            self.short = rate;
            self.long = rate;
            self.level = rate;
            return;
        }
        let short = self.weight(settings.short);
        let long = self.weight(settings.long);
        let error = rate - self.level;
        self.variance += (error * error - self.variance) * long;
        self.short += (rate - self.short) * short;
        self.long += (rate - self.long) * long;
        let level = self.level + self.trend + (error - self.trend) * short;
        let slope = level - self.level;
        self.trend += (slope - self.trend) * slot_weight(settings.trend);
        self.level = level.max(0.0);
    }

    /// Returns the weight of the latest slot. While an average covers few slots, all have the same
    /// weight, so that the first ones do not dominate it.
    fn weight(&self, constant: TimeSpan) -> f64 {
        slot_weight(constant).max(1.0 / self.slots as f64)
    }

    fn forecast(&self, ahead: TimeSpan, settings: &ForecastSettings) -> RateForecast {
        let horizon = ahead.min(settings.trend_horizon).as_secs_f64();
        let expected = (self.level + self.trend * horizon).max(0.0);
        let weight = self.weight(settings.short);
        let deviation = (self.variance * weight / (2.0 - weight)).sqrt();
        let band = deviation * settings.band_deviations;
        RateForecast {
            short: to_rate(self.short),
            long: to_rate(self.long),
            expected: to_rate(expected),
            lower: to_rate(expected - band),
            upper: to_rate(expected + band),
        }
    }
}
