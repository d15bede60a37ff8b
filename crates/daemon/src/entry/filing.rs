//! Files tickets that operators send.

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

/// How long the other entries are waited for before a ticket is refused.
const QUORUM_TIMEOUT: TimeSpan = TimeSpan::from_secs(3);
/// How long the store is tried.
const FILING_TIMEOUT: TimeSpan = TimeSpan::from_secs(4);
/// How long an accepted ticket is waited for to be in force widely enough.
const REPLICATION_TIMEOUT: TimeSpan = TimeSpan::from_secs(4);
const POLL_PERIOD: Duration = Duration::from_millis(50);
const RETRY_SOON: TimeSpan = TimeSpan::from_secs(1);

/// A ticket that was accepted.
pub(crate) struct FiledTicket {
    pub(crate) revision: Revision,
    pub(crate) repeat: bool,
}

/// Why a ticket was not acknowledged.
pub(crate) enum FilingError {
    /// The ticket itself is wrong.
    Ticket(TicketRefusal),
    /// The system cannot accept or settle it now.
    Call(CallRefusal),
}

/// Files a ticket and waits until it may be acknowledged.
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
            repeat: duplicate,
        }),
        FilingOutcome::Refused(refusal) => Err(FilingError::Ticket(refusal)),
        FilingOutcome::Unknown => Err(unsettled()),
    }
}

fn unsettled() -> FilingError {
    let code = ResultCode::TicketUnsettled;
    FilingError::Call(CallRefusal::retryable(code, RETRY_SOON))
}

/// Before it is acknowledged, a ticket runs at so many entries that no other part
/// of them can serve on without it.
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
