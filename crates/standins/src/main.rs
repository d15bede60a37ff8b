//! Command-line program that runs a stand-in or sends requests to one.

mod cmd;

use std::io::Write;
use std::process::ExitCode;

/// Default log filter, used unless the environment sets one.
///
/// It silences the HTTP dispatcher, which would report every stream that an injected fault cuts.
const LOG_FILTER: &str = "warn,actix_http::h1::dispatcher=off";

fn main() -> ExitCode {
    let options: cmd::CommandOptions = argh::from_env();
    start_log();
    match options.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("applefold-standin: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn start_log() {
    let env = env_logger::Env::default().default_filter_or(LOG_FILTER);
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(|out, record| {
        let line = serde_json::json!({
            "level": record.level().as_str(),
            "target": record.target(),
            "message": record.args().to_string(),
        });
        writeln!(out, "{line}")
    });
    builder.init();
}
