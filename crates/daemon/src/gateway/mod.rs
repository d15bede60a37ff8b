//! An entry on the users' platform.
//!
//! It learns routes and backend servers from the platform's store, sends
//! requests straight to backend servers and relays their responses. Its decisions
//! are made in `applefold_core::direct`; `applefold_platform` reads and writes the
//! platform's formats. See
//! [docs/design/platform.md](../../../../docs/design/platform.md).

mod accept;
mod attempt;
mod availability;
mod backend_list;
mod buffers;
mod config_sync;
mod connection;
mod delivery;
mod discovery;
mod duty;
mod fates;
mod gossip;
mod handoff;
mod hedges;
mod in_flight;
mod life_signs;
mod limits;
mod list_updates;
mod messages;
mod notices;
mod origin_store;
mod origins;
mod peer_sync;
mod peers;
mod permits;
mod phases;
mod pool;
mod prefills;
mod prepare;
mod presence;
mod quarantine_store;
mod quotas;
mod ready;
mod reload;
mod replicas;
mod request;
mod resume;
mod rules;
mod speeds;
mod sse;
mod state;
mod stop;
mod store;
mod suspect_parts;
mod suspects;
mod turn;
mod usage;
mod version_record;

use std::path::PathBuf;
use std::rc::Rc;

use applefold_core::direct::HedgeShare;
use applefold_platform::PlatformSettings;
use eyre::Result;

use state::GatewayState;

/// Runs an entry until the process gets a stop signal and has drained.
///
/// # Errors
///
/// Fails if an address cannot be bound or a signal cannot be handled.
pub(crate) async fn run(
    settings: PlatformSettings,
    hedge_share: HedgeShare,
    path: PathBuf,
) -> Result<()> {
    let hangups = reload::listen()?;
    let state = Rc::new(GatewayState::new(settings, hedge_share));
    ready::serve(&state).await?;
    accept::serve(&state).await?;
    actix_rt::spawn(config_sync::run(Rc::clone(&state)));
    actix_rt::spawn(discovery::run(Rc::clone(&state)));
    gossip::serve(&state).await?;
    peer_sync::serve(&state).await?;
    actix_rt::spawn(presence::run(Rc::clone(&state)));
    actix_rt::spawn(duty::run(Rc::clone(&state)));
    actix_rt::spawn(phases::run(Rc::clone(&state)));
    actix_rt::spawn(usage::run(Rc::clone(&state)));
    actix_rt::spawn(quotas::run(Rc::clone(&state)));
    actix_rt::spawn(quarantine_store::run(Rc::clone(&state)));
    actix_rt::spawn(origin_store::run(Rc::clone(&state)));
    actix_rt::spawn(reload::run(Rc::clone(&state), hangups, path));
    log::info!(instance = state.settings().instance.as_str(),
        domain = state.settings().domain.as_str(), run = state.run,
        store = state.settings().store.to_string(), hedge_percent = hedge_share.to_string();
        "entry started");
    reload::log_ignored(&state.settings());
    stop::wait(&state).await
}
