//! The `ticket wait` command.

use std::time::Instant;

use applefold_core::code::ResultCode;
use serde_json::json;

use crate::client::{CallError, OperatorClient};
use crate::cmd::args::{SettingArgs, TicketWait};
use crate::cmd::build_client;
use crate::exit::ExitStatus;
use crate::replication::{lagging_instances, read_status, wait_for_revision};
use crate::response::StoredTicket;
use crate::settings::read_timeout;

impl TicketWait {
    pub(crate) async fn run(self, settings: &SettingArgs) -> eyre::Result<ExitStatus> {
        let timeout = read_timeout(self.timeout.as_deref().or(settings.timeout.as_deref()))?;
        let deadline = Instant::now() + timeout;
        let client = build_client(settings)?;
        let revision = match self.revision(&client).await {
            Ok(revision) => revision,
            Err(error) => return Ok(error.report(self.json)),
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
            Err(error) => Ok(error.report(self.json)),
        }
    }

    /// Reads the revision that the ticket created.
    async fn revision(&self, client: &OperatorClient) -> Result<u64, CallError> {
        let path = format!("/operator/tickets/{}", self.number);
        let stored: StoredTicket = client.get(&path).await?.read()?;
        Ok(stored.revision)
    }

    fn print(&self, revision: u64) {
        let number = self.number;
        match self.json {
            true => println!("{}", json!({"ticket": number, "revision": revision})),
            false => println!(
                "ticket {number} is in force at every live instance as revision {revision}"
            ),
        }
    }
}

/// Reports that the wait timed out, and the live instances that lack `revision`.
async fn report_timeout(client: &OperatorClient, revision: u64) {
    let code = ResultCode::WaitTimeout;
    eprintln!("{code} {}", code.meaning());
    let Ok(status) = read_status(client).await else {
        return;
    };
    for row in lagging_instances(&status, revision) {
        let current = row
            .revision
            .map_or_else(|| "unknown".to_owned(), |current| current.to_string());
        eprintln!("  {} in {}: revision {current}", row.id, row.domain);
    }
}
