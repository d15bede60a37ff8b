//! Which models, adapters and versions are loaded where, within the weight store's rate.
//!
//! A load takes the store's whole rate for its time, so loads stand in a row.
//! An engine may have to unload one model before another fits; a model that the
//! pool still offers is never unloaded from its last engine. The ways weighed are in
//! [docs/design/fleet.md](../../../docs/design/fleet.md).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{BackendId, ModelId, PoolId};
use crate::role::OrderAuthority;
use crate::unit::{ByteSize, TimePoint, TimeSpan};

/// The constants of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightSettings {
    /// Bytes a second that the weight store gives to the whole fleet.
    pub store_bandwidth: ByteSize,
    /// How long an order may stay unanswered, beyond the time that the bytes take.
    pub order_timeout: TimeSpan,
}

/// A model that a pool offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPlan {
    /// The pool.
    pub pool: PoolId,
    /// The model, adapter or version.
    pub model: ModelId,
    /// Its weights.
    pub size: ByteSize,
    /// On how many engines it should be loaded.
    pub copies: u32,
}

/// What the planner is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightEvent {
    /// A model came into force or changed.
    Planned(ModelPlan),
    /// A pool no longer offers a model.
    Withdrawn(PoolId, ModelId),
    /// A sidecar reported what its engine has loaded.
    Reported {
        /// The engine.
        backend: BackendId,
        /// Its pool.
        pool: PoolId,
        /// Memory for weights that is not taken.
        free: ByteSize,
        /// What is loaded.
        models: BTreeSet<ModelId>,
    },
    /// An engine crashed, left or can no longer be reached.
    Lost(BackendId),
    /// The load or unload that was ordered of an engine ended, well or not.
    OrderEnded(BackendId),
}

/// The figures that a decision was taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightFigures {
    /// Engines of the pool that have the model.
    pub loaded: u32,
    /// Engines that should have it.
    pub copies: u32,
    /// The model's weights.
    pub size: ByteSize,
    /// Free memory of the engine.
    pub free: ByteSize,
}

/// What the process with authority carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightAction {
    /// Order the engine to load a model; the engine goes on serving.
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

/// Decides loads and unloads.
#[derive(Clone, Debug)]
pub struct WeightPlanner {
    settings: WeightSettings,
    plans: BTreeMap<PoolModel, ModelRow>,
    engines: BTreeMap<BackendId, EngineRow>,
    /// When the store has delivered all that was asked of it.
    store_free_at: TimePoint,
}

impl WeightPlanner {
    /// A planner that knows no model and no engine yet.
    pub fn new(settings: WeightSettings) -> Self {
        Self {
            settings,
            plans: BTreeMap::new(),
            engines: BTreeMap::new(),
            store_free_at: TimePoint::START,
        }
    }

    /// Takes in an event; what follows is decided by the next tick.
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
            } => self.note_report(backend, pool, free, models),
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

    /// Orders at most one load from the store, and the unloads that are safe.
    pub fn tick(&mut self, now: TimePoint, authority: OrderAuthority) -> Vec<WeightAction> {
        self.expire(now);
        if authority == OrderAuthority::Absent {
            return Vec::new();
        }
        let mut actions = self.unload_withdrawn(now);
        let short: Vec<PoolModel> = self.plans.keys().cloned().collect();
        for key in short {
            actions.extend(self.raise_copies(now, &key));
        }
        actions
    }

    fn note_report(
        &mut self,
        backend: BackendId,
        pool: PoolId,
        free: ByteSize,
        models: BTreeSet<ModelId>,
    ) {
        let held = self.engines.get(&backend);
        let busy_until = held.and_then(|row| row.busy_until);
        let unloading = held.and_then(|row| row.unloading.clone());
        let row = EngineRow {
            pool,
            free,
            models,
            busy_until,
            unloading,
        };
        self.engines.insert(backend, row);
    }

    fn expire(&mut self, now: TimePoint) {
        for row in self.engines.values_mut() {
            if row.busy_until.is_some_and(|until| until <= now) {
                row.busy_until = None;
                row.unloading = None;
            }
        }
    }

    /// Counts the engines that have a model and are not about to lose it.
    fn loaded(&self, key: &PoolModel) -> u32 {
        let holds = |row: &&EngineRow| {
            row.pool == key.pool
                && row.models.contains(&key.model)
                && row.unloading.as_ref() != Some(&key.model)
        };
        self.engines.values().filter(holds).count() as u32
    }

    fn figures(&self, key: &PoolModel, plan: ModelRow, free: ByteSize) -> WeightFigures {
        WeightFigures {
            loaded: self.loaded(key),
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
        let orders = choices.into_iter();
        orders
            .filter_map(|choice| self.unload(now, choice))
            .collect()
    }

    fn raise_copies(&mut self, now: TimePoint, key: &PoolModel) -> Option<WeightAction> {
        let plan = *self.plans.get(key)?;
        let coming = self.loaded(key);
        if coming >= plan.copies || self.store_free_at > now {
            return None;
        }
        let lacking = |row: &EngineRow| {
            row.pool == key.pool && row.busy_until.is_none() && !row.models.contains(&key.model)
        };
        let engines = self.engines.iter().filter(|(_, row)| lacking(row));
        let roomiest = engines.max_by_key(|(_, row)| row.free)?;
        let backend = roomiest.0.clone();
        let free = roomiest.1.free;
        if free < plan.size {
            let choice = self.spare_model(key)?;
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

    /// A model that another engine has beyond its copies, on an engine that lacks `wanted`.
    fn spare_model(&self, wanted: &PoolModel) -> Option<UnloadChoice> {
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
                if plan.is_some_and(|plan| self.loaded(&key) > plan.copies) {
                    return Some(UnloadChoice {
                        backend: backend.clone(),
                        model: model.clone(),
                    });
                }
            }
        }
        None
    }

    /// Unloads unless the pool offers the model and this is its last engine.
    fn unload(&mut self, now: TimePoint, choice: UnloadChoice) -> Option<WeightAction> {
        let row = self.engines.get(&choice.backend)?;
        let key = PoolModel {
            pool: row.pool.clone(),
            model: choice.model.clone(),
        };
        let plan = self.plans.get(&key).copied();
        if plan.is_some() && self.loaded(&key) <= 1 {
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
