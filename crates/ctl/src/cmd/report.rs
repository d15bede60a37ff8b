//! The `report` command.

use crate::cmd::args::{ReportArgs, SettingArgs};
use crate::cmd::build_client;
use crate::exit::ExitStatus;
use crate::response::UsageReport;

impl ReportArgs {
    pub(crate) async fn run(self, settings: &SettingArgs) -> eyre::Result<ExitStatus> {
        let client = build_client(settings)?;
        let response = match client.get("/operator/report").await {
            Ok(response) => response,
            Err(error) => return Ok(error.report(self.json)),
        };
        if self.json {
            println!("{}", response.text);
            return Ok(ExitStatus::Done);
        }
        match response.read::<UsageReport>() {
            Ok(report) => print_report(&report),
            Err(error) => return Ok(error.report(self.json)),
        }
        Ok(ExitStatus::Done)
    }
}

fn print_report(report: &UsageReport) {
    println!(
        "{:<24} {:>10} {:>14} {:>14} {:>8} {:>7}",
        "team", "requests", "prompt tokens", "answer tokens", "refused", "broken"
    );
    for row in &report.teams {
        println!(
            "{:<24} {:>10} {:>14} {:>14} {:>8} {:>7}",
            row.team, row.requests, row.prompt_tokens, row.answer_tokens, row.refused, row.broken
        );
    }
    for decision in &report.decisions {
        println!(
            "{:>12} ms {}: {}",
            decision.at_ms, decision.system, decision.text
        );
    }
}
