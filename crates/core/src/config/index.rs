//! What a request asks of the configuration, answered without a scan.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::config::{
    EngineConfig, EngineRole, KeyConfig, KeyDigest, ObjectState, ServiceConfig, ServiceRoute,
    ServingConfig,
};
use crate::id::{BackendId, KeyId, ModelId, PoolId, ServiceId, TeamId};

/// Derived from the tables after each change.
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

/// What the configuration knows of a caller key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyLookup<'a> {
    /// No such key was ever given, or it was removed.
    Unknown,
    /// The key was withdrawn.
    Withdrawn(&'a KeyConfig),
    /// The key speaks for its team.
    Active(&'a KeyConfig),
}

impl<'a> KeyLookup<'a> {
    /// Returns the key if it may be used.
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

    /// Finds the key that a caller presented, as an entry does.
    pub fn find_key(&self, digest: &KeyDigest) -> KeyLookup<'_> {
        let id = self.index.keys.get(digest);
        id.and_then(|id| self.keys.get(id)).into()
    }

    /// Finds a key by its public name, as a sidecar does.
    pub fn key_by_id(&self, id: &KeyId) -> KeyLookup<'_> {
        self.keys.get(id).into()
    }

    /// Finds the one service that offers `model`.
    pub fn service_for_model(&self, model: &ModelId) -> Option<&ServiceConfig> {
        let id = self.index.models.get(model)?;
        self.services.get(id)
    }

    /// Finds the plain service with the longest prefix of `path`.
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

    /// Returns the models that `team` may use, in order of their names.
    pub fn models_for(&self, team: &TeamId) -> Vec<&ModelId> {
        let rows = self.index.models.iter();
        let rows = rows.filter(|(_, service)| self.is_team_allowed(service, team));
        rows.map(|(model, _)| model).collect()
    }

    /// Returns how a listed backend server is configured; one that operators have
    /// not named goes by the pool of the platform's list.
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
