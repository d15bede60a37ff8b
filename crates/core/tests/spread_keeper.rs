//! Single cases of what lets a process serve, each of which fails if its guard is taken out.

use applefold_core::id::{InstanceId, Revision};
use applefold_core::quorum::{FleetList, ListedInstance};
use applefold_core::replication::{
    ConfigReplica, Confirmation, ReplicaAction, ReplicaSettings, UnconfirmedRule,
};
use applefold_core::ticket::{ChangeTicket, ConfigPush, LogEntry};
use applefold_core::unit::{TimePoint, TimeSpan};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const NOW: TimePoint = TimePoint(10_000_000_000);

fn listed(count: usize) -> Vec<ListedInstance> {
    let rows = (0..count).map(|at| ListedInstance {
        id: format!("i{at}").parse().expect("an id"),
        domain: "d".parse().expect("an id"),
    });
    rows.collect()
}

fn keeper(rule: UnconfirmedRule, me: &InstanceId, fleet: &[ListedInstance]) -> ConfigReplica {
    let settings = ReplicaSettings {
        rule,
        ..ReplicaSettings::default()
    };
    let rng = Pcg64Mcg::seed_from_u64(1);
    let mut keeper = ConfigReplica::new(me.clone(), "d".parse().expect("an id"), settings, rng);
    keeper.update_fleet(fleet);
    keeper
}

fn said(revision: u64, age: TimeSpan, reach_holds: bool) -> Confirmation {
    Confirmation {
        revision: Revision(revision),
        age,
        reach_holds,
    }
}

fn hear_all(keeper: &mut ConfigReplica, fleet: &[ListedInstance], said: Confirmation) {
    for row in &fleet[1..] {
        keeper.handle_reply(&row.id, said, NOW);
    }
}

fn first_ticket() -> ConfigPush {
    let ticket = ChangeTicket::parse(r#"{"ticket":1,"author":"ana"}"#).expect("it can be read");
    ConfigPush::Entries(vec![LogEntry {
        revision: Revision(1),
        ticket: ticket.to_json().into(),
    }])
}

#[test]
fn a_count_does_not_hold_while_a_peer_is_ahead() {
    let fleet = listed(5);
    let mut keeper = keeper(UnconfirmedRule::RequireQuorum, &fleet[0].id, &fleet);
    hear_all(&mut keeper, &fleet, said(1, Confirmation::NEVER, true));
    assert!(keeper.serves_keyed(NOW).is_err());
    keeper.handle_push(first_ticket());
    assert!(keeper.serves_keyed(NOW).is_ok());
}

#[test]
fn a_peer_without_standing_does_not_count() {
    let fleet = listed(5);
    let mut keeper = keeper(UnconfirmedRule::RequireQuorum, &fleet[0].id, &fleet);
    hear_all(&mut keeper, &fleet, said(0, Confirmation::NEVER, false));
    assert!(keeper.serves_keyed(NOW).is_err());
    assert_eq!(keeper.reachable_count(NOW).reached, 0);
}

#[test]
fn a_confirmation_of_a_later_revision_waits_for_it() {
    let fleet = listed(3);
    let mut keeper = keeper(UnconfirmedRule::RefuseAlways, &fleet[0].id, &fleet);
    hear_all(&mut keeper, &fleet, said(1, TimeSpan::ZERO, false));
    assert!(keeper.serves_keyed(NOW).is_err());
    keeper.handle_push(first_ticket());
    assert!(keeper.serves_keyed(NOW).is_ok());
}

#[test]
fn a_reply_is_as_old_as_its_question() {
    let fleet = listed(3);
    let mut keeper = keeper(UnconfirmedRule::RefuseAlways, &fleet[0].id, &fleet);
    hear_all(&mut keeper, &fleet, said(0, TimeSpan::from_secs(1), false));
    assert!(keeper
        .serves_keyed(NOW + TimeSpan::from_millis(3_900))
        .is_ok());
    assert!(keeper
        .serves_keyed(NOW + TimeSpan::from_millis(4_100))
        .is_err());
    keeper.observe_peer(&fleet[1].id, &said(0, TimeSpan::ZERO, true));
    assert!(keeper
        .serves_keyed(NOW + TimeSpan::from_millis(4_100))
        .is_err());
}

#[test]
fn the_next_in_the_order_watches_when_one_goes_silent() {
    let fleet = listed(5);
    let ranked = FleetList::new(&fleet).ranked(&fleet[0].domain).to_vec();
    let mut keeper = keeper(UnconfirmedRule::RequireQuorum, &ranked[2], &fleet);
    let asks = |actions: &[ReplicaAction]| {
        let calls = actions
            .iter()
            .filter(|action| matches!(action, ReplicaAction::Call { .. }));
        calls.count()
    };
    assert_eq!(asks(&keeper.tick(NOW)), 0);
    let later = NOW + TimeSpan::from_secs(2);
    keeper.handle_reply(&ranked[0], said(0, TimeSpan::ZERO, false), later);
    assert_eq!(asks(&keeper.tick(later)), 0);
    let later = NOW + TimeSpan::from_secs(3);
    assert!(keeper.is_watcher(later));
    assert_eq!(asks(&keeper.tick(later)), 1);
}

#[test]
fn a_process_has_no_standing_by_what_was_confirmed_before_its_start() {
    let fleet = listed(9);
    let mut keeper = keeper(UnconfirmedRule::RequireQuorum, &fleet[0].id, &fleet);
    keeper.tick(NOW);
    let early = said(0, TimeSpan::from_secs(4), false);
    keeper.handle_reply(&fleet[1].id, early, NOW);
    assert!(!keeper.confirmation(NOW).is_established());
    let later = NOW + TimeSpan::from_secs(2);
    keeper.handle_reply(&fleet[1].id, said(0, TimeSpan::from_secs(1), false), later);
    assert!(keeper.confirmation(later).is_established());
}
