//! `ticket wait`.

use std::time::Instant;

use applefold_core::code::ResultCode;
use serde_json::json;

use crate::answer::StoredTicket;
use crate::client::{CallFault, OperatorClient};
use crate::cmd::args::{SettingArgs, TicketWait};
use crate::cmd::connect;
use crate::exit::ExitStatus;
use crate::settings::read_timeout;
use crate::spread::{behind, read_status, wait_for_revision};

impl TicketWait {
    pub(crate) async fn run(self, settings: &SettingArgs) -> eyre::Result<ExitStatus> {
        let timeout = read_timeout(self.timeout.as_deref().or(settings.timeout.as_deref()))?;
        let deadline = Instant::now() + timeout;
        let client = connect(settings)?;
        let revision = match self.revision(&client).await {
            Ok(revision) => revision,
            Err(fault) => return Ok(fault.report(self.json)),
        };
        match wait_for_revision(&client, revision, deadline).await {
            Ok(true) => {
                self.print(revision);
                Ok(ExitStatus::Done)
            }
            Ok(false) => {
                report_timeout(&client, revision).await;
                Ok(ExitStatus::Unknown)
            }
            Err(fault) => Ok(fault.report(self.json)),
        }
    }

    async fn revision(&self, client: &OperatorClient) -> Result<u64, CallFault> {
        let path = format!("/operator/tickets/{}", self.number);
        let stored: StoredTicket = client.get(&path).await?.read()?;
        Ok(stored.revision)
    }

    fn print(&self, revision: u64) {
        let number = self.number;
        match self.json {
            true => println!("{}", json!({"ticket": number, "revision": revision})),
            false => println!("ticket {number} is in force everywhere as revision {revision}"),
        }
    }
}

async fn report_timeout(client: &OperatorClient, revision: u64) {
    let code = ResultCode::WaitTimeout;
    eprintln!("{code} {}", code.meaning());
    let Ok(status) = read_status(client).await else {
        return;
    };
    for row in behind(&status, revision) {
        let runs = row
            .revision
            .map_or_else(|| "unknown".to_owned(), |runs| runs.to_string());
        eprintln!("  {} in {}: revision {runs}", row.id, row.domain);
    }
}
