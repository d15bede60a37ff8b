//! The `gateway` subcommand: an entry on the users' platform.

use std::collections::BTreeMap;

use applefold_core::direct::HedgeShare;
use applefold_platform::{PlatformSettings, SETTINGS_PATH, SETTINGS_VARIABLE};
use eyre::{Result, WrapErr};
use log::LevelFilter;

use super::args::GatewayArgs;
use super::block_on;
use crate::settings::{setting, SettingReader};
use crate::{gateway, logging};

/// Checks the settings and runs an entry on the users' platform.
///
/// # Errors
///
/// Fails if the settings file cannot be read, a setting is invalid or the entry cannot start.
pub(crate) fn run(args: &GatewayArgs) -> Result<()> {
    let variables: BTreeMap<String, String> = std::env::vars().collect();
    let path = args.settings.clone();
    let path = path.or_else(|| variables.get(SETTINGS_VARIABLE).cloned());
    let path = path.unwrap_or_else(|| SETTINGS_PATH.to_owned());
    let text = std::fs::read_to_string(&path);
    let text = text.wrap_err_with(|| format!("could not read the settings file {path}"))?;
    let settings = PlatformSettings::read(&text)?;
    let mut reader = SettingReader::new(variables);
    let log_level = reader.with_default(
        setting!(args.log_level, "--log-level", "APPLEFOLD_LOG_LEVEL"),
        LevelFilter::Info,
    );
    let hedge_share = reader.with_default(
        setting!(
            args.hedge_percent,
            "--hedge-percent",
            "APPLEFOLD_HEDGE_PERCENT"
        ),
        HedgeShare::default(),
    );
    reader.finish()?;
    if args.check_settings {
        println!("the settings are valid");
        return Ok(());
    }
    logging::start_bounded(log_level)?;
    block_on(gateway::run(settings, hedge_share, path.into()))
}
