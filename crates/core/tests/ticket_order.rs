//! Checks that each object ends up in the state of its highest accepted ticket number, regardless
//! of the order in which tickets arrive.

mod support;

use std::collections::BTreeMap;

use applefold_core::config::{ServingConfig, TeamConfig};
use applefold_core::id::TeamId;
use applefold_core::ticket::ChangeTicket;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

use crate::support::ticket;

const TICKETS: u64 = 12;

/// Returns ticket `number`, which replaces the teams whose bits are set in `teams`.
fn team_ticket(number: u64, teams: u8) -> ChangeTicket {
    let touched = (0..8).filter(|team| teams >> team & 1 == 1);
    let rows = touched.map(|team| json!({"id": format!("t{team}"), "weight": number}));
    ticket(number, json!({"teams": rows.collect::<Vec<_>>()}))
}

fn apply_all(tickets: &[ChangeTicket]) -> ServingConfig {
    let mut config = ServingConfig::default();
    for ticket in tickets {
        let before = config.clone();
        match config.apply(ticket) {
            Ok(applied) => assert_eq!(applied.revision, before.revision.next()),
            Err(_) => assert_eq!(config, before, "a refused ticket changes nothing"),
        }
    }
    config
}

/// Returns each team as its highest accepted ticket has it, independently of the library's rules.
fn expected(config: &ServingConfig, tickets: &[ChangeTicket]) -> BTreeMap<TeamId, TeamConfig> {
    let mut sorted: Vec<&ChangeTicket> = tickets.iter().collect();
    sorted.sort_by_key(|ticket| ticket.number);
    let accepted = sorted
        .into_iter()
        .filter(|row| config.ticket_record(row.number).is_some());
    let rows = accepted.flat_map(|ticket| ticket.teams.iter());
    rows.map(|team| (team.id.clone(), team.clone())).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_highest_ticket_wins(
        touches in proptest::collection::vec(1_u8.., TICKETS as usize),
        order in Just((1..=TICKETS).collect::<Vec<u64>>()).prop_shuffle(),
    ) {
        let tickets = order.iter().map(|number| team_ticket(*number, touches[*number as usize - 1]));
        let tickets: Vec<ChangeTicket> = tickets.collect();
        let config = apply_all(&tickets);
        prop_assert_eq!(config.teams(), &expected(&config, &tickets));
        let mut retried = config.clone();
        for ticket in &tickets {
            let was_accepted = config.ticket_record(ticket.number).is_some();
            prop_assert_eq!(retried.apply(ticket).is_ok_and(|applied| applied.duplicate), was_accepted);
        }
        prop_assert_eq!(retried, config);
    }
}
