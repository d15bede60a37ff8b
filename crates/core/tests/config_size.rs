//! Checks that a configuration of the design size fits into one value of the store.

use applefold_core::config::{key_digest, ServingConfig};
use applefold_core::ticket::{ChangeTicket, MAX_CONFIG_SIZE};
use serde_json::{json, Value};

const TEAMS: u64 = 530;
const KEYS_PER_TEAM: u64 = 3;
const MODELS: u64 = 34;
const ENGINES: u64 = 1_500;
const POOLS: u64 = 34;
const EARLIER_TICKETS: u64 = 2_100;

fn file(config: &mut ServingConfig, number: u64, mut ticket: Value) {
    ticket["ticket"] = json!(number);
    ticket["author"] = json!("ana");
    let ticket = ChangeTicket::parse(&ticket.to_string()).expect("the ticket can be read");
    config.apply(&ticket).expect("the ticket is accepted");
}

fn team(index: u64) -> Value {
    let limits = json!({"requests_per_s": 50, "tokens_per_s": 20_000, "running": 200});
    json!({"id": format!("team-{index:04}"), "weight": 10, "limits": limits})
}

fn key(index: u64) -> Value {
    let name = format!("team-{:04}.key-{index:05}", index % TEAMS);
    let digest = key_digest(&name).to_string();
    json!({"id": name, "team": format!("team-{:04}", index % TEAMS), "sha256": digest, "state": "active"})
}

fn service(index: u64) -> Value {
    json!({"id": format!("model-{index}"), "kind": "model", "pool": format!("pool-{index}"),
        "models": [format!("model-{index}")], "open": false, "teams": ["*"], "repeatable": true,
        "deadline_ms": 2_000, "max_body_bytes": 1_048_576, "priority": "interactive"})
}

fn pool(index: u64) -> Value {
    let domains: Vec<String> = (0..19)
        .map(|domain| format!("region-{}-{domain}", domain % 8))
        .collect();
    json!({"id": format!("pool-{index}"), "kind": "model", "min": 1, "max": 100,
        "failure_domains": domains, "prefill_rate": 8_000, "decode_rate": 900,
        "memory_tokens": 400_000})
}

fn engine(index: u64) -> Value {
    json!({"id": format!("engine-{index:05}"), "pool": format!("pool-{}", index % POOLS),
        "state": "active", "role": "both"})
}

#[test]
fn design_size_fits_into_one_value() {
    let mut config = ServingConfig::default();
    let list = |count: u64, row: fn(u64) -> Value| (0..count).map(row).collect::<Vec<Value>>();
    for number in 6..EARLIER_TICKETS {
        file(&mut config, number, json!({"teams": [team(0)]}));
    }
    file(
        &mut config,
        EARLIER_TICKETS + 1,
        json!({"teams": list(TEAMS, team)}),
    );
    file(
        &mut config,
        EARLIER_TICKETS + 2,
        json!({"keys": list(TEAMS * KEYS_PER_TEAM, key)}),
    );
    file(
        &mut config,
        EARLIER_TICKETS + 3,
        json!({"pools": list(POOLS, pool)}),
    );
    file(
        &mut config,
        EARLIER_TICKETS + 4,
        json!({"services": list(MODELS, service)}),
    );
    file(
        &mut config,
        EARLIER_TICKETS + 5,
        json!({"engines": list(ENGINES, engine)}),
    );
    let size = config.to_json().len() as u64;
    println!("the configuration takes {size} bytes in JSON");
    assert!(size <= MAX_CONFIG_SIZE.0, "{size}");
}
