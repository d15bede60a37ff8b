//! Admission control: requests that cannot meet their deadlines are refused with an
//! accurate retry time, and team limits hold over all entries together.

use applefold_core::admission::{
    AdmissionControl, AdmissionDeadlines, AdmissionRequest, AdmissionTicket, TeamDemand, TeamLimit,
    TeamShares,
};
use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::id::{InstanceId, TeamId};
use applefold_core::routing::{RouteCandidate, RouteChoice};
use applefold_core::unit::{CallRate, TimePoint, TimeSpan, TokenCount, TokenRate};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PERIOD: TimeSpan = TimeSpan::from_secs(1);
const NOW: TimePoint = TimePoint(1_000_000);

fn team() -> TeamId {
    "oficinas".parse().expect("a valid identifier")
}

fn entry(number: usize) -> InstanceId {
    format!("e{number}").parse().expect("a valid identifier")
}

fn millis(number: u64) -> TimeSpan {
    TimeSpan::from_millis(number)
}

fn candidate(queue: u64, work: u64, between: u64) -> RouteCandidate {
    RouteCandidate {
        backend: "b1".parse().expect("a valid identifier"),
        ttft: millis(queue + work),
        unloaded_ttft: millis(work),
        inter_token_latency: millis(between),
        unloaded_inter_token_latency: millis(5),
        cached_tokens: TokenCount::ZERO,
        competing: 1,
    }
}

fn choice(candidates: &[RouteCandidate]) -> RouteChoice {
    RouteChoice {
        candidates: candidates.to_vec(),
    }
}

fn request(tokens: u64) -> AdmissionRequest {
    AdmissionRequest {
        team: team(),
        prompt_tokens: TokenCount(tokens / 2),
        answer_tokens: TokenCount(tokens - tokens / 2),
        deadlines: AdmissionDeadlines {
            ttft: millis(430),
            max_inter_token_latency: Some(millis(69)),
        },
    }
}

fn refusal(candidates: &[RouteCandidate]) -> Option<CallRefusal> {
    let mut control = AdmissionControl::new(PERIOD);
    control.admit(&request(20), &choice(candidates), NOW).err()
}

type RefusalCase<'a> = (&'a [RouteCandidate], Option<(ResultCode, Option<u64>)>);

#[test]
fn refusals_state_reason_and_retry_time() {
    use ResultCode::{BackendMissing, DeadlineHopeless};
    let cases: &[RefusalCase] = &[
        (&[], Some((BackendMissing, Some(1_000)))),
        (&[candidate(0, 430, 69)], None),
        (&[candidate(430, 0, 69)], None),
        (&[candidate(0, 431, 10)], Some((DeadlineHopeless, None))),
        (&[candidate(400, 100, 10)], None),
        (&[candidate(900, 100, 10), candidate(500, 100, 10)], None),
        (
            &[candidate(0, 431, 10), candidate(0, 500, 10)],
            Some((DeadlineHopeless, None)),
        ),
        (&[candidate(900, 100, 10), candidate(300, 100, 10)], None),
        (
            &[candidate(0, 100, 89)],
            Some((DeadlineHopeless, Some(200))),
        ),
    ];
    for (candidates, expected) in cases {
        let expected = expected.map(|(code, after)| CallRefusal {
            code,
            retry_after: after.map(millis),
        });
        assert_eq!(refusal(candidates), expected, "{candidates:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(51),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Admission refuses only what would be late without a queue; the sidecar's queue
    /// decides about the rest.
    #[test]
    fn queueing_delay_alone_is_no_reason_to_refuse(queue in 0_u64..30_000, work in 0_u64..800) {
        let refused = refusal(&[candidate(queue, work, 10)]);
        let hopeless = CallRefusal::permanent(ResultCode::DeadlineHopeless);
        prop_assert_eq!(refused, (work > 430).then_some(hopeless));
    }
}

#[test]
fn running_requests_are_counted_until_ticket_is_dropped() {
    let mut control = AdmissionControl::new(PERIOD);
    let limit = TeamLimit {
        max_running: Some(2),
        ..TeamLimit::default()
    };
    control.set_limit(team(), limit, NOW);
    let free = choice(&[candidate(0, 1, 1)]);
    let first = control.admit(&request(10), &free, NOW);
    let second = control.admit(&request(10), &free, NOW);
    assert!(first.is_ok() && second.is_ok());
    let third = control.admit(&request(10), &free, NOW);
    assert_eq!(
        third.err().map(|refusal| refusal.code),
        Some(ResultCode::TeamOverLimit)
    );
    drop(first);
    assert_eq!(control.running(&team()), 1);
    assert!(control.admit(&request(10), &free, NOW).is_ok());
}

#[test]
fn retry_time_of_exceeded_limit_is_accurate() {
    let mut control = AdmissionControl::new(PERIOD);
    let limit = TeamLimit {
        call_rate: Some(CallRate(10)),
        token_rate: Some(TokenRate(1_000)),
        max_running: None,
    };
    control.set_limit(team(), limit, NOW);
    let free = choice(&[candidate(0, 1, 1)]);
    control
        .admit(&request(3_000), &free, NOW)
        .expect("a full bucket admits a request");
    let refused = control
        .admit(&request(1), &free, NOW)
        .expect_err("the bucket is in debt");
    let after = refused.retry_after.expect("an exceeded limit is retryable");
    assert_eq!(after, TimeSpan::from_secs(2));
    let before = NOW + after - millis(1);
    assert!(control.admit(&request(1), &free, before).is_err());
    assert!(control
        .admit(&request(1), &free, NOW + after + millis(1))
        .is_ok());
}

#[test]
fn unused_tokens_are_refunded() {
    let mut control = AdmissionControl::new(PERIOD);
    let limit = TeamLimit {
        token_rate: Some(TokenRate(1_000)),
        ..TeamLimit::default()
    };
    control.set_limit(team(), limit, NOW);
    let free = choice(&[candidate(0, 1, 1)]);
    let ticket = control
        .admit(&request(5_000), &free, NOW)
        .expect("the bucket is full");
    ticket.finish(TokenCount(100));
    assert!(control.admit(&request(10), &free, NOW).is_ok());
}

/// Entries that exchange heartbeats with a delay, and the running requests of a team.
struct EntryGroup {
    controls: Vec<AdmissionControl>,
    tickets: Vec<(TimePoint, AdmissionTicket)>,
    heartbeats: Vec<(TimePoint, usize, Vec<TeamDemand>)>,
    exchange_heartbeats: bool,
}

const LIMIT: u64 = 10_000;
const CALL_TOKENS: u64 = 400;
const STEP: u64 = 20;

impl EntryGroup {
    fn new(entries: usize, limit: TeamLimit, exchange_heartbeats: bool) -> Self {
        let control = || {
            let mut control = AdmissionControl::new(PERIOD);
            control.set_limit(team(), limit, NOW);
            control.set_entry_count(if exchange_heartbeats {
                entries as u32
            } else {
                1
            });
            control
        };
        Self {
            controls: (0..entries).map(|_| control()).collect(),
            tickets: Vec::new(),
            heartbeats: Vec::new(),
            exchange_heartbeats,
        }
    }

    /// Runs one step and returns the tokens that were admitted.
    fn step(&mut self, now: TimePoint, delay: TimeSpan, demanded: &[usize]) -> u64 {
        self.exchange(now, delay);
        let mut admitted = 0;
        let free = choice(&[candidate(0, 1, 1)]);
        for (control, calls) in self.controls.iter_mut().zip(demanded) {
            for _ in 0..*calls {
                if let Ok(ticket) = control.admit(&request(CALL_TOKENS), &free, now) {
                    admitted += CALL_TOKENS;
                    self.tickets.push((now + millis(500), ticket));
                }
            }
        }
        self.tickets.retain(|(end, _)| *end > now);
        admitted
    }

    fn exchange(&mut self, now: TimePoint, delay: TimeSpan) {
        if now.0.is_multiple_of(PERIOD.0) {
            for (sender, control) in self.controls.iter_mut().enumerate() {
                self.heartbeats
                    .push((now + delay, sender, control.publish(now)));
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = self
            .heartbeats
            .drain(..)
            .partition(|heartbeat| heartbeat.0 <= now);
        self.heartbeats = later;
        for (_, sender, demands) in due {
            let receivers = self.controls.iter_mut().enumerate();
            for (_, control) in
                receivers.filter(|(receiver, _)| self.exchange_heartbeats && *receiver != sender)
            {
                control.observe(entry(sender), 1, &demands, now);
            }
        }
    }
}

/// Runs one phase of five seconds for each row of demands.
///
/// Returns the tokens admitted in each second and the peak number of running requests.
fn run(
    exchange_heartbeats: bool,
    limit: TeamLimit,
    delay: u64,
    phases: &[Vec<usize>],
) -> (Vec<u64>, usize) {
    let mut group = EntryGroup::new(phases[0].len(), limit, exchange_heartbeats);
    let mut seconds = Vec::new();
    let mut running = 0;
    let mut now = NOW;
    for demanded in phases.iter().flat_map(|phase| [phase; 5]) {
        let mut tokens = 0;
        for _ in 0..1_000 / STEP {
            tokens += group.step(now, millis(delay), demanded);
            running = running.max(group.tickets.len());
            now = now + millis(STEP);
        }
        seconds.push(tokens);
    }
    (seconds, running)
}

fn token_limit() -> TeamLimit {
    TeamLimit {
        token_rate: Some(TokenRate(LIMIT)),
        ..TeamLimit::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(52),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The tokens of any ten seconds stay within the limit plus a burst of one second and
    /// one call per entry.
    #[test]
    fn rate_limit_holds_over_all_entries_while_demand_moves(
        delay in 0_u64..900,
        phases in prop::collection::vec(prop::collection::vec(0_usize..3, 6), 2..8),
    ) {
        let (seconds, _) = run(true, token_limit(), delay, &phases);
        let bound = LIMIT * 11 + 6 * CALL_TOKENS;
        for window in seconds.windows(10) {
            let sum: u64 = window.iter().sum();
            prop_assert!(sum <= bound, "{sum} > {bound}: {seconds:?}");
        }
    }

    /// Shares never add up to more than one while every heartbeat arrives.
    #[test]
    fn shares_add_up_to_at_most_one(
        delay in 0_u64..900,
        rows in prop::collection::vec(prop::collection::vec(0_u64..5, 5), 2..30),
    ) {
        let mut shares: Vec<TeamShares> = (0..5).map(|_| TeamShares::new(PERIOD)).collect();
        shares.iter_mut().for_each(|one| one.set_entry_count(5));
        let mut now = NOW;
        for row in rows {
            let demands: Vec<Vec<TeamDemand>> = shares.iter_mut().map(|one| one.publish(now)).collect();
            for (one, demanded) in shares.iter_mut().zip(&row).filter(|(_, demanded)| **demanded > 0) {
                one.record_demand(&team(), TokenCount(demanded * 100), now);
            }
            let received_at = now + millis(delay);
            let sum = |shares: &[TeamShares], at: TimePoint| -> f64 {
                shares.iter().map(|one| one.share(&team(), at)).sum()
            };
            prop_assert!(sum(&shares, received_at) <= 1.0 + 1e-9);
            for (sender, demands) in demands.iter().enumerate() {
                for receiver in (0..5).filter(|receiver| *receiver != sender) {
                    shares[receiver].observe(entry(sender), 1, demands, received_at);
                }
                prop_assert!(sum(&shares, received_at) <= 1.0 + 1e-9);
            }
            now = now + PERIOD;
        }
    }
}

#[test]
fn without_shares_rate_is_multiplied_by_entries() {
    let phases = vec![vec![2; 6]; 2];
    let sum = |exchange_heartbeats: bool| -> u64 {
        run(exchange_heartbeats, token_limit(), 200, &phases)
            .0
            .iter()
            .sum()
    };
    assert!(sum(true) <= LIMIT * 11 + 6 * CALL_TOKENS);
    assert!(sum(false) >= LIMIT * 10 * 6);
}

#[test]
fn limit_can_be_used_through_one_entry() {
    let phases = vec![vec![2, 0, 0, 0, 0, 0]; 4];
    let (seconds, _) = run(true, token_limit(), 200, &phases);
    let settled: u64 = seconds[10..].iter().sum();
    assert!(settled >= LIMIT * 10 * 85 / 100, "{seconds:?}");
}

#[test]
fn running_requests_exceed_limit_by_less_than_one_per_entry() {
    let limit = TeamLimit {
        max_running: Some(40),
        ..TeamLimit::default()
    };
    for phases in [
        vec![vec![2; 6]; 3],
        vec![vec![2, 2, 0, 1, 0, 0], vec![0, 0, 2, 0, 2, 2]],
    ] {
        let (_, running) = run(true, limit, 200, &phases);
        assert!((36..46).contains(&running), "{running}");
    }
    let (_, running) = run(false, limit, 200, &[vec![2; 6]]);
    assert_eq!(running, 240);
}
