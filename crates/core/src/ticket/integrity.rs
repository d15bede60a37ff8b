//! Checks the references between objects on the configuration that would result from a ticket.

use std::collections::BTreeMap;
use std::fmt;

use smol_str::{SmolStr, ToSmolStr};

use crate::code::ResultCode;
use crate::config::{ObjectId, ServiceConfig, ServiceRoute, ServingConfig, TeamAccess};
use crate::ticket::refusal::TicketFault;
use crate::ticket::TouchedObject;

/// A reference to an object that is missing or unfit, or a value that must be unique and is not.
struct BrokenReference {
    from: ObjectId,
    field: SmolStr,
    to: ObjectId,
    code: ResultCode,
    expected: SmolStr,
}

/// Maps the objects of a ticket to their paths, so that a fault can point into the ticket.
struct ObjectPaths {
    paths: BTreeMap<ObjectId, SmolStr>,
}

impl ObjectPaths {
    /// Returns the fault at the referring object if the ticket contains it, and otherwise at the
    /// object that it refers to: removing or changing that one broke the reference.
    fn fault_for(&self, reference: &BrokenReference) -> TicketFault {
        if let Some(path) = self.paths.get(&reference.from) {
            let path = format!("{path}.{}", reference.field);
            return TicketFault::new(&path, &reference.expected, reference.code);
        }
        let path = self.paths.get(&reference.to).map(SmolStr::as_str);
        let expected = format!("what {} needs: {}", reference.from, reference.expected);
        TicketFault::new(path.unwrap_or_default(), expected, reference.code)
    }
}

/// Returns a fault for each broken reference in `config`; `touched` holds the ticket's objects.
pub(crate) fn check_references(
    config: &ServingConfig,
    touched: &[TouchedObject],
) -> Vec<TicketFault> {
    let mut broken = Vec::new();
    check_keys(config, &mut broken);
    check_services(config, &mut broken);
    check_engines(config, &mut broken);
    let paths = touched
        .iter()
        .map(|object| (object.id.clone(), object.path.clone()));
    let paths = ObjectPaths {
        paths: paths.collect(),
    };
    broken
        .iter()
        .map(|reference| paths.fault_for(reference))
        .collect()
}

fn missing(from: ObjectId, field: &str, to: ObjectId) -> BrokenReference {
    BrokenReference {
        from,
        field: SmolStr::new(field),
        expected: format!("an object that exists; {to} does not").to_smolstr(),
        to,
        code: ResultCode::ReferenceUnknown,
    }
}

fn duplicate<V>(from: ObjectId, field: &str, owner: ObjectId, value: V) -> BrokenReference
where
    V: fmt::Display,
{
    BrokenReference {
        from,
        field: SmolStr::new(field),
        expected: format!("a value of its own; {owner} has {value}").to_smolstr(),
        to: owner,
        code: ResultCode::FieldOutOfRange,
    }
}

fn check_keys(config: &ServingConfig, broken: &mut Vec<BrokenReference>) {
    let mut owners = BTreeMap::new();
    for key in config.keys.values() {
        let from = ObjectId::Key(key.id.clone());
        if !config.teams.contains_key(&key.team) {
            broken.push(missing(
                from.clone(),
                "team",
                ObjectId::Team(key.team.clone()),
            ));
        }
        if let Some(owner) = owners.insert(key.sha256, from.clone()) {
            broken.push(duplicate(from, "sha256", owner, "the same digest"));
        }
    }
}

fn check_services(config: &ServingConfig, broken: &mut Vec<BrokenReference>) {
    let mut models = BTreeMap::new();
    let mut prefixes = BTreeMap::new();
    for service in config.services.values() {
        check_pool(config, service, broken);
        check_teams(config, service, broken);
        let from = ObjectId::Service(service.id.clone());
        match &service.route {
            ServiceRoute::Model { models: offered } => {
                for model in offered {
                    if let Some(owner) = models.insert(model, from.clone()) {
                        broken.push(duplicate(from.clone(), "models", owner, model));
                    }
                }
            }
            ServiceRoute::Plain { path_prefix } => {
                if let Some(owner) = prefixes.insert(path_prefix, from.clone()) {
                    broken.push(duplicate(from, "path_prefix", owner, path_prefix));
                }
            }
        }
    }
}

fn check_pool(config: &ServingConfig, service: &ServiceConfig, broken: &mut Vec<BrokenReference>) {
    let from = ObjectId::Service(service.id.clone());
    let to = ObjectId::Pool(service.pool.clone());
    let Some(pool) = config.pools.get(&service.pool) else {
        broken.push(missing(from, "pool", to));
        return;
    };
    if pool.kind != service.route.pool_kind() {
        broken.push(BrokenReference {
            from,
            field: SmolStr::new_static("pool"),
            expected: format!("a pool of the service's kind; {to} is of the other").to_smolstr(),
            to,
            code: ResultCode::FieldOutOfRange,
        });
    }
}

fn check_teams(config: &ServingConfig, service: &ServiceConfig, broken: &mut Vec<BrokenReference>) {
    let TeamAccess::Listed(teams) = &service.teams else {
        return;
    };
    let unknown = teams
        .iter()
        .filter(|team| !config.teams.contains_key(*team));
    for team in unknown {
        let from = ObjectId::Service(service.id.clone());
        broken.push(missing(from, "teams", ObjectId::Team(team.clone())));
    }
}

fn check_engines(config: &ServingConfig, broken: &mut Vec<BrokenReference>) {
    let without_pool = config
        .engines
        .values()
        .filter(|row| !config.pools.contains_key(&row.pool));
    for engine in without_pool {
        let from = ObjectId::Engine(engine.id.clone());
        broken.push(missing(from, "pool", ObjectId::Pool(engine.pool.clone())));
    }
}
