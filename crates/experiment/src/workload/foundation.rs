//! Fire marshal training: plan reviews (long prompts) compete with debriefs (long generations).

use applefold_core::unit::TimeSpan;

use super::{MixPhase, RequestClass, Workload};

pub(super) fn workload() -> Workload {
    let plan_review = RequestClass {
        prompt: 6_000,
        answer: 120,
        prefix_tokens: 4_096,
        documents: 40,
        first_within: TimeSpan::from_secs(2),
        whole_within: TimeSpan::from_secs(15),
        urgent: false,
    };
    let debrief = RequestClass {
        prompt: 400,
        answer: 500,
        prefix_tokens: 0,
        documents: 0,
        first_within: TimeSpan::from_secs(1),
        whole_within: TimeSpan::from_secs(45),
        urgent: false,
    };
    let enrollment = RequestClass::plain(TimeSpan::from_secs(1));
    let phase = |rates: [f64; 3]| MixPhase {
        rates: rates.to_vec(),
    };
    Workload {
        name: "foundation",
        engines: 12,
        fixed_prefill: 5,
        domains: 3,
        plain_servers: 3,
        plain_work: TimeSpan::from_millis(20),
        one_way: TimeSpan::from_millis(1),
        classes: vec![plan_review, debrief, enrollment],
        phases: vec![
            phase([3.0, 4.0, 1.0]),
            phase([18.0, 6.0, 1.0]),
            phase([2.0, 30.0, 2.0]),
            phase([20.0, 22.0, 2.0]),
        ],
    }
}
