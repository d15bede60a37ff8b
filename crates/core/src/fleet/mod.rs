//! Autoscaling of pools: when to order backend servers, in which failure domain, and when to
//! release them.
//!
//! A backend server that is ordered when demand rises arrives too late, so orders follow the
//! forecast over the lead time. A backend server is released only after it has been surplus for
//! longer than ordering it again would cost. The alternatives considered are in
//! [docs/design/fleet.md](../../../../docs/design/fleet.md).

mod planner;
mod sizing;
mod table;

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

pub use self::planner::FleetPlanner;
pub use self::sizing::FleetFigures;

use crate::id::{BackendId, DomainId, OrderId, PoolId};
use crate::role::EngineReport;
use crate::unit::{TimeSpan, TokenRate};

/// The configuration of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolPlan {
    /// The pool.
    pub pool: PoolId,
    /// The minimum number of backend servers.
    pub min: u32,
    /// The maximum number of backend servers, including ordered ones.
    pub max: u32,
    /// The failure domains to distribute the backend servers over.
    pub domains: BTreeSet<DomainId>,
    /// Prefill throughput of one engine in tokens per second; zero for a pool of a plain service,
    /// whose size stays at `min`.
    pub prefill_rate: TokenRate,
    /// Decode throughput of one engine at a full batch, in tokens per second.
    pub decode_rate: TokenRate,
}

/// The constants of the fleet planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSettings {
    /// The time from an order to the first response of the ordered backend server.
    pub lead_time: TimeSpan,
    /// How long an order counts as future capacity while the server list does not show it.
    pub order_timeout: TimeSpan,
    /// How long a surplus must last until releasing a backend server is cheaper than keeping it.
    pub break_even: TimeSpan,
    /// How long a crashed backend server may take to restart before it is replaced.
    pub restart_grace: TimeSpan,
    /// How long a failure domain gets no orders after one was refused there.
    pub domain_cooldown: TimeSpan,
    /// The utilization, from 0 to 1, up to which an engine meets its latency objectives.
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

/// An input to the fleet planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// The configuration of a pool was added or changed.
    Planned(PoolPlan),
    /// A pool was removed from the configuration.
    Removed(PoolId),
    /// A sidecar reported its engine.
    Reported(EngineReport),
    /// The platform's list contains an instance.
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
    /// The platform's list no longer contains an instance.
    Unlisted(BackendId),
    /// A backend server crashed or became unreachable.
    Lost(BackendId),
    /// A leaving backend server has no requests left; repeated with each report while that holds.
    Drained(BackendId),
    /// The intent log of a previous lease holder contains an order that may have been sent.
    OrderRecovered {
        /// The order.
        order: OrderId,
        /// The pool that it is for.
        pool: PoolId,
        /// The failure domain that it is for.
        domain: DomainId,
        /// How long ago it was sent.
        age: TimeSpan,
    },
    /// The platform refused an order, which will bring no backend server.
    OrderRefused(OrderId),
}

/// An order or a drain together with the figures that justify it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetDecision {
    /// The pool.
    pub pool: PoolId,
    /// The failure domain.
    pub domain: DomainId,
    /// The figures that justify the decision.
    pub figures: FleetFigures,
}

/// An action for the process that has order authority.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Order one backend server.
    Order {
        /// The identifier of the order, by which a repeat is recognized.
        order: OrderId,
        /// The decision behind the order.
        decision: FleetDecision,
    },
    /// Send the backend server no new requests, and report when it has none left.
    Drain {
        /// The backend server.
        backend: BackendId,
        /// The decision behind the drain.
        decision: FleetDecision,
    },
    /// Send the backend server requests again.
    Undrain {
        /// The backend server.
        backend: BackendId,
    },
    /// Release the drained backend server.
    Release {
        /// The identifier of the order, by which a repeat is recognized.
        order: OrderId,
        /// The backend server.
        backend: BackendId,
    },
}
