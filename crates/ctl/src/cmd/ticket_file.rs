//! `ticket file`.

use applefold_core::code::ResultCode;
use applefold_core::ticket::ChangeTicket;
use serde_json::json;

use crate::answer::AcceptedTicket;
use crate::cmd::args::{SettingArgs, TicketFile};
use crate::cmd::ticket_check::report_refusal;
use crate::cmd::{connect, read_input};
use crate::exit::ExitStatus;
use crate::filing::{file_ticket, FiledTicket};

impl TicketFile {
    pub(crate) async fn run(self, settings: &SettingArgs) -> eyre::Result<ExitStatus> {
        let text = read_input(self.file.as_deref())?;
        let client = connect(settings)?;
        let ticket = match ChangeTicket::parse(&text) {
            Ok(ticket) => ticket,
            Err(refusal) => return Ok(report_refusal(&refusal, self.json)),
        };
        Ok(match file_ticket(&client, &ticket).await {
            FiledTicket::Accepted(accepted) => {
                self.print(&accepted, true);
                ExitStatus::Done
            }
            FiledTicket::Pending(accepted) => {
                self.print(&accepted, false);
                ExitStatus::Unknown
            }
            FiledTicket::Conflict => {
                let code = ResultCode::TicketConflict;
                eprintln!("{code} {}", code.meaning());
                ExitStatus::Refused
            }
            FiledTicket::Failed(fault) => {
                let status = fault.report(self.json);
                if status == ExitStatus::Unknown {
                    eprintln!("File the same ticket again to learn whether it was accepted.");
                }
                status
            }
        })
    }

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
        let again = if *repeat { " before" } else { "" };
        println!("ticket {ticket} was accepted{again} as revision {revision}");
        if !in_force {
            eprintln!("It is not yet known to be in force; see applefoldctl ticket wait {ticket}");
        }
    }
}
