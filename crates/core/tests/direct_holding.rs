//! Which caller's connection gives way when an entry has no memory or no file descriptor left.

use applefold_core::direct::{
    DescriptorShares, HolderId, HolderStage, HoldingTable, ScarceResource, YieldCause, MAX_WAIT,
    MIN_STALL, PROGRESS_BYTES, REFUSAL_SPACING, SMALL_BYTES,
};
use applefold_core::unit::{ByteSize, TimePoint, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const START: TimePoint = TimePoint(1_000_000_000);
const LIMIT: ByteSize = ByteSize(48 << 20);
const MIB: u64 = 1 << 20;

/// A connection before the decision: its stage, the bytes it holds, and the time in milliseconds since
/// its last progress.
struct HolderCase(HolderStage, u64, u64);

/// A decision: the connections, what is scarce, and the index and cause of the one that gives way.
struct ChoiceCase {
    name: &'static str,
    holders: &'static [HolderCase],
    scarce: ScarceResource,
    chosen: Option<(usize, YieldCause)>,
}

use HolderStage::{Idle, Lingering, Receiving, Serving, Waiting};
use ScarceResource::{Descriptors, Memory};

const CHOICES: &[ChoiceCase] = &[
    ChoiceCase {
        name: "no connection",
        holders: &[],
        scarce: Memory,
        chosen: None,
    },
    ChoiceCase {
        name: "the one that has held most for longest",
        holders: &[
            HolderCase(Receiving, 4 * MIB, 1_500),
            HolderCase(Receiving, 2 * MIB, 4_000),
            HolderCase(Receiving, MIB, 5_000),
        ],
        scarce: Memory,
        chosen: Some((1, YieldCause::Stalled)),
    },
    ChoiceCase {
        name: "not one that makes progress, whatever it holds",
        holders: &[
            HolderCase(Receiving, 4 * MIB, 900),
            HolderCase(Receiving, 10_000, 1_000),
        ],
        scarce: Memory,
        chosen: Some((1, YieldCause::Stalled)),
    },
    ChoiceCase {
        name: "none while all make progress",
        holders: &[
            HolderCase(Receiving, 4 * MIB, 0),
            HolderCase(Receiving, 4 * MIB, 999),
            HolderCase(Waiting, 4 * MIB, 999),
        ],
        scarce: Memory,
        chosen: None,
    },
    ChoiceCase {
        name: "not a request that is being served, however long that takes",
        holders: &[HolderCase(Serving, 8 * MIB, 60_000)],
        scarce: Memory,
        chosen: None,
    },
    ChoiceCase {
        name: "not an idle connection, which holds no request",
        holders: &[HolderCase(Idle, 4_096, 14_000)],
        scarce: Memory,
        chosen: None,
    },
    ChoiceCase {
        name: "a stalled one before one that waits",
        holders: &[
            HolderCase(Waiting, 4 * MIB, 9_000),
            HolderCase(Receiving, 4_096, 1_000),
        ],
        scarce: Memory,
        chosen: Some((1, YieldCause::Stalled)),
    },
    ChoiceCase {
        name: "of those that wait, the one that began last",
        holders: &[
            HolderCase(Waiting, MIB, 3_000),
            HolderCase(Waiting, 4 * MIB, 1_000),
            HolderCase(Waiting, 3 * MIB, 2_000),
        ],
        scarce: Memory,
        chosen: Some((1, YieldCause::Unserved)),
    },
    ChoiceCase {
        name: "of those that wait, a large one before a small one that began later",
        holders: &[
            HolderCase(Waiting, MIB, 3_000),
            HolderCase(Waiting, 40_000, 1_000),
        ],
        scarce: Memory,
        chosen: Some((0, YieldCause::Unserved)),
    },
    ChoiceCase {
        name: "for a descriptor, first one whose request is refused",
        holders: &[
            HolderCase(Receiving, 4 * MIB, 4_000),
            HolderCase(Lingering, 0, 10),
        ],
        scarce: Descriptors,
        chosen: Some((1, YieldCause::Lingering)),
    },
    ChoiceCase {
        name: "for a descriptor, a stalled request before an idle connection",
        holders: &[
            HolderCase(Idle, 4_096, 14_000),
            HolderCase(Receiving, 8_000, 1_000),
        ],
        scarce: Descriptors,
        chosen: Some((1, YieldCause::Stalled)),
    },
    ChoiceCase {
        name: "for a descriptor, the connection that has been idle longest",
        holders: &[
            HolderCase(Idle, 4_096, 2_000),
            HolderCase(Idle, 4_096, 3_000),
            HolderCase(Serving, 4 * MIB, 9_000),
        ],
        scarce: Descriptors,
        chosen: Some((1, YieldCause::Idle)),
    },
    ChoiceCase {
        name: "for a descriptor, none that is in use or new",
        holders: &[
            HolderCase(Idle, 4_096, 999),
            HolderCase(Receiving, 8_000, 999),
            HolderCase(Serving, 8_000, 9_000),
            HolderCase(Waiting, 8_000, 9_000),
        ],
        scarce: Descriptors,
        chosen: None,
    },
];

fn at(millis: u64) -> TimePoint {
    START + TimeSpan::from_millis(millis)
}

/// Adds a connection that has entered `stage` at this time and holds these bytes.
fn add(table: &mut HoldingTable, stage: HolderStage, held: u64, since: TimePoint) -> HolderId {
    let id = table.begin(since);
    table.enter(id, stage, since);
    assert!(table.resize(id, ByteSize(held)));
    id
}

#[test]
fn chooses_who_has_held_most_for_longest_without_progress() {
    const NOW_MS: u64 = 100_000;
    for case in CHOICES {
        let mut table = HoldingTable::new(LIMIT);
        let holders = case.holders.iter();
        let ids: Vec<HolderId> = holders
            .map(|HolderCase(stage, held, pause)| {
                add(&mut table, *stage, *held, at(NOW_MS - pause))
            })
            .collect();
        let chosen = table.choose(case.scarce, at(NOW_MS));
        let chosen = chosen.map(|yielding| (yielding.id, yielding.cause));
        let expected = case.chosen.map(|(index, cause)| (ids[index], cause));
        assert_eq!(chosen, expected, "{}", case.name);
    }
}

/// A caller that brings a byte now and then would otherwise hold its memory for as long as it likes.
#[test]
fn a_trickle_is_no_progress() {
    for (bytes, stalled) in [(PROGRESS_BYTES.0 - 1, true), (PROGRESS_BYTES.0, false)] {
        let mut table = HoldingTable::new(LIMIT);
        let id = add(&mut table, Receiving, MIB, START);
        for _ in 0..bytes {
            table.record_received(id, ByteSize(1), at(500));
        }
        let chosen = table.choose(Memory, START + MIN_STALL);
        assert_eq!(chosen.is_some(), stalled, "{bytes} bytes");
    }
}

/// The memory of one that has to close is counted until it is released; until then no other is chosen.
#[test]
fn one_gives_way_at_a_time() {
    let mut table = HoldingTable::new(LIMIT);
    let first = add(&mut table, Receiving, 4 * MIB, START);
    let second = add(&mut table, Receiving, 2 * MIB, START);
    let now = at(2_000);
    assert_eq!(
        table.choose(Memory, now).map(|chosen| chosen.id),
        Some(first)
    );
    assert_eq!(table.choose(Memory, now), None);
    assert_eq!(table.held(), ByteSize(6 * MIB));
    table.end(first);
    assert_eq!(table.held(), ByteSize(2 * MIB));
    assert_eq!(
        table.choose(Memory, now).map(|chosen| chosen.id),
        Some(second)
    );
}

/// Requests that wait for each other's memory must not be refused all at once: the first that is
/// refused makes room for others.
#[test]
fn waiting_requests_are_refused_one_after_the_other() {
    let mut table = HoldingTable::new(LIMIT);
    let waiting: Vec<HolderId> = (0..3)
        .map(|number| add(&mut table, Waiting, MIB, at(number)))
        .collect();
    let now = at(10) + MAX_WAIT;
    let chosen = table.choose(Memory, now).expect("one has waited too long");
    assert_eq!(chosen.id, waiting[2]);
    table.end(chosen.id);
    assert_eq!(table.choose(Memory, now), None);
    let later = table.choose(Memory, now + REFUSAL_SPACING);
    assert_eq!(later.map(|chosen| chosen.id), Some(waiting[1]));
}

/// Large requests leave a part of the memory, so that ordinary ones are still served.
#[test]
fn large_requests_leave_room_for_small_ones() {
    let mut table = HoldingTable::new(LIMIT);
    let mut large = 0;
    loop {
        let id = table.begin(START);
        if !table.resize(id, ByteSize(4 * MIB)) {
            break;
        }
        large += 1;
    }
    assert_eq!(large, 9);
    let small = table.begin(START);
    assert!(table.resize(small, SMALL_BYTES));
    assert!(!table.resize(small, ByteSize(SMALL_BYTES.0 + 1)));
    let shrunk = table.resize(small, ByteSize(1));
    assert!(shrunk);
}

/// Whatever happens, the sum is exact and within the limit, and none that is served or makes progress
/// gives way.
#[test]
fn random_histories_stay_within_the_limit() {
    for seed in 0..50 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut table = HoldingTable::new(LIMIT);
        let mut live: Vec<(HolderId, u64, TimePoint, HolderStage)> = Vec::new();
        for step in 0..2_000 {
            let now = at(step * 20);
            if live.len() < 40 && random.gen_bool(0.3) {
                live.push((table.begin(now), 0, now, Idle));
            }
            if live.is_empty() {
                continue;
            }
            let index = random.gen_range(0..live.len());
            let (id, held, progress, stage) = &mut live[index];
            match random.gen_range(0..5) {
                0 => {
                    let stages = [Receiving, Waiting, Serving, Lingering, Idle];
                    let next = stages[random.gen_range(0..5)];
                    table.enter(*id, next, now);
                    if *stage != next {
                        *progress = now;
                    }
                    *stage = next;
                }
                1 => {
                    table.record_received(*id, PROGRESS_BYTES, now);
                    *progress = now;
                }
                2 | 3 => {
                    let bytes = random.gen_range(0..8 * MIB);
                    if table.resize(*id, ByteSize(bytes)) {
                        *held = bytes;
                    }
                }
                _ => {
                    table.end(*id);
                    live.swap_remove(index);
                }
            }
            let scarce = [Memory, Descriptors][random.gen_range(0..2)];
            if let Some(chosen) = table.choose(scarce, now) {
                let index = live.iter().position(|(id, ..)| *id == chosen.id);
                let (id, _, progress, stage) = live.swap_remove(index.expect("a live one"));
                assert_ne!(stage, Serving, "seed {seed}");
                assert!(
                    stage == Lingering || now.since(progress) >= MIN_STALL,
                    "seed {seed}"
                );
                table.end(id);
            }
            let sum: u64 = live.iter().map(|(_, held, ..)| *held).sum();
            assert_eq!(table.held(), ByteSize(sum), "seed {seed}");
            assert!(table.held() <= LIMIT, "seed {seed}");
        }
    }
}

/// Connections of callers must never take the descriptors that backend servers and the store need.
#[test]
fn descriptors_are_left_for_backend_servers_and_the_store() {
    for (limit, callers, backends) in [
        (4_096, 2_896, 1_100),
        (4_100, 2_900, 1_100),
        (600, 300, 225),
        (100, 50, 38),
    ] {
        let shares = DescriptorShares::of(limit);
        assert_eq!((shares.callers, shares.backends), (callers, backends));
        assert!(shares.callers + shares.backends < limit);
    }
}
