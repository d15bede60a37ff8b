//! The state that the tasks of an entry share. All of them run on one thread.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use applefold_core::code::ResultCode;
use applefold_core::direct::{
    ConfigArchive, DurationTable, HedgeShare, PhasePlanner, PlacementPolicy, RuleSet, RunCounter,
    SendEvent, ServerTable, WallClock, WindowSealer,
};
use applefold_core::drain::{DrainOptions, DrainPhase, DrainState};
use applefold_core::health::{HealthAction, HealthPolicy, HealthSample, HealthTracker};
use applefold_core::id::{BackendId, InstanceId, Revision, ServiceId};
use applefold_core::lease::HolderName;
use applefold_core::quarantine::LifeSigns;
use applefold_core::retry::{RetryBudget, RetryPolicy};
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_platform::PlatformSettings;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::account::MemoryAccount;
use crate::clock::BoottimeClock;
use crate::gateway::backend_list::BackendList;
use crate::gateway::buffers::BufferBudget;
use crate::gateway::duty::DutyLease;
use crate::gateway::hedges::HedgeDesk;
use crate::gateway::limits::LimitTable;
use crate::gateway::notices::NoticeTable;
use crate::gateway::origins::StreamOrigins;
use crate::gateway::peers::{reader_name_rank, PeerTable};
use crate::gateway::permits::PermitDesk;
use crate::gateway::pool::ConnectionPool;
use crate::gateway::prefills::PrefillQueue;
use crate::gateway::quotas::QuotaDesk;
use crate::gateway::replicas::ReplicaSet;
use crate::gateway::speeds::SpeedQueue;
use crate::gateway::store::StoreClient;
use crate::gateway::suspect_parts::SuspectParts;
use crate::gateway::suspects::SuspectTracker;
use crate::logging::unix_micros;
use crate::metrics::MetricSet;

/// The share of the overall retry budget that the entries divide among themselves, in percent. The
/// rest covers replaced entries, which start with a full budget.
const RETRY_PLAN_PERCENT: f64 = 70.0;
/// The number of entries assumed until the membership list has been read.
const ASSUMED_ENTRIES: u64 = 12;
/// The share of the shutdown grace period, in percent, that is left to the balancer for noticing
/// that the process is not ready.
const LAME_DUCK_PERCENT: u64 = 35;
/// The time after a common start by which entries have received gossip of each other.
const DISCOVERY_TIME: TimeSpan = TimeSpan::from_secs(3);
/// The time after its start by which an entry has received gossip of others that already run.
const FIRST_GOSSIP_TIME: TimeSpan = TimeSpan::from_secs(1);
/// The number of usage windows whose counts an entry keeps.
const KEPT_WINDOWS: u64 = 8;
/// The time after a window's end by which all entries have published their counts if nothing
/// fails.
const SETTLE_TIME: TimeSpan = TimeSpan::from_millis(500);
/// The difference between the instance's clock and the cluster time above which it is logged.
const MAX_CLOCK_ERROR: TimeSpan = TimeSpan::from_millis(250);
/// A silence timeout that never fires, since a healthy backend server may be idle for long.
const NO_SILENCE_TIMEOUT: TimeSpan = TimeSpan::from_secs(86_400);
/// The longest backoff before an ejected backend server is probed again.
const MAX_PROBE_BACKOFF: TimeSpan = TimeSpan::from_secs(4);

/// The state that the tasks of an entry share.
pub(crate) struct GatewayState {
    settings: RefCell<Rc<PlatformSettings>>,
    pub(crate) clock: BoottimeClock,
    pub(crate) metrics: MetricSet,
    started_at: TimePoint,
    /// The process run: its start time in milliseconds since the Unix epoch. It distinguishes
    /// successive processes on one instance.
    pub(crate) run: u64,
    pub(crate) store: StoreClient,
    pub(crate) pool: ConnectionPool,
    pub(crate) policy: PlacementPolicy,
    pub(crate) rules: RefCell<Option<Rc<RuleSet>>>,
    pub(crate) table: RefCell<ServerTable>,
    /// The memory and descriptors of callers' connections.
    pub(crate) account: Rc<MemoryAccount>,
    /// The memory for responses that are buffered until they are complete.
    pub(crate) buffers: BufferBudget,
    /// The freshness of the replicas of what all entries read from the store.
    pub(crate) replicas: ReplicaSet,
    pub(crate) backend_list: BackendList,
    /// Whether the configuration has been as new as that of every peer.
    config_current: Cell<bool>,
    /// Whether the backend list has been read once.
    pub(crate) list_loaded: Cell<bool>,
    pub(crate) drain: RefCell<DrainState>,
    /// How long complete requests took, by route.
    pub(crate) durations: RefCell<DurationTable>,
    pub(crate) hedges: HedgeDesk,
    pub(crate) counter: RefCell<RunCounter>,
    pub(crate) suspects: SuspectTracker,
    pub(crate) suspect_parts: SuspectParts,
    /// The signs of life that disprove suspected crashes.
    pub(super) life_signs: RefCell<LifeSigns>,
    /// Notices that backend servers sent to this entry, for gossip.
    pub(crate) notices: RefCell<NoticeTable>,
    /// Rate limits that backend servers named to this entry, for gossip.
    pub(crate) limits: RefCell<LimitTable>,
    pub(crate) permits: PermitDesk,
    pub(crate) quotas: QuotaDesk,
    /// The streams that began lately, which callers may resume.
    pub(crate) origins: StreamOrigins,
    gossip_socket: OnceCell<Rc<UdpSocket>>,
    pub(crate) duty: DutyLease,
    pub(crate) sealer: RefCell<WindowSealer>,
    pub(crate) phases: RefCell<PhasePlanner>,
    /// The number of requests that are being read or served, plus the connections that still wait
    /// for their first request.
    pub(crate) arriving: Cell<usize>,
    /// The phase of the shutdown, for the connections of callers.
    pub(crate) stop_phase: watch::Sender<DrainPhase>,
    health: RefCell<HealthTracker>,
    budgets: RefCell<BTreeMap<ServiceId, RetryBudget>>,
    entry_count: Cell<u64>,
    pub(crate) peers: RefCell<PeerTable>,
    /// Prefills that engines have done for this entry, for gossip.
    pub(crate) prefills: RefCell<PrefillQueue>,
    /// Times to first tokens that this entry has observed, for gossip.
    pub(crate) speeds: RefCell<SpeedQueue>,
    /// The encoded configuration in force, and the parts of a newer one.
    pub(crate) config: RefCell<ConfigArchive>,
    wall_clock: RefCell<WallClock>,
    /// Whether the instance's clock differs from the cluster time by more than
    /// [`MAX_CLOCK_ERROR`].
    clock_skewed: Cell<bool>,
}

impl GatewayState {
    pub(crate) fn new(settings: PlatformSettings, hedge_share: HedgeShare) -> Self {
        let metrics = MetricSet::start();
        let clock = BoottimeClock;
        let drain = DrainOptions {
            lame_duck: TimeSpan(settings.shutdown_grace.0 * LAME_DUCK_PERCENT / 100),
            refusal: ResultCode::InstanceDraining,
            work_limit: Some(super::stop::work_limit(settings.shutdown_grace)),
        };
        let health = HealthPolicy {
            silence_timeout: NO_SILENCE_TIMEOUT,
            max_backoff: MAX_PROBE_BACKOFF,
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
            stop_phase: watch::Sender::new(DrainPhase::Serving),
            store: StoreClient::new(settings.store, clock, metrics.clone()),
            pool: ConnectionPool::default(),
            policy: PlacementPolicy::default(),
            rules: RefCell::new(None),
            table: RefCell::default(),
            account: Rc::new(MemoryAccount::new(
                settings.max_memory_mb,
                clock,
                metrics.clone(),
            )),
            buffers: BufferBudget::new(settings.max_memory_mb),
            replicas: ReplicaSet::new(settings.heartbeat_interval),
            backend_list: BackendList::default(),
            config_current: Cell::new(false),
            list_loaded: Cell::new(false),
            drain: RefCell::new(DrainState::new(drain)),
            durations: RefCell::default(),
            hedges: HedgeDesk::new(hedge_share, metrics.hedges.clone()),
            counter: RefCell::new(RunCounter::new(settings.usage_window, KEPT_WINDOWS)),
            suspects: SuspectTracker::new(metrics.clone()),
            suspect_parts: SuspectParts::new(metrics.clone()),
            life_signs: RefCell::default(),
            notices: RefCell::default(),
            limits: RefCell::default(),
            permits: PermitDesk::default(),
            quotas: QuotaDesk::default(),
            origins: StreamOrigins::default(),
            gossip_socket: OnceCell::new(),
            health: RefCell::new(HealthTracker::new(health)),
            budgets: RefCell::default(),
            entry_count: Cell::new(ASSUMED_ENTRIES),
            peers: RefCell::default(),
            prefills: RefCell::default(),
            speeds: RefCell::default(),
            config: RefCell::default(),
            wall_clock: RefCell::new(WallClock::new(clock.now(), since_epoch)),
            clock_skewed: Cell::new(false),
            clock,
            metrics,
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Returns the address on which this entry receives gossip and serves its peers.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        let settings = self.settings();
        SocketAddr::new(settings.ip, *settings.peer_ports.start())
    }

    /// Sets the socket for messages to single entries, once it is bound.
    pub(crate) fn set_gossip_socket(&self, socket: Rc<UdpSocket>) {
        if self.gossip_socket.set(socket).is_err() {
            log::warn!("gossip socket was bound twice; keeping the first one");
        }
    }

    /// Returns the socket for messages to single entries, if it is bound.
    pub(crate) fn gossip_socket(&self) -> Option<&Rc<UdpSocket>> {
        self.gossip_socket.get()
    }

    /// Returns the number of entries by the membership list, this one included.
    pub(crate) fn entry_count(&self) -> u64 {
        self.entry_count.get()
    }

    /// Returns this entry's rank in the read order: the number of live entries before it.
    pub(crate) fn read_rank(&self) -> usize {
        let now = self.now();
        let own = reader_name_rank(&self.settings().instance);
        match self.peers.borrow().read_rank(own, now) {
            Some(rank) => rank,
            // Shortly after the start, no gossip of other new entries may have arrived.
            None if now.since(self.started_at) < DISCOVERY_TIME => usize::MAX,
            None => 0,
        }
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<PlatformSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies new settings, as far as that is possible without a restart.
    pub(crate) fn replace_settings(&self, settings: PlatformSettings) {
        self.store.set_address(settings.store);
        *self.settings.borrow_mut() = Rc::new(settings);
        self.apply_retry_policy();
    }

    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns the time since the Unix epoch that the entries agree on, by which usage windows are
    /// cut. Logs when the instance's clock starts or ceases to deviate from it.
    pub(crate) fn cluster_time(&self) -> TimeSpan {
        let now = self.now();
        let local = TimeSpan(unix_micros());
        let mut wall = self.wall_clock.borrow_mut();
        wall.observe(now, local);
        let agreed = wall.median(now);
        let off_ms = agreed.0.abs_diff(local.0) / 1_000;
        let off = off_ms > MAX_CLOCK_ERROR.as_millis();
        if self.clock_skewed.replace(off) != off {
            log::warn!(off_ms, off;
                "offset of the instance's clock from the cluster time crossed its limit");
        }
        agreed
    }

    /// Returns this process's own time since the Unix epoch, as sent to peers.
    pub(crate) fn local_time(&self) -> TimeSpan {
        self.wall_clock.borrow().local(self.now())
    }

    /// Records the time since the Unix epoch that a peer has sent.
    pub(crate) fn note_peer_time(&self, peer: &InstanceId, sent_at: TimeSpan) {
        let now = self.now();
        self.wall_clock.borrow_mut().record_peer(peer, sent_at, now);
    }

    /// Returns the rules in force, if any are known.
    pub(crate) fn rules(&self) -> Option<Rc<RuleSet>> {
        self.rules.borrow().clone()
    }

    /// Returns the configuration revision in force; 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        let rules = self.rules.borrow();
        rules.as_ref().map_or(Revision(0), |rules| rules.revision)
    }

    /// Returns whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_config_current() && self.list_loaded.get() && !self.drain.borrow().is_stopping()
    }

    /// Returns whether the configuration has been as new as that of every peer since the start. The
    /// store may hold an older one after it came back from a copy, so a starting entry waits for
    /// the first gossip.
    pub(crate) fn is_config_current(&self) -> bool {
        if self.config_current.get() {
            return true;
        }
        let now = self.now();
        let peers = self.peers.borrow();
        let heard = peers.has_live(now) || now.since(self.started_at) >= FIRST_GOSSIP_TIME;
        let newer = peers.config_holders(self.revision(), now);
        let current = self.rules.borrow().is_some() && heard && newer.is_none();
        self.config_current.set(current);
        current
    }

    /// Sets the number of entries, which share the retry budget.
    pub(crate) fn set_entry_count(&self, entries: u64) {
        if self.entry_count.replace(entries.max(1)) != entries {
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

    /// Calls `act` with the retry budget of a service.
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
        let burst = settings.retry_slack as f64 * plan / self.entry_count.get() as f64;
        RetryPolicy {
            share_permille: share as u64,
            burst: (burst as u64).max(1),
            ..RetryPolicy::default()
        }
    }

    /// Starts to track the health of a backend server.
    pub(crate) fn watch_health(&self, id: &BackendId, service: &ServiceId) {
        let Ok(pool) = service.as_str().parse() else {
            log::warn!(backend = id.as_str();
                "health not tracked: the service name is not a valid pool name");
            return;
        };
        self.health.borrow_mut().add(id.clone(), pool, self.now());
    }

    /// Stops tracking the health of a backend server.
    pub(crate) fn forget_health(&self, id: &BackendId) {
        self.hedges.with(|controller| controller.remove_backend(id));
        let action = self.health.borrow_mut().remove(id);
        self.act_on_health(action);
    }

    /// Records the health sample of an attempt at a backend server.
    pub(crate) fn note_health(&self, id: &BackendId, sample: HealthSample) {
        let action = self.health.borrow_mut().record(id, sample, self.now());
        self.act_on_health(action);
    }

    /// Runs the timers of health tracking and of crash suspicions.
    pub(crate) fn tick_health(&self) {
        let actions = self.health.borrow_mut().tick(self.now());
        for action in actions {
            self.act_on_health(Some(action));
        }
        self.settle_suspicions();
        self.suspects.expire(self.now());
        self.suspect_parts.expire(self.now());
        self.life_signs.borrow_mut().tick(self.now());
    }

    /// Logs a health action and applies it to the send state. A probe is not sent from here: the
    /// next request that is placed on the backend server serves as one.
    fn act_on_health(&self, action: Option<HealthAction>) {
        let Some(action) = action else {
            return;
        };
        let (id, text) = match &action {
            HealthAction::Eject(id, _) => (id, "backend server ejected"),
            HealthAction::Probe(id) => (id, "backend server due for a probe"),
            HealthAction::Reinstate(id) => (id, "backend server reinstated"),
        };
        let reason = match &action {
            HealthAction::Eject(_, reason) => format!("{reason:?}"),
            HealthAction::Probe(_) | HealthAction::Reinstate(_) => String::new(),
        };
        log::info!(backend = id.as_str(), reason; "{text}");
        let event = match &action {
            HealthAction::Eject(..) => SendEvent::Ejected,
            HealthAction::Probe(_) => SendEvent::ProbeDue,
            HealthAction::Reinstate(_) => SendEvent::Reinstated,
        };
        self.apply_send_event(id, event, "health");
    }
}
