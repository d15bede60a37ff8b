//! Single cases of when a process may serve. Each test fails if the check that it covers is removed.

use applefold_core::id::{InstanceId, Revision};
use applefold_core::quorum::{FleetList, ListedInstance};
use applefold_core::replication::{
    ConfigReplica, Confirmation, ReplicationAction, ReplicationSettings, UnconfirmedRule,
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

fn replica(rule: UnconfirmedRule, me: &InstanceId, fleet: &[ListedInstance]) -> ConfigReplica {
    let settings = ReplicationSettings {
        rule,
        ..ReplicationSettings::default()
    };
    let rng = Pcg64Mcg::seed_from_u64(1);
    let mut replica = ConfigReplica::new(me.clone(), "d".parse().expect("an id"), settings, rng);
    replica.update_fleet(fleet);
    replica
}

fn confirmation(revision: u64, age: TimeSpan, reach_holds: bool) -> Confirmation {
    Confirmation {
        revision: Revision(revision),
        age,
        reach_holds,
    }
}

/// Passes the same reply of every peer to the replica.
fn reply_all(replica: &mut ConfigReplica, fleet: &[ListedInstance], confirmation: Confirmation) {
    for row in &fleet[1..] {
        replica.handle_reply(&row.id, confirmation, NOW);
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
fn there_is_no_quorum_while_a_peer_is_ahead() {
    let fleet = listed(5);
    let mut replica = replica(UnconfirmedRule::RequireQuorum, &fleet[0].id, &fleet);
    reply_all(
        &mut replica,
        &fleet,
        confirmation(1, Confirmation::NEVER, true),
    );
    assert!(replica.serves_keyed(NOW).is_err());
    replica.handle_push(first_ticket());
    assert!(replica.serves_keyed(NOW).is_ok());
}

#[test]
fn a_peer_that_is_not_established_does_not_count() {
    let fleet = listed(5);
    let mut replica = replica(UnconfirmedRule::RequireQuorum, &fleet[0].id, &fleet);
    reply_all(
        &mut replica,
        &fleet,
        confirmation(0, Confirmation::NEVER, false),
    );
    assert!(replica.serves_keyed(NOW).is_err());
    assert_eq!(replica.reachable_count(NOW).reached, 0);
}

#[test]
fn a_confirmation_of_a_later_revision_takes_effect_with_it() {
    let fleet = listed(3);
    let mut replica = replica(UnconfirmedRule::RefuseAlways, &fleet[0].id, &fleet);
    reply_all(&mut replica, &fleet, confirmation(1, TimeSpan::ZERO, false));
    assert!(replica.serves_keyed(NOW).is_err());
    replica.handle_push(first_ticket());
    assert!(replica.serves_keyed(NOW).is_ok());
}

#[test]
fn a_reply_is_as_old_as_its_heartbeat() {
    let fleet = listed(3);
    let mut replica = replica(UnconfirmedRule::RefuseAlways, &fleet[0].id, &fleet);
    reply_all(
        &mut replica,
        &fleet,
        confirmation(0, TimeSpan::from_secs(1), false),
    );
    assert!(replica
        .serves_keyed(NOW + TimeSpan::from_millis(3_900))
        .is_ok());
    assert!(replica
        .serves_keyed(NOW + TimeSpan::from_millis(4_100))
        .is_err());
    replica.observe_peer(&fleet[1].id, &confirmation(0, TimeSpan::ZERO, true));
    assert!(replica
        .serves_keyed(NOW + TimeSpan::from_millis(4_100))
        .is_err());
}

#[test]
fn the_next_by_rank_watches_when_a_watcher_goes_silent() {
    let fleet = listed(5);
    let ranked = FleetList::new(&fleet).ranked(&fleet[0].domain).to_vec();
    let mut replica = replica(UnconfirmedRule::RequireQuorum, &ranked[2], &fleet);
    let store_calls = |actions: &[ReplicationAction]| {
        let calls = actions
            .iter()
            .filter(|action| matches!(action, ReplicationAction::Call { .. }));
        calls.count()
    };
    assert_eq!(store_calls(&replica.tick(NOW)), 0);
    let later = NOW + TimeSpan::from_secs(2);
    replica.handle_reply(&ranked[0], confirmation(0, TimeSpan::ZERO, false), later);
    assert_eq!(store_calls(&replica.tick(later)), 0);
    let later = NOW + TimeSpan::from_secs(3);
    assert!(replica.is_watcher(later));
    assert_eq!(store_calls(&replica.tick(later)), 1);
}

#[test]
fn a_confirmation_from_before_its_start_does_not_establish_a_process() {
    let fleet = listed(9);
    let mut replica = replica(UnconfirmedRule::RequireQuorum, &fleet[0].id, &fleet);
    replica.tick(NOW);
    let early = confirmation(0, TimeSpan::from_secs(4), false);
    replica.handle_reply(&fleet[1].id, early, NOW);
    assert!(!replica.confirmation(NOW).is_established());
    let later = NOW + TimeSpan::from_secs(2);
    replica.handle_reply(
        &fleet[1].id,
        confirmation(0, TimeSpan::from_secs(1), false),
        later,
    );
    assert!(replica.confirmation(later).is_established());
}
