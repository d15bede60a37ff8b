//! What may be sent to a backend server, over seeded histories of lists, words, answers and time.

// Each file of tests uses a part of this.
#[allow(dead_code)]
mod direct_support;

use applefold_core::direct::{FlightId, SendDecision, SendEvent, SendState, ServerTable};
use applefold_core::routing::BackendRole::Plain;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use direct_support::{backend, spec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// What happens next to one backend server.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// A line of the list comes, perhaps late: its start, and whether it says that it leaves.
    Listed(u64, bool),
    /// The line is gone.
    Unlisted,
    /// The backend server says with an answer that it leaves.
    SaidLeaving,
    /// It asks for rest, in milliseconds.
    AskedRest(u64),
    /// It turns a request away.
    TurnedAway,
    /// Health changes its mind.
    Health(SendEvent),
    /// A request wants to be sent.
    Send,
    /// The oldest request under way is answered.
    Answer,
    /// The newest request under way ends without an answer.
    Lose,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..400_u64).prop_map(Step::Pass),
        2 => (1..4_u64, any::<bool>()).prop_map(|(started_at_ms, leaves)| Step::Listed(started_at_ms, leaves)),
        1 => Just(Step::Unlisted),
        1 => Just(Step::SaidLeaving),
        2 => (1..2_000_u64).prop_map(Step::AskedRest),
        2 => Just(Step::TurnedAway),
        1 => Just(Step::Health(SendEvent::Ejected)),
        2 => Just(Step::Health(SendEvent::ProbeDue)),
        1 => Just(Step::Health(SendEvent::Reinstated)),
        8 => Just(Step::Send),
        4 => Just(Step::Answer),
        2 => Just(Step::Lose),
    ]
}

/// What must hold, told apart by the start of each run.
#[derive(Default)]
struct Promises {
    left: Vec<u64>,
    cooldown_until: Option<(u64, TimePoint)>,
    /// The request that tries it after a rest.
    trial: Option<(u64, Option<FlightId>)>,
}

fn play(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut table = ServerTable::default();
    let mut now = TimePoint::START + TimeSpan::from_secs(1);
    let mut flights: Vec<FlightId> = Vec::new();
    let mut promises = Promises::default();
    let id = backend(0);
    let listed = |table: &mut ServerTable, started_at_ms: u64, draining: bool, now| {
        let mut line = spec(0, Plain);
        (line.started_at_ms, line.draining) = (started_at_ms, draining);
        table.upsert(line, now);
    };
    listed(&mut table, 1, false, now);
    for step in steps {
        let started_at_ms = table.get(&id).map(|row| row.spec.started_at_ms);
        match step {
            Step::Pass(millis) => now = now + TimeSpan::from_millis(*millis),
            Step::Listed(started_at_ms, draining) => {
                listed(&mut table, *started_at_ms, *draining, now)
            }
            Step::Unlisted => {
                table.remove(&id);
            }
            Step::SaidLeaving => {
                table.apply(&id, SendEvent::LeavingAnnounced, now);
                promises.left.extend(started_at_ms);
            }
            Step::AskedRest(millis) => {
                let until = now + TimeSpan::from_millis(*millis);
                table.apply(&id, SendEvent::CooldownRequested(until), now);
                if let Some(started_at_ms) = started_at_ms {
                    let known = promises
                        .cooldown_until
                        .filter(|(run, _)| *run == started_at_ms);
                    let until = known.map_or(until, |(_, known)| until.max(known));
                    promises.cooldown_until = Some((started_at_ms, until));
                    promises.trial = Some((started_at_ms, None));
                }
            }
            Step::TurnedAway => table.record_rejection(&id, now),
            Step::Health(event) => {
                table.apply(&id, *event, now);
                // Health judges by answers too, so it may end a trial.
                if *event == SendEvent::Reinstated || *event == SendEvent::Ejected {
                    promises.trial = None;
                }
            }
            Step::Send => {
                let verdict = table.get(&id).map(|row| row.decision(now));
                let Some(SendDecision::Send | SendDecision::LastResort) = verdict else {
                    continue;
                };
                let started_at_ms = started_at_ms.expect("a row that was asked");
                prop_assert!(
                    !promises.left.contains(&started_at_ms),
                    "sent to a leaving one"
                );
                let rests = promises
                    .cooldown_until
                    .is_some_and(|(run, until)| run == started_at_ms && until > now);
                prop_assert!(!rests, "sent to a resting one");
                let flight = table.begin(&id, TokenCount(1), now).expect("a listed row");
                if let Some((run, tried)) = &mut promises.trial {
                    if *run == started_at_ms {
                        prop_assert_eq!(*tried, None, "two requests try it at one time");
                        *tried = Some(flight);
                    }
                }
                flights.push(flight);
            }
            Step::Answer | Step::Lose if flights.is_empty() => {}
            Step::Answer => {
                let flight = flights.remove(0);
                table.finish(flight, true, now);
                if promises
                    .trial
                    .is_some_and(|(_, tried)| tried == Some(flight))
                {
                    promises.trial = None;
                }
            }
            Step::Lose => {
                let flight = flights.pop().expect("a request under way");
                table.finish(flight, false, now);
                if let Some((_, tried)) = &mut promises.trial {
                    tried.take_if(|tried| *tried == flight);
                }
            }
        }
        // A run that is listed anew was forgotten with its requests, but for its leaving.
        let after = table.get(&id).map(|row| row.spec.started_at_ms);
        if after != started_at_ms {
            promises.cooldown_until = None;
            promises.trial = None;
            flights.clear();
        }
        // The list took a rest's trial over together with its leaving.
        let gate = table.get(&id).map(|row| row.send_state());
        if matches!(
            gate,
            Some(SendState::Draining { .. } | SendState::Available)
        ) {
            promises.trial = None;
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
    fn leaving_and_resting_ones_get_nothing_and_a_rested_one_gets_one(
        steps in prop::collection::vec(step(), 1..60)
    ) {
        play(&steps)?;
    }
}

#[test]
fn a_late_answer_from_before_the_rest_does_not_end_the_trial() {
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
fn a_trial_that_is_turned_away_pauses() {
    let now = TimePoint::START + TimeSpan::from_secs(1);
    let rested = now + TimeSpan::from_secs(1);
    let mut table = ServerTable::default();
    let id = backend(0);
    table.upsert(spec(0, Plain), now);
    table.apply(&id, SendEvent::CooldownRequested(rested), now);
    let flight = table
        .begin(&id, TokenCount(1), rested)
        .expect("a listed row");
    table.record_rejection(&id, rested);
    table.finish(flight, false, rested);
    let verdict = table.get(&id).map(|row| row.decision(rested));
    assert!(matches!(verdict, Some(SendDecision::Wait(until)) if until > rested));
}
