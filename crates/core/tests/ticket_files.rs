//! Runs each case in `tests/tickets`: accepted tickets, one more, and all faults it must get.

use std::path::Path;

use applefold_core::config::ServingConfig;
use applefold_core::ticket::{ChangeTicket, TicketRefusal};
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketCase {
    #[serde(default)]
    given: Vec<Value>,
    ticket: Value,
    faults: Vec<ExpectedFault>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectedFault {
    path: String,
    code: u16,
}

/// Returns a string as it is, so that a case can contain invalid JSON.
fn ticket_text(ticket: &Value) -> String {
    ticket
        .as_str()
        .map_or_else(|| ticket.to_string(), str::to_owned)
}

fn file(config: &mut ServingConfig, ticket: &Value) -> Result<(), TicketRefusal> {
    let ticket = ChangeTicket::parse(&ticket_text(ticket))?;
    assert_eq!(
        ChangeTicket::parse(&ticket.to_json())?,
        ticket,
        "a ticket is unchanged after it is written to the log and read back"
    );
    config.apply(&ticket).map(|_| ())
}

fn check_case(_: &Path, text: String) -> datatest_stable::Result<()> {
    let case: TicketCase = serde_json::from_str(&text)?;
    let mut config = ServingConfig::default();
    for ticket in &case.given {
        file(&mut config, ticket)?;
    }
    let before = config.clone();
    let faults = file(&mut config, &case.ticket)
        .err()
        .map_or(Vec::new(), |refusal| refusal.faults);
    let faults = faults.into_iter().map(|fault| ExpectedFault {
        path: fault.path.to_string(),
        code: fault.code.number(),
    });
    let mut faults: Vec<ExpectedFault> = faults.collect();
    let mut expected = case.faults;
    faults.sort();
    expected.sort();
    assert_eq!(faults, expected);
    assert_eq!(
        before == config,
        !expected.is_empty(),
        "a refused ticket changes nothing"
    );
    assert_eq!(ServingConfig::from_json(&config.to_json())?, config);
    Ok(())
}

datatest_stable::harness! {
    { test = check_case, root = "tests/tickets", pattern = r".*\.json$" },
}
