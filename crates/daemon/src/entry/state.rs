//! The state of an entry, and the heartbeats that share parts of it with peers.

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
use applefold_wire::heartbeat::{HeartbeatMessage, LoadStatus, PoolDemand, TeamUsage};
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
use crate::account::MemoryAccount;
use crate::clock::{BoottimeClock, MonotonicClock};
use crate::drain::DrainGate;
use crate::link::handshake::HandshakeOptions;
use crate::metrics::MetricSet;
use crate::platform::http::HttpPlatform;
use crate::platform::PlatformApi;
use crate::trace::SpanFactory;

/// The team name that stands for the callers of public routes: in request fingerprints, and in the
/// fair queues of sidecars.
pub(crate) const PUBLIC_TEAM: &str = "open:all";

/// The state of an entry, shared by its tasks.
pub(crate) struct EntryState {
    /// The settings of the process.
    pub(crate) settings: EntrySettings,
    /// The clock of all timers and deadlines.
    pub(crate) clock: MonotonicClock,
    /// The configuration in force.
    pub(crate) config: ConfigManager,
    /// Admits requests until the process drains.
    pub(crate) gate: DrainGate,
    /// The connections to sidecars and other entries.
    pub(crate) links: RefCell<LinkTable>,
    /// The name under which this incarnation of the process holds leases.
    pub(crate) holder: HolderName,
    /// The live entries on the platform's instance list, including this one if it is listed.
    pub(crate) entries: RefCell<BTreeSet<InstanceId>>,
    /// The leases that this entry holds or contends for.
    pub(crate) leases: LeaseTable,
    /// The claims on idempotency keys.
    pub(crate) claims: ClaimManager,
    /// Usage aggregation and reports.
    pub(crate) usage: UsageManager,
    /// The autoscaling of the pools.
    pub(crate) fleet: FleetManager,
    /// Request counts and fleet decisions, for reports to operators.
    pub(crate) activity: ActivityLog,
    /// The teams' demand at this entry in the last heartbeat period.
    published_teams: RefCell<Vec<TeamUsage>>,
    /// The pools' demand at this entry in the current period.
    demand: RefCell<BTreeMap<PoolId, PoolDemand>>,
    /// The pools' demand at this entry in the last period.
    published_pools: RefCell<Vec<PoolDemand>>,
    /// The number of the last period that ended.
    period: Cell<u64>,
    /// The period in the last heartbeat of each peer.
    last_periods: RefCell<BTreeMap<InstanceId, u64>>,
    /// The client of the platform.
    pub(crate) platform: Rc<dyn PlatformApi>,
    /// The metrics of the process.
    pub(crate) metrics: MetricSet,
    /// The memory that the requests of callers hold.
    pub(crate) account: Rc<MemoryAccount>,
    /// Creates trace spans.
    pub(crate) spans: SpanFactory,
    /// The tables and rules that decide on requests.
    pub(crate) decisions: RefCell<ServingDecisions>,
    /// Stands for the callers of public routes in request fingerprints.
    pub(crate) public_team: TeamId,
    /// A counter whose change makes the next heartbeats go out at once.
    pub(crate) urgent: watch::Sender<u64>,
    request_count: Cell<u64>,
    /// A random number that distinguishes this incarnation of the process in request ids.
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
            account: Rc::new(MemoryAccount::new(
                settings.max_memory_mb,
                BoottimeClock,
                metrics.clone(),
            )),
            metrics,
            spans: SpanFactory::new(settings.trace_share),
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

    /// Returns a new request id, unique among all entries.
    pub(crate) fn next_request_id(&self) -> String {
        let count = self.request_count.get() + 1;
        self.request_count.set(count);
        format!("r-{:016x}-{count:x}", self.incarnation)
    }

    /// Applies the configuration in force, which has just changed, to admission and the fleet.
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

    pub(crate) fn handshake_options(&self) -> HandshakeOptions {
        HandshakeOptions {
            instance: self.settings.instance.to_string(),
            secrets: self.settings.secrets.clone(),
        }
    }

    /// Ends a heartbeat period: the teams' and pools' demand in it goes out with the next
    /// heartbeats.
    pub(crate) fn publish_demand(&self) {
        let now = self.now();
        let uses = self.decisions.borrow_mut().admission.publish(now);
        let notes = uses.into_iter().map(|used| TeamUsage {
            team: used.team,
            tokens: used.tokens,
        });
        self.published_teams.replace(notes.collect());
        let pools = std::mem::take(&mut *self.demand.borrow_mut());
        self.published_pools.replace(pools.into_values().collect());
        self.period.set(self.period.get() + 1);
    }

    /// Merges a peer's reports on requests that crash backend servers.
    pub(crate) fn merge_reports(&self, reports: &[SuspectReport]) {
        let now = self.now();
        let mut decisions = self.decisions.borrow_mut();
        for report in reports {
            decisions.suspects.merge_report(now, report.clone());
        }
    }

    /// Adds a request to the demand of its pool, whether or not it is admitted.
    pub(crate) fn record_demand(&self, plan: &RequestPlan) {
        let note = PoolDemand {
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

    /// Returns whether the heartbeat reports a period that has not been counted yet. Both ends of a
    /// connection send heartbeats, so a period arrives several times.
    fn is_new_period(&self, beat: &HeartbeatMessage) -> bool {
        let mut periods = self.last_periods.borrow_mut();
        let last = periods.insert(beat.instance.clone(), beat.period);
        last != Some(beat.period)
    }

    /// Processes another entry's heartbeat: its configuration and the demand of its last period.
    pub(crate) fn handle_heartbeat(&self, beat: &HeartbeatMessage) {
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

    /// Returns this entry's next heartbeat.
    pub(crate) fn heartbeat(&self) -> HeartbeatMessage {
        HeartbeatMessage {
            instance: self.settings.instance.clone(),
            domain: self.settings.domain.clone(),
            confirmation: self.config.confirmation(self.now()),
            load: LoadStatus::default(),
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
