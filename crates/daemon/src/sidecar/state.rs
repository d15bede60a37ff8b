//! The state of a sidecar.

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
use super::scheduler::SlotScheduler;
use super::suspects::SuspectTracker;
use super::SidecarSettings;
use crate::clock::MonotonicClock;
use crate::drain::DrainGate;
use crate::entry::PUBLIC_TEAM;
use crate::metrics::MetricSet;
use crate::platform::http::HttpPlatform;
use crate::platform::PlatformApi;
use crate::trace::SpanFactory;

/// The retry delay in refusals that may not apply at another instance.
const RETRY_DELAY: TimeSpan = TimeSpan::from_secs(1);

/// The state that the tasks of a sidecar share.
pub(crate) struct SidecarState {
    pub(crate) settings: SidecarSettings,
    pub(crate) clock: MonotonicClock,
    pub(crate) config: ConfigCell,
    pub(crate) gate: DrainGate,
    pub(crate) scheduler: Rc<SlotScheduler>,
    /// The team of callers of public routes.
    pub(crate) public_team: TeamId,
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
            scheduler: Rc::new(SlotScheduler::new(settings.slots)),
            public_team: PUBLIC_TEAM
                .parse()
                .expect("the public team is a valid identifier"),
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

    /// Records whether the backend server responds.
    pub(crate) fn set_healthy(&self, healthy: bool) {
        let load = self.load.get();
        self.load.set(LoadStatus { healthy, ..load });
    }

    /// Returns the load to report to entries: that of the backend server and of this sidecar.
    pub(crate) fn load_status(&self) -> LoadStatus {
        let load = self.load.get();
        LoadStatus {
            running: self.scheduler.running() as u32,
            waiting: self.scheduler.waiting() as u32,
            waiting_tokens: load.waiting_tokens.max(self.scheduler.prefill_backlog()),
            draining: self.gate.is_closing(),
            ..load
        }
    }

    /// Returns the heartbeat to reply with.
    pub(crate) fn heartbeat(&self) -> HeartbeatMessage {
        let now = self.now();
        HeartbeatMessage {
            instance: self.settings.instance.clone(),
            domain: self.settings.domain.clone(),
            confirmation: self.config.confirmation(),
            load: self.load_status(),
            teams: Vec::new(),
            pools: Vec::new(),
            period: 0,
            suspects: self.suspects.next_reports(now),
            stopping: self.gate.is_closing(),
        }
    }

    /// Authorizes a request against this sidecar's own configuration, so that a withdrawn key is
    /// refused even if the entry has an older configuration.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub(crate) fn check(&self, dispatch: &DispatchMessage) -> Result<(), CallRefusal> {
        self.check_revision(dispatch)?;
        self.config.with(|config| {
            let service = config.services().get(&dispatch.service);
            let mismatch = CallRefusal::retryable(ResultCode::BackendMismatch, RETRY_DELAY);
            let service = service.ok_or(mismatch)?;
            if service.pool != self.settings.pool {
                return Err(mismatch);
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

    /// Refuses a request while this sidecar has no configuration, or an older one than the entry.
    /// It cannot authorize the request then.
    fn check_revision(&self, dispatch: &DispatchMessage) -> Result<(), CallRefusal> {
        let revision = self.config.revision();
        let known = revision > Revision::default();
        if known && revision >= dispatch.confirmation.revision {
            return Ok(());
        }
        Err(CallRefusal::retryable(
            ResultCode::ConfigUnconfirmed,
            RETRY_DELAY,
        ))
    }
}
