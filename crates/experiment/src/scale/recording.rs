use std::hint::black_box;

use applefold_core::claim::store::{
    CallNumber, StoreCall, StoreCompletion, StoreReply, StoreVersion,
};
use applefold_core::claim::{
    ClaimAction, ClaimEvent, ClaimKey, ClaimOptions, ClaimRequest, ClaimShard, RequestFingerprint,
};
use applefold_core::id::{FencingNumber, ServiceId, ShardId, WindowId};
use applefold_core::lease::HolderName;
use applefold_core::unit::{TimePoint, TimeSpan, TokenCount};
use applefold_core::usage::{
    MeterName, UsageAggregator, UsageBatch, UsageFigure, UsageKey, UsageMeter, UsageTotals,
};

use super::admitting::{team, TEAMS};
use super::probe::{ScaleProbe, SeriesPlan};
use crate::member::named;

const CLAIMS: &[u64] = &[100, 1_000, 3_000, 10_000];
const CLAIM_ROWS: usize = 10_000_000;
const ASKS_IN_A_BATCH: u64 = 10;
const BATCH_SPAN: TimeSpan = TimeSpan::from_millis(100);
const METERS: &[u64] = &[1, 10, 100, 400];
const FIGURES_OF_A_METER: u64 = 20;

struct ClaimBench {
    shard: ClaimShard,
    now: TimePoint,
    asked: u64,
    version: u64,
}

pub(super) fn grow(probe: &mut ScaleProbe) -> eyre::Result<()> {
    let claims = SeriesPlan {
        table: "claims of a shard",
        row: "claim",
        event: "grant a batch of 10 claims",
        sizes: CLAIMS,
    };
    probe.measure(claims, claimed, |bench, _| bench.grant_batch())?;
    let meter = SeriesPlan {
        table: "usage at a sidecar's meter",
        row: "team",
        event: "count a request",
        sizes: TEAMS,
    };
    probe.measure(meter, metered, |meter, turn| {
        meter.add(usage_key(turn % 10), totals(turn));
    })?;
    let keeper = SeriesPlan {
        table: "usage at a keeper, 20 figures a meter",
        row: "meter",
        event: "take in a batch of 20 figures",
        sizes: METERS,
    };
    probe.measure(keeper, kept, |keeper, turn| {
        keeper.merge(black_box(batch(turn % 10, turn)));
    })
}

impl ClaimBench {
    fn new() -> Self {
        let options = ClaimOptions {
            max_claims: CLAIM_ROWS,
            ..ClaimOptions::default()
        };
        let holder = HolderName::new(&named("entry-001"), 1);
        let mut bench = Self {
            shard: ClaimShard::new(ShardId(0), holder, options),
            now: TimePoint(1_000_000),
            asked: 0,
            version: 0,
        };
        let actions = bench.shard.begin(bench.now, FencingNumber(1));
        bench.store(actions);
        bench
    }

    fn grant_batch(&mut self) {
        for _ in 0..ASKS_IN_A_BATCH {
            self.asked += 1;
            let event = ClaimEvent::Claim {
                call: CallNumber(self.asked),
                request: ask(self.asked),
            };
            let actions = self.shard.handle(self.now, event);
            self.store(actions);
        }
        self.now = self.now + BATCH_SPAN;
        let actions = self.shard.tick(self.now);
        self.store(actions);
    }

    /// Plays a store that answers at once and never fails.
    fn store(&mut self, actions: Vec<ClaimAction>) {
        let mut open = actions;
        while let Some(action) = open.pop() {
            let ClaimAction::Store(call) = action else {
                continue;
            };
            self.version += 1;
            let answer = StoreCompletion {
                call: call.call(),
                reply: match call {
                    StoreCall::Put { .. } | StoreCall::Delete { .. } => {
                        StoreReply::Written(StoreVersion(self.version))
                    }
                    StoreCall::Get { .. } => StoreReply::Absent,
                    StoreCall::List { .. } => StoreReply::Listed(Vec::new()),
                },
            };
            open.extend(
                self.shard
                    .handle(self.now, ClaimEvent::StoreCompleted(answer)),
            );
        }
    }
}

fn ask(number: u64) -> ClaimRequest {
    ClaimRequest {
        claim: ClaimKey {
            team: team(number % 530),
            key: named(&format!("enroll-2f9c1e-{number:012}")),
        },
        fingerprint: RequestFingerprint(number),
        request_id: named(&format!("entry-001:{number:016}")),
    }
}

fn claimed(rows: u64) -> ClaimBench {
    let mut bench = ClaimBench::new();
    while (bench.shard.row_count() as u64) < rows {
        bench.grant_batch();
    }
    bench
}

fn usage_key(number: u64) -> UsageKey {
    let service: ServiceId = named("assistant");
    UsageKey {
        window: WindowId(1),
        team: team(number),
        service,
    }
}

fn totals(number: u64) -> UsageTotals {
    UsageTotals {
        prompt_tokens: TokenCount(number),
        answer_tokens: TokenCount(number / 2),
        requests: 1,
    }
}

fn meter_name(number: u64) -> MeterName {
    MeterName::new(&named(&format!("sidecar-{number:04}")), 1)
}

fn metered(rows: u64) -> UsageMeter {
    let mut meter = UsageMeter::new(meter_name(1));
    for number in 0..rows {
        meter.add(usage_key(number), totals(number));
    }
    meter
}

fn batch(meter: u64, turn: u64) -> UsageBatch {
    let figure = |number| UsageFigure {
        key: usage_key(number),
        totals: totals(turn),
    };
    UsageBatch {
        meter: meter_name(meter),
        figures: (0..FIGURES_OF_A_METER).map(figure).collect(),
    }
}

fn kept(rows: u64) -> UsageAggregator {
    let mut keeper = UsageAggregator::new();
    for number in 0..rows {
        keeper.merge(batch(number, 1));
    }
    keeper
}
