//! Indexes for the lookups that each request makes, so that none scans a table.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::config::{
    EngineConfig, EngineRole, KeyConfig, KeyDigest, ObjectState, ServiceConfig, ServiceRoute,
    ServingConfig,
};
use crate::id::{BackendId, KeyId, ModelId, PoolId, ServiceId, TeamId};

/// Indexes that are rebuilt from the tables after each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConfigIndex {
    keys: BTreeMap<KeyDigest, KeyId>,
    models: BTreeMap<ModelId, ServiceId>,
    prefixes: BTreeMap<SmolStr, ServiceId>,
}

impl ConfigIndex {
    pub(crate) fn build(config: &ServingConfig) -> Self {
        let mut index = Self::default();
        for key in config.keys.values() {
            index.keys.insert(key.sha256, key.id.clone());
        }
        for service in config.services.values() {
            index.add_service(service);
        }
        index
    }

    fn add_service(&mut self, service: &ServiceConfig) {
        match &service.route {
            ServiceRoute::Model { models } => {
                let rows = models
                    .iter()
                    .map(|model| (model.clone(), service.id.clone()));
                self.models.extend(rows);
            }
            ServiceRoute::Plain { path_prefix } => {
                self.prefixes
                    .insert(path_prefix.clone(), service.id.clone());
            }
        }
    }
}

/// The result of looking up a caller key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyLookup<'a> {
    /// The key was never created, or it was removed.
    Unknown,
    /// The key is withdrawn and must be refused.
    Withdrawn(&'a KeyConfig),
    /// The key authenticates its team.
    Active(&'a KeyConfig),
}

impl<'a> KeyLookup<'a> {
    /// Returns the key if it is active.
    pub fn active(self) -> Option<&'a KeyConfig> {
        match self {
            Self::Active(key) => Some(key),
            Self::Unknown | Self::Withdrawn(_) => None,
        }
    }
}

impl<'a> From<Option<&'a KeyConfig>> for KeyLookup<'a> {
    fn from(key: Option<&'a KeyConfig>) -> Self {
        match key {
            None => Self::Unknown,
            Some(key) if key.state == ObjectState::Withdrawn => Self::Withdrawn(key),
            Some(key) => Self::Active(key),
        }
    }
}

impl ServingConfig {
    pub(crate) fn rebuild_index(&mut self) {
        self.index = ConfigIndex::build(self);
    }

    /// Looks up a key by its digest, as an entry does for the key of a caller.
    pub fn find_key(&self, digest: &KeyDigest) -> KeyLookup<'_> {
        let id = self.index.keys.get(digest);
        id.and_then(|id| self.keys.get(id)).into()
    }

    /// Looks up a key by its public identifier, as a sidecar does.
    pub fn key_by_id(&self, id: &KeyId) -> KeyLookup<'_> {
        self.keys.get(id).into()
    }

    /// Returns the service that offers `model`. At most one does.
    pub fn service_for_model(&self, model: &ModelId) -> Option<&ServiceConfig> {
        let id = self.index.models.get(model)?;
        self.services.get(id)
    }

    /// Returns the plain service whose path prefix is the longest match of `path`.
    pub fn service_for_path(&self, path: &str) -> Option<&ServiceConfig> {
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        let id = ends
            .filter_map(|end| self.index.prefixes.get(&path[..end]))
            .next()?;
        self.services.get(id)
    }

    /// Returns whether `team` may use `service`.
    pub fn is_team_allowed(&self, service: &ServiceId, team: &TeamId) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.allows(team))
    }

    /// Returns the models that `team` may use, ordered by name.
    pub fn models_for(&self, team: &TeamId) -> Vec<&ModelId> {
        let rows = self.index.models.iter();
        let rows = rows.filter(|(_, service)| self.is_team_allowed(service, team));
        rows.map(|(model, _)| model).collect()
    }

    /// Returns the configuration of a backend server.
    ///
    /// One that operators have not configured is active in both roles, in the pool `listed` that the
    /// platform's list names, if that pool exists.
    pub fn engine_config(&self, id: &BackendId, listed: Option<&PoolId>) -> Option<EngineConfig> {
        if let Some(engine) = self.engines.get(id) {
            return Some(engine.clone());
        }
        let pool = listed.filter(|pool| self.pools.contains_key(*pool))?;
        Some(EngineConfig {
            id: id.clone(),
            pool: pool.clone(),
            state: ObjectState::Active,
            role: EngineRole::Both,
        })
    }
}
