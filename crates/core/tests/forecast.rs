//! Forecasts of demand from offered requests.

use applefold_core::forecast::{DemandEvent, DemandForecast, ForecastSettings, PoolDemand};
use applefold_core::id::PoolId;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};

const AHEAD: TimeSpan = TimeSpan::from_secs(20);

fn pool() -> PoolId {
    "pool".parse().unwrap()
}

/// Offers `rate(second)` prompt tokens per second, in ten requests each, and returns the forecast.
fn forecast_of(secs: u64, rate: fn(u64) -> u64) -> PoolDemand {
    let mut forecast = DemandForecast::new(ForecastSettings::default());
    for tenth in 0..secs * 10 {
        let now = TimePoint::START + TimeSpan::from_millis(tenth * 100);
        let tokens = TokenCount(rate(tenth / 10) / 10);
        let event = DemandEvent {
            pool: pool(),
            prefill: tokens,
            decode: TokenCount::ZERO,
        };
        forecast.handle(now, event);
    }
    forecast.tick(TimePoint::START + TimeSpan::from_secs(secs));
    forecast.demand(&pool(), AHEAD)
}

#[test]
fn a_steady_demand_is_forecast_unchanged() {
    let demand = forecast_of(300, |_| 10_000).prefill;
    assert_eq!(demand.expected, demand.short);
    assert_eq!(demand.expected.0, 10_000);
    assert_eq!(demand.lower, demand.upper);
}

#[test]
fn a_ramp_is_extrapolated() {
    let demand = forecast_of(120, |second| 1_000 + second * 100).prefill;
    assert!(demand.expected > demand.short, "{demand:?}");
    assert!(demand.short > demand.long, "{demand:?}");
    assert!((12_900..=16_000).contains(&demand.expected.0), "{demand:?}");
}

#[test]
fn fluctuation_widens_the_band() {
    let steady = forecast_of(300, |_| 10_000).prefill;
    let fluctuating = forecast_of(300, |second| if second % 2 == 0 { 0 } else { 20_000 }).prefill;
    let width = |demand: applefold_core::forecast::RateForecast| demand.upper.0 - demand.lower.0;
    assert!(
        width(fluctuating) > width(steady) + 1_000,
        "{fluctuating:?}"
    );
    assert!(
        (8_000..=12_000).contains(&fluctuating.long.0),
        "{fluctuating:?}"
    );
}

#[test]
fn a_time_without_requests_counts_as_zero_demand() {
    let mut forecast = DemandForecast::new(ForecastSettings::default());
    let event = DemandEvent {
        pool: pool(),
        prefill: TokenCount(50_000),
        decode: TokenCount(5_000),
    };
    forecast.handle(TimePoint::START, event);
    forecast.tick(TimePoint::START + TimeSpan::from_secs(7_200));
    let demand = forecast.demand(&pool(), AHEAD);
    assert_eq!(demand.prefill.expected.0, 0);
    assert_eq!(demand.decode.upper.0, 0);
}
