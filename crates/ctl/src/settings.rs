//! Settings from command-line flags, or from environment variables where a flag is missing.

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

/// How to reach the system, and the credential to use.
pub(crate) struct OperatorSettings {
    /// Base URLs of the entries, in the order in which they are tried.
    pub(crate) entries: Vec<String>,
    pub(crate) credential: String,
    /// How long to keep retrying.
    pub(crate) timeout: Duration,
}

impl OperatorSettings {
    pub(crate) fn read(args: &SettingArgs) -> eyre::Result<Self> {
        let entries = flag_or_env(&args.entry, ENTRY_VARIABLE, "--entry")?;
        let entries: Vec<String> = entries.split(',').map(entry_url).collect();
        let credential = flag_or_env(&args.credential, CREDENTIAL_VARIABLE, "--credential")?;
        Ok(Self {
            entries,
            credential,
            timeout: read_timeout(args.timeout.as_deref())?,
        })
    }
}

/// Returns the timeout from the flag, the environment or the default.
///
/// # Errors
///
/// Fails if the timeout cannot be parsed or is zero.
pub(crate) fn read_timeout(flag: Option<&str>) -> eyre::Result<Duration> {
    let variable = env::var(TIMEOUT_VARIABLE).ok();
    let text = flag.or(variable.as_deref()).unwrap_or(DEFAULT_TIMEOUT);
    let code = ResultCode::SettingMalformed;
    let span: TimeSpan = text
        .parse()
        .wrap_err_with(|| format!("{code}: could not parse the timeout {text:?}; expected a duration such as {DEFAULT_TIMEOUT}"))?;
    ensure!(
        span > TimeSpan::ZERO,
        "{}: the timeout must be greater than zero",
        ResultCode::SettingOutOfRange
    );
    Ok(Duration::from_micros(span.0))
}

/// Returns the value of the flag, or else of the environment variable; an empty value counts as
/// not set.
fn flag_or_env(value: &Option<String>, variable: &str, flag: &str) -> eyre::Result<String> {
    let text = value.clone().or_else(|| env::var(variable).ok());
    match text.filter(|text| !text.is_empty()) {
        Some(text) => Ok(text),
        None => bail!(
            "{}: neither {flag} nor {variable} is set",
            ResultCode::SettingMissing
        ),
    }
}

/// Returns the base URL of an entry; an address without a scheme is taken as HTTP.
fn entry_url(entry: &str) -> String {
    let entry = entry.trim().trim_end_matches('/');
    match entry.contains("://") {
        true => entry.to_owned(),
        false => format!("http://{entry}"),
    }
}
