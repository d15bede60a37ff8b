//! `applefoldctl`, with which operators file tickets and read what the system reports.
//!
//! The pages for operators start at [docs/design/tickets.md](../../../docs/design/tickets.md).

mod answer;
mod client;
mod cmd;
mod exit;
mod filing;
mod settings;
mod spread;

use std::process::ExitCode;

use crate::cmd::Run;
use crate::exit::ExitStatus;

fn main() -> ExitCode {
    let args = match cmd::parse_args() {
        Ok(args) => args,
        Err(status) => return status.into(),
    };
    match actix_rt::System::new().block_on(args.run()) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("applefoldctl: {error:#}");
            ExitStatus::Usage.into()
        }
    }
}
