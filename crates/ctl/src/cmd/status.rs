//! The `status` command.

use crate::cmd::args::{SettingArgs, StatusArgs};
use crate::cmd::build_client;
use crate::exit::ExitStatus;
use crate::response::{InstanceRow, SystemStatus};

impl StatusArgs {
    pub(crate) async fn run(self, settings: &SettingArgs) -> eyre::Result<ExitStatus> {
        let client = build_client(settings)?;
        let response = match client.get("/operator/status").await {
            Ok(response) => response,
            Err(error) => return Ok(error.report(self.json)),
        };
        if self.json {
            println!("{}", response.text);
            return Ok(ExitStatus::Done);
        }
        match response.read::<SystemStatus>() {
            Ok(status) => print_status(&status),
            Err(error) => return Ok(error.report(self.json)),
        }
        Ok(ExitStatus::Done)
    }
}

fn print_status(status: &SystemStatus) {
    let confirmed = or_dash(status.confirmed_ms_ago);
    println!("{} runs revision {}", status.instance, status.revision);
    println!("last confirmed by the platform {confirmed} ms ago");
    let quorum = &status.reach;
    let holds = if quorum.holds { "enough" } else { "too few" };
    println!("reaches {} of {}, {holds}", quorum.reached, quorum.listed);
    println!(
        "{:<24} {:<8} {:<16} {:>9} {:>8} state",
        "instance", "kind", "failure domain", "revision", "age ms"
    );
    status.instances.iter().for_each(print_instance);
    for lease in &status.leases {
        let holder = lease.holder.as_deref().unwrap_or("nobody");
        println!(
            "lease {} is held by {holder} ({})",
            lease.scope,
            or_dash(lease.fencing)
        );
    }
    for alarm in &status.alarms {
        println!("alarm {} {}", alarm.code, alarm.text);
    }
}

fn print_instance(row: &InstanceRow) {
    println!(
        "{:<24} {:<8} {:<16} {:>9} {:>8} {}",
        row.id,
        row.kind,
        row.domain,
        or_dash(row.revision),
        or_dash(row.age_ms),
        row.state
    );
}

/// Formats a number, or a dash if it is unknown.
fn or_dash(number: Option<u64>) -> String {
    number.map_or_else(|| "-".to_owned(), |number| number.to_string())
}
