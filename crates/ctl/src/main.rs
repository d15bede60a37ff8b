//! `applefoldctl`, the command-line tool with which operators file change tickets and query the
//! state of the system.
//!
//! The documentation for operators starts at [docs/design/tickets.md](../../../docs/design/tickets.md).

mod client;
mod cmd;
mod exit;
mod filing;
mod replication;
mod response;
mod settings;

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
