//! Cooldowns that a process requests before the list shows it, in virtual time.

// Each test file uses only some of the helpers.
#[allow(dead_code)]
mod direct_support;

use applefold_core::direct::{SendDecision, SendEvent, ServerTable};
use applefold_core::routing::BackendRole::Plain;
use applefold_core::unit::{TimePoint, TimeSpan};
use direct_support::{backend, spec};

/// The numbers of entries.
const FLEETS: [usize; 2] = [6, 103];
const COOLDOWN: TimeSpan = TimeSpan::from_millis(1_500);
/// How long the list goes on showing the previous process of a backend server.
const LIST_LAG: TimeSpan = TimeSpan::from_millis(400);
/// How long a process takes to start anew.
const START_TIME: TimeSpan = TimeSpan::from_millis(1_100);

/// What happens at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Its process ends, and the connections of some entries break.
    End,
    /// A response is lost.
    Lose,
    /// It requests a cooldown in its response to this entry.
    Request(usize),
    /// Its registration expires.
    Expire,
    /// The list shows the next incarnation.
    List,
    /// Time passes.
    Wait(TimeSpan),
}

/// The entries with their tables of backend servers.
struct EntryFleet {
    tables: Vec<ServerTable>,
    /// The cooldown that an entry gossips: for which incarnation, and its end.
    gossip: Option<(u64, TimePoint)>,
    started_at_ms: u64,
    now: TimePoint,
}

impl EntryFleet {
    fn new(entries: usize) -> Self {
        let mut fleet = Self {
            tables: vec![ServerTable::default(); entries],
            gossip: None,
            started_at_ms: 1,
            now: TimePoint::START + TimeSpan::from_secs(1),
        };
        fleet.list();
        fleet
    }

    fn run(&mut self, steps: &[Step]) {
        for step in steps {
            match *step {
                // Every third entry has a connection.
                Step::End => self.break_connections(3),
                Step::Lose => self.break_connections(self.tables.len()),
                Step::Request(entry) => self.request_cooldown(entry),
                Step::Expire => {
                    for table in &mut self.tables {
                        table.remove(&backend(0));
                    }
                }
                Step::List => {
                    self.started_at_ms += 10_000;
                    self.list();
                }
                Step::Wait(span) => self.now = self.now + span,
            }
        }
    }

    /// Breaks a connection of entry 0 and of each entry whose number `spacing` divides. The others
    /// hear of it.
    fn break_connections(&mut self, spacing: usize) {
        for (number, table) in self.tables.iter_mut().enumerate() {
            if number % spacing == 0 {
                table.record_break(&backend(0), self.now);
            }
        }
    }

    fn request_cooldown(&mut self, entry: usize) {
        let (now, until) = (self.now, self.now + COOLDOWN);
        let table = &mut self.tables[entry];
        let incarnation = table.get(&backend(0)).map(|row| row.spec.started_at_ms);
        table.record_cooldown(&backend(0), now, until, now);
        table.apply(&backend(0), SendEvent::CooldownRequested(until), now);
        self.gossip = incarnation.map(|incarnation| (incarnation, until));
        self.spread();
    }

    /// Lists the incarnation at all entries. The one that keeps a cooldown gossips it.
    fn list(&mut self) {
        for table in &mut self.tables {
            let mut spec = spec(0, Plain);
            spec.started_at_ms = self.started_at_ms;
            table.upsert(spec, self.now);
            let state = table.get(&backend(0)).expect("a listed row").send_state();
            if state.cooldown_until() > self.now {
                self.gossip = Some((self.started_at_ms, state.cooldown_until()));
            }
        }
        self.spread();
    }

    /// Passes on the gossiped cooldown, which counts for its incarnation only.
    fn spread(&mut self) {
        let Some((incarnation, until)) = self.gossip else {
            return;
        };
        for table in &mut self.tables {
            let listed = table.get(&backend(0)).map(|row| row.spec.started_at_ms);
            if listed == Some(incarnation) && until > self.now {
                table.apply(&backend(0), SendEvent::CooldownRequested(until), self.now);
            }
        }
    }

    /// Returns how many entries would send a request.
    fn senders(&self) -> usize {
        let sends = |table: &&ServerTable| {
            let row = table.get(&backend(0)).expect("a listed row");
            matches!(row.decision(self.now), SendDecision::Send)
        };
        self.tables.iter().filter(sends).count()
    }
}

/// LIMIT: requests reached a restarted backend server during the cooldown that it had requested.
#[test]
fn a_cooldown_of_a_new_process_outlives_its_listing() {
    use Step::{End, Expire, List, Request, Wait};
    let spread = Wait(TimeSpan::from_millis(20));
    let cases: [(&str, &[Step]); 4] = [
        (
            "listed later",
            &[End, Wait(START_TIME), Request(0), Wait(LIST_LAG), List],
        ),
        (
            "its registration expires in between",
            &[
                End,
                Wait(START_TIME),
                Request(0),
                Wait(LIST_LAG),
                Expire,
                Wait(LIST_LAG),
                List,
            ],
        ),
        (
            "a connection of the previous process breaks last",
            &[
                End,
                Wait(START_TIME),
                Request(3),
                spread,
                End,
                Wait(LIST_LAG),
                List,
            ],
        ),
        (
            "it restarted twice",
            &[
                End,
                Wait(START_TIME),
                End,
                Wait(START_TIME),
                Request(3),
                Wait(LIST_LAG),
                List,
            ],
        ),
    ];
    for entries in FLEETS {
        for (name, steps) in cases {
            let mut fleet = EntryFleet::new(entries);
            fleet.run(steps);
            assert_eq!(fleet.senders(), 0, "{name}, {entries} entries");
            fleet.run(&[Wait(COOLDOWN)]);
            assert_eq!(fleet.senders(), entries, "{name}, {entries} entries, later");
        }
    }
}

/// The other side: what the previous process requested does not keep the new one from use.
#[test]
fn a_cooldown_of_the_previous_process_ends_with_it() {
    use Step::{End, List, Lose, Request, Wait};
    let pause = Wait(TimeSpan::from_millis(300));
    let cases: [(&str, &[Step]); 4] = [
        (
            "it ends after its request",
            &[Request(0), pause, End, Wait(LIST_LAG), List],
        ),
        ("nobody sees its end", &[Request(0), pause, List]),
        (
            "a response was lost before",
            &[Lose, pause, Request(0), pause, End, Wait(LIST_LAG), List],
        ),
        (
            "the second of two processes ends too",
            &[End, pause, Request(3), pause, End, Wait(LIST_LAG), List],
        ),
    ];
    for entries in FLEETS {
        for (name, steps) in cases {
            let mut fleet = EntryFleet::new(entries);
            fleet.run(steps);
            assert_eq!(fleet.senders(), entries, "{name}, {entries} entries");
        }
    }
}
