//! Whether the configuration of the size to design for fits into one value of the store.

use applefold_core::config::{key_digest, ServingConfig};
use applefold_core::ticket::{ChangeTicket, MAX_CONFIG_SIZE};
use serde_json::{json, Value};

const TEAMS: u64 = 530;
const KEYS_PER_TEAM: u64 = 3;
const MODELS: u64 = 34;
const ENGINES: u64 = 1_500;
const POOLS: u64 = 34;
const REMEMBERED: u64 = 2_100;

fn file(config: &mut ServingConfig, number: u64, mut ticket: Value) {
    ticket["ticket"] = json!(number);
    ticket["author"] = json!("ana");
    let ticket = ChangeTicket::parse(&ticket.to_string()).expect("the ticket can be read");
    config.apply(&ticket).expect("the ticket is accepted");
}

fn team(at: u64) -> Value {
    let limits = json!({"requests_per_s": 50, "tokens_per_s": 20_000, "running": 200});
    json!({"id": format!("team-{at:04}"), "weight": 10, "limits": limits})
}

fn key(at: u64) -> Value {
    let name = format!("team-{:04}.key-{at:05}", at % TEAMS);
    let digest = key_digest(&name).to_string();
    json!({"id": name, "team": format!("team-{:04}", at % TEAMS), "sha256": digest, "state": "active"})
}

fn service(at: u64) -> Value {
    json!({"id": format!("model-{at}"), "kind": "model", "pool": format!("pool-{at}"),
        "models": [format!("model-{at}")], "open": false, "teams": ["*"], "repeatable": true,
        "deadline_ms": 2_000, "max_body_bytes": 1_048_576, "priority": "interactive"})
}

fn pool(at: u64) -> Value {
    let domains: Vec<String> = (0..19)
        .map(|domain| format!("region-{}-{domain}", domain % 8))
        .collect();
    json!({"id": format!("pool-{at}"), "kind": "model", "min": 1, "max": 100,
        "failure_domains": domains, "prefill_rate": 8_000, "decode_rate": 900,
        "memory_tokens": 400_000})
}

fn engine(at: u64) -> Value {
    json!({"id": format!("engine-{at:05}"), "pool": format!("pool-{}", at % POOLS),
        "state": "active", "role": "both"})
}

#[test]
fn design_size_fits_into_one_value() {
    let mut config = ServingConfig::default();
    let list = |count: u64, row: fn(u64) -> Value| (0..count).map(row).collect::<Vec<Value>>();
    for number in 6..REMEMBERED {
        file(&mut config, number, json!({"teams": [team(0)]}));
    }
    file(
        &mut config,
        REMEMBERED + 1,
        json!({"teams": list(TEAMS, team)}),
    );
    file(
        &mut config,
        REMEMBERED + 2,
        json!({"keys": list(TEAMS * KEYS_PER_TEAM, key)}),
    );
    file(
        &mut config,
        REMEMBERED + 3,
        json!({"pools": list(POOLS, pool)}),
    );
    file(
        &mut config,
        REMEMBERED + 4,
        json!({"services": list(MODELS, service)}),
    );
    file(
        &mut config,
        REMEMBERED + 5,
        json!({"engines": list(ENGINES, engine)}),
    );
    let size = config.to_json().len() as u64;
    println!("the configuration takes {size} bytes in JSON");
    assert!(size <= MAX_CONFIG_SIZE.0, "{size}");
}
