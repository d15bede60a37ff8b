//! The size of a pool: what is ordered, where, and what is released.
//!
//! Ordered engines arrive too late for a swing, so orders follow the forecast
//! over the lead time, and an engine is released only once it has been idle
//! for longer than ordering it again would cost. The ways weighed are in
//! [docs/design/fleet.md](../../../../docs/design/fleet.md).

mod need;
mod planner;
mod table;

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

pub use self::need::FleetFigures;
pub use self::planner::FleetPlanner;

use crate::id::{BackendId, DomainId, OrderId, PoolId};
use crate::role::EngineReport;
use crate::unit::{TimeSpan, TokenRate};

/// A pool as the configuration has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolPlan {
    /// The pool.
    pub pool: PoolId,
    /// The fewest backend servers.
    pub min: u32,
    /// The most backend servers, those on order included.
    pub max: u32,
    /// The failure domains to spread over.
    pub domains: BTreeSet<DomainId>,
    /// Prompt tokens a second of one engine; zero for a plain pool, which stays at `min`.
    pub prefill_rate: TokenRate,
    /// Answer tokens a second of one engine at a full batch.
    pub decode_rate: TokenRate,
}

/// The constants of the fleet's decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSettings {
    /// Time from an order to the first answer of the ordered engine.
    pub lead_time: TimeSpan,
    /// How long an order counts as capacity to come while the list does not show it.
    pub order_timeout: TimeSpan,
    /// Idle time after which releasing an engine is cheaper than keeping it.
    pub break_even: TimeSpan,
    /// How long a crashed engine is given to restart before it is replaced.
    pub restart_grace: TimeSpan,
    /// How long a failure domain gets no orders after it refused one.
    pub domain_cooldown: TimeSpan,
    /// The share of its rate at which an engine still answers on time.
    pub max_utilization: f64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            lead_time: TimeSpan::from_secs(90),
            order_timeout: TimeSpan::from_secs(180),
            break_even: TimeSpan::from_secs(300),
            restart_grace: TimeSpan::from_secs(30),
            domain_cooldown: TimeSpan::from_secs(60),
            max_utilization: 0.85,
        }
    }
}

/// What the planner is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// The configuration of a pool came into force.
    Planned(PoolPlan),
    /// A pool was removed from the configuration.
    Removed(PoolId),
    /// A sidecar reported its engine.
    Reported(EngineReport),
    /// The platform's list shows an instance.
    Listed {
        /// The backend server.
        backend: BackendId,
        /// Its pool.
        pool: PoolId,
        /// Its failure domain.
        domain: DomainId,
        /// Whether the platform is about to withdraw it.
        leaving: bool,
    },
    /// The platform's list no longer shows an instance.
    Unlisted(BackendId),
    /// A backend server crashed or can no longer be reached.
    Lost(BackendId),
    /// A leaving backend server has no work left; repeated with each report while that holds.
    Drained(BackendId),
    /// The intent record of an earlier holder shows an order that may have been sent.
    OrderRecovered {
        /// The order.
        order: OrderId,
        /// The pool it is for.
        pool: PoolId,
        /// The failure domain it is for.
        domain: DomainId,
        /// How long ago it was sent.
        age: TimeSpan,
    },
    /// The platform refused an order; nothing will come of it.
    OrderRefused(OrderId),
}

/// A decision together with the figures it was taken on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetDecision {
    /// The pool.
    pub pool: PoolId,
    /// The failure domain.
    pub domain: DomainId,
    /// What the decision was taken on.
    pub figures: FleetFigures,
}

/// What the process with authority carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Order one backend server.
    Order {
        /// Unique to this decision, so that a repeat is recognizable.
        order: OrderId,
        /// Why.
        decision: FleetDecision,
    },
    /// Give the backend server no more work, and report when it has none left.
    Drain {
        /// The backend server.
        backend: BackendId,
        /// Why.
        decision: FleetDecision,
    },
    /// Give the backend server work again.
    Undrain {
        /// The backend server.
        backend: BackendId,
    },
    /// Release the drained backend server.
    Release {
        /// Unique to this decision, so that a repeat is recognizable.
        order: OrderId,
        /// The backend server.
        backend: BackendId,
    },
}
