//! Hedges shorten the slowest responses, never repeat what may run only once, stay within the
//! operator's share with any number of entries, and yield under load.

mod direct_support;

use applefold_core::direct::{
    has_queue, AttemptLimits, HedgeController, HedgeDenial, HedgeRequest, HedgeShare, LatencyClass,
    LoadSample, RequestProgress, RetryRule, ServiceLoad,
};
use applefold_core::id::{BackendId, ServiceId};
use applefold_core::retry::{RetryBudget, RetryPolicy};
use applefold_core::routing::BackendRole;
use applefold_core::unit::{TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

const LIMITS: AttemptLimits = AttemptLimits {
    max_runs: 2,
    max_sends: 4,
    min_time_left: TimeSpan::from_millis(30),
    retry_after: TimeSpan::from_millis(400),
};
/// The attempt that is in flight.
const ONE_SENT: RequestProgress = RequestProgress {
    sends: 1,
    arrivals: 0,
    runs: 0,
};

fn service() -> ServiceId {
    "s".parse().expect("a valid name")
}

fn backend(number: usize) -> BackendId {
    format!("e-{number}").parse().expect("a valid name")
}

fn class() -> LatencyClass {
    LatencyClass::new(&SmolStr::new("r"), 1_000)
}

fn share(percent: &str) -> HedgeShare {
    percent.parse().expect("a valid share")
}

fn full_budget() -> RetryBudget {
    RetryBudget::new(RetryPolicy::default())
}

/// Returns a controller that has learned times of 1 to 100 ms and has hedges saved up.
fn controller(percent: &str) -> HedgeController {
    let mut controller = HedgeController::new(share(percent));
    for millis in 1..=100 {
        let took = TimeSpan::from_millis(millis);
        controller.record_time(&class(), &backend(1), took, TimePoint::START);
        controller.record_request(&service());
    }
    controller
}

/// Returns a slow request that may be hedged.
fn slow<'a>(service: &'a ServiceId, backend: &'a BackendId) -> HedgeRequest<'a> {
    HedgeRequest {
        retry_rule: RetryRule::Idempotent,
        response_begun: false,
        service,
        backend,
        progress: ONE_SENT,
        limits: LIMITS,
        time_left: TimeSpan::from_secs(1),
        load: ServiceLoad {
            requests: 10,
            slots: 80,
        },
    }
}

#[test]
fn shares_are_percentages_and_zero_is_the_default() {
    assert!(HedgeShare::default().is_zero());
    assert!(share("0").is_zero());
    assert_eq!(share("2.3").to_string(), "2.3");
    assert_eq!(share("100").to_string(), "100");
    for text in ["", "-1", "100.1", "NaN", "inf", "5%"] {
        assert!(text.parse::<HedgeShare>().is_err(), "{text}");
    }
}

#[test]
fn a_request_is_slow_beyond_a_high_percentile_of_its_class() {
    let controller = controller("5");
    let slow_time = |class: &LatencyClass, engine: usize, now: TimePoint| {
        controller.slow_time(class, &backend(engine), now)
    };
    let slow = slow_time(&class(), 0, TimePoint::START);
    let slow = slow.expect("enough samples");
    // Twice the median is more than the percentile, 95 ms.
    assert_eq!(slow.time, TimeSpan::from_millis(100));
    assert_eq!(slow.samples, 100);
    let mut spread = controller.clone();
    for _ in 0..10 {
        let took = TimeSpan::from_millis(300);
        spread.record_time(&class(), &backend(1), took, TimePoint::START);
    }
    let slow = spread.slow_time(&class(), &backend(0), TimePoint::START);
    let slow = slow.expect("enough samples");
    assert_eq!(slow.time, TimeSpan::from_millis(300));
    let larger = LatencyClass::new(&SmolStr::new("r"), 5_000);
    assert_eq!(slow_time(&larger, 0, TimePoint::START), None);
    let other = LatencyClass::new(&SmolStr::new("other"), 1_000);
    assert_eq!(slow_time(&other, 0, TimePoint::START), None);
    let later = TimePoint::START + TimeSpan::from_secs(61);
    assert_eq!(slow_time(&class(), 0, later), None);
    // All times are those of this engine, so nothing is known of others.
    assert_eq!(slow_time(&class(), 1, TimePoint::START), None);
}

/// Guards against running a request twice that must not be: whatever the rest of the inputs say, it
/// is not hedged.
#[test]
fn a_request_that_may_run_once_is_never_hedged() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut controller = HedgeController::new(share("100"));
        for _ in 0..random.gen_range(0..10) {
            controller.record_request(&service());
        }
        let (service, backend) = (service(), backend(0));
        for retry_rule in [
            RetryRule::AtMostOnce,
            RetryRule::Stream { resumable: false },
        ] {
            let request = HedgeRequest {
                retry_rule,
                response_begun: random.gen(),
                progress: RequestProgress {
                    sends: random.gen_range(0..5),
                    arrivals: random.gen_range(0..3),
                    runs: random.gen_range(0..3),
                },
                limits: AttemptLimits {
                    max_runs: random.gen_range(0..9),
                    max_sends: random.gen_range(0..9),
                    ..LIMITS
                },
                time_left: TimeSpan::from_millis(random.gen_range(0..9_000)),
                load: ServiceLoad {
                    requests: random.gen_range(0..50),
                    slots: random.gen_range(0..50),
                },
                ..slow(&service, &backend)
            };
            let denial = controller.check(&request, TimePoint::START);
            assert_eq!(denial, Err(HedgeDenial::NotRepeatable), "{request:?}");
        }
    }
}

#[test]
fn a_hedge_needs_attempts_time_and_a_caller_without_response() {
    let controller = controller("5");
    let (service, backend) = (service(), backend(0));
    let request = slow(&service, &backend);
    let check = |request: &HedgeRequest<'_>| controller.check(request, TimePoint::START);
    assert_eq!(check(&request), Ok(()));
    let begun = HedgeRequest {
        response_begun: true,
        ..request
    };
    assert_eq!(check(&begun), Err(HedgeDenial::ResponseBegun));
    // After one attempt that ran, the one in flight is the second of two.
    let retried = HedgeRequest {
        progress: RequestProgress {
            sends: 2,
            arrivals: 1,
            runs: 1,
        },
        ..request
    };
    assert_eq!(check(&retried), Err(HedgeDenial::NoAttempts));
    let single = HedgeRequest {
        limits: AttemptLimits {
            max_runs: 1,
            ..LIMITS
        },
        ..request
    };
    assert_eq!(check(&single), Err(HedgeDenial::NoAttempts));
    let late = HedgeRequest {
        time_left: TimeSpan::from_millis(29),
        ..request
    };
    assert_eq!(check(&late), Err(HedgeDenial::NoTime));
}

/// Guards against hedges that make an overload worse.
#[test]
fn hedges_yield_while_capacity_is_short() {
    let mut controller = controller("5");
    let (service, backend) = (service(), backend(0));
    let request = slow(&service, &backend);
    for (requests, expected) in [(48, Ok(())), (49, Err(HedgeDenial::HighLoad))] {
        let load = ServiceLoad {
            requests,
            slots: 80,
        };
        let request = HedgeRequest { load, ..request };
        assert_eq!(controller.check(&request, TimePoint::START), expected);
    }
    controller.record_shortage(&service, TimePoint::START);
    let soon = TimePoint::START + TimeSpan::from_millis(4_999);
    let denial = controller.check(&request, soon);
    assert_eq!(denial, Err(HedgeDenial::Shortage));
    let later = TimePoint::START + TimeSpan::from_secs(5);
    assert_eq!(controller.check(&request, later), Ok(()));
}

/// Prompts queue at an engine that has free slots, so a hedge there would delay them.
#[test]
fn load_counts_slots_and_a_queue_counts_prompts() {
    let mut table = direct_support::table(&[BackendRole::Both, BackendRole::Both]);
    let (service, max_age) = (direct_support::service(), TimeSpan::from_millis(400));
    let now = TimePoint::START + TimeSpan::from_secs(1);
    let (busy, idle) = (direct_support::backend(0), direct_support::backend(1));
    let sample = LoadSample {
        running: 3,
        waiting: 0,
        slots: 8,
        slowdown_percent: None,
    };
    table.record_load(&busy, sample, now);
    direct_support::record_loads(&mut table, &[(1, 1, 0)], now);
    let load = ServiceLoad::of(&table, &service, max_age, now);
    let expected = ServiceLoad {
        requests: 4,
        slots: 16,
    };
    assert_eq!(load, expected);
    let queued = |table: &applefold_core::direct::ServerTable, id: &BackendId, now: TimePoint| {
        has_queue(table.get(id).expect("a row"), max_age, now)
    };
    assert!(!queued(&table, &busy, now) && !queued(&table, &idle, now));
    table.record_load(
        &busy,
        LoadSample {
            waiting: 1,
            ..sample
        },
        now,
    );
    direct_support::record_loads(&mut table, &[(1, 2, 500)], now);
    assert!(queued(&table, &busy, now) && queued(&table, &idle, now));
    let later = now + TimeSpan::from_secs(1);
    assert!(!queued(&table, &busy, later), "the report is too old");
}

/// Guards against hedges that hide a silent backend server: attempts that wait for it show that it
/// is silent.
#[test]
fn a_backend_server_that_loses_all_attempts_is_waited_for() {
    let mut controller = controller("5");
    let (service, backend) = (service(), backend(0));
    let request = slow(&service, &backend);
    for _ in 0..3 {
        assert_eq!(controller.check(&request, TimePoint::START), Ok(()));
        controller.record_lost(&backend);
    }
    let denial = controller.check(&request, TimePoint::START);
    assert_eq!(denial, Err(HedgeDenial::Unobserved));
    controller.record_response(&backend);
    assert_eq!(controller.check(&request, TimePoint::START), Ok(()));
}

#[test]
fn a_hedge_takes_from_both_budgets_or_from_none() {
    let mut controller = HedgeController::new(share("50"));
    let mut empty = RetryBudget::new(RetryPolicy {
        burst: 0,
        ..RetryPolicy::default()
    });
    let mut budget = full_budget();
    controller.record_request(&service());
    let spent = controller.spend(&service(), &mut budget);
    assert_eq!(spent, Err(HedgeDenial::ShareUsed));
    controller.record_request(&service());
    let spent = controller.spend(&service(), &mut empty);
    assert_eq!(spent, Err(HedgeDenial::BudgetUsed));
    assert_eq!(controller.spend(&service(), &mut budget), Ok(()));
    let mut left = 0;
    while budget.try_withdraw() {
        left += 1;
    }
    assert_eq!(left, RetryPolicy::default().burst - 1);
}

/// One simulated day: requests at random entries, placed at random among ten engines.
struct DayPlan {
    entries: usize,
    percent: &'static str,
    /// How much longer requests take at the engine `e-0`.
    slow_factor: u64,
    requests: usize,
    seed: u64,
}

struct DayResult {
    /// The times to the responses, sorted.
    times: Vec<TimeSpan>,
    hedges: usize,
}

impl DayResult {
    fn percentile(&self, percent: usize) -> TimeSpan {
        self.times[self.times.len() * percent / 100]
    }
}

/// The time between two requests of all entries together.
const REQUEST_GAP: TimeSpan = TimeSpan::from_millis(1);
const ENGINES: usize = 10;

/// Plays a day on which each engine takes 10 to 30 ms for a request.
fn play(plan: &DayPlan) -> DayResult {
    let mut random = Pcg64Mcg::seed_from_u64(plan.seed);
    let (service, class) = (service(), class());
    let mut controllers = vec![HedgeController::new(share(plan.percent)); plan.entries];
    let mut budgets = vec![full_budget(); plan.entries];
    let mut result = DayResult {
        times: Vec::new(),
        hedges: 0,
    };
    for number in 0..plan.requests {
        let now = TimePoint::START + TimeSpan(REQUEST_GAP.0 * number as u64);
        let entry = random.gen_range(0..plan.entries);
        let (controller, budget) = (&mut controllers[entry], &mut budgets[entry]);
        controller.record_request(&service);
        budget.deposit();
        let mut call = |engine: usize| {
            let time = TimeSpan(random.gen_range(10_000..30_000));
            match engine {
                0 => TimeSpan(time.0 * plan.slow_factor),
                _ => time,
            }
        };
        let engine = number % ENGINES;
        let first = call(engine);
        let second = call((engine + 1) % ENGINES);
        let backend = backend(engine);
        let slow_time = controller.slow_time(&class, &backend, now);
        let hedged_after = slow_time.map(|slow| slow.time).filter(|after| {
            *after < first
                && controller
                    .check(&slow(&service, &backend), now + *after)
                    .is_ok()
                && controller.spend(&service, budget).is_ok()
        });
        let hedged = hedged_after.map(|after| after + second);
        result.hedges += usize::from(hedged.is_some());
        let took = hedged.map_or(first, |hedged| hedged.min(first));
        match took < first {
            true => controller.record_lost(&backend),
            false => controller.record_response(&backend),
        }
        controller.record_time(&class, &backend, took, now);
        result.times.push(took);
    }
    result.times.sort_unstable();
    result
}

/// Guards against a share that each entry takes for its own: the sum over all entries has to hold.
#[test]
fn the_share_holds_over_all_entries() {
    for entries in [1, 20, 300] {
        for (percent, limit) in [("1", 0.01), ("5", 0.05)] {
            for slow_factor in [1, 20] {
                let plan = DayPlan {
                    entries,
                    percent,
                    slow_factor,
                    requests: 30_000,
                    seed: 2,
                };
                let result = play(&plan);
                let most = plan.requests as f64 * limit;
                let hedges = result.hedges;
                assert!(
                    hedges as f64 <= most,
                    "{entries} entries, {percent}%: {hedges}"
                );
            }
        }
    }
}

#[test]
fn without_a_share_nothing_is_hedged() {
    let plan = DayPlan {
        entries: 20,
        percent: "0",
        slow_factor: 20,
        requests: 20_000,
        seed: 3,
    };
    assert_eq!(play(&plan).hedges, 0);
}

/// With one slow engine in ten, a tenth of the requests is slow. Half of them can be hedged within 5%.
#[test]
fn hedges_help_with_one_slow_engine_in_ten() {
    let plan = |percent| DayPlan {
        entries: 20,
        percent,
        slow_factor: 8,
        requests: 40_000,
        seed: 4,
    };
    let (without, with) = (play(&plan("0")), play(&plan("5")));
    let slow = |result: &DayResult| {
        let times = result.times.iter();
        times
            .filter(|time| **time > TimeSpan::from_millis(80))
            .count()
    };
    let (before, after) = (slow(&without), slow(&with));
    println!(
        "slow {before} -> {after}, 95th {} -> {}",
        without.percentile(95),
        with.percentile(95)
    );
    assert!(after * 10 < before * 7, "{before} -> {after}");
}
