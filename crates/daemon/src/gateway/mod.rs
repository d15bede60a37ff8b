//! An entry on the users' platform.
//!
//! It learns routes and backend servers from the platform's store, sends
//! requests straight to backend servers and relays their answers. What it
//! decides stands in `applefold_core::direct`, what the platform's names mean
//! in `applefold_platform`. See
//! [docs/design/platform.md](../../../../docs/design/platform.md).

mod accept;
mod attempt;
mod availability;
mod connection;
mod copies;
mod duty;
mod handoff;
mod in_flight;
mod instances;
mod lines;
mod listing;
mod news;
mod peer_sync;
mod peers;
mod phases;
mod pool;
mod prepare;
mod presence;
mod quarantine_store;
mod reads;
mod ready;
mod reload;
mod request;
mod rules;
mod sse;
mod state;
mod stop;
mod store;
mod suspects;
mod talk;
mod usage;
mod words;

use std::path::PathBuf;
use std::rc::Rc;

use applefold_platform::PlatformSettings;
use eyre::Result;

use state::GatewayState;

/// Runs until the process is told to stop and nothing is in flight.
pub(crate) async fn run(settings: PlatformSettings, path: PathBuf) -> Result<()> {
    let hangups = reload::listen()?;
    let state = Rc::new(GatewayState::new(settings));
    ready::serve(&state).await?;
    accept::serve(&state).await?;
    actix_rt::spawn(rules::run(Rc::clone(&state)));
    actix_rt::spawn(instances::follow(Rc::clone(&state)));
    talk::serve(&state).await?;
    peer_sync::serve(&state).await?;
    actix_rt::spawn(peer_sync::run(Rc::clone(&state)));
    actix_rt::spawn(presence::follow(Rc::clone(&state)));
    actix_rt::spawn(duty::follow(Rc::clone(&state)));
    actix_rt::spawn(phases::follow(Rc::clone(&state)));
    actix_rt::spawn(usage::follow(Rc::clone(&state)));
    actix_rt::spawn(quarantine_store::run(Rc::clone(&state)));
    actix_rt::spawn(reload::follow(Rc::clone(&state), hangups, path));
    log::info!(instance = state.settings().instance.as_str(),
        domain = state.settings().domain.as_str(), run = state.run,
        store = state.settings().store.to_string(); "entry started");
    reload::log_ignored(&state.settings());
    stop::wait(&state).await
}
