//! Files the change tickets of operators.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::id::Revision;
use applefold_core::ticket::{
    ChangeTicket, ConfigPush, FilingOutcome, FilingStep, TicketFiling, TicketRefusal,
};
use applefold_core::unit::TimeSpan;

use super::config;
use super::state::EntryState;

/// How long a ticket waits for a quorum of entries to be reachable.
const QUORUM_TIMEOUT: TimeSpan = TimeSpan::from_secs(3);
/// How long writing the ticket to the store is retried.
const FILING_TIMEOUT: TimeSpan = TimeSpan::from_secs(4);
/// How long an accepted ticket waits until enough entries run its revision.
const REPLICATION_TIMEOUT: TimeSpan = TimeSpan::from_secs(4);
const POLL_PERIOD: Duration = Duration::from_millis(50);
/// The retry delay in refusals of tickets with an unknown outcome.
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);

/// An accepted ticket.
pub(crate) struct FiledTicket {
    /// The revision of the configuration that includes it.
    pub(crate) revision: Revision,
    /// Whether the same ticket had been accepted before.
    pub(crate) duplicate: bool,
}

/// Why a ticket was not acknowledged.
pub(crate) enum FilingError {
    /// The ticket is invalid or conflicts with the configuration.
    Ticket(TicketRefusal),
    /// The ticket cannot be filed now, or its outcome is unknown.
    Call(CallRefusal),
}

/// Files a ticket and waits until it may be acknowledged.
///
/// # Errors
///
/// Fails if the ticket is refused, too few entries are reachable, or the store or the replication
/// takes too long.
pub(crate) async fn file(
    state: &Rc<EntryState>,
    ticket: ChangeTicket,
) -> Result<FiledTicket, FilingError> {
    state.config.begin_filing(state.now());
    wait_quorum(state).await.map_err(FilingError::Call)?;
    let filed = submit(state, ticket).await?;
    wait_replication(state, filed.revision).await?;
    Ok(filed)
}

async fn wait_quorum(state: &EntryState) -> Result<(), CallRefusal> {
    let deadline = state.now() + QUORUM_TIMEOUT;
    loop {
        let now = state.now();
        match state.config.may_file(now) {
            Ok(()) => return Ok(()),
            Err(refusal) if now >= deadline => return Err(refusal),
            Err(_) => actix_rt::time::sleep(POLL_PERIOD).await,
        }
    }
}

async fn submit(state: &Rc<EntryState>, ticket: ChangeTicket) -> Result<FiledTicket, FilingError> {
    let known = state.config.with(Clone::clone);
    let deadline = state.now() + FILING_TIMEOUT;
    let mut filing = TicketFiling::new(ticket, known, deadline);
    loop {
        match filing.step(state.now()) {
            FilingStep::Call(call) => {
                let sent_at = state.now();
                let answer = state.platform.config(call).await;
                filing.handle_reply(answer, sent_at, state.now());
            }
            FilingStep::Wait(span) => {
                actix_rt::time::sleep(Duration::from_micros(span.0)).await;
            }
            FilingStep::Done(outcome) => {
                let read = Box::new(filing.config().clone());
                config::apply_push(state, ConfigPush::Whole(read));
                return filing_result(outcome);
            }
        }
    }
}

fn filing_result(outcome: FilingOutcome) -> Result<FiledTicket, FilingError> {
    match outcome {
        FilingOutcome::Accepted {
            revision,
            duplicate,
        } => Ok(FiledTicket {
            revision,
            duplicate,
        }),
        FilingOutcome::Refused(refusal) => Err(FilingError::Ticket(refusal)),
        FilingOutcome::Unknown => Err(unsettled()),
    }
}

fn unsettled() -> FilingError {
    let code = ResultCode::TicketUnsettled;
    FilingError::Call(CallRefusal::retryable(code, RETRY_SOON))
}

/// Waits until so many entries run the revision of a ticket that the remaining ones have no quorum
/// to serve without it. Only then may the ticket be acknowledged.
async fn wait_replication(state: &EntryState, revision: Revision) -> Result<(), FilingError> {
    let deadline = state.now() + REPLICATION_TIMEOUT;
    while !state.config.may_acknowledge(revision) {
        if state.now() >= deadline {
            return Err(unsettled());
        }
        actix_rt::time::sleep(POLL_PERIOD).await;
    }
    Ok(())
}
