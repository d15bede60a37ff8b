//! References between objects, checked on the configuration that a ticket would make.

use std::collections::BTreeMap;
use std::fmt;

use smol_str::{SmolStr, ToSmolStr};

use crate::code::ResultCode;
use crate::config::{ObjectId, ServiceConfig, ServiceRoute, ServingConfig, TeamAccess};
use crate::ticket::refusal::TicketFault;
use crate::ticket::TouchedObject;

/// One reference that leads nowhere, or one value that two objects claim.
struct BrokenLink {
    from: ObjectId,
    field: SmolStr,
    to: ObjectId,
    code: ResultCode,
    expected: SmolStr,
}

/// The places of a ticket, so that a fault is told where its author can mend it.
struct TicketPlaces {
    paths: BTreeMap<ObjectId, SmolStr>,
}

impl TicketPlaces {
    fn fault_of(&self, link: &BrokenLink) -> TicketFault {
        if let Some(path) = self.paths.get(&link.from) {
            let path = format!("{path}.{}", link.field);
            return TicketFault::new(&path, &link.expected, link.code);
        }
        let path = self.paths.get(&link.to).map(SmolStr::as_str);
        let expected = format!("what {} needs: {}", link.from, link.expected);
        TicketFault::new(path.unwrap_or_default(), expected, link.code)
    }
}

/// Returns a fault for each broken link of `config`.
pub(crate) fn check_links(config: &ServingConfig, touched: &[TouchedObject]) -> Vec<TicketFault> {
    let mut links = Vec::new();
    check_keys(config, &mut links);
    check_services(config, &mut links);
    check_engines(config, &mut links);
    let paths = touched
        .iter()
        .map(|object| (object.id.clone(), object.path.clone()));
    let places = TicketPlaces {
        paths: paths.collect(),
    };
    links.iter().map(|link| places.fault_of(link)).collect()
}

fn missing(from: ObjectId, field: &str, to: ObjectId) -> BrokenLink {
    BrokenLink {
        from,
        field: SmolStr::new(field),
        expected: format!("an object that exists; {to} does not").to_smolstr(),
        to,
        code: ResultCode::ReferenceUnknown,
    }
}

fn claimed<V>(from: ObjectId, field: &str, owner: ObjectId, value: V) -> BrokenLink
where
    V: fmt::Display,
{
    BrokenLink {
        from,
        field: SmolStr::new(field),
        expected: format!("a value of its own; {owner} has {value}").to_smolstr(),
        to: owner,
        code: ResultCode::FieldOutOfRange,
    }
}

fn check_keys(config: &ServingConfig, links: &mut Vec<BrokenLink>) {
    let mut owners = BTreeMap::new();
    for key in config.keys.values() {
        let from = ObjectId::Key(key.id.clone());
        if !config.teams.contains_key(&key.team) {
            links.push(missing(
                from.clone(),
                "team",
                ObjectId::Team(key.team.clone()),
            ));
        }
        if let Some(owner) = owners.insert(key.sha256, from.clone()) {
            links.push(claimed(from, "sha256", owner, "the same digest"));
        }
    }
}

fn check_services(config: &ServingConfig, links: &mut Vec<BrokenLink>) {
    let mut models = BTreeMap::new();
    let mut prefixes = BTreeMap::new();
    for service in config.services.values() {
        check_pool(config, service, links);
        check_teams(config, service, links);
        let from = ObjectId::Service(service.id.clone());
        match &service.route {
            ServiceRoute::Model { models: offered } => {
                for model in offered {
                    if let Some(owner) = models.insert(model, from.clone()) {
                        links.push(claimed(from.clone(), "models", owner, model));
                    }
                }
            }
            ServiceRoute::Plain { path_prefix } => {
                if let Some(owner) = prefixes.insert(path_prefix, from.clone()) {
                    links.push(claimed(from, "path_prefix", owner, path_prefix));
                }
            }
        }
    }
}

fn check_pool(config: &ServingConfig, service: &ServiceConfig, links: &mut Vec<BrokenLink>) {
    let from = ObjectId::Service(service.id.clone());
    let to = ObjectId::Pool(service.pool.clone());
    let Some(pool) = config.pools.get(&service.pool) else {
        links.push(missing(from, "pool", to));
        return;
    };
    if pool.kind != service.route.pool_kind() {
        links.push(BrokenLink {
            from,
            field: SmolStr::new_static("pool"),
            expected: format!("a pool of the service's kind; {to} is of the other").to_smolstr(),
            to,
            code: ResultCode::FieldOutOfRange,
        });
    }
}

fn check_teams(config: &ServingConfig, service: &ServiceConfig, links: &mut Vec<BrokenLink>) {
    let TeamAccess::Listed(teams) = &service.teams else {
        return;
    };
    let unknown = teams
        .iter()
        .filter(|team| !config.teams.contains_key(*team));
    for team in unknown {
        let from = ObjectId::Service(service.id.clone());
        links.push(missing(from, "teams", ObjectId::Team(team.clone())));
    }
}

fn check_engines(config: &ServingConfig, links: &mut Vec<BrokenLink>) {
    let homeless = config
        .engines
        .values()
        .filter(|row| !config.pools.contains_key(&row.pool));
    for engine in homeless {
        let from = ObjectId::Engine(engine.id.clone());
        links.push(missing(from, "pool", ObjectId::Pool(engine.pool.clone())));
    }
}
