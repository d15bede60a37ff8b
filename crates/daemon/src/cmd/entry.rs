//! The `entry` subcommand.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use applefold_core::response::RESPONSE_BUFFER_LIMIT;
use applefold_core::unit::TimeSpan;
use eyre::{eyre, Result};
use log::LevelFilter;

use super::args::EntryArgs;
use super::block_on;
use crate::entry::{self, EntrySettings};
use crate::link::secret::SecretRing;
use crate::logging;
use crate::settings::{setting, SettingReader};

/// The minimum of `--confirm-bound`; below it, one lost heartbeat could stop service.
const MIN_CONFIRM_BOUND: TimeSpan = TimeSpan::from_secs(2);
/// The default of `--memory-mb`.
const DEFAULT_MEMORY_MB: u64 = 512;
/// The least of `--memory-mb`: less leaves no room for one body of the largest size.
const MIN_MEMORY_MB: u64 = 100;
/// The default of `--max-fds`.
const DEFAULT_DESCRIPTORS: u64 = 4_096;
/// The least of `--max-fds`.
const MIN_DESCRIPTORS: u64 = 256;
/// The error of a required setting whose absence was not reported, which is a bug.
const MISSING: &str = "a required setting is missing";

/// Validates the settings and runs an entry.
///
/// # Errors
///
/// Fails if a setting is invalid or the entry cannot start.
pub(crate) fn run(args: &EntryArgs) -> Result<()> {
    let variables = std::env::vars().collect();
    let checked = read_settings(args, variables)?;
    if args.check_settings {
        println!("the settings are valid");
        return Ok(());
    }
    logging::start(checked.log_level);
    block_on(entry::run(checked.settings))
}

struct CheckedSettings {
    settings: EntrySettings,
    log_level: LevelFilter,
}

fn read_settings(args: &EntryArgs, variables: BTreeMap<String, String>) -> Result<CheckedSettings> {
    let mut reader = SettingReader::new(variables);
    let listen = reader.required(setting!(args.listen, "--listen", "APPLEFOLD_LISTEN"));
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
    let instance = reader.required(setting!(args.instance, "--instance", "APPLEFOLD_INSTANCE"));
    let domain = reader.required(setting!(args.domain, "--domain", "APPLEFOLD_DOMAIN"));
    let region = reader.required(setting!(args.region, "--region", "APPLEFOLD_REGION"));
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
    let operator_credential = reader.required(setting!(
        args.operator_credential,
        "--operator-credential",
        "APPLEFOLD_OPERATOR_CREDENTIAL"
    ));
    let hold_limit = reader.with_default(
        setting!(args.hold_limit, "--hold-limit", "APPLEFOLD_HOLD_LIMIT"),
        RESPONSE_BUFFER_LIMIT,
    );
    let progress_timeout = reader.with_default(
        setting!(
            args.progress_timeout,
            "--progress-timeout",
            "APPLEFOLD_PROGRESS_TIMEOUT"
        ),
        TimeSpan::from_secs(5),
    );
    let drain_delay = reader.with_default(
        setting!(args.drain_delay, "--drain-delay", "APPLEFOLD_DRAIN_DELAY"),
        TimeSpan::from_secs(1),
    );
    let drain_timeout = reader.with_default(
        setting!(
            args.drain_timeout,
            "--drain-timeout",
            "APPLEFOLD_DRAIN_TIMEOUT"
        ),
        TimeSpan::from_secs(120),
    );
    let confirm_bound = reader.with_default(
        setting!(
            args.confirm_bound,
            "--confirm-bound",
            "APPLEFOLD_CONFIRM_BOUND"
        ),
        TimeSpan::from_secs(5),
    );
    let usage_window = reader.with_default(
        setting!(
            args.usage_window,
            "--usage-window",
            "APPLEFOLD_USAGE_WINDOW"
        ),
        TimeSpan::from_secs(60),
    );
    let restart_grace = reader.with_default(
        setting!(
            args.restart_grace,
            "--restart-grace",
            "APPLEFOLD_RESTART_GRACE"
        ),
        TimeSpan::from_secs(30),
    );
    let trace_share = reader.with_default(
        setting!(args.trace_share, "--trace-share", "APPLEFOLD_TRACE_SHARE"),
        1.0,
    );
    let memory = setting!(args.memory_mb, "--memory-mb", "APPLEFOLD_MEMORY_MB");
    let max_memory_mb = reader.with_default(memory, DEFAULT_MEMORY_MB);
    reader.check(
        max_memory_mb >= MIN_MEMORY_MB,
        memory,
        "at least 100, so that there is room for one large request",
    );
    let descriptors = setting!(args.max_fds, "--max-fds", "APPLEFOLD_MAX_FDS");
    let max_descriptors = reader.with_default(descriptors, DEFAULT_DESCRIPTORS);
    reader.check(
        max_descriptors >= MIN_DESCRIPTORS,
        descriptors,
        "at least 256",
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
    let bound = setting!(
        args.confirm_bound,
        "--confirm-bound",
        "APPLEFOLD_CONFIRM_BOUND"
    );
    reader.check(
        confirm_bound >= MIN_CONFIRM_BOUND,
        bound,
        "at least 2s, so that one lost heartbeat does not stop service",
    );
    reader.check_pair(
        listen.is_none_or(|address: SocketAddr| address.port() == 0) || listen != peer_listen,
        setting!(args.peer_listen, "--peer-listen", "APPLEFOLD_PEER_LISTEN"),
        "another address than --listen",
    );
    reader.finish()?;
    let missing = || eyre!(MISSING);
    let settings = EntrySettings {
        listen: listen.ok_or_else(missing)?,
        peer_listen: peer_listen.ok_or_else(missing)?,
        metrics_listen,
        platform: platform.ok_or_else(missing)?,
        instance: instance.ok_or_else(missing)?,
        domain: domain.ok_or_else(missing)?,
        region: region.ok_or_else(missing)?,
        secrets: SecretRing {
            current: cluster_secret.ok_or_else(missing)?,
            other: other_secret,
        },
        operator_credential: operator_credential.ok_or_else(missing)?,
        hold_limit,
        progress_timeout,
        drain_delay,
        drain_timeout,
        confirm_bound,
        usage_window,
        restart_grace,
        trace_share,
        max_memory_mb,
        max_descriptors,
    };
    Ok(CheckedSettings {
        settings,
        log_level,
    })
}
