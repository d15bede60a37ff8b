//! What a sidecar knows.

use std::cell::Cell;
use std::rc::Rc;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::config::KeyLookup;
use applefold_core::drain::DrainOptions;
use applefold_core::id::{Revision, TeamId};
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_core::usage::MeterName;
use applefold_wire::dispatch::DispatchMessage;
use applefold_wire::heartbeat::{HeartbeatMessage, LoadStatus};
use rand::Rng;

use super::backend::BackendClient;
use super::config::ConfigCell;
use super::meter::MeterManager;
use super::orders::OrderManager;
use super::suspects::SuspectTracker;
use super::turn::TurnTable;
use super::SidecarSettings;
use crate::clock::MonotonicClock;
use crate::drain::DrainGate;
use crate::entry::PUBLIC_TEAM;
use crate::metrics::MetricSet;
use crate::platform::http::HttpPlatform;
use crate::platform::PlatformApi;
use crate::trace::SpanFactory;

/// When a caller may try again after a refusal that another instance can turn.
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);

/// The state of a sidecar, shared by its tasks.
pub(crate) struct SidecarState {
    pub(crate) settings: SidecarSettings,
    pub(crate) clock: MonotonicClock,
    pub(crate) config: ConfigCell,
    pub(crate) gate: DrainGate,
    pub(crate) turns: Rc<TurnTable>,
    /// Stands for callers of routes open to all.
    pub(crate) open_team: TeamId,
    pub(crate) backend: BackendClient,
    pub(crate) load: Cell<LoadStatus>,
    pub(crate) meter: MeterManager,
    pub(crate) orders: OrderManager,
    pub(crate) platform: Rc<dyn PlatformApi>,
    pub(crate) suspects: SuspectTracker,
    pub(crate) metrics: MetricSet,
    pub(crate) spans: SpanFactory,
}

impl SidecarState {
    pub(crate) fn new(settings: SidecarSettings) -> Self {
        let name = MeterName::new(&settings.instance, rand::thread_rng().gen());
        let clock = MonotonicClock::start();
        let metrics = MetricSet::start();
        let instance = settings.instance.clone();
        let platform = HttpPlatform::new(settings.platform, instance, metrics.clone());
        Self {
            clock,
            orders: OrderManager::new(clock.now()),
            platform: Rc::new(platform),
            config: ConfigCell::new(),
            gate: DrainGate::new(DrainOptions::sidecar()),
            turns: Rc::new(TurnTable::new(settings.slots)),
            open_team: PUBLIC_TEAM.parse().expect("the name is an identifier"),
            backend: BackendClient::new(settings.backend),
            load: Cell::new(LoadStatus::default()),
            suspects: SuspectTracker::new(&settings.instance),
            meter: MeterManager::new(name, settings.usage_window),
            metrics,
            spans: SpanFactory::new(settings.trace_share),
            settings,
        }
    }

    pub(crate) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Notes whether the backend server answers.
    pub(crate) fn note_answering(&self, healthy: bool) {
        let load = self.load.get();
        self.load.set(LoadStatus { healthy, ..load });
    }

    /// Returns the load as entries should see it.
    pub(crate) fn load_note(&self) -> LoadStatus {
        let load = self.load.get();
        LoadStatus {
            running: self.turns.running() as u32,
            waiting: self.turns.waiting() as u32,
            waiting_tokens: load.waiting_tokens.max(self.turns.ahead()),
            draining: self.gate.is_closing(),
            ..load
        }
    }

    pub(crate) fn beat(&self) -> HeartbeatMessage {
        let now = self.now();
        HeartbeatMessage {
            instance: self.settings.instance.clone(),
            domain: self.settings.domain.clone(),
            confirmation: self.config.confirmation(),
            load: self.load_note(),
            teams: Vec::new(),
            pools: Vec::new(),
            period: 0,
            suspects: self.suspects.news(now),
            stopping: self.gate.is_closing(),
        }
    }

    /// Checks a request against this process's own configuration, so that an
    /// entry that is behind cannot let a withdrawn key through.
    pub(crate) fn check(&self, dispatch: &DispatchMessage) -> Result<(), CallRefusal> {
        self.check_known(dispatch)?;
        self.config.with(|config| {
            let service = config.services().get(&dispatch.service);
            let unknown = CallRefusal::retryable(ResultCode::BackendMismatch, RETRY_SOON);
            let service = service.ok_or(unknown)?;
            if service.pool != self.settings.pool {
                return Err(unknown);
            }
            if service.open {
                return Ok(());
            }
            let refused = CallRefusal::permanent(ResultCode::KeyRefused);
            let key = dispatch.key.as_ref().ok_or(refused)?;
            let key = match config.key_by_id(key) {
                KeyLookup::Active(key) => key,
                KeyLookup::Unknown | KeyLookup::Withdrawn(_) => return Err(refused),
            };
            let team = dispatch.team.as_ref().ok_or(refused)?;
            if key.team != *team {
                return Err(refused);
            }
            if !service.allows(team) {
                return Err(CallRefusal::permanent(ResultCode::TeamForbidden));
            }
            Ok(())
        })
    }

    /// A process that knows no configuration, or an older one than the entry
    /// that asks, cannot decide.
    fn check_known(&self, dispatch: &DispatchMessage) -> Result<(), CallRefusal> {
        let revision = self.config.revision();
        let known = revision > Revision::default();
        if known && revision >= dispatch.confirmation.revision {
            return Ok(());
        }
        Err(CallRefusal::retryable(
            ResultCode::ConfigUnconfirmed,
            RETRY_SOON,
        ))
    }
}
