use std::hint::black_box;

use applefold_core::admission::{
    AdmissionControl, AdmissionDeadlines, AdmissionRequest, TeamDemand, TeamLimit,
};
use applefold_core::id::{BackendId, InstanceId, TeamId};
use applefold_core::routing::{RouteCandidate, RouteChoice};
use applefold_core::unit::{CallRate, TimePoint, TimeSpan, TokenCount, TokenRate};

use super::probe::{ScaleProbe, SeriesPlan};
use crate::member::named;

pub(super) const TEAMS: &[u64] = &[10, 30, 100, 300, 530];
const PEERS: u64 = 8;
const PERIOD: TimeSpan = TimeSpan::from_secs(1);
const NOW: TimePoint = TimePoint(1_000_000);

struct AdmissionBench {
    control: AdmissionControl,
    requests: Vec<AdmissionRequest>,
    choice: RouteChoice,
    uses: Vec<TeamDemand>,
    peers: Vec<InstanceId>,
}

pub(super) fn grow(probe: &mut ScaleProbe) -> eyre::Result<()> {
    let plan = |event| SeriesPlan {
        table: "teams at an entry",
        row: "team",
        event,
        sizes: TEAMS,
    };
    probe.measure(plan("admit and settle a request"), bench, admit)?;
    probe.measure(plan("end a heartbeat period"), bench, publish)?;
    let peers = SeriesPlan {
        table: "teams that 8 peers report",
        row: "team",
        ..plan("take in a peer's heartbeat")
    };
    probe.measure(peers, heard, observe)
}

pub(super) fn team(number: u64) -> TeamId {
    named(&format!("team-of-users-{number:03}"))
}

fn bench(rows: u64) -> AdmissionBench {
    let mut bench = AdmissionBench {
        control: AdmissionControl::new(PERIOD),
        requests: (0..rows).map(request).collect(),
        choice: choice(),
        uses: (0..rows).map(team_use).collect(),
        peers: (0..PEERS)
            .map(|number| named(&format!("entry-{number:03}")))
            .collect(),
    };
    for number in 0..rows {
        bench.control.set_limit(team(number), limit(), NOW);
        admit(&mut bench, number);
    }
    bench
}

fn heard(rows: u64) -> AdmissionBench {
    let mut bench = bench(rows);
    for turn in 0..PEERS {
        observe(&mut bench, turn);
    }
    bench
}

fn limit() -> TeamLimit {
    TeamLimit {
        call_rate: Some(CallRate(1_000_000)),
        token_rate: Some(TokenRate(1_000_000_000)),
        max_running: Some(1_000_000),
    }
}

fn request(number: u64) -> AdmissionRequest {
    AdmissionRequest {
        team: team(number),
        prompt_tokens: TokenCount(200),
        answer_tokens: TokenCount(100),
        deadlines: AdmissionDeadlines {
            ttft: TimeSpan::from_millis(430),
            max_inter_token_latency: Some(TimeSpan::from_millis(69)),
        },
    }
}

fn choice() -> RouteChoice {
    let backend: BackendId = named("engine-0001.eu-1a");
    let candidate = RouteCandidate {
        backend,
        ttft: TimeSpan::from_millis(100),
        unloaded_ttft: TimeSpan::from_millis(50),
        inter_token_latency: TimeSpan::from_millis(30),
        unloaded_inter_token_latency: TimeSpan::from_millis(3),
        cached_tokens: TokenCount::ZERO,
        competing: 10,
    };
    RouteChoice {
        candidates: vec![candidate],
    }
}

fn team_use(number: u64) -> TeamDemand {
    TeamDemand {
        team: team(number),
        tokens: TokenCount(1_000 + number),
    }
}

fn admit(bench: &mut AdmissionBench, turn: u64) {
    let request = &bench.requests[turn as usize % bench.requests.len()];
    if let Ok(ticket) = bench.control.admit(request, &bench.choice, NOW) {
        ticket.finish(TokenCount(250));
    }
}

fn publish(bench: &mut AdmissionBench, turn: u64) {
    let now = NOW + TimeSpan(turn);
    black_box(bench.control.publish(now));
}

fn observe(bench: &mut AdmissionBench, turn: u64) {
    let peer = bench.peers[(turn % PEERS) as usize].clone();
    let now = NOW + TimeSpan(turn);
    bench.control.observe(peer, 1, &bench.uses, now);
}
