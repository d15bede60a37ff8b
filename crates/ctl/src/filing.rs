//! Files a ticket and does not speak before its outcome is known, or cannot be.

use std::time::{Duration, Instant};

use applefold_core::ticket::ChangeTicket;

use crate::answer::{AcceptedTicket, StoredTicket};
use crate::client::{CallFault, OperatorClient};
use crate::spread::wait_for_revision;

const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// What became of a ticket.
pub(crate) enum FiledTicket {
    /// It is accepted.
    Accepted(AcceptedTicket),
    /// It stands in the log, but it is not known whether it is in force everywhere.
    Pending(AcceptedTicket),
    /// Its number stands in the log with another content.
    Conflict,
    /// It was not accepted, or that is not known.
    Failed(CallFault),
}

/// Files `ticket`; after a lost answer the log is read before the ticket is sent again.
pub(crate) async fn file_ticket(client: &OperatorClient, ticket: &ChangeTicket) -> FiledTicket {
    let deadline = Instant::now() + client.timeout();
    let mut unknown = false;
    loop {
        let fault = match client.post("/operator/tickets", &ticket.to_json()).await {
            Ok(answer) => match answer.read::<AcceptedTicket>() {
                Ok(accepted) => return FiledTicket::Accepted(accepted),
                Err(fault) => fault,
            },
            Err(fault) => fault,
        };
        unknown |= fault.is_unknown();
        if !unknown {
            return FiledTicket::Failed(fault);
        }
        if let Some(settled) = read_back(client, ticket, deadline).await {
            return settled;
        }
        if Instant::now() >= deadline {
            return FiledTicket::Failed(forget_certainty(fault));
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

/// A refusal of a repeat says nothing of the first attempt, whose answer was lost.
fn forget_certainty(fault: CallFault) -> CallFault {
    match fault {
        CallFault::Refused(error) if error.run_state == "not_run" => {
            CallFault::Lost(format!("{} {}", error.code, error.message))
        }
        other => other,
    }
}

async fn read_back(
    client: &OperatorClient,
    ticket: &ChangeTicket,
    deadline: Instant,
) -> Option<FiledTicket> {
    let path = format!("/operator/tickets/{}", ticket.number);
    let stored: StoredTicket = client.get(&path).await.ok()?.read().ok()?;
    let found = ChangeTicket::parse(&stored.body.to_string()).ok()?;
    if found.digest() != ticket.digest() {
        return Some(FiledTicket::Conflict);
    }
    let accepted = AcceptedTicket {
        ticket: ticket.number.0,
        revision: stored.revision,
        repeat: false,
    };
    match wait_for_revision(client, stored.revision, deadline).await {
        Ok(true) => Some(FiledTicket::Accepted(accepted)),
        Ok(false) | Err(_) => Some(FiledTicket::Pending(accepted)),
    }
}
