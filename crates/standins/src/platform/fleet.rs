//! The lagging list of instances, and the orders for backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// What a listed instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An entry of the system.
    Entry,
    /// A backend server with its sidecar.
    Backend,
}

/// Whether a listed instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It is about to go.
    Leaving,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Its name.
    pub id: String,
    /// What it is.
    pub kind: InstanceKind,
    /// Where its process listens for other processes of the system.
    pub address: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// Its pool, for a backend server.
    pub pool: Option<String>,
    /// Whether it stays.
    pub state: InstanceState,
}

struct InstanceChange {
    at: Instant,
    id: String,
    record: Option<InstanceRecord>,
}

/// The instances, listed as they were some time ago.
#[derive(Default)]
pub(crate) struct InstanceList {
    shown: BTreeMap<String, InstanceRecord>,
    pending: Vec<InstanceChange>,
}

impl InstanceList {
    pub(crate) fn announce(&mut self, record: InstanceRecord, now: Instant) {
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

    /// Lists what was true `lag` ago.
    pub(crate) fn list(&mut self, lag: Duration, now: Instant) -> Vec<InstanceRecord> {
        let due = self
            .pending
            .partition_point(|change| change.at + lag <= now);
        for change in self.pending.drain(..due) {
            match change.record {
                Some(record) => self.shown.insert(change.id, record),
                None => self.shown.remove(&change.id),
            };
        }
        self.shown.values().cloned().collect()
    }
}

/// What is done to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetAction {
    /// One is started.
    Start,
    /// One is given up.
    Release,
}

/// An order for a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetOrder {
    /// The order's name.
    pub order_id: String,
    /// Who sent it.
    pub holder: String,
    /// Under which number.
    pub fencing: u64,
    /// What is to be done.
    pub action: FleetAction,
    /// In which pool.
    pub pool: String,
    /// In which failure domain.
    pub domain: String,
    /// To which instance, for a release.
    pub instance: Option<String>,
}

/// An order as it came in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Its place in the order of arrival, from 1.
    pub serial: u64,
    /// Whether it was accepted.
    pub accepted: bool,
    /// The order.
    #[serde(flatten)]
    pub order: FleetOrder,
}

/// The orders in the order of arrival.
#[derive(Default)]
pub(crate) struct OrderLog {
    records: Vec<OrderRecord>,
}

impl OrderLog {
    /// Records an order; returns the pool's highest number where that refuses it.
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
