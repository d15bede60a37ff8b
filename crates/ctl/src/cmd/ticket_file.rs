//! The `ticket file` command.

use applefold_core::code::ResultCode;
use applefold_core::ticket::ChangeTicket;
use serde_json::json;

use crate::cmd::args::{SettingArgs, TicketFile};
use crate::cmd::ticket_check::report_refusal;
use crate::cmd::{build_client, read_input};
use crate::exit::ExitStatus;
use crate::filing::{file_ticket, FilingResult};
use crate::response::AcceptedTicket;

impl TicketFile {
    pub(crate) async fn run(self, settings: &SettingArgs) -> eyre::Result<ExitStatus> {
        let text = read_input(self.file.as_deref())?;
        let client = build_client(settings)?;
        let ticket = match ChangeTicket::parse(&text) {
            Ok(ticket) => ticket,
            Err(refusal) => return Ok(report_refusal(&refusal, self.json)),
        };
        Ok(match file_ticket(&client, &ticket).await {
            FilingResult::Accepted(accepted) => {
                self.print(&accepted, true);
                ExitStatus::Done
            }
            FilingResult::Pending(accepted) => {
                self.print(&accepted, false);
                ExitStatus::Unknown
            }
            FilingResult::Conflict => {
                let code = ResultCode::TicketConflict;
                eprintln!("{code} {}", code.meaning());
                ExitStatus::Refused
            }
            FilingResult::Failed(error) => {
                let status = error.report(self.json);
                if status == ExitStatus::Unknown {
                    eprintln!("File the same ticket again to find out whether it was accepted.");
                }
                status
            }
        })
    }

    /// Prints an accepted ticket. `in_force` tells whether its revision is known to be in force at
    /// every live instance.
    fn print(&self, accepted: &AcceptedTicket, in_force: bool) {
        let AcceptedTicket {
            ticket,
            revision,
            repeat,
        } = accepted;
        if self.json {
            let acknowledged = in_force;
            println!(
                "{}",
                json!({"ticket": ticket, "revision": revision, "repeat": repeat, "acknowledged": acknowledged})
            );
            return;
        }
        let qualifier = if *repeat { " before" } else { "" };
        println!("ticket {ticket} was accepted{qualifier} as revision {revision}");
        if !in_force {
            eprintln!("It may not be in force at every instance yet; to wait for that, run: applefoldctl ticket wait {ticket}");
        }
    }
}
