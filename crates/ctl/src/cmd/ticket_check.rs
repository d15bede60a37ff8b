//! `ticket check`.

use applefold_core::ticket::{ChangeTicket, TicketRefusal};
use serde_json::json;

use crate::answer::CheckedTicket;
use crate::cmd::args::{SettingArgs, TicketCheck};
use crate::cmd::{connect, read_input};
use crate::exit::ExitStatus;

impl TicketCheck {
    pub(crate) async fn run(self, settings: &SettingArgs) -> eyre::Result<ExitStatus> {
        let text = read_input(self.file.as_deref())?;
        if self.offline {
            return Ok(self.check_offline(&text));
        }
        let client = connect(settings)?;
        let answer = match client.post("/operator/tickets/check", &text).await {
            Ok(answer) => answer,
            Err(fault) => return Ok(fault.report(self.json)),
        };
        if self.json {
            println!("{}", answer.text);
            return Ok(ExitStatus::Done);
        }
        match answer.read::<CheckedTicket>() {
            Ok(checked) => {
                println!(
                    "ticket {} is good: {} objects",
                    checked.ticket,
                    checked.touches.len()
                );
                Ok(ExitStatus::Done)
            }
            Err(fault) => Ok(fault.report(self.json)),
        }
    }

    /// References to objects of the running configuration stay unchecked.
    fn check_offline(&self, text: &str) -> ExitStatus {
        let ticket = match ChangeTicket::parse(text) {
            Ok(ticket) => ticket,
            Err(refusal) => return report_refusal(&refusal, self.json),
        };
        let touches = ticket.object_ids();
        match self.json {
            true => println!("{}", json!({"ticket": ticket.number, "touches": touches})),
            false => println!(
                "ticket {} can be read: {} objects",
                ticket.number,
                touches.len()
            ),
        }
        ExitStatus::Done
    }
}

/// Prints a refusal that no entry was needed for.
pub(super) fn report_refusal(refusal: &TicketRefusal, json: bool) -> ExitStatus {
    match json {
        true => println!("{}", json!({"error": refusal})),
        false => eprintln!("{refusal}"),
    }
    ExitStatus::Refused
}
