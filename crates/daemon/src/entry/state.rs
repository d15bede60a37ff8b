//! What an entry knows.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use applefold_core::admission::TeamDemand;
use applefold_core::drain::DrainOptions;
use applefold_core::fleet::FleetSettings;
use applefold_core::id::{InstanceId, PoolId, TeamId};
use applefold_core::lease::HolderName;
use applefold_core::quarantine::SuspectReport;
use applefold_core::replication::{ConfigReplica, ReplicationSettings};
use applefold_core::routing::InstanceLocality;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_wire::beat::{BeatMessage, LoadNote, PoolNote, TeamNote};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use super::claims::ClaimManager;
use super::config::ConfigManager;
use super::decisions::ServingDecisions;
use super::fleet::{self, FleetManager};
use super::leases::LeaseTable;
use super::links::{LinkTable, HEARTBEAT_INTERVAL};
use super::plan::RequestPlan;
use super::report::ActivityLog;
use super::usage::UsageManager;
use super::EntrySettings;
use crate::clock::MonotonicClock;
use crate::drain::DrainGate;
use crate::link::gate::GateOptions;
use crate::metrics::MetricSet;
use crate::platform::http::HttpPlatform;
use crate::platform::PlatformApi;
use crate::trace::SpanSource;

/// Calls of open routes are told apart from others by this name.
pub(crate) const PUBLIC_TEAM: &str = "open:all";

/// The state of an entry, shared by its tasks.
pub(crate) struct EntryState {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: MonotonicClock,
    pub(crate) config: ConfigManager,
    pub(crate) gate: DrainGate,
    pub(crate) links: RefCell<LinkTable>,
    /// The name under which this run of the process holds leases.
    pub(crate) holder: HolderName,
    /// The live entries of the platform's list, this one included.
    pub(crate) entries: RefCell<BTreeSet<InstanceId>>,
    pub(crate) leases: LeaseTable,
    pub(crate) claims: ClaimManager,
    pub(crate) usage: UsageManager,
    pub(crate) fleet: FleetManager,
    pub(crate) activity: ActivityLog,
    /// What the teams have asked of this entry in the last period.
    published_teams: RefCell<Vec<TeamNote>>,
    /// What the pools are being asked for here, and what they were in the last period.
    demand: RefCell<BTreeMap<PoolId, PoolNote>>,
    published_pools: RefCell<Vec<PoolNote>>,
    period: Cell<u64>,
    /// The last period that each peer was heard to speak of.
    last_periods: RefCell<BTreeMap<InstanceId, u64>>,
    pub(crate) platform: Rc<dyn PlatformApi>,
    pub(crate) metrics: MetricSet,
    pub(crate) spans: SpanSource,
    pub(crate) decisions: RefCell<ServingDecisions>,
    /// Stands for callers of routes open to all.
    pub(crate) public_team: TeamId,
    /// Says that the next heartbeats should go out at once.
    pub(crate) urgent: watch::Sender<u64>,
    request_count: Cell<u64>,
    /// Tells this run of the process from earlier ones in request ids.
    incarnation: u64,
}

impl EntryState {
    pub(crate) fn new(settings: EntrySettings) -> Self {
        let metrics = MetricSet::start();
        let instance = settings.instance.clone();
        let platform = HttpPlatform::new(settings.platform, instance, metrics.clone());
        let mut rng = StdRng::from_entropy();
        let incarnation = rng.gen();
        let holder = HolderName::new(&settings.instance, incarnation);
        let replication = ReplicationSettings {
            confirm_bound: settings.confirm_bound,
            ..ReplicationSettings::default()
        };
        let replica = ConfigReplica::new(
            settings.instance.clone(),
            settings.domain.clone(),
            replication,
            Pcg64Mcg::new(rng.gen()),
        );
        let fleet = FleetSettings {
            restart_grace: settings.restart_grace,
            ..FleetSettings::default()
        };
        let drain = DrainOptions {
            lame_duck: settings.drain_delay,
            ..DrainOptions::entry()
        };
        let heartbeat_interval = TimeSpan(HEARTBEAT_INTERVAL.as_micros() as u64);
        let locality = InstanceLocality {
            domain: settings.domain.clone(),
            region: settings.region.clone(),
        };
        Self {
            clock: MonotonicClock::start(),
            config: ConfigManager::new(replica),
            gate: DrainGate::new(drain),
            links: RefCell::new(LinkTable::default()),
            entries: RefCell::default(),
            leases: LeaseTable::new(&holder),
            claims: ClaimManager::new(&holder),
            usage: UsageManager::new(&holder, settings.usage_window),
            activity: ActivityLog::default(),
            fleet: FleetManager::new(&holder, fleet),
            holder,
            published_teams: RefCell::default(),
            demand: RefCell::default(),
            published_pools: RefCell::default(),
            period: Cell::new(0),
            last_periods: RefCell::default(),
            platform: Rc::new(platform),
            metrics,
            spans: SpanSource::start(settings.trace_share),
            incarnation,
            decisions: RefCell::new(ServingDecisions::new(
                locality,
                heartbeat_interval,
                rng.gen(),
            )),
            public_team: PUBLIC_TEAM.parse().expect("the name is an identifier"),
            urgent: watch::Sender::new(0),
            request_count: Cell::new(0),
            settings,
        }
    }

    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns a text that no other request of any entry has.
    pub(crate) fn next_request_id(&self) -> String {
        let count = self.request_count.get() + 1;
        self.request_count.set(count);
        format!("r-{:016x}-{count:x}", self.incarnation)
    }

    /// Lets the decisions follow a configuration that has just been put in force.
    pub(crate) fn apply_config(&self) {
        let now = self.now();
        let mut decisions = self.decisions.borrow_mut();
        self.config.with(|config| {
            decisions.apply_config(config, now);
            fleet::apply_config(self, config);
        });
        let revision = self.config.revision();
        self.metrics.revision.record(revision.0, &[]);
        log::info!(revision = revision.0; "configuration is in force");
    }

    pub(crate) fn gate_options(&self) -> GateOptions {
        GateOptions {
            instance: self.settings.instance.to_string(),
            secrets: self.settings.secrets.clone(),
        }
    }

    /// Ends a heartbeat period of the teams' use.
    pub(crate) fn publish_demand(&self) {
        let now = self.now();
        let uses = self.decisions.borrow_mut().admission.publish(now);
        let notes = uses.into_iter().map(|used| TeamNote {
            team: used.team,
            tokens: used.tokens,
        });
        self.published_teams.replace(notes.collect());
        let pools = std::mem::take(&mut *self.demand.borrow_mut());
        self.published_pools.replace(pools.into_values().collect());
        self.period.set(self.period.get() + 1);
    }

    /// Takes in what a peer knows of requests that crash backend servers.
    pub(crate) fn merge_reports(&self, reports: &[SuspectReport]) {
        let now = self.now();
        let mut decisions = self.decisions.borrow_mut();
        for report in reports {
            decisions.suspects.merge_report(now, report.clone());
        }
    }

    /// Counts what a request asks of its pool, whether or not it is taken in.
    pub(crate) fn record_demand(&self, plan: &RequestPlan) {
        let note = PoolNote {
            pool: plan.pool.clone(),
            prefill: plan.prompt_tokens,
            decode: plan.answer_tokens,
        };
        fleet::record_demand(self, &note);
        let mut demand = self.demand.borrow_mut();
        match demand.get_mut(&note.pool) {
            Some(total) => {
                total.prefill += note.prefill;
                total.decode += note.decode;
            }
            None => {
                demand.insert(note.pool.clone(), note);
            }
        }
    }

    /// Both ends ask each other, so that a period is heard of several times.
    fn is_new_period(&self, beat: &BeatMessage) -> bool {
        let mut periods = self.last_periods.borrow_mut();
        let last = periods.insert(beat.instance.clone(), beat.period);
        last != Some(beat.period)
    }

    /// Takes in what another entry tells.
    pub(crate) fn handle_heartbeat(&self, beat: &BeatMessage) {
        let now = self.now();
        self.config.observe_peer(&beat.instance, &beat.confirmation);
        if !self.is_new_period(beat) {
            return;
        }
        for note in &beat.pools {
            fleet::record_demand(self, note);
        }
        let uses = beat.teams.iter().map(|note| TeamDemand {
            team: note.team.clone(),
            tokens: note.tokens,
        });
        let uses: Vec<TeamDemand> = uses.collect();
        let mut decisions = self.decisions.borrow_mut();
        decisions
            .admission
            .observe(beat.instance.clone(), 1, &uses, now);
    }

    pub(crate) fn heartbeat(&self) -> BeatMessage {
        BeatMessage {
            instance: self.settings.instance.clone(),
            domain: self.settings.domain.clone(),
            confirmation: self.config.confirmation(self.now()),
            load: LoadNote::default(),
            teams: self.published_teams.borrow().clone(),
            pools: self.published_pools.borrow().clone(),
            period: self.period.get(),
            suspects: self
                .decisions
                .borrow_mut()
                .suspects
                .next_reports(self.now()),
            stopping: self.gate.is_closing(),
        }
    }
}
