//! Parses and validates a ticket in JSON.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use serde_json::Value;
use smol_str::SmolStr;

use crate::code::ResultCode;
use crate::config::{
    EngineConfig, KeyConfig, ObjectId, PoolConfig, PoolKind, RolePolicy, ServiceConfig,
    ServiceRoute, TeamAccess, TeamConfig, TeamLimits, TeamWeight, EVERY_TEAM,
};
use crate::id::TicketNumber;
use crate::ticket::enums::{RemoveKind, KINDS, PRIORITIES, REMOVE_KINDS, ROLES, STATES};
use crate::ticket::field::FieldReader;
use crate::ticket::refusal::{TicketFault, TicketRefusal};
use crate::ticket::strict::StrictValue;
use crate::ticket::{ChangeTicket, MAX_TICKET_SIZE};
use crate::unit::{ByteSize, CallRate, TimeSpan, TokenCount, TokenRate};

/// The largest integer that JSON parsers which store numbers as doubles represent exactly.
const MAX_EXACT_NUMBER: u64 = (1 << 53) - 1;
const POSITIVE: RangeInclusive<u64> = 1..=MAX_EXACT_NUMBER;
const WEIGHTS: RangeInclusive<u64> = TeamWeight::MIN.0 as u64..=TeamWeight::MAX.0 as u64;
const DEADLINE_MILLIS: RangeInclusive<u64> = 1..=3_600_000;
const BODY_BYTES: RangeInclusive<u64> = 1..=8 * 1_024 * 1_024;
const POOL_SIZES: RangeInclusive<u64> = 0..=100_000;
const MAX_NOTE_BYTES: usize = 4_096;
const RESERVED_PREFIXES: [&str; 2] = ["/v1/", "/operator/"];
const AN_ID: &str = "an identifier";

impl ChangeTicket {
    /// Parses a ticket. A refusal lists every fault found, not only the first.
    pub fn parse(text: &str) -> Result<Self, TicketRefusal> {
        if text.len() as u64 > MAX_TICKET_SIZE.0 {
            let expected = format!("at most {MAX_TICKET_SIZE}");
            let fault = TicketFault::new("", expected, ResultCode::TicketTooLarge);
            return Err(TicketRefusal::one(fault));
        }
        let value: StrictValue = serde_json::from_str(text).map_err(|error| {
            let expected = format!("a JSON object: {error}");
            TicketRefusal::one(TicketFault::new("", expected, ResultCode::TicketMalformed))
        })?;
        let mut faults = Vec::new();
        let ticket = read_ticket(&value.0, &mut faults);
        if let Some(ticket) = &ticket {
            check_duplicates(ticket, &mut faults);
        }
        TicketRefusal::check(faults)?;
        Ok(ticket.expect("a ticket without faults is read"))
    }
}

fn read_ticket(value: &Value, faults: &mut Vec<TicketFault>) -> Option<ChangeTicket> {
    let mut fields = FieldReader::new(value, "", faults)?;
    let number = fields.integer("ticket", POSITIVE);
    let author = fields.text("author", "the name of the author");
    check_length(&mut fields, "author", author.as_ref());
    let note = fields.optional_text("note");
    check_length(&mut fields, "note", note.as_ref());
    let teams = fields.objects("teams", read_team);
    let keys = fields.objects("keys", read_key);
    let services = fields.objects("services", read_service);
    let pools = fields.objects("pools", read_pool);
    let engines = fields.objects("engines", read_engine);
    let remove = fields.objects("remove", read_removal);
    fields.reject_unknown();
    Some(ChangeTicket {
        number: TicketNumber(number?),
        author: author?,
        note,
        teams,
        keys,
        services,
        pools,
        engines,
        remove,
    })
}

fn check_length(fields: &mut FieldReader<'_>, name: &str, text: Option<&SmolStr>) {
    let Some(text) = text else {
        return;
    };
    if text.is_empty() || text.len() > MAX_NOTE_BYTES {
        let expected = format!("a text of 1 to {MAX_NOTE_BYTES} bytes");
        fields.record_fault(name, expected, ResultCode::FieldOutOfRange);
    }
}

/// Rejects a ticket that names an object twice, since its new state would be ambiguous.
fn check_duplicates(ticket: &ChangeTicket, faults: &mut Vec<TicketFault>) {
    let mut seen = BTreeSet::new();
    for object in ticket.touched_objects() {
        if seen.contains(&object.id) {
            let expected = format!("{} once in the ticket", object.id);
            faults.push(TicketFault::new(
                &object.path,
                expected,
                ResultCode::FieldOutOfRange,
            ));
        }
        seen.insert(object.id);
    }
}

fn read_team(value: &Value, path: &str, faults: &mut Vec<TicketFault>) -> Option<TeamConfig> {
    let mut fields = FieldReader::new(value, path, faults)?;
    let id = fields.text("id", AN_ID);
    let weight = fields.integer("weight", WEIGHTS);
    let limits = fields.object("limits", read_limits);
    fields.reject_unknown();
    Some(TeamConfig {
        id: id?,
        weight: TeamWeight(u32::try_from(weight?).ok()?),
        limits: limits.unwrap_or_default(),
    })
}

fn read_limits(value: &Value, path: &str, faults: &mut Vec<TicketFault>) -> Option<TeamLimits> {
    let mut fields = FieldReader::new(value, path, faults)?;
    let limits = TeamLimits {
        requests_per_s: fields
            .optional_integer("requests_per_s", POSITIVE)
            .map(CallRate),
        tokens_per_s: fields
            .optional_integer("tokens_per_s", POSITIVE)
            .map(TokenRate),
        running: fields.optional_integer("running", POSITIVE),
    };
    fields.reject_unknown();
    Some(limits)
}

fn read_key(value: &Value, path: &str, faults: &mut Vec<TicketFault>) -> Option<KeyConfig> {
    let mut fields = FieldReader::new(value, path, faults)?;
    let id = fields.text("id", AN_ID);
    let team = fields.text("team", "the identifier of a team");
    let sha256 = fields.text("sha256", "64 hexadecimal digits");
    let state = fields.enum_value("state", &STATES);
    fields.reject_unknown();
    Some(KeyConfig {
        id: id?,
        team: team?,
        sha256: sha256?,
        state: state?,
    })
}

fn read_service(value: &Value, path: &str, faults: &mut Vec<TicketFault>) -> Option<ServiceConfig> {
    let mut fields = FieldReader::new(value, path, faults)?;
    let id = fields.text("id", AN_ID);
    let route = read_route(&mut fields);
    let pool = fields.text("pool", "the identifier of a pool");
    let open = fields.boolean("open");
    let teams = read_access(&mut fields);
    let repeatable = fields.boolean("repeatable");
    let unrepeatable_paths = read_paths(&mut fields);
    let deadline = fields.integer("deadline_ms", DEADLINE_MILLIS);
    let max_body = fields.integer("max_body_bytes", BODY_BYTES);
    let priority = fields.enum_value("priority", &PRIORITIES);
    fields.reject_unknown();
    Some(ServiceConfig {
        id: id?,
        route: route?,
        pool: pool?,
        open: open?,
        teams: teams?,
        repeatable: repeatable?,
        unrepeatable_paths,
        deadline: TimeSpan::from_millis(deadline?),
        max_body_bytes: ByteSize(max_body?),
        priority: priority?,
    })
}

fn read_route(fields: &mut FieldReader<'_>) -> Option<ServiceRoute> {
    match fields.enum_value("kind", &KINDS)? {
        PoolKind::Model => {
            let models = fields.text_set("models", "a list of models")?;
            if models.is_empty() {
                fields.record_fault("models", "at least one model", ResultCode::FieldOutOfRange);
            }
            Some(ServiceRoute::Model { models })
        }
        PoolKind::Plain => {
            let path_prefix: SmolStr = fields.text("path_prefix", "a path")?;
            check_prefix(fields, &path_prefix);
            Some(ServiceRoute::Plain { path_prefix })
        }
    }
}

fn check_prefix(fields: &mut FieldReader<'_>, prefix: &SmolStr) {
    let has_slashes = prefix.len() > 1 && prefix.starts_with('/') && prefix.ends_with('/');
    let is_reserved = RESERVED_PREFIXES
        .iter()
        .any(|reserved| prefix.starts_with(reserved));
    if !has_slashes || is_reserved {
        let expected = "a path such as /till/ that does not start with /v1/ or /operator/";
        fields.record_fault("path_prefix", expected, ResultCode::FieldOutOfRange);
    }
}

fn read_access(fields: &mut FieldReader<'_>) -> Option<TeamAccess> {
    let names: BTreeSet<SmolStr> = fields.text_set("teams", "a list of teams, or [\"*\"]")?;
    if names.iter().any(|name| name == EVERY_TEAM) && names.len() > 1 {
        fields.record_fault("teams", "\"*\" alone", ResultCode::FieldOutOfRange);
    }
    match TeamAccess::try_from(names.into_iter().collect::<Vec<_>>()) {
        Ok(access) => Some(access),
        Err(error) => {
            fields.record_fault("teams", error, ResultCode::FieldOutOfRange);
            None
        }
    }
}

fn read_paths(fields: &mut FieldReader<'_>) -> BTreeSet<SmolStr> {
    let name = "unrepeatable_paths";
    let Some(value) = fields.optional(name) else {
        return BTreeSet::new();
    };
    let paths: BTreeSet<SmolStr> = fields
        .parse_text_set(name, value, "a list of paths")
        .unwrap_or_default();
    if paths.iter().any(|path| !path.starts_with('/')) {
        fields.record_fault(name, "paths that start with /", ResultCode::FieldOutOfRange);
    }
    paths
}

fn read_pool(value: &Value, path: &str, faults: &mut Vec<TicketFault>) -> Option<PoolConfig> {
    let mut fields = FieldReader::new(value, path, faults)?;
    let id = fields.text("id", AN_ID);
    let kind = fields.enum_value("kind", &KINDS);
    let min = fields.integer("min", POOL_SIZES);
    let max = fields.integer("max", POOL_SIZES);
    if min.zip(max).is_some_and(|(min, max)| min > max) {
        fields.record_fault("max", "a number not below min", ResultCode::FieldOutOfRange);
    }
    let domains: Option<BTreeSet<_>> =
        fields.text_set("failure_domains", "a list of failure domains");
    if domains.as_ref().is_some_and(BTreeSet::is_empty) {
        let expected = "at least one failure domain";
        fields.record_fault("failure_domains", expected, ResultCode::FieldOutOfRange);
    }
    let roles = fields.object("roles", read_roles);
    let prefill_rate = fields.optional_integer("prefill_rate", POSITIVE);
    let decode_rate = fields.optional_integer("decode_rate", POSITIVE);
    let memory_tokens = fields.optional_integer("memory_tokens", POSITIVE);
    fields.reject_unknown();
    Some(PoolConfig {
        id: id?,
        kind: kind?,
        min: min?,
        max: max?,
        failure_domains: domains?,
        roles: roles.unwrap_or_default(),
        prefill_rate: prefill_rate.map(TokenRate),
        decode_rate: decode_rate.map(TokenRate),
        memory_tokens: memory_tokens.map(TokenCount),
    })
}

fn read_roles(value: &Value, path: &str, faults: &mut Vec<TicketFault>) -> Option<RolePolicy> {
    let mut fields = FieldReader::new(value, path, faults)?;
    let fixed = fields.boolean("fixed");
    fields.reject_unknown();
    Some(RolePolicy { fixed: fixed? })
}

fn read_engine(value: &Value, path: &str, faults: &mut Vec<TicketFault>) -> Option<EngineConfig> {
    let mut fields = FieldReader::new(value, path, faults)?;
    let id = fields.text("id", AN_ID);
    let pool = fields.text("pool", "the identifier of a pool");
    let state = fields.enum_value("state", &STATES);
    let role = fields.enum_value("role", &ROLES);
    fields.reject_unknown();
    Some(EngineConfig {
        id: id?,
        pool: pool?,
        state: state?,
        role: role?,
    })
}

fn read_removal(value: &Value, path: &str, faults: &mut Vec<TicketFault>) -> Option<ObjectId> {
    let mut fields = FieldReader::new(value, path, faults)?;
    let kind = fields.enum_value("kind", &REMOVE_KINDS);
    let id: Option<SmolStr> = fields.text("id", AN_ID);
    let object = kind.zip(id.as_ref()).map(|(kind, id)| match kind {
        RemoveKind::Team => id.parse().map(ObjectId::Team),
        RemoveKind::Key => id.parse().map(ObjectId::Key),
        RemoveKind::Service => id.parse().map(ObjectId::Service),
        RemoveKind::Pool => id.parse().map(ObjectId::Pool),
        RemoveKind::Engine => id.parse().map(ObjectId::Engine),
    });
    if let Some(Err(error)) = &object {
        fields.record_fault("id", error, ResultCode::FieldOutOfRange);
    }
    fields.reject_unknown();
    object?.ok()
}
