//! Helpers shared by the tests of tickets and of replication.
#![allow(dead_code)]

pub(crate) mod cluster;
pub(crate) mod store;

use applefold_core::config::key_digest;
use applefold_core::ticket::ChangeTicket;
use serde_json::{json, Value};

/// Returns a ticket with the lists of objects of `objects`.
pub(crate) fn ticket(number: u64, objects: Value) -> ChangeTicket {
    let mut ticket = json!({"ticket": number, "author": "ana"});
    let fields = objects.as_object().expect("an object of lists").clone();
    ticket.as_object_mut().expect("an object").extend(fields);
    ChangeTicket::parse(&ticket.to_string()).expect("the test's tickets can be read")
}

/// Returns a ticket that sets the weight of `team`.
pub(crate) fn weight_ticket(number: u64, team: &str, weight: u64) -> ChangeTicket {
    ticket(number, json!({"teams": [{"id": team, "weight": weight}]}))
}

/// Returns a ticket that sets the state of the key `k`, such as `active` or `withdrawn`.
pub(crate) fn key_ticket(number: u64, state: &str) -> ChangeTicket {
    let digest = key_digest("secret of k").to_string();
    let key = json!({"id": "k", "team": "t", "sha256": digest, "state": state});
    ticket(
        number,
        json!({"teams": [{"id": "t", "weight": 1}], "keys": [key]}),
    )
}
