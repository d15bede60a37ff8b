//! Reloads the settings file on SIGHUP, and periodically without it.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use applefold_platform::PlatformSettings;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{signal, Signal, SignalKind};

use super::state::GatewayState;

/// The period at which the file is read again without a signal.
const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Installs the handler of SIGHUP, which would end the process otherwise.
///
/// # Errors
///
/// Fails if the handler cannot be installed.
pub(crate) fn listen() -> Result<Signal> {
    signal(SignalKind::hangup()).wrap_err("could not listen for SIGHUP")
}

/// Applies changes of the settings file for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>, mut hangups: Signal, path: PathBuf) {
    loop {
        let signaled = tokio::select! {
            received = hangups.recv() => received.is_some(),
            () = actix_rt::time::sleep(POLL_PERIOD) => false,
        };
        reload(&state, &path, signaled);
    }
}

fn reload(state: &GatewayState, path: &Path, signaled: bool) {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            log::warn!(path = path.display().to_string(), error = error.to_string();
                "settings file could not be read; keeping the current settings");
            return;
        }
    };
    let current = state.settings();
    match PlatformSettings::reload(&text, &current) {
        Ok(settings) if settings == *current => {
            if signaled {
                log::info!("settings reloaded, unchanged");
            }
        }
        Ok(settings) => {
            let needs_restart = settings.caller_listen != current.caller_listen
                || settings.ready_listen != current.ready_listen
                || settings.ip != current.ip
                || settings.peer_ports != current.peer_ports;
            log_ignored(&settings);
            log::info!(store = settings.store.to_string(), retry_slack = settings.retry_slack,
                fixed = needs_restart; "settings reloaded");
            if needs_restart {
                log::warn!("changed listen addresses take effect after a restart only");
            }
            state.replace_settings(settings);
        }
        Err(error) => {
            log::error!(code = error.code.number(), error = error.to_string();
                "settings file is invalid; keeping the current settings");
        }
    }
}

/// Logs the fields of the settings file whose values are invalid and were ignored.
pub(crate) fn log_ignored(settings: &PlatformSettings) {
    for field in &settings.ignored {
        log::warn!(field = field.path.as_str(), value = field.value.as_str();
            "field of the settings file ignored: invalid value");
    }
}
