//! The program that runs one stand-in, or calls one.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options: cmd::CommandOptions = argh::from_env();
    let env = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(env).init();
    match options.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("applefold-standin: {report:#}");
            ExitCode::FAILURE
        }
    }
}
