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

/// The latency limits of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionDeadlines {
    /// The time left until the first token, or until the response of a plain service, is due.
    pub ttft: TimeSpan,
    /// The longest acceptable time between tokens; `None` if nobody reads the stream as it arrives.
    pub max_inter_token_latency: Option<TimeSpan>,
}

/// A request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The team of the caller.
    pub team: TeamId,
    /// The length of the prompt.
    pub prompt_tokens: TokenCount,
    /// The maximum number of tokens to generate.
    pub answer_tokens: TokenCount,
    /// The latency limits.
    pub deadlines: AdmissionDeadlines,
}

impl AdmissionRequest {
    fn tokens(&self) -> TokenCount {
        self.prompt_tokens + self.answer_tokens
    }
}

/// Decides which requests one entry admits.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    shares: TeamShares,
    meters: BTreeMap<TeamId, TeamMeter>,
}

impl AdmissionControl {
    /// Creates an admission control for entries that exchange heartbeats every `period`.
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

    /// Removes a team that is no longer configured.
    pub fn remove_team(&mut self, team: &TeamId) {
        self.meters.remove(team);
    }

    /// Sets the number of registered entries, including this one.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.shares.set_entry_count(entries);
    }

    /// Records the demand that a peer published, on behalf of `entries` entries.
    pub fn observe(&mut self, peer: InstanceId, entries: u32, uses: &[TeamDemand], now: TimePoint) {
        self.shares.observe(peer, entries, uses, now);
    }

    /// Ends a heartbeat period and returns the demand to publish with the heartbeat.
    pub fn publish(&mut self, now: TimePoint) -> Vec<TeamDemand> {
        self.shares.publish(now)
    }

    /// Returns the number of running requests that this entry has admitted for a team.
    pub fn running(&self, team: &TeamId) -> u64 {
        self.meters.get(team).map_or(0, |meter| meter.running.get())
    }

    /// Admits a request or refuses it at once.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::TeamOverLimit`], [`ResultCode::BackendMissing`]
    /// or [`ResultCode::DeadlineHopeless`]. A retryable refusal states when a retry may succeed.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest,
        choice: &RouteChoice,
        now: TimePoint,
    ) -> Result<AdmissionTicket, CallRefusal> {
        let demanded = request.tokens().max(TokenCount(1));
        self.shares.record_demand(&request.team, demanded, now);
        let share = self.shares.share(&request.team, now);
        let new_meter = || TeamMeter::new(TeamLimit::default(), now);
        let meter = self.meters.entry(request.team.clone());
        let meter = meter.or_insert_with(new_meter);
        let wait = meter.wait_time(share, now);
        if wait > TimeSpan::ZERO {
            return Err(retryable_refusal(ResultCode::TeamOverLimit, wait));
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

/// Counts an admitted request among the running requests of its team until it is dropped.
#[derive(Debug)]
pub struct AdmissionTicket {
    charged: TokenCount,
    running: Rc<Cell<u64>>,
    unused: Rc<Cell<u64>>,
}

impl AdmissionTicket {
    /// Ends the request and refunds the tokens that were charged but not `used`.
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
    let outlooks = choice
        .candidates
        .iter()
        .map(|candidate| deadline_outlook(request, candidate));
    let best = outlooks.min().unwrap_or(DeadlineOutlook::Unreachable);
    match best {
        DeadlineOutlook::Met => Ok(()),
        DeadlineOutlook::MetAfter(span) => {
            Err(retryable_refusal(ResultCode::DeadlineHopeless, span))
        }
        DeadlineOutlook::Unreachable => Err(CallRefusal::permanent(ResultCode::DeadlineHopeless)),
    }
}

/// Whether a deadline can be met now, after a time, or never; earlier variants are better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DeadlineOutlook {
    Met,
    MetAfter(TimeSpan),
    Unreachable,
}

/// Checks the deadlines against the service times of a candidate, without its queue.
///
/// Only the sidecar knows the order of its queue, and with it which requests would be
/// late. Its queue refuses those at once.
fn deadline_outlook(request: &AdmissionRequest, candidate: &RouteCandidate) -> DeadlineOutlook {
    let max_ttft = request.deadlines.ttft;
    if candidate.unloaded_ttft > max_ttft {
        return DeadlineOutlook::Unreachable;
    }
    match inter_token_wait(request, candidate) {
        None => DeadlineOutlook::Unreachable,
        Some(TimeSpan::ZERO) => DeadlineOutlook::Met,
        Some(wait) => DeadlineOutlook::MetAfter(wait),
    }
}

/// Returns the time until the inter-token latency of a candidate is within the limit.
///
/// The latency falls as the running requests end, each of them after about as many
/// tokens as this request asks for. Returns `None` if a backend server without other
/// requests is already too slow.
fn inter_token_wait(request: &AdmissionRequest, candidate: &RouteCandidate) -> Option<TimeSpan> {
    let Some(max_latency) = request.deadlines.max_inter_token_latency else {
        return Some(TimeSpan::ZERO);
    };
    if candidate.unloaded_inter_token_latency > max_latency {
        return None;
    }
    if candidate.inter_token_latency <= max_latency {
        return Some(TimeSpan::ZERO);
    }
    let excess = candidate.inter_token_latency.saturating_sub(max_latency);
    Some(TimeSpan(excess.0.saturating_mul(request.answer_tokens.0)))
}

fn retryable_refusal(code: ResultCode, span: TimeSpan) -> CallRefusal {
    CallRefusal::retryable(code, span.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
