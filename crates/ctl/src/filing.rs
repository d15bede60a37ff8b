//! Files a ticket and retries until its outcome is known or the timeout expires.

use std::time::{Duration, Instant};

use applefold_core::ticket::ChangeTicket;

use crate::client::{CallError, OperatorClient};
use crate::replication::wait_for_revision;
use crate::response::{AcceptedTicket, StoredTicket};

const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The result of filing a ticket.
pub(crate) enum FilingResult {
    /// It was accepted.
    Accepted(AcceptedTicket),
    /// It is committed to the log, but may not be in force at every live instance.
    Pending(AcceptedTicket),
    /// The log holds a different ticket under the same number.
    Conflict,
    /// It was refused, or its outcome is unknown.
    Failed(CallError),
}

/// Files `ticket`.
///
/// If no response arrives, reads the log to learn the outcome before it sends the ticket again.
pub(crate) async fn file_ticket(client: &OperatorClient, ticket: &ChangeTicket) -> FilingResult {
    let deadline = Instant::now() + client.timeout();
    let mut unknown = false;
    loop {
        let error = match client.post("/operator/tickets", &ticket.to_json()).await {
            Ok(response) => match response.read::<AcceptedTicket>() {
                Ok(accepted) => return FilingResult::Accepted(accepted),
                Err(error) => error,
            },
            Err(error) => error,
        };
        unknown |= error.is_unknown();
        if !unknown {
            return FilingResult::Failed(error);
        }
        if let Some(result) = find_committed(client, ticket, deadline).await {
            return result;
        }
        if Instant::now() >= deadline {
            return FilingResult::Failed(mark_unknown(error));
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Turns the refusal of a retry into an unknown outcome.
///
/// An earlier attempt got no response and may have been accepted, whatever the retry got.
fn mark_unknown(error: CallError) -> CallError {
    match error {
        CallError::Refused(error) if error.run_state == "not_run" => {
            CallError::NoResponse(format!("{} {}", error.code, error.message))
        }
        other => other,
    }
}

/// Reads the ticket with the same number from the log.
///
/// Returns `None` if it cannot be read or is not committed. If it is the same ticket, waits until
/// its revision is in force at every live instance, or until `deadline`.
async fn find_committed(
    client: &OperatorClient,
    ticket: &ChangeTicket,
    deadline: Instant,
) -> Option<FilingResult> {
    let path = format!("/operator/tickets/{}", ticket.number);
    let stored: StoredTicket = client.get(&path).await.ok()?.read().ok()?;
    let committed = ChangeTicket::parse(&stored.body.to_string()).ok()?;
    if committed.digest() != ticket.digest() {
        return Some(FilingResult::Conflict);
    }
    let accepted = AcceptedTicket {
        ticket: ticket.number.0,
        revision: stored.revision,
        repeat: false,
    };
    match wait_for_revision(client, stored.revision, deadline).await {
        Ok(true) => Some(FilingResult::Accepted(accepted)),
        Ok(false) | Err(_) => Some(FilingResult::Pending(accepted)),
    }
}
