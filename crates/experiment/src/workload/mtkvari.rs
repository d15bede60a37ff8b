//! Refill stations: chat at the pump, stock digests, label checks and charges at the till.

use applefold_core::unit::TimeSpan;

use super::{MixPhase, RequestClass, Workload};

pub(super) fn workload() -> Workload {
    let chat = RequestClass {
        prompt: 700,
        answer: 250,
        prefix_tokens: 0,
        documents: 0,
        first_within: TimeSpan::from_millis(1_500),
        whole_within: TimeSpan::from_secs(25),
        urgent: false,
    };
    let digest = RequestClass {
        prompt: 8_000,
        answer: 400,
        prefix_tokens: 4_096,
        documents: 60,
        first_within: TimeSpan::from_secs(5),
        whole_within: TimeSpan::from_secs(45),
        urgent: false,
    };
    let label_check = RequestClass {
        prompt: 300,
        answer: 20,
        prefix_tokens: 0,
        documents: 0,
        first_within: TimeSpan::from_millis(400),
        whole_within: TimeSpan::from_millis(1_500),
        urgent: true,
    };
    let charge = RequestClass::plain(TimeSpan::from_secs(1));
    let phase = |rates: [f64; 4]| MixPhase {
        rates: rates.to_vec(),
    };
    Workload {
        name: "mtkvari",
        engines: 9,
        fixed_prefill: 4,
        domains: 4,
        plain_servers: 4,
        plain_work: TimeSpan::from_millis(15),
        one_way: TimeSpan(1_500),
        classes: vec![chat, digest, label_check, charge],
        phases: vec![
            phase([8.0, 0.5, 4.0, 10.0]),
            phase([40.0, 0.5, 8.0, 30.0]),
            phase([10.0, 7.0, 4.0, 10.0]),
            phase([34.0, 7.0, 8.0, 30.0]),
        ],
    }
}
