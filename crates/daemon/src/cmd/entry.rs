//! Runs an entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use applefold_core::answer::HOLD_LIMIT;
use applefold_core::unit::TimeSpan;
use eyre::{eyre, Result};
use log::LevelFilter;

use super::args::EntryArgs;
use super::block_on;
use crate::entry::{self, EntrySettings};
use crate::link::secret::SecretRing;
use crate::logging;
use crate::settings::{SettingReader, SettingSource};

const MIN_CONFIRM_BOUND: TimeSpan = TimeSpan::from_secs(2);
const MISSING: &str = "a required setting is missing";

/// Checks the settings and runs an entry.
pub(crate) fn run(args: &EntryArgs) -> Result<()> {
    let variables = std::env::vars().collect();
    let checked = read_settings(args, variables)?;
    if args.check_settings {
        println!("the settings can be used");
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
    let listen = reader.required(SettingSource {
        flag: "--listen",
        variable: "APPLEFOLD_LISTEN",
        given: args.listen.as_deref(),
    });
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
    let region = reader.required(SettingSource {
        flag: "--region",
        variable: "APPLEFOLD_REGION",
        given: args.region.as_deref(),
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
    let operator_credential = reader.required(SettingSource {
        flag: "--operator-credential",
        variable: "APPLEFOLD_OPERATOR_CREDENTIAL",
        given: args.operator_credential.as_deref(),
    });
    let hold_limit = reader.optional(
        SettingSource {
            flag: "--hold-limit",
            variable: "APPLEFOLD_HOLD_LIMIT",
            given: args.hold_limit.as_deref(),
        },
        HOLD_LIMIT,
    );
    let progress_timeout = reader.optional(
        SettingSource {
            flag: "--progress-timeout",
            variable: "APPLEFOLD_PROGRESS_TIMEOUT",
            given: args.progress_timeout.as_deref(),
        },
        TimeSpan::from_secs(5),
    );
    let drain_delay = reader.optional(
        SettingSource {
            flag: "--drain-delay",
            variable: "APPLEFOLD_DRAIN_DELAY",
            given: args.drain_delay.as_deref(),
        },
        TimeSpan::from_secs(1),
    );
    let drain_timeout = reader.optional(
        SettingSource {
            flag: "--drain-timeout",
            variable: "APPLEFOLD_DRAIN_TIMEOUT",
            given: args.drain_timeout.as_deref(),
        },
        TimeSpan::from_secs(120),
    );
    let confirm_bound = reader.optional(
        SettingSource {
            flag: "--confirm-bound",
            variable: "APPLEFOLD_CONFIRM_BOUND",
            given: args.confirm_bound.as_deref(),
        },
        TimeSpan::from_secs(5),
    );
    let usage_window = reader.optional(
        SettingSource {
            flag: "--usage-window",
            variable: "APPLEFOLD_USAGE_WINDOW",
            given: args.usage_window.as_deref(),
        },
        TimeSpan::from_secs(60),
    );
    let restart_grace = reader.optional(
        SettingSource {
            flag: "--restart-grace",
            variable: "APPLEFOLD_RESTART_GRACE",
            given: args.restart_grace.as_deref(),
        },
        TimeSpan::from_secs(30),
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
    let bound = SettingSource {
        flag: "--confirm-bound",
        variable: "APPLEFOLD_CONFIRM_BOUND",
        given: args.confirm_bound.as_deref(),
    };
    reader.check(
        confirm_bound >= MIN_CONFIRM_BOUND,
        bound,
        "at least 2s, so that a lost heartbeat does not stop service",
    );
    reader.check_pair(
        listen.is_none_or(|address: SocketAddr| address.port() == 0) || listen != peer_listen,
        SettingSource {
            flag: "--peer-listen",
            variable: "APPLEFOLD_PEER_LISTEN",
            given: args.peer_listen.as_deref(),
        },
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
    };
    Ok(CheckedSettings {
        settings,
        log_level,
    })
}
