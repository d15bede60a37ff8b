//! The `ticket show` command.

use crate::cmd::args::{SettingArgs, TicketShow};
use crate::cmd::build_client;
use crate::exit::ExitStatus;
use crate::response::StoredTicket;

impl TicketShow {
    pub(crate) async fn run(self, settings: &SettingArgs) -> eyre::Result<ExitStatus> {
        let client = build_client(settings)?;
        let path = format!("/operator/tickets/{}", self.number);
        let response = match client.get(&path).await {
            Ok(response) => response,
            Err(error) => return Ok(error.report(self.json)),
        };
        if self.json {
            println!("{}", response.text);
            return Ok(ExitStatus::Done);
        }
        match response.read::<StoredTicket>() {
            Ok(stored) => {
                println!("ticket {} is revision {}", self.number, stored.revision);
                println!("{:#}", stored.body);
                Ok(ExitStatus::Done)
            }
            Err(error) => Ok(error.report(self.json)),
        }
    }
}
