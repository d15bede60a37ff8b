//! What the tasks of an entry share; everything lives on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use applefold_core::code::ResultCode;
use applefold_core::direct::{
    PhasePlanner, PlacementPolicy, RuleSet, RunCounter, SendEvent, ServerTable, WallClock,
    WindowSealer,
};
use applefold_core::drain::{DrainOptions, DrainState};
use applefold_core::health::{HealthAction, HealthPolicy, HealthSample, HealthTracker};
use applefold_core::id::{BackendId, InstanceId, Revision, ServiceId};
use applefold_core::lease::HolderName;
use applefold_core::retry::{RetryBudget, RetryPolicy};
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_platform::PlatformSettings;
use bytes::Bytes;
use tokio::sync::watch;

use crate::clock::BoottimeClock;
use crate::gateway::backend_list::BackendList;
use crate::gateway::duty::DutyLease;
use crate::gateway::notices::NoticeTable;
use crate::gateway::peers::{reader_rank, PeerTable};
use crate::gateway::pool::ConnectionPool;
use crate::gateway::prefills::PrefillQueue;
use crate::gateway::replicas::ReplicaSet;
use crate::gateway::store::StoreClient;
use crate::gateway::suspects::SuspectTracker;
use crate::logging::unix_micros;
use crate::metrics::MetricSet;

/// The part of the common retry budget that the entries together plan to use, in
/// percent; the rest covers entries that are replaced and begin with a full budget.
const RETRY_PLAN_PERCENT: f64 = 70.0;
/// Entries assumed until the list of entries has been read.
const ASSUMED_ENTRIES: u64 = 12;
/// The part of the grace period in which the balancer learns that the process stops.
const LAME_DUCK_PERCENT: u64 = 35;
/// How long after their common start entries have heard of each other.
const MEETING_TIME: TimeSpan = TimeSpan::from_secs(3);
/// How many usage windows an entry remembers.
const KEPT_WINDOWS: u64 = 8;
/// How soon after a window's end entries have told their counts if nothing fails.
const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(500);
/// How far the instance's time of day may be from that of the entries before it is logged.
const MAX_CLOCK_ERROR: TimeSpan = TimeSpan::from_millis(250);
/// A backend server may be idle for long, so silence alone says nothing here.
const NO_SILENCE: TimeSpan = TimeSpan::from_secs(86_400);
/// The longest pause before a backend server that failed is tried again.
const MAX_PROBE_PAUSE: TimeSpan = TimeSpan::from_secs(4);

/// What the tasks of an entry share.
pub(crate) struct GatewayState {
    settings: RefCell<Rc<PlatformSettings>>,
    pub(crate) clock: BoottimeClock,
    pub(crate) metrics: MetricSet,
    started_at: TimePoint,
    /// Tells two runs of a process on one instance apart.
    pub(crate) run: u64,
    pub(crate) store: StoreClient,
    pub(crate) pool: ConnectionPool,
    pub(crate) policy: PlacementPolicy,
    pub(crate) rules: RefCell<Option<Rc<RuleSet>>>,
    pub(crate) table: RefCell<ServerTable>,
    /// How far the copies of what all entries read go.
    pub(crate) replicas: ReplicaSet,
    pub(crate) backend_list: BackendList,
    /// Whether the list of backend servers has been read once.
    pub(crate) list_loaded: Cell<bool>,
    pub(crate) drain: RefCell<DrainState>,
    pub(crate) counter: RefCell<RunCounter>,
    pub(crate) suspects: SuspectTracker,
    /// What backend servers have said of themselves, to be told to the other entries.
    pub(crate) notices: RefCell<NoticeTable>,
    pub(crate) duty: DutyLease,
    pub(crate) sealer: RefCell<WindowSealer>,
    pub(crate) phases: RefCell<PhasePlanner>,
    /// Requests that are being read or served, and connections whose first one has not come.
    pub(crate) arriving: Cell<usize>,
    /// Tells idle connections of callers to close.
    pub(crate) closing: watch::Sender<bool>,
    health: RefCell<HealthTracker>,
    budgets: RefCell<BTreeMap<ServiceId, RetryBudget>>,
    entries: Cell<u64>,
    pub(crate) peers: RefCell<PeerTable>,
    /// Prompts that engines have read for this entry, to be told to the others.
    pub(crate) prefills: RefCell<PrefillQueue>,
    /// The bytes of the configuration in force, for entries that cannot read them from the store.
    pub(crate) config: RefCell<Option<Bytes>>,
    wall_clock: RefCell<WallClock>,
    clock_off: Cell<bool>,
}

impl GatewayState {
    pub(crate) fn new(settings: PlatformSettings) -> Self {
        let metrics = MetricSet::start();
        let clock = BoottimeClock;
        let drain = DrainOptions {
            lame_duck: TimeSpan(settings.shutdown_grace.0 * LAME_DUCK_PERCENT / 100),
            refusal: ResultCode::InstanceDraining,
        };
        let health = HealthPolicy {
            silence_timeout: NO_SILENCE,
            max_backoff: MAX_PROBE_PAUSE,
            ..HealthPolicy::default()
        };
        let since_epoch = TimeSpan(unix_micros());
        let run = since_epoch.as_millis();
        let holder = HolderName::new(&settings.instance, run);
        let sealer = WindowSealer::new(
            settings.usage_window,
            SETTLE_TIME,
            settings.usage_report_limit,
        );
        Self {
            started_at: clock.now(),
            run,
            duty: DutyLease::new(holder, settings.duty_lease),
            sealer: RefCell::new(sealer),
            phases: RefCell::default(),
            arriving: Cell::new(0),
            closing: watch::Sender::new(false),
            store: StoreClient::new(settings.store, clock, metrics.clone()),
            pool: ConnectionPool::default(),
            policy: PlacementPolicy::default(),
            rules: RefCell::new(None),
            table: RefCell::default(),
            replicas: ReplicaSet::default(),
            backend_list: BackendList::default(),
            list_loaded: Cell::new(false),
            drain: RefCell::new(DrainState::new(drain)),
            counter: RefCell::new(RunCounter::new(settings.usage_window, KEPT_WINDOWS)),
            suspects: SuspectTracker::new(metrics.clone()),
            notices: RefCell::default(),
            health: RefCell::new(HealthTracker::new(health)),
            budgets: RefCell::default(),
            entries: Cell::new(ASSUMED_ENTRIES),
            peers: RefCell::default(),
            prefills: RefCell::default(),
            config: RefCell::default(),
            wall_clock: RefCell::new(WallClock::new(clock.now(), since_epoch)),
            clock_off: Cell::new(false),
            clock,
            metrics,
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Returns where this entry listens to the others.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        let settings = self.settings();
        SocketAddr::new(settings.ip, *settings.peer_ports.start())
    }

    /// Returns how many entries that speak ask the store before this one.
    pub(crate) fn reader_place(&self) -> usize {
        let now = self.now();
        let rank = reader_rank(&self.settings().instance);
        match self.peers.borrow().place(rank, now) {
            Some(place) => place,
            // Others that have started too have not been heard yet.
            None if now.since(self.started_at) < MEETING_TIME => usize::MAX,
            None => 0,
        }
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<PlatformSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts other settings in force, as far as a running process can.
    pub(crate) fn replace_settings(&self, settings: PlatformSettings) {
        self.store.set_address(settings.store);
        *self.settings.borrow_mut() = Rc::new(settings);
        self.apply_retry_policy();
    }

    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns the time since the epoch that the entries agree on, which windows go by.
    pub(crate) fn cluster_time(&self) -> TimeSpan {
        let now = self.now();
        let stated = TimeSpan(unix_micros());
        let mut wall = self.wall_clock.borrow_mut();
        wall.observe(now, stated);
        let agreed = wall.agreed(now);
        let off_ms = agreed.0.abs_diff(stated.0) / 1_000;
        let off = off_ms > MAX_CLOCK_ERROR.as_millis();
        if self.clock_off.replace(off) != off {
            log::warn!(off_ms, off; "the instance's time of day and that of the entries");
        }
        agreed
    }

    /// Returns this process's own time since the epoch, as it is told to others.
    pub(crate) fn local_time(&self) -> TimeSpan {
        self.wall_clock.borrow().own(self.now())
    }

    /// Takes in the time since the epoch that another entry has told.
    pub(crate) fn note_peer_time(&self, peer: &InstanceId, told: TimeSpan) {
        let now = self.now();
        self.wall_clock.borrow_mut().note_peer(peer, told, now);
    }

    /// Returns the rules in force, if any are known.
    pub(crate) fn rules(&self) -> Option<Rc<RuleSet>> {
        self.rules.borrow().clone()
    }

    /// Returns the revision in force, for logs.
    pub(crate) fn revision(&self) -> Revision {
        let rules = self.rules.borrow();
        rules.as_ref().map_or(Revision(0), |rules| rules.revision)
    }

    /// Returns whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        self.rules.borrow().is_some()
            && self.list_loaded.get()
            && !self.drain.borrow().is_stopping()
    }

    /// Notes how many entries there are, which divides the retry budget.
    pub(crate) fn set_entry_count(&self, entries: u64) {
        if self.entries.replace(entries.max(1)) != entries {
            log::info!(entries; "number of entries changed");
            self.apply_retry_policy();
        }
    }

    fn apply_retry_policy(&self) {
        let policy = self.retry_policy();
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_policy(policy);
        }
    }

    /// Lets `act` use the retry budget of a service.
    pub(crate) fn with_budget<T, F>(&self, service: &ServiceId, act: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone());
        act(budget.or_insert_with(|| RetryBudget::after_restart(self.retry_policy())))
    }

    fn retry_policy(&self) -> RetryPolicy {
        let plan = RETRY_PLAN_PERCENT / 100.0;
        let settings = self.settings();
        let share = settings.retry_ratio * plan * 1_000.0;
        let burst = settings.retry_slack as f64 * plan / self.entries.get() as f64;
        RetryPolicy {
            share_permille: share as u64,
            burst: (burst as u64).max(1),
            ..RetryPolicy::default()
        }
    }

    /// Begins to follow the health of a backend server.
    pub(crate) fn watch_health(&self, id: &BackendId, service: &ServiceId) {
        let Ok(pool) = service.as_str().parse() else {
            log::warn!(backend = id.as_str(); "the service's name cannot name a pool");
            return;
        };
        self.health.borrow_mut().add(id.clone(), pool, self.now());
    }

    /// Forgets the health of a backend server.
    pub(crate) fn forget_health(&self, id: &BackendId) {
        let action = self.health.borrow_mut().remove(id);
        self.act_on_health(action);
    }

    /// Takes in what an attempt showed of a backend server.
    pub(crate) fn note_health(&self, id: &BackendId, sample: HealthSample) {
        let action = self.health.borrow_mut().record(id, sample, self.now());
        self.act_on_health(action);
    }

    /// Does what is timed about health.
    pub(crate) fn tick_health(&self) {
        let actions = self.health.borrow_mut().tick(self.now());
        for action in actions {
            self.act_on_health(Some(action));
        }
        self.suspects.expire(self.now());
    }

    /// A probe is the next request that falls to the backend server.
    fn act_on_health(&self, action: Option<HealthAction>) {
        let Some(action) = action else {
            return;
        };
        let (id, text) = match &action {
            HealthAction::Eject(id, _) => (id, "backend server is left out"),
            HealthAction::Probe(id) => (id, "backend server is tried again"),
            HealthAction::Reinstate(id) => (id, "backend server is taken back"),
        };
        let reason = match &action {
            HealthAction::Eject(_, reason) => format!("{reason:?}"),
            HealthAction::Probe(_) | HealthAction::Reinstate(_) => String::new(),
        };
        log::info!(backend = id.as_str(), reason; "{text}");
        let event = match &action {
            HealthAction::Eject(..) => SendEvent::LeftOut,
            HealthAction::Probe(_) => SendEvent::ProbeDue,
            HealthAction::Reinstate(_) => SendEvent::TakenBack,
        };
        self.apply_send_event(id, event, "health");
    }
}
