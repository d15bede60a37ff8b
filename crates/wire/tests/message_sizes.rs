//! Guards against control messages that outgrow the sizes assumed in docs/CAPACITY.md.

use applefold_core::claim::{ClaimKey, ClaimRequest, RequestFingerprint};
use applefold_core::id::{Revision, WindowId};
use applefold_core::replication::Confirmation;
use applefold_core::unit::{ByteSize, TimeSpan, TokenCount, TokenRate};
use applefold_core::usage::{MeterName, UsageBatch, UsageFigure, UsageKey, UsageTotals};
use applefold_wire::applefold_capnp::{answer_end, claim_ask, heartbeat, usage_batch};
use applefold_wire::claim::write_request;
use applefold_wire::dispatch::{AttemptEnd, AttemptId, EndMessage};
use applefold_wire::heartbeat::{HeartbeatMessage, LoadStatus, TeamUsage};
use applefold_wire::usage::write_batch;
use capnp::message::{Builder, HeapAllocator};
use capnp::serialize::compute_serialized_size_in_words;

const WORD_BYTES: usize = 8;

fn bytes_of(builder: &Builder<HeapAllocator>) -> usize {
    compute_serialized_size_in_words(builder) * WORD_BYTES
}

fn load() -> LoadStatus {
    LoadStatus {
        running: 8,
        waiting: 2,
        waiting_tokens: TokenCount(12_000),
        free_tokens: TokenCount(300_000),
        prefill_rate: TokenRate(10_000),
        decode_rate: TokenRate(800),
        draining: false,
        healthy: true,
    }
}

fn confirmation() -> Confirmation {
    Confirmation {
        revision: Revision(912_345),
        age: TimeSpan::from_millis(900),
        reach_holds: true,
    }
}

fn heartbeat_of(teams: u64) -> usize {
    let team = |number: u64| TeamUsage {
        team: format!("team-of-users-{number:03}").parse().unwrap(),
        tokens: TokenCount(10_000),
    };
    let beat = HeartbeatMessage {
        instance: "sidecar-0123.eu-1a".parse().unwrap(),
        domain: "eu-1a".parse().unwrap(),
        confirmation: confirmation(),
        load: load(),
        teams: (0..teams).map(team).collect(),
        pools: Vec::new(),
        period: 100,
        suspects: Vec::new(),
        stopping: false,
    };
    let mut builder = Builder::new_default();
    beat.write(builder.init_root::<heartbeat::Builder<'_>>());
    bytes_of(&builder)
}

fn answer_end_size() -> usize {
    let end = EndMessage {
        id: AttemptId {
            request: "entry-001:0000000000012345".parse().unwrap(),
            attempt: "1".parse().unwrap(),
        },
        crashed: false,
        end: AttemptEnd::Complete(ByteSize(4_000)),
        load: load(),
        confirmation: confirmation(),
    };
    let mut builder = Builder::new_default();
    end.write(builder.init_root::<answer_end::Builder<'_>>());
    bytes_of(&builder)
}

fn claim_size() -> usize {
    let request = ClaimRequest {
        claim: ClaimKey {
            team: "team-of-users-001".parse().unwrap(),
            key: "enroll-2f9c1e-000000000001".parse().unwrap(),
        },
        fingerprint: RequestFingerprint(7),
        request_id: "entry-001:0000000000012345".parse().unwrap(),
    };
    let mut builder = Builder::new_default();
    write_request(&request, builder.init_root::<claim_ask::Builder<'_>>());
    bytes_of(&builder)
}

fn usage_size(figures: u64) -> usize {
    let figure = |number: u64| UsageFigure {
        key: UsageKey {
            window: WindowId(1),
            team: format!("team-of-users-{number:03}").parse().unwrap(),
            service: "assistant".parse().unwrap(),
        },
        totals: UsageTotals {
            prompt_tokens: TokenCount(1_000),
            answer_tokens: TokenCount(1_000),
            requests: 10,
        },
    };
    let batch = UsageBatch {
        meter: MeterName::new(&"sidecar-0123.eu-1a".parse().unwrap(), 1),
        figures: (0..figures).map(figure).collect(),
    };
    let mut builder = Builder::new_default();
    write_batch(&batch, builder.init_root::<usage_batch::Builder<'_>>());
    bytes_of(&builder)
}

#[test]
fn control_messages_stay_small() {
    let cases = [
        ("heartbeat", heartbeat_of(0), 256),
        ("heartbeat with 14 teams", heartbeat_of(14), 1_024),
        ("end of an attempt", answer_end_size(), 256),
        ("claim", claim_size(), 192),
        ("usage of 20 figures", usage_size(20), 2_200),
    ];
    for (name, size, limit) in cases {
        println!("{name}: {size} B");
        assert!(size <= limit, "{name}: {size} B");
    }
}
