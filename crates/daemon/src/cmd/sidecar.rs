//! The `sidecar` subcommand.

use std::collections::BTreeMap;

use applefold_core::unit::TimeSpan;
use eyre::{eyre, Result};
use log::LevelFilter;

use super::args::SidecarArgs;
use super::block_on;
use crate::link::secret::SecretRing;
use crate::logging;
use crate::settings::{setting, SettingReader};
use crate::sidecar::{self, SidecarSettings};

/// The default of `--slots`.
const DEFAULT_SLOTS: usize = 32;
/// The maximum of `--slots`.
const MAX_SLOTS: usize = 4_096;
/// The error of a required setting whose absence was not reported, which is a bug.
const MISSING: &str = "a required setting is missing";

/// Validates the settings and runs a sidecar.
///
/// # Errors
///
/// Fails if a setting is invalid or the sidecar cannot start.
pub(crate) fn run(args: &SidecarArgs) -> Result<()> {
    let variables = std::env::vars().collect();
    let checked = read_settings(args, variables)?;
    if args.check_settings {
        println!("the settings are valid");
        return Ok(());
    }
    logging::start(checked.log_level);
    block_on(sidecar::run(checked.settings))
}

struct CheckedSettings {
    settings: SidecarSettings,
    log_level: LevelFilter,
}

fn read_settings(
    args: &SidecarArgs,
    variables: BTreeMap<String, String>,
) -> Result<CheckedSettings> {
    let mut reader = SettingReader::new(variables);
    let peer_listen = reader.required(setting!(
        args.peer_listen,
        "--peer-listen",
        "APPLEFOLD_PEER_LISTEN"
    ));
    let metrics_listen = reader.optional(setting!(
        args.metrics_listen,
        "--metrics-listen",
        "APPLEFOLD_METRICS_LISTEN"
    ));
    let platform = reader.required(setting!(args.platform, "--platform", "APPLEFOLD_PLATFORM"));
    let backend = reader.required(setting!(args.backend, "--backend", "APPLEFOLD_BACKEND"));
    let instance = reader.required(setting!(args.instance, "--instance", "APPLEFOLD_INSTANCE"));
    let domain = reader.required(setting!(args.domain, "--domain", "APPLEFOLD_DOMAIN"));
    let pool = reader.required(setting!(args.pool, "--pool", "APPLEFOLD_POOL"));
    let cluster_secret = reader.required(setting!(
        args.cluster_secret,
        "--cluster-secret",
        "APPLEFOLD_CLUSTER_SECRET"
    ));
    let other_secret = reader.optional(setting!(
        args.other_secret,
        "--other-secret",
        "APPLEFOLD_OTHER_SECRET"
    ));
    let slots = reader.with_default(
        setting!(args.slots, "--slots", "APPLEFOLD_SLOTS"),
        DEFAULT_SLOTS,
    );
    let progress_timeout = reader.with_default(
        setting!(
            args.progress_timeout,
            "--progress-timeout",
            "APPLEFOLD_PROGRESS_TIMEOUT"
        ),
        TimeSpan::from_secs(5),
    );
    let drain_timeout = reader.with_default(
        setting!(
            args.drain_timeout,
            "--drain-timeout",
            "APPLEFOLD_DRAIN_TIMEOUT"
        ),
        TimeSpan::from_secs(120),
    );
    let usage_window = reader.with_default(
        setting!(
            args.usage_window,
            "--usage-window",
            "APPLEFOLD_USAGE_WINDOW"
        ),
        TimeSpan::from_secs(60),
    );
    let trace_share = reader.with_default(
        setting!(args.trace_share, "--trace-share", "APPLEFOLD_TRACE_SHARE"),
        1.0,
    );
    let log_level = reader.with_default(
        setting!(args.log_level, "--log-level", "APPLEFOLD_LOG_LEVEL"),
        LevelFilter::Info,
    );
    let share = setting!(args.trace_share, "--trace-share", "APPLEFOLD_TRACE_SHARE");
    reader.check(
        (0.0..=1.0).contains(&trace_share),
        share,
        "a number from 0 to 1",
    );
    reader.check(
        (1..=MAX_SLOTS).contains(&slots),
        setting!(args.slots, "--slots", "APPLEFOLD_SLOTS"),
        "an integer from 1 to 4096",
    );
    reader.check_pair(
        backend.is_none() || backend != peer_listen,
        setting!(args.backend, "--backend", "APPLEFOLD_BACKEND"),
        "another address than --peer-listen",
    );
    reader.finish()?;
    let missing = || eyre!(MISSING);
    let settings = SidecarSettings {
        peer_listen: peer_listen.ok_or_else(missing)?,
        metrics_listen,
        platform: platform.ok_or_else(missing)?,
        backend: backend.ok_or_else(missing)?,
        instance: instance.ok_or_else(missing)?,
        domain: domain.ok_or_else(missing)?,
        pool: pool.ok_or_else(missing)?,
        secrets: SecretRing {
            current: cluster_secret.ok_or_else(missing)?,
            other: other_secret,
        },
        slots,
        progress_timeout,
        drain_timeout,
        usage_window,
        trace_share,
    };
    Ok(CheckedSettings {
        settings,
        log_level,
    })
}
