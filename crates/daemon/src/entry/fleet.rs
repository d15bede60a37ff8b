//! Autoscaling of the pools: backend servers are ordered, drained and released under the fleet
//! lease.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::claim::store::{CallNumber, StoreCall};
use applefold_core::config::{PoolConfig, PoolKind, ServingConfig};
use applefold_core::fleet::{
    FleetAction, FleetDecision, FleetEvent, FleetPlanner, FleetSettings, PoolPlan,
};
use applefold_core::forecast::{DemandEvent, DemandForecast, ForecastSettings};
use applefold_core::id::{BackendId, FencingNumber, OrderId, PoolId};
use applefold_core::lease::HolderName;
use applefold_core::order::{
    JournalAction, JournalEvent, JournalOptions, OrderJournal, OrderOutcome, PlatformAction,
    PlatformOrder, PostReply,
};
use applefold_core::role::OrderAuthority;
use applefold_core::unit::{TimeSpan, TokenRate};
use applefold_wire::heartbeat::{LoadStatus, PoolDemand};

use super::drain::{self, DrainKind};
use super::leases::WorkScope;
use super::links;
use super::state::EntryState;
use crate::platform::message::{InstanceRow, InstanceState, OrderRecord};
use crate::platform::PlatformError;

const FLEET_SYSTEM: &str = "fleet";
const TICK_PERIOD: Duration = Duration::from_millis(500);

/// The fleet planner with its demand forecast, and the journal of its orders to the platform.
pub(crate) struct FleetManager {
    planner: RefCell<FleetPlanner>,
    forecast: RefCell<DemandForecast>,
    journal: RefCell<OrderJournal>,
    /// The backend servers on the platform's instance list.
    listed: RefCell<BTreeSet<BackendId>>,
}

impl FleetManager {
    pub(crate) fn new(holder: &HolderName, settings: FleetSettings) -> Self {
        let scope = WorkScope::Fleet.scope_id();
        let journal = OrderJournal::new(scope, holder.clone(), JournalOptions::default());
        Self {
            planner: RefCell::new(FleetPlanner::new(settings)),
            forecast: RefCell::new(DemandForecast::new(ForecastSettings::default())),
            journal: RefCell::new(journal),
            listed: RefCell::default(),
        }
    }
}

/// Starts to act under the fleet lease. The journal first resolves the pending orders of earlier
/// holders.
pub(crate) fn begin(state: &Rc<EntryState>, fencing: FencingNumber) {
    state.fleet.journal.borrow_mut().begin(state.now(), fencing);
}

/// Stops acting at once, since the fleet lease is lost or released.
pub(crate) fn end(state: &EntryState) {
    state.fleet.journal.borrow_mut().end();
}

/// Adds demand on a pool, at this entry or another, to the forecast.
pub(crate) fn record_demand(state: &EntryState, note: &PoolDemand) {
    let event = DemandEvent {
        pool: note.pool.clone(),
        prefill: note.prefill,
        decode: note.decode,
    };
    state.fleet.forecast.borrow_mut().handle(state.now(), event);
}

/// Applies the pools of the configuration.
pub(crate) fn apply_config(state: &EntryState, config: &ServingConfig) {
    for pool in config.pools().values() {
        handle_event(state, FleetEvent::Planned(pool_plan(pool)));
    }
}

fn pool_plan(pool: &PoolConfig) -> PoolPlan {
    let rate = |rate: Option<TokenRate>| match pool.kind {
        PoolKind::Model => rate.unwrap_or(TokenRate::ZERO),
        PoolKind::Plain => TokenRate::ZERO,
    };
    PoolPlan {
        pool: pool.id.clone(),
        min: u32::try_from(pool.min).unwrap_or(u32::MAX),
        max: u32::try_from(pool.max).unwrap_or(u32::MAX),
        domains: pool.failure_domains.clone(),
        prefill_rate: rate(pool.prefill_rate),
        decode_rate: rate(pool.decode_rate),
    }
}

/// Records a backend server on the platform's instance list.
pub(crate) fn record_listed(state: &EntryState, instance: &InstanceRow, pool: &PoolId) {
    let backend = links::backend_id(&instance.id);
    state.fleet.listed.borrow_mut().insert(backend.clone());
    let event = FleetEvent::Listed {
        backend,
        pool: pool.clone(),
        domain: instance.domain.clone(),
        leaving: instance.state == InstanceState::Leaving,
    };
    handle_event(state, event);
}

/// Removes the backend servers that are no longer on the platform's instance list.
pub(crate) fn retain_listed(state: &EntryState, listed: &BTreeSet<BackendId>) {
    let known = std::mem::take(&mut *state.fleet.listed.borrow_mut());
    for backend in known.difference(listed) {
        handle_event(state, FleetEvent::Unlisted(backend.clone()));
    }
    state.fleet.listed.replace(listed.clone());
}

/// Records a load report: an unhealthy backend server counts as lost, and an idle one in drain as
/// drained.
pub(crate) fn record_load(state: &Rc<EntryState>, backend: &BackendId, load: &LoadStatus) {
    let idle = load.running == 0 && load.waiting == 0;
    let actions = if !load.healthy {
        handle_event(state, FleetEvent::Lost(backend.clone()))
    } else if load.draining && idle {
        handle_event(state, FleetEvent::Drained(backend.clone()))
    } else {
        Vec::new()
    };
    perform(state, actions);
}

fn handle_event(state: &EntryState, event: FleetEvent) -> Vec<FleetAction> {
    let authority = authority(state);
    let mut planner = state.fleet.planner.borrow_mut();
    planner.handle(state.now(), authority, event)
}

/// Returns the authority for planning. The journal checks the lease again in the step that sends an
/// order.
fn authority(state: &EntryState) -> OrderAuthority {
    if !state.fleet.journal.borrow().is_ready() {
        return OrderAuthority::Absent;
    }
    let held = state
        .leases
        .with(WorkScope::Fleet, |lease| lease.authority(state.now()));
    match held.flatten() {
        Some(authority) => OrderAuthority::Held(authority.fencing()),
        None => OrderAuthority::Absent,
    }
}

/// Runs the timers of the forecast, the planner and the journal until the process ends.
pub(crate) async fn run(state: Rc<EntryState>) {
    loop {
        actix_rt::time::sleep(TICK_PERIOD).await;
        decide(&state, None);
        let now = state.now();
        let authority = authority(&state);
        let actions = {
            let mut forecast = state.fleet.forecast.borrow_mut();
            forecast.tick(now);
            state
                .fleet
                .planner
                .borrow_mut()
                .tick(now, authority, &forecast)
        };
        perform(&state, actions);
    }
}

fn perform(state: &Rc<EntryState>, actions: Vec<FleetAction>) {
    for action in actions {
        match action {
            FleetAction::Order { order, decision } => {
                record_decision(state, &decision, "a backend server is ordered");
                submit_order(
                    state,
                    PlatformOrder {
                        id: order,
                        action: PlatformAction::Start,
                        pool: decision.pool,
                        domain: decision.domain,
                        instance: None,
                    },
                );
            }
            FleetAction::Drain { backend, decision } => {
                record_decision(state, &decision, "a backend server is drained");
                drain::spawn(state, backend, DrainKind::Drain);
            }
            FleetAction::Undrain { backend } => drain::spawn(state, backend, DrainKind::Undrain),
            FleetAction::Release { order, backend } => release(state, order, &backend),
        }
    }
}

fn record_decision(state: &EntryState, decision: &FleetDecision, what: &str) {
    let FleetDecision {
        pool,
        domain,
        figures,
    } = decision;
    let text = format!("{what} in pool {pool}, failure domain {domain}: {figures:?}");
    log::info!("{text}");
    state
        .activity
        .record_decision(state.now(), FLEET_SYSTEM, text);
}

fn release(state: &Rc<EntryState>, order: OrderId, backend: &BackendId) {
    let row = state
        .decisions
        .borrow()
        .backends
        .get(backend)
        .map(|row| row.spec.clone());
    let (Some(spec), Ok(instance)) = (row, backend.as_str().parse()) else {
        return;
    };
    log::info!(backend = backend.as_str(); "backend server is released");
    submit_order(
        state,
        PlatformOrder {
            id: order,
            action: PlatformAction::Release,
            pool: spec.pool,
            domain: spec.domain,
            instance: Some(instance),
        },
    );
}

fn submit_order(state: &Rc<EntryState>, order: PlatformOrder) {
    decide(state, Some(JournalEvent::Submit(order)));
}

/// Passes an event, or `None` for a timer tick, to the journal and performs its actions in the same
/// step, so that the lease is held when an order is sent.
fn decide(state: &Rc<EntryState>, event: Option<JournalEvent>) {
    let now = state.now();
    let actions = state.leases.with(WorkScope::Fleet, |lease| {
        let mut journal = state.fleet.journal.borrow_mut();
        match event {
            Some(event) => journal.handle(now, lease, event),
            None => journal.tick(now, lease),
        }
    });
    for action in actions.unwrap_or_default() {
        perform_journal(state, action);
    }
}

fn perform_journal(state: &Rc<EntryState>, action: JournalAction) {
    match action {
        JournalAction::Store(call) => spawn_store(state, call),
        JournalAction::Post {
            call,
            order,
            holder,
            fencing,
        } => spawn_post(state, call, order_record(order, holder, fencing)),
        JournalAction::ReadOrders { call } => spawn_read_orders(state, call),
        JournalAction::Finished { order, outcome } => finish_order(state, &order, outcome),
    }
}

fn finish_order(state: &Rc<EntryState>, order: &PlatformOrder, outcome: OrderOutcome) {
    log::info!(order = order.id.as_str(); "order to the platform has ended: {outcome:?}");
    if outcome != OrderOutcome::Done {
        handle_event(state, FleetEvent::OrderRefused(order.id.clone()));
        return;
    }
    if order.action == PlatformAction::Start {
        handle_event(
            state,
            FleetEvent::OrderRecovered {
                order: order.id.clone(),
                pool: order.pool.clone(),
                domain: order.domain.clone(),
                age: TimeSpan::ZERO,
            },
        );
    }
}

fn order_record(order: PlatformOrder, holder: HolderName, fencing: FencingNumber) -> OrderRecord {
    OrderRecord {
        order_id: order.id,
        holder,
        fencing,
        action: order.action,
        pool: order.pool,
        domain: order.domain,
        instance: order.instance,
    }
}

fn spawn_store(state: &Rc<EntryState>, call: StoreCall) {
    let state = state.clone();
    actix_rt::spawn(async move {
        let completion = state.platform.store(call).await;
        decide(&state, Some(JournalEvent::StoreCompleted(completion)));
    });
}

fn spawn_post(state: &Rc<EntryState>, call: CallNumber, record: OrderRecord) {
    let state = state.clone();
    actix_rt::spawn(async move {
        let reply = match state.platform.order(record).await {
            Ok(()) => PostReply::Accepted,
            Err(PlatformError::Refused) => PostReply::Refused,
            Err(PlatformError::Unavailable | PlatformError::Unknown) => PostReply::Failed,
        };
        decide(&state, Some(JournalEvent::PostCompleted { call, reply }));
    });
}

fn spawn_read_orders(state: &Rc<EntryState>, call: CallNumber) {
    let state = state.clone();
    actix_rt::spawn(async move {
        let orders = state.platform.orders().await.ok();
        let orders = orders.map(|rows| rows.into_iter().map(|row| row.order_id).collect());
        decide(&state, Some(JournalEvent::OrdersRead { call, orders }));
    });
}
