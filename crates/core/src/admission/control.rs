use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::admission::limit::TeamMeter;
use crate::admission::{TeamDemand, TeamLimit, TeamShares};
use crate::code::{CallRefusal, ResultCode};
use crate::id::{InstanceId, TeamId};
use crate::routing::{RouteCandidate, RouteChoice};
use crate::unit::{TimePoint, TimeSpan, TokenCount};

const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(50);
const MAX_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(60);
const MISSING_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// What "on time" means for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionDeadlines {
    /// The time left until the first token, or the answer of a plain service.
    pub ttft: TimeSpan,
    /// The longest time between tokens; `None` where nobody reads along.
    pub max_inter_token_latency: Option<TimeSpan>,
}

/// A request that asks to be taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The team that it runs for.
    pub team: TeamId,
    /// The length of its prompt.
    pub prompt_tokens: TokenCount,
    /// The longest answer that it allows.
    pub answer_tokens: TokenCount,
    /// When it must be answered.
    pub deadlines: AdmissionDeadlines,
}

impl AdmissionRequest {
    fn tokens(&self) -> TokenCount {
        self.prompt_tokens + self.answer_tokens
    }
}

/// Decides at one entry which requests are taken in.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    shares: TeamShares,
    meters: BTreeMap<TeamId, TeamMeter>,
}

impl AdmissionControl {
    /// Creates a control for entries that send heartbeats every `period`.
    pub fn new(period: TimeSpan) -> Self {
        Self {
            shares: TeamShares::new(period),
            meters: BTreeMap::new(),
        }
    }

    /// Sets the limits of a team.
    pub fn set_limit(&mut self, team: TeamId, limit: TeamLimit, now: TimePoint) {
        let meter = self.meters.entry(team);
        let meter = meter.or_insert_with(|| TeamMeter::new(limit, now));
        meter.limit = limit;
    }

    /// Forgets a team that the configuration no longer has.
    pub fn remove_team(&mut self, team: &TeamId) {
        self.meters.remove(team);
    }

    /// Sets the number of entries on the instance list, this one included.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.shares.set_entry_count(entries);
    }

    /// Takes in what a peer published of its teams' use.
    pub fn observe(&mut self, peer: InstanceId, entries: u32, uses: &[TeamDemand], now: TimePoint) {
        self.shares.observe(peer, entries, uses, now);
    }

    /// Ends a heartbeat period and returns what the heartbeat is to carry.
    pub fn publish(&mut self, now: TimePoint) -> Vec<TeamDemand> {
        self.shares.publish(now)
    }

    /// Returns the requests of a team that run through this entry.
    pub fn running(&self, team: &TeamId) -> u64 {
        self.meters.get(team).map_or(0, |meter| meter.running.get())
    }

    /// Takes in a request, or refuses it at once.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::TeamOverLimit`], [`ResultCode::BackendMissing`]
    /// or [`ResultCode::DeadlineHopeless`], and says when a repeat may succeed.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest,
        choice: &RouteChoice,
        now: TimePoint,
    ) -> Result<AdmissionTicket, CallRefusal> {
        let asked = request.tokens().max(TokenCount(1));
        self.shares.record_demand(&request.team, asked, now);
        let share = self.shares.share(&request.team, now);
        let fresh = || TeamMeter::new(TeamLimit::default(), now);
        let meter = self.meters.entry(request.team.clone());
        let meter = meter.or_insert_with(fresh);
        let wait = meter.wait(share, now);
        if wait > TimeSpan::ZERO {
            return Err(passing(ResultCode::TeamOverLimit, wait));
        }
        check_deadlines(request, choice)?;
        meter.charge(request.tokens());
        Ok(AdmissionTicket {
            charged: request.tokens(),
            running: Rc::clone(&meter.running),
            unused: Rc::clone(&meter.unused),
        })
    }
}

/// A place among the running requests of a team, given back when it is dropped.
#[derive(Debug)]
pub struct AdmissionTicket {
    charged: TokenCount,
    running: Rc<Cell<u64>>,
    unused: Rc<Cell<u64>>,
}

impl AdmissionTicket {
    /// Ends the request and hands back what was charged and not `used`.
    pub fn finish(self, used: TokenCount) {
        let unused = self.charged.saturating_sub(used);
        self.unused.set(self.unused.get() + unused.0);
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        self.running.set(self.running.get() - 1);
    }
}

fn check_deadlines(request: &AdmissionRequest, choice: &RouteChoice) -> Result<(), CallRefusal> {
    let missing = CallRefusal::retryable(ResultCode::BackendMissing, MISSING_RETRY_AFTER);
    if choice.candidates.is_empty() {
        return Err(missing);
    }
    let waits = choice.candidates.iter().map(|one| lateness(request, one));
    let least = waits.min().unwrap_or(Lateness::Never);
    match least {
        Lateness::OnTime => Ok(()),
        Lateness::After(span) => Err(passing(ResultCode::DeadlineHopeless, span)),
        Lateness::Never => Err(CallRefusal::permanent(ResultCode::DeadlineHopeless)),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lateness {
    OnTime,
    After(TimeSpan),
    Never,
}

/// Only what no queue could mend counts here: whose turn it is, and so who is late,
/// is known at the sidecar alone, and its queue refuses at once what is late there.
fn lateness(request: &AdmissionRequest, one: &RouteCandidate) -> Lateness {
    let due = request.deadlines.ttft;
    if one.unloaded_ttft > due {
        return Lateness::Never;
    }
    match crowding(request, one) {
        None => Lateness::Never,
        Some(TimeSpan::ZERO) => Lateness::OnTime,
        Some(crowd) => Lateness::After(crowd),
    }
}

/// The time until few enough requests share the backend server, each ending
/// after about as many tokens as this one asks for; `None` where even one is too slow.
fn crowding(request: &AdmissionRequest, one: &RouteCandidate) -> Option<TimeSpan> {
    let Some(most) = request.deadlines.max_inter_token_latency else {
        return Some(TimeSpan::ZERO);
    };
    if one.unloaded_inter_token_latency > most {
        return None;
    }
    if one.inter_token_latency <= most {
        return Some(TimeSpan::ZERO);
    }
    let excess = one.inter_token_latency.saturating_sub(most);
    Some(TimeSpan(excess.0.saturating_mul(request.answer_tokens.0)))
}

fn passing(code: ResultCode, span: TimeSpan) -> CallRefusal {
    CallRefusal::retryable(code, span.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
