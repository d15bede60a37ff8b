//! Runs a sidecar.

use std::collections::BTreeMap;

use applefold_core::unit::TimeSpan;
use eyre::{eyre, Result};
use log::LevelFilter;

use super::args::SidecarArgs;
use super::block_on;
use crate::link::secret::SecretRing;
use crate::logging;
use crate::settings::{SettingReader, SettingSource};
use crate::sidecar::{self, SidecarSettings};

const DEFAULT_SLOTS: usize = 32;
const MAX_SLOTS: usize = 4_096;
const MISSING: &str = "a required setting is missing";

/// Checks the settings and runs a sidecar.
pub(crate) fn run(args: &SidecarArgs) -> Result<()> {
    let variables = std::env::vars().collect();
    let checked = read_settings(args, variables)?;
    if args.check_settings {
        println!("the settings can be used");
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
    let peer_listen = reader.required(SettingSource {
        flag: "--peer-listen",
        variable: "APPLEFOLD_PEER_LISTEN",
        given: args.peer_listen.as_deref(),
    });
    let metrics_listen = reader.maybe(SettingSource {
        flag: "--metrics-listen",
        variable: "APPLEFOLD_METRICS_LISTEN",
        given: args.metrics_listen.as_deref(),
    });
    let platform = reader.required(SettingSource {
        flag: "--platform",
        variable: "APPLEFOLD_PLATFORM",
        given: args.platform.as_deref(),
    });
    let backend = reader.required(SettingSource {
        flag: "--backend",
        variable: "APPLEFOLD_BACKEND",
        given: args.backend.as_deref(),
    });
    let instance = reader.required(SettingSource {
        flag: "--instance",
        variable: "APPLEFOLD_INSTANCE",
        given: args.instance.as_deref(),
    });
    let domain = reader.required(SettingSource {
        flag: "--domain",
        variable: "APPLEFOLD_DOMAIN",
        given: args.domain.as_deref(),
    });
    let pool = reader.required(SettingSource {
        flag: "--pool",
        variable: "APPLEFOLD_POOL",
        given: args.pool.as_deref(),
    });
    let cluster_secret = reader.required(SettingSource {
        flag: "--cluster-secret",
        variable: "APPLEFOLD_CLUSTER_SECRET",
        given: args.cluster_secret.as_deref(),
    });
    let other_secret = reader.maybe(SettingSource {
        flag: "--other-secret",
        variable: "APPLEFOLD_OTHER_SECRET",
        given: args.other_secret.as_deref(),
    });
    let slots = reader.optional(
        SettingSource {
            flag: "--slots",
            variable: "APPLEFOLD_SLOTS",
            given: args.slots.as_deref(),
        },
        DEFAULT_SLOTS,
    );
    let progress_timeout = reader.optional(
        SettingSource {
            flag: "--progress-timeout",
            variable: "APPLEFOLD_PROGRESS_TIMEOUT",
            given: args.progress_timeout.as_deref(),
        },
        TimeSpan::from_secs(5),
    );
    let drain_timeout = reader.optional(
        SettingSource {
            flag: "--drain-timeout",
            variable: "APPLEFOLD_DRAIN_TIMEOUT",
            given: args.drain_timeout.as_deref(),
        },
        TimeSpan::from_secs(120),
    );
    let usage_window = reader.optional(
        SettingSource {
            flag: "--usage-window",
            variable: "APPLEFOLD_USAGE_WINDOW",
            given: args.usage_window.as_deref(),
        },
        TimeSpan::from_secs(60),
    );
    let trace_share = reader.optional(
        SettingSource {
            flag: "--trace-share",
            variable: "APPLEFOLD_TRACE_SHARE",
            given: args.trace_share.as_deref(),
        },
        1.0,
    );
    let log_level = reader.optional(
        SettingSource {
            flag: "--log-level",
            variable: "APPLEFOLD_LOG_LEVEL",
            given: args.log_level.as_deref(),
        },
        LevelFilter::Info,
    );
    let share = SettingSource {
        flag: "--trace-share",
        variable: "APPLEFOLD_TRACE_SHARE",
        given: args.trace_share.as_deref(),
    };
    reader.check(
        (0.0..=1.0).contains(&trace_share),
        share,
        "a number from 0 to 1",
    );
    reader.check(
        (1..=MAX_SLOTS).contains(&slots),
        SettingSource {
            flag: "--slots",
            variable: "APPLEFOLD_SLOTS",
            given: args.slots.as_deref(),
        },
        "a whole number from 1 to 4096",
    );
    reader.check_pair(
        backend.is_none() || backend != peer_listen,
        SettingSource {
            flag: "--backend",
            variable: "APPLEFOLD_BACKEND",
            given: args.backend.as_deref(),
        },
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
