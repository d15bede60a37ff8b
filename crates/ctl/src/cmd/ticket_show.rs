//! `ticket show`.

use crate::answer::StoredTicket;
use crate::cmd::args::{SettingArgs, TicketShow};
use crate::cmd::connect;
use crate::exit::ExitStatus;

impl TicketShow {
    pub(crate) async fn run(self, settings: &SettingArgs) -> eyre::Result<ExitStatus> {
        let client = connect(settings)?;
        let path = format!("/operator/tickets/{}", self.number);
        let answer = match client.get(&path).await {
            Ok(answer) => answer,
            Err(fault) => return Ok(fault.report(self.json)),
        };
        if self.json {
            println!("{}", answer.text);
            return Ok(ExitStatus::Done);
        }
        match answer.read::<StoredTicket>() {
            Ok(stored) => {
                println!("ticket {} is revision {}", self.number, stored.revision);
                println!("{:#}", stored.body);
                Ok(ExitStatus::Done)
            }
            Err(fault) => Ok(fault.report(self.json)),
        }
    }
}
