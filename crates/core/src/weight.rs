//! Placement of model weights on engines, within the bandwidth of the weight store.
//!
//! A load uses the full bandwidth of the store, so loads run one after another. An engine may
//! have to unload one model before another fits, but a model that the pool still offers is
//! never unloaded from its last engine. The alternatives considered are in
//! [docs/design/fleet.md](../../../docs/design/fleet.md).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{BackendId, ModelId, PoolId};
use crate::role::OrderAuthority;
use crate::unit::{ByteSize, TimePoint, TimeSpan};

/// The constants of the weight planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightSettings {
    /// The bandwidth of the weight store for the whole fleet, in bytes per second.
    pub store_bandwidth: ByteSize,
    /// How long an order may stay unconfirmed, beyond the time that the transfer takes.
    pub order_timeout: TimeSpan,
}

/// A model that a pool offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPlan {
    /// The pool.
    pub pool: PoolId,
    /// The model, adapter or version.
    pub model: ModelId,
    /// The size of its weights.
    pub size: ByteSize,
    /// The number of engines that should have it loaded.
    pub copies: u32,
}

/// An input to the weight planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightEvent {
    /// A model was added to a pool or changed.
    Planned(ModelPlan),
    /// A pool no longer offers a model.
    Withdrawn(PoolId, ModelId),
    /// A sidecar reported the models that its engine has loaded.
    Reported {
        /// The engine.
        backend: BackendId,
        /// Its pool.
        pool: PoolId,
        /// Free memory for weights.
        free: ByteSize,
        /// The loaded models.
        models: BTreeSet<ModelId>,
    },
    /// An engine crashed, left or became unreachable.
    Lost(BackendId),
    /// The load or unload ordered of an engine has ended, with or without success.
    OrderEnded(BackendId),
}

/// The figures that justify a load or unload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightFigures {
    /// Engines of the pool that have the model loaded.
    pub loaded: u32,
    /// Engines that should have it loaded.
    pub copies: u32,
    /// The size of the model's weights.
    pub size: ByteSize,
    /// Free memory for weights on the engine.
    pub free: ByteSize,
}

/// An action for the process that has order authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightAction {
    /// Order the engine to load a model; it keeps serving meanwhile.
    Load {
        /// The engine.
        backend: BackendId,
        /// The model.
        model: ModelId,
        /// Why.
        figures: WeightFigures,
    },
    /// Order the engine to unload a model.
    Unload {
        /// The engine.
        backend: BackendId,
        /// The model.
        model: ModelId,
        /// Why.
        figures: WeightFigures,
    },
}

#[derive(Clone, Debug)]
struct EngineRow {
    pool: PoolId,
    free: ByteSize,
    models: BTreeSet<ModelId>,
    busy_until: Option<TimePoint>,
    unloading: Option<ModelId>,
}

#[derive(Clone, Copy, Debug)]
struct ModelRow {
    size: ByteSize,
    copies: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolModel {
    pool: PoolId,
    model: ModelId,
}

/// Decides which models engines load and unload.
#[derive(Clone, Debug)]
pub struct WeightPlanner {
    settings: WeightSettings,
    plans: BTreeMap<PoolModel, ModelRow>,
    engines: BTreeMap<BackendId, EngineRow>,
    /// When the store has delivered all ordered loads.
    store_free_at: TimePoint,
}

impl WeightPlanner {
    /// Creates a planner without models and engines.
    pub fn new(settings: WeightSettings) -> Self {
        Self {
            settings,
            plans: BTreeMap::new(),
            engines: BTreeMap::new(),
            store_free_at: TimePoint::START,
        }
    }

    /// Applies an event; the next tick acts on it.
    pub fn handle(&mut self, event: WeightEvent) {
        match event {
            WeightEvent::Planned(plan) => {
                let key = PoolModel {
                    pool: plan.pool,
                    model: plan.model,
                };
                let row = ModelRow {
                    size: plan.size,
                    copies: plan.copies.max(1),
                };
                self.plans.insert(key, row);
            }
            WeightEvent::Withdrawn(pool, model) => {
                self.plans.remove(&PoolModel { pool, model });
            }
            WeightEvent::Reported {
                backend,
                pool,
                free,
                models,
            } => self.record_report(backend, pool, free, models),
            WeightEvent::Lost(backend) => {
                self.engines.remove(&backend);
            }
            WeightEvent::OrderEnded(backend) => {
                if let Some(row) = self.engines.get_mut(&backend) {
                    row.busy_until = None;
                    row.unloading = None;
                }
            }
        }
    }

    /// Unloads withdrawn models, and orders at most one load from the store together with the
    /// unloads that make room for missing models.
    pub fn tick(&mut self, now: TimePoint, authority: OrderAuthority) -> Vec<WeightAction> {
        self.expire_orders(now);
        if authority == OrderAuthority::Absent {
            return Vec::new();
        }
        let mut actions = self.unload_withdrawn(now);
        let offered: Vec<PoolModel> = self.plans.keys().cloned().collect();
        for key in offered {
            actions.extend(self.load_missing_copy(now, &key));
        }
        actions
    }

    fn record_report(
        &mut self,
        backend: BackendId,
        pool: PoolId,
        free: ByteSize,
        models: BTreeSet<ModelId>,
    ) {
        let previous = self.engines.get(&backend);
        let busy_until = previous.and_then(|row| row.busy_until);
        let unloading = previous.and_then(|row| row.unloading.clone());
        let row = EngineRow {
            pool,
            free,
            models,
            busy_until,
            unloading,
        };
        self.engines.insert(backend, row);
    }

    /// Frees the engines whose order timed out.
    fn expire_orders(&mut self, now: TimePoint) {
        for row in self.engines.values_mut() {
            if row.busy_until.is_some_and(|until| until <= now) {
                row.busy_until = None;
                row.unloading = None;
            }
        }
    }

    /// Returns the number of engines that have a model loaded and are not unloading it.
    fn loaded_count(&self, key: &PoolModel) -> u32 {
        let holds = |row: &&EngineRow| {
            row.pool == key.pool
                && row.models.contains(&key.model)
                && row.unloading.as_ref() != Some(&key.model)
        };
        self.engines.values().filter(holds).count() as u32
    }

    fn figures(&self, key: &PoolModel, plan: ModelRow, free: ByteSize) -> WeightFigures {
        WeightFigures {
            loaded: self.loaded_count(key),
            copies: plan.copies,
            size: plan.size,
            free,
        }
    }

    fn unload_withdrawn(&mut self, now: TimePoint) -> Vec<WeightAction> {
        let mut choices = Vec::new();
        for (backend, row) in &self.engines {
            let withdrawn = row.models.iter().find(|model| {
                let key = PoolModel {
                    pool: row.pool.clone(),
                    model: (*model).clone(),
                };
                !self.plans.contains_key(&key)
            });
            if let (Some(model), None) = (withdrawn, row.busy_until) {
                choices.push(UnloadChoice {
                    backend: backend.clone(),
                    model: model.clone(),
                });
            }
        }
        let unloads = choices.into_iter();
        unloads
            .filter_map(|choice| self.unload(now, choice))
            .collect()
    }

    /// Orders a load on the idle engine with the most free memory if the model has too few copies.
    ///
    /// If the model does not fit there, a surplus model is unloaded instead to make room.
    fn load_missing_copy(&mut self, now: TimePoint, key: &PoolModel) -> Option<WeightAction> {
        let plan = *self.plans.get(key)?;
        let loaded = self.loaded_count(key);
        if loaded >= plan.copies || self.store_free_at > now {
            return None;
        }
        let lacking = |row: &EngineRow| {
            row.pool == key.pool && row.busy_until.is_none() && !row.models.contains(&key.model)
        };
        let engines = self.engines.iter().filter(|(_, row)| lacking(row));
        let most_free = engines.max_by_key(|(_, row)| row.free)?;
        let backend = most_free.0.clone();
        let free = most_free.1.free;
        if free < plan.size {
            let choice = self.surplus_model(key)?;
            return self.unload(now, choice);
        }
        let figures = self.figures(key, plan, free);
        let secs = plan.size.0 as f64 / self.settings.store_bandwidth.0.max(1) as f64;
        self.store_free_at = now + TimeSpan::from_secs_f64(secs);
        let until = self.store_free_at + self.settings.order_timeout;
        if let Some(row) = self.engines.get_mut(&backend) {
            row.busy_until = Some(until);
        }
        Some(WeightAction::Load {
            backend,
            model: key.model.clone(),
            figures,
        })
    }

    /// Returns a model that is loaded on more engines than planned, on an idle engine that lacks
    /// `wanted`.
    fn surplus_model(&self, wanted: &PoolModel) -> Option<UnloadChoice> {
        let lacking = self.engines.iter().filter(|(_, row)| {
            row.pool == wanted.pool
                && row.busy_until.is_none()
                && !row.models.contains(&wanted.model)
        });
        for (backend, row) in lacking {
            for model in &row.models {
                let key = PoolModel {
                    pool: row.pool.clone(),
                    model: model.clone(),
                };
                let plan = self.plans.get(&key);
                if plan.is_some_and(|plan| self.loaded_count(&key) > plan.copies) {
                    return Some(UnloadChoice {
                        backend: backend.clone(),
                        model: model.clone(),
                    });
                }
            }
        }
        None
    }

    /// Orders an unload, unless the pool offers the model and this is its last engine.
    fn unload(&mut self, now: TimePoint, choice: UnloadChoice) -> Option<WeightAction> {
        let row = self.engines.get(&choice.backend)?;
        let key = PoolModel {
            pool: row.pool.clone(),
            model: choice.model.clone(),
        };
        let plan = self.plans.get(&key).copied();
        if plan.is_some() && self.loaded_count(&key) <= 1 {
            return None;
        }
        let plan = plan.unwrap_or(ModelRow {
            size: ByteSize::ZERO,
            copies: 0,
        });
        let figures = self.figures(&key, plan, row.free);
        let row = self.engines.get_mut(&choice.backend)?;
        row.busy_until = Some(now + self.settings.order_timeout);
        row.unloading = Some(choice.model.clone());
        Some(WeightAction::Unload {
            backend: choice.backend,
            model: choice.model,
            figures,
        })
    }
}

#[derive(Clone, Debug)]
struct UnloadChoice {
    backend: BackendId,
    model: ModelId,
}
