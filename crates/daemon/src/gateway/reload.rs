//! Takes up changes of the settings file, with or without a signal.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use applefold_platform::PlatformSettings;
use eyre::{Result, WrapErr};
use tokio::signal::unix::{signal, Signal, SignalKind};

use super::state::GatewayState;

/// How often the file is looked at without a signal.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// Listens for the signal from now on; without that it would end the process.
pub(crate) fn listen() -> Result<Signal> {
    signal(SignalKind::hangup()).wrap_err("could not listen for SIGHUP")
}

/// Follows the settings file for as long as the process runs.
pub(crate) async fn run(state: Rc<GatewayState>, mut hangups: Signal, path: PathBuf) {
    loop {
        let asked = tokio::select! {
            asked = hangups.recv() => asked.is_some(),
            () = actix_rt::time::sleep(LOOK_PERIOD) => false,
        };
        reload(&state, &path, asked);
    }
}

fn reload(state: &GatewayState, path: &Path, asked: bool) {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            log::warn!(path = path.display().to_string(), error = error.to_string();
                "settings file not read; the settings in force stay");
            return;
        }
    };
    let current = state.settings();
    match PlatformSettings::reload(&text, &current) {
        Ok(settings) if settings == *current => {
            if asked {
                log::info!("settings reloaded, unchanged");
            }
        }
        Ok(settings) => {
            let fixed = settings.caller_listen != current.caller_listen
                || settings.ready_listen != current.ready_listen
                || settings.ip != current.ip
                || settings.peer_ports != current.peer_ports;
            log_ignored(&settings);
            log::info!(store = settings.store.to_string(), retry_slack = settings.retry_slack,
                fixed; "settings reloaded");
            if fixed {
                log::warn!("a change of listening addresses takes a restart");
            }
            state.replace_settings(settings);
        }
        Err(error) => {
            log::error!(code = error.code.number(), error = error.to_string();
                "settings file cannot be used; the settings in force stay");
        }
    }
}

/// Names the fields of the settings file that say nothing that can be used.
pub(crate) fn log_ignored(settings: &PlatformSettings) {
    for field in &settings.ignored {
        log::warn!(field = field.path.as_str(), value = field.value.as_str();
            "field of the settings file ignored");
    }
}
