//! The report and status of this entry for operators.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

use applefold_core::code::{CallRefusal, ResultCode, RunState};
use applefold_core::id::{TeamId, WindowId};
use applefold_core::replication::Confirmation;
use applefold_core::unit::TimePoint;
use serde_json::{json, Value};
use smol_str::SmolStr;

use super::state::EntryState;

/// The number of latest fleet decisions that are kept.
const MAX_DECISIONS: usize = 200;
const FIRST_WINDOW: WindowId = WindowId(0);
const LAST_WINDOW: WindowId = WindowId(u64::MAX);

/// The counts of a team's requests since the process started.
#[derive(Clone, Copy, Debug, Default)]
struct TeamCounts {
    requests: u64,
    /// Requests that were refused without being run.
    refused: u64,
    /// Failed requests that ran or may have run.
    broken: u64,
}

/// A fleet decision, with the figures it was based on.
#[derive(Clone, Debug)]
struct DecisionRecord {
    at: TimePoint,
    system: &'static str,
    /// The decision and its figures, for display.
    text: String,
}

/// The request counts and fleet decisions of this entry since it started.
#[derive(Default)]
pub(crate) struct ActivityLog {
    teams: RefCell<BTreeMap<TeamId, TeamCounts>>,
    decisions: RefCell<VecDeque<DecisionRecord>>,
}

impl ActivityLog {
    /// Counts a request that has ended.
    pub(crate) fn record_request(&self, team: &TeamId, refusal: Option<CallRefusal>) {
        let mut teams = self.teams.borrow_mut();
        if !teams.contains_key(team) {
            teams.insert(team.clone(), TeamCounts::default());
        }
        let Some(counts) = teams.get_mut(team) else {
            return;
        };
        counts.requests += 1;
        match refusal.map(|refusal| refusal.code.run_state()) {
            None => {}
            Some(RunState::NotRun) => counts.refused += 1,
            Some(RunState::Ran | RunState::Unknown) => counts.broken += 1,
        }
    }

    /// Records a fleet decision, and drops the oldest beyond [`MAX_DECISIONS`].
    pub(crate) fn record_decision(&self, at: TimePoint, system: &'static str, text: String) {
        let mut decisions = self.decisions.borrow_mut();
        decisions.push_back(DecisionRecord { at, system, text });
        if decisions.len() > MAX_DECISIONS {
            decisions.pop_front();
        }
    }
}

/// Returns the report of this entry. Its usage figures are those of all meters connected to it.
pub(crate) fn report(state: &EntryState) -> Value {
    let aggregator = state.usage.aggregator.borrow();
    let sums = aggregator.sums(FIRST_WINDOW, LAST_WINDOW);
    let windows = sums.iter().map(|(key, totals)| {
        json!({
            "window": key.window,
            "team": key.team,
            "service": key.service,
            "prompt_tokens": totals.prompt_tokens,
            "answer_tokens": totals.answer_tokens,
            "requests": totals.requests,
        })
    });
    let counts = state.activity.teams.borrow();
    let teams = counts.iter().map(|(team, counts)| {
        let own = sums.iter().filter(|(key, _)| key.team == *team);
        let used = own.fold((0, 0), |(prompt, answer), (_, totals)| {
            (
                prompt + totals.prompt_tokens.0,
                answer + totals.answer_tokens.0,
            )
        });
        json!({
            "team": team,
            "requests": counts.requests,
            "refused": counts.refused,
            "broken": counts.broken,
            "prompt_tokens": used.0,
            "answer_tokens": used.1,
        })
    });
    let decisions = state.activity.decisions.borrow();
    let decisions = decisions
        .iter()
        .map(|note| json!({"at_ms": note.at.0 / 1_000, "system": note.system, "text": note.text}));
    json!({
        "instance": state.settings.instance,
        "teams": teams.collect::<Vec<_>>(),
        "usage_windows": windows.collect::<Vec<_>>(),
        "decisions": decisions.collect::<Vec<_>>(),
    })
}

/// A condition that needs an operator's attention.
struct StatusAlarm {
    code: ResultCode,
    text: SmolStr,
}

/// Returns the status of this entry and of its peers.
pub(crate) fn status(state: &EntryState) -> Value {
    let now = state.now();
    let confirmation = state.config.confirmation(now);
    let count = state.config.quorum_count(now);
    let serves = state.config.serves_keyed(now).is_ok();
    let age = (confirmation.age != Confirmation::NEVER).then(|| confirmation.age.as_millis());
    let table = state.links.borrow();
    let instances = table.rows.iter().map(|(id, row)| {
        json!({
            "id": id,
            "kind": if row.pool.is_some() { "backend" } else { "entry" },
            "domain": row.domain,
            "revision": row.revision,
            "age_ms": now.since(row.last_heartbeat_at).as_millis(),
            "state": row.state_label(),
        })
    });
    let summaries = state.leases.summaries(state);
    let leases = summaries.iter().map(|note| {
        json!({
            "scope": note.scope,
            "holder": note.owner,
            "fencing": note.fencing,
            "held_here": note.fencing.is_some(),
        })
    });
    let alarms = alarms(state, now);
    let alarms = alarms.iter();
    let alarms = alarms.map(|alarm| json!({"code": alarm.code, "text": alarm.text}));
    json!({
        "instance": state.settings.instance,
        "revision": confirmation.revision,
        "confirmed_ms_ago": age,
        "reach": {"reached": count.reached, "listed": count.listed, "holds": count.has_serve_quorum()},
        "serves_keyed": serves,
        "instances": instances.collect::<Vec<_>>(),
        "leases": leases.collect::<Vec<_>>(),
        "alarms": alarms.collect::<Vec<_>>(),
    })
}

fn alarms(state: &EntryState, now: TimePoint) -> Vec<StatusAlarm> {
    let mut alarms = Vec::new();
    if state.config.serves_keyed(now).is_err() {
        alarms.push(StatusAlarm {
            code: ResultCode::ConfigUnconfirmed,
            text: SmolStr::new_static(
                "the configuration is unconfirmed: this entry refuses calls with a caller key",
            ),
        });
    }
    if state.config.confirmation(now).age > state.settings.confirm_bound {
        alarms.push(StatusAlarm {
            code: ResultCode::PlatformUnavailable,
            text: SmolStr::new_static(
                "the platform has not confirmed the configuration within the bound",
            ),
        });
    }
    if state.config.may_file(now).is_err() {
        alarms.push(StatusAlarm {
            code: ResultCode::ReachTooSmall,
            text: SmolStr::new_static("too few entries are reachable to accept a ticket"),
        });
    }
    let refused = state.config.refused_entries();
    if refused > 0 {
        alarms.push(StatusAlarm {
            code: ResultCode::TicketMalformed,
            text: smol_str::format_smolstr!(
                "{refused} entries of the configuration log cannot be parsed"
            ),
        });
    }
    alarms.extend(unreachable_pools(state));
    alarms
}

/// Returns an alarm for each pool with listed backend servers but no connected one.
fn unreachable_pools(state: &EntryState) -> Vec<StatusAlarm> {
    let table = state.links.borrow();
    let mut pools: BTreeMap<&str, bool> = BTreeMap::new();
    for row in table.rows.values() {
        if let Some(pool) = &row.pool {
            *pools.entry(pool.as_str()).or_default() |= row.link.is_some();
        }
    }
    let lost = pools.iter().filter(|(_, reached)| !**reached);
    lost.map(|(pool, _)| StatusAlarm {
        code: ResultCode::BackendMissing,
        text: smol_str::format_smolstr!("no backend server of the pool {pool} is connected"),
    })
    .collect()
}
