//! The serialized form of the configuration: rows in lists, without the index.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

use crate::config::index::ConfigIndex;
use crate::config::{
    EngineConfig, KeyConfig, ObjectId, PoolConfig, ServiceConfig, ServingConfig, TeamConfig,
    TicketRecord,
};
use crate::id::{IdError, Revision, TicketNumber};

#[derive(Serialize, Deserialize)]
pub(crate) struct ConfigSnapshot {
    revision: Revision,
    teams: Vec<TeamConfig>,
    keys: Vec<KeyConfig>,
    services: Vec<ServiceConfig>,
    pools: Vec<PoolConfig>,
    engines: Vec<EngineConfig>,
    touched: BTreeMap<SmolStr, TicketNumber>,
    tickets: BTreeMap<TicketNumber, TicketRecord>,
    forgotten: TicketNumber,
}

impl From<ServingConfig> for ConfigSnapshot {
    fn from(config: ServingConfig) -> Self {
        let touched = config.touched.iter();
        Self {
            revision: config.revision,
            teams: config.teams.into_values().collect(),
            keys: config.keys.into_values().collect(),
            services: config.services.into_values().collect(),
            pools: config.pools.into_values().collect(),
            engines: config.engines.into_values().collect(),
            touched: touched
                .map(|(id, number)| (id.to_smolstr(), *number))
                .collect(),
            tickets: config.tickets,
            forgotten: config.last_pruned,
        }
    }
}

impl TryFrom<ConfigSnapshot> for ServingConfig {
    type Error = IdError;

    fn try_from(snapshot: ConfigSnapshot) -> Result<Self, IdError> {
        let touched = snapshot.touched.iter();
        let touched = touched.map(|(name, number)| Ok((name.parse::<ObjectId>()?, *number)));
        let mut config = Self {
            revision: snapshot.revision,
            teams: snapshot
                .teams
                .into_iter()
                .map(|row| (row.id.clone(), row))
                .collect(),
            keys: snapshot
                .keys
                .into_iter()
                .map(|row| (row.id.clone(), row))
                .collect(),
            services: snapshot
                .services
                .into_iter()
                .map(|row| (row.id.clone(), row))
                .collect(),
            pools: snapshot
                .pools
                .into_iter()
                .map(|row| (row.id.clone(), row))
                .collect(),
            engines: snapshot
                .engines
                .into_iter()
                .map(|row| (row.id.clone(), row))
                .collect(),
            touched: touched.collect::<Result<_, IdError>>()?,
            tickets: snapshot.tickets,
            last_pruned: snapshot.forgotten,
            index: ConfigIndex::default(),
        };
        config.rebuild_index();
        Ok(config)
    }
}
