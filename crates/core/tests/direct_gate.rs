//! Property tests of the send state, over random sequences of list updates, notices, responses and
//! time.

// Each test file uses only some of the helpers.
#[allow(dead_code)]
mod direct_support;

use applefold_core::direct::{FlightId, SendDecision, SendEvent, SendState, ServerTable};
use applefold_core::routing::BackendRole::Plain;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use direct_support::{backend, spec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// An event at one backend server.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A row of the list arrives, perhaps late: its start time, and whether it is draining.
    Listed(u64, bool),
    /// The row is removed from the list.
    Unlisted,
    /// The backend server announces in a response that it is leaving.
    AnnounceLeaving,
    /// It requests a cooldown, in milliseconds.
    RequestCooldown(u64),
    /// It rejects a request.
    Reject,
    /// The health tracker ejects, probes or reinstates it.
    Health(SendEvent),
    /// A request is to be sent.
    Send,
    /// The oldest request in flight gets its response.
    Respond,
    /// The newest request in flight ends without a response.
    Lose,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..400_u64).prop_map(Step::Wait),
        2 => (1..4_u64, any::<bool>()).prop_map(|(started_at_ms, draining)| Step::Listed(started_at_ms, draining)),
        1 => Just(Step::Unlisted),
        1 => Just(Step::AnnounceLeaving),
        2 => (1..2_000_u64).prop_map(Step::RequestCooldown),
        2 => Just(Step::Reject),
        1 => Just(Step::Health(SendEvent::Ejected)),
        2 => Just(Step::Health(SendEvent::ProbeDue)),
        1 => Just(Step::Health(SendEvent::Reinstated)),
        8 => Just(Step::Send),
        4 => Just(Step::Respond),
        2 => Just(Step::Lose),
    ]
}

/// The expected restrictions, by the start time of the incarnation.
#[derive(Default)]
struct ExpectedLimits {
    leaving: Vec<u64>,
    cooldown_until: Option<(u64, TimePoint)>,
    /// The trial request after a cooldown.
    trial: Option<(u64, Option<FlightId>)>,
}

fn run_steps(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut table = ServerTable::default();
    let mut now = TimePoint::START + TimeSpan::from_secs(1);
    let mut flights: Vec<FlightId> = Vec::new();
    let mut expected = ExpectedLimits::default();
    let id = backend(0);
    let list_row = |table: &mut ServerTable, started_at_ms: u64, draining: bool, now| {
        let mut row = spec(0, Plain);
        (row.started_at_ms, row.draining) = (started_at_ms, draining);
        table.upsert(row, now);
    };
    list_row(&mut table, 1, false, now);
    for step in steps {
        let started_at_ms = table.get(&id).map(|row| row.spec.started_at_ms);
        match step {
            Step::Wait(millis) => now = now + TimeSpan::from_millis(*millis),
            Step::Listed(started_at_ms, draining) => {
                list_row(&mut table, *started_at_ms, *draining, now)
            }
            Step::Unlisted => {
                table.remove(&id);
            }
            Step::AnnounceLeaving => {
                table.apply(&id, SendEvent::LeavingAnnounced, now);
                expected.leaving.extend(started_at_ms);
            }
            Step::RequestCooldown(millis) => {
                let until = now + TimeSpan::from_millis(*millis);
                table.apply(&id, SendEvent::CooldownRequested(until), now);
                if let Some(started_at_ms) = started_at_ms {
                    let previous = expected
                        .cooldown_until
                        .filter(|(incarnation, _)| *incarnation == started_at_ms);
                    let until = previous.map_or(until, |(_, previous)| until.max(previous));
                    expected.cooldown_until = Some((started_at_ms, until));
                    expected.trial = Some((started_at_ms, None));
                }
            }
            Step::Reject => table.record_rejection(&id, now),
            Step::Health(event) => {
                table.apply(&id, *event, now);
                // The health tracker sees the responses too, so it may end a trial.
                if *event == SendEvent::Reinstated || *event == SendEvent::Ejected {
                    expected.trial = None;
                }
            }
            Step::Send => {
                let decision = table.get(&id).map(|row| row.decision(now));
                let Some(SendDecision::Send | SendDecision::LastResort) = decision else {
                    continue;
                };
                let started_at_ms = started_at_ms.expect("the row that decided");
                prop_assert!(
                    !expected.leaving.contains(&started_at_ms),
                    "sent to a leaving backend server"
                );
                let cooling_down = expected.cooldown_until.is_some_and(|(incarnation, until)| {
                    incarnation == started_at_ms && until > now
                });
                prop_assert!(!cooling_down, "sent during a cooldown");
                let flight = table.begin(&id, TokenCount(1), now).expect("a listed row");
                if let Some((incarnation, trial_flight)) = &mut expected.trial {
                    if *incarnation == started_at_ms {
                        prop_assert_eq!(*trial_flight, None, "two trial requests at one time");
                        *trial_flight = Some(flight);
                    }
                }
                flights.push(flight);
            }
            Step::Respond | Step::Lose if flights.is_empty() => {}
            Step::Respond => {
                let flight = flights.remove(0);
                table.finish(flight, true, now);
                if expected
                    .trial
                    .is_some_and(|(_, trial_flight)| trial_flight == Some(flight))
                {
                    expected.trial = None;
                }
            }
            Step::Lose => {
                let flight = flights.pop().expect("a request in flight");
                table.finish(flight, false, now);
                if let Some((_, trial_flight)) = &mut expected.trial {
                    trial_flight.take_if(|trial_flight| *trial_flight == flight);
                }
            }
        }
        // When an incarnation is replaced or removed, its state and its requests are dropped. Only
        // its announcement that it is leaving is remembered.
        let after = table.get(&id).map(|row| row.spec.started_at_ms);
        if after != started_at_ms {
            expected.cooldown_until = None;
            expected.trial = None;
            flights.clear();
        }
        // A row that turns draining ends the trial, and an available backend server needs none.
        let state = table.get(&id).map(|row| row.send_state());
        if matches!(
            state,
            Some(SendState::Draining { .. } | SendState::Available)
        ) {
            expected.trial = None;
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_requests_while_leaving_or_cooling_down_and_one_trial_after_a_cooldown(
        steps in prop::collection::vec(step(), 1..60)
    ) {
        run_steps(&steps)?;
    }
}

#[test]
fn a_late_response_from_before_the_cooldown_does_not_end_the_trial() {
    let now = TimePoint::START + TimeSpan::from_secs(1);
    let late = now + TimeSpan::from_secs(2);
    let mut state = SendState::Available;
    for event in [
        SendEvent::Sent(FlightId(1)),
        SendEvent::CooldownRequested(now + TimeSpan::from_secs(1)),
    ] {
        state = state.after(event, now);
    }
    state = state.after(SendEvent::Sent(FlightId(2)), late);
    state = state.after(SendEvent::Answered(FlightId(1)), late);
    assert!(matches!(state.decision(late), SendDecision::Wait(_)));
    state = state.after(SendEvent::Answered(FlightId(2)), late);
    assert_eq!(state, SendState::Available);
}

#[test]
fn a_rejected_trial_starts_a_backoff() {
    let now = TimePoint::START + TimeSpan::from_secs(1);
    let cooldown_end = now + TimeSpan::from_secs(1);
    let mut table = ServerTable::default();
    let id = backend(0);
    table.upsert(spec(0, Plain), now);
    table.apply(&id, SendEvent::CooldownRequested(cooldown_end), now);
    let flight = table
        .begin(&id, TokenCount(1), cooldown_end)
        .expect("a listed row");
    table.record_rejection(&id, cooldown_end);
    table.finish(flight, false, cooldown_end);
    let decision = table.get(&id).map(|row| row.decision(cooldown_end));
    assert!(matches!(decision, Some(SendDecision::Wait(until)) if until > cooldown_end));
}
