//! The list of instances, which shows changes after a delay, and the orders that start or
//! release backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Kind of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An entry.
    Entry,
    /// A backend server with its sidecar.
    Backend,
}

/// State of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance is about to be removed.
    Leaving,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Identifier of the instance.
    pub id: String,
    /// Kind of the instance.
    pub kind: InstanceKind,
    /// Address on which its process listens for other processes of the system.
    pub address: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Region of the instance.
    pub region: String,
    /// Pool of a backend server; `None` for an entry.
    pub pool: Option<String>,
    /// Current state.
    pub state: InstanceState,
}

struct InstanceChange {
    at: Instant,
    id: String,
    record: Option<InstanceRecord>,
}

/// The list of instances, and the changes that it does not show yet.
#[derive(Default)]
pub(crate) struct InstanceList {
    visible: BTreeMap<String, InstanceRecord>,
    pending: Vec<InstanceChange>,
}

impl InstanceList {
    pub(crate) fn register(&mut self, record: InstanceRecord, now: Instant) {
        self.pending.push(InstanceChange {
            at: now,
            id: record.id.clone(),
            record: Some(record),
        });
    }

    pub(crate) fn remove(&mut self, id: &str, now: Instant) {
        self.pending.push(InstanceChange {
            at: now,
            id: id.to_owned(),
            record: None,
        });
    }

    /// Returns the instances as they were `delay` ago. Changes that became visible once
    /// stay visible when the delay grows.
    pub(crate) fn list(&mut self, delay: Duration, now: Instant) -> Vec<InstanceRecord> {
        let due = self
            .pending
            .partition_point(|change| change.at + delay <= now);
        for change in self.pending.drain(..due) {
            match change.record {
                Some(record) => self.visible.insert(change.id, record),
                None => self.visible.remove(&change.id),
            };
        }
        self.visible.values().cloned().collect()
    }
}

/// The operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetAction {
    /// Start a backend server.
    Start,
    /// Release a backend server.
    Release,
}

/// An order to start or release a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetOrder {
    /// Identifier of the order.
    pub order_id: String,
    /// Identifier of the lease holder that sent the order.
    pub holder: String,
    /// Fencing number of that lease.
    pub fencing: u64,
    /// Operation to execute.
    pub action: FleetAction,
    /// Pool of the backend server.
    pub pool: String,
    /// Failure domain of the backend server.
    pub domain: String,
    /// Instance to release; `None` for a start.
    pub instance: Option<String>,
}

/// A received order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Serial number in the order of arrival, from 1.
    pub serial: u64,
    /// Whether the order was accepted.
    pub accepted: bool,
    /// The order as received.
    #[serde(flatten)]
    pub order: FleetOrder,
}

/// Received orders in the order of arrival.
#[derive(Default)]
pub(crate) struct OrderLog {
    records: Vec<OrderRecord>,
}

impl OrderLog {
    /// Records an order, and returns its serial number.
    ///
    /// # Errors
    ///
    /// Returns the highest accepted fencing number of the pool if it is checked and the
    /// order's number is lower.
    pub(crate) fn record(&mut self, order: FleetOrder, check_fencing: bool) -> Result<u64, u64> {
        let accepted = self.records.iter().filter(|record| record.accepted);
        let same_pool = accepted.filter(|record| record.order.pool == order.pool);
        let highest = same_pool.map(|record| record.order.fencing).max();
        let highest = highest.unwrap_or_default();
        let accepted = !check_fencing || order.fencing >= highest;
        let serial = self.records.len() as u64 + 1;
        self.records.push(OrderRecord {
            serial,
            accepted,
            order,
        });
        match accepted {
            true => Ok(serial),
            false => Err(highest),
        }
    }

    pub(crate) fn records(&self) -> &[OrderRecord] {
        &self.records
    }
}
