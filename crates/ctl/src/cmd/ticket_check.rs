//! The `ticket check` command.

use applefold_core::ticket::{ChangeTicket, TicketRefusal};
use serde_json::json;

use crate::cmd::args::{SettingArgs, TicketCheck};
use crate::cmd::{build_client, read_input};
use crate::exit::ExitStatus;
use crate::response::CheckedTicket;

impl TicketCheck {
    pub(crate) async fn run(self, settings: &SettingArgs) -> eyre::Result<ExitStatus> {
        let text = read_input(self.file.as_deref())?;
        if self.offline {
            return Ok(self.check_offline(&text));
        }
        let client = build_client(settings)?;
        let response = match client.post("/operator/tickets/check", &text).await {
            Ok(response) => response,
            Err(error) => return Ok(error.report(self.json)),
        };
        if self.json {
            println!("{}", response.text);
            return Ok(ExitStatus::Done);
        }
        match response.read::<CheckedTicket>() {
            Ok(checked) => {
                println!(
                    "ticket {} is valid and changes {} objects",
                    checked.ticket,
                    checked.touches.len()
                );
                Ok(ExitStatus::Done)
            }
            Err(error) => Ok(error.report(self.json)),
        }
    }

    /// Validates the ticket locally; references to objects of the running configuration are not
    /// checked.
    fn check_offline(&self, text: &str) -> ExitStatus {
        let ticket = match ChangeTicket::parse(text) {
            Ok(ticket) => ticket,
            Err(refusal) => return report_refusal(&refusal, self.json),
        };
        let touches = ticket.object_ids();
        match self.json {
            true => println!("{}", json!({"ticket": ticket.number, "touches": touches})),
            false => println!(
                "ticket {} is well-formed and changes {} objects",
                ticket.number,
                touches.len()
            ),
        }
        ExitStatus::Done
    }
}

/// Prints a refusal that was found locally, without calling an entry.
pub(super) fn report_refusal(refusal: &TicketRefusal, json: bool) -> ExitStatus {
    match json {
        true => println!("{}", json!({"error": refusal})),
        false => eprintln!("{refusal}"),
    }
    ExitStatus::Refused
}
