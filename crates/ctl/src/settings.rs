//! Settings, from flags first and from the environment otherwise.

use std::env;
use std::time::Duration;

use applefold_core::code::ResultCode;
use applefold_core::unit::TimeSpan;
use eyre::{bail, ensure, WrapErr};

use crate::cmd::args::SettingArgs;

const ENTRY_VARIABLE: &str = "APPLEFOLD_ENTRY";
const CREDENTIAL_VARIABLE: &str = "APPLEFOLD_OPERATOR_CREDENTIAL";
const TIMEOUT_VARIABLE: &str = "APPLEFOLD_TIMEOUT";
const DEFAULT_TIMEOUT: &str = "10s";

/// Where the system is and who asks.
pub(crate) struct OperatorSettings {
    pub(crate) entries: Vec<String>,
    pub(crate) credential: String,
    pub(crate) timeout: Duration,
}

impl OperatorSettings {
    pub(crate) fn read(args: &SettingArgs) -> eyre::Result<Self> {
        let entries = choose(&args.entry, ENTRY_VARIABLE, "--entry")?;
        let entries: Vec<String> = entries.split(',').map(entry_url).collect();
        let credential = choose(&args.credential, CREDENTIAL_VARIABLE, "--credential")?;
        Ok(Self {
            entries,
            credential,
            timeout: read_timeout(args.timeout.as_deref())?,
        })
    }
}

/// Reads how long to go on trying.
pub(crate) fn read_timeout(given: Option<&str>) -> eyre::Result<Duration> {
    let variable = env::var(TIMEOUT_VARIABLE).ok();
    let text = given.or(variable.as_deref()).unwrap_or(DEFAULT_TIMEOUT);
    let code = ResultCode::SettingMalformed;
    let span: TimeSpan = text
        .parse()
        .wrap_err_with(|| format!("{code}: could not read the timeout {text:?}"))?;
    ensure!(
        span > TimeSpan::ZERO,
        "{}: the timeout is zero",
        ResultCode::SettingOutOfRange
    );
    Ok(Duration::from_micros(span.0))
}

fn choose(given: &Option<String>, variable: &str, flag: &str) -> eyre::Result<String> {
    let text = given.clone().or_else(|| env::var(variable).ok());
    match text.filter(|text| !text.is_empty()) {
        Some(text) => Ok(text),
        None => bail!(
            "{}: neither {flag} nor {variable} is set",
            ResultCode::SettingMissing
        ),
    }
}

fn entry_url(entry: &str) -> String {
    let entry = entry.trim().trim_end_matches('/');
    match entry.contains("://") {
        true => entry.to_owned(),
        false => format!("http://{entry}"),
    }
}
