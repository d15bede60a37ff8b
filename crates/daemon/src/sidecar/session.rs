//! The calls that a sidecar serves to authenticated entries.

use std::rc::Rc;

use applefold_core::config::ServingConfig;
use applefold_core::id::Revision;
use applefold_core::ticket::ConfigPush;
use applefold_wire::applefold_capnp::session;
use applefold_wire::dispatch::{DispatchMessage, EndMessage};
use applefold_wire::heartbeat::HeartbeatMessage;
use applefold_wire::{order, usage};

use super::orders;
use super::runner;
use super::state::SidecarState;

/// The session of a sidecar. All peers share it, since it holds no state of a single peer.
pub(crate) struct SidecarSession {
    state: Rc<SidecarState>,
}

impl SidecarSession {
    pub(crate) fn new(state: Rc<SidecarState>) -> Self {
        Self { state }
    }
}

impl session::Server for SidecarSession {
    async fn heartbeat(
        self: Rc<Self>,
        params: session::HeartbeatParams,
        mut results: session::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        let beat = HeartbeatMessage::read(params.get()?.get_beat()?)?;
        let now = self.state.now();
        self.state.suspects.merge_reports(&beat.suspects, now);
        self.state.heartbeat().write(results.get().init_beat());
        Ok(())
    }

    async fn dispatch(
        self: Rc<Self>,
        params: session::DispatchParams,
        mut results: session::DispatchResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let dispatch = DispatchMessage::read(params.get_dispatch()?)?;
        let sink = params.get_sink()?;
        let id = dispatch.id.clone();
        let outcome = runner::run(&self.state, dispatch, sink).await;
        let end = EndMessage {
            id,
            end: outcome.end,
            crashed: outcome.crashed,
            load: self.state.load_status(),
            confirmation: self.state.config.confirmation(),
        };
        end.write(results.get().init_end());
        Ok(())
    }

    async fn order(
        self: Rc<Self>,
        params: session::OrderParams,
        mut results: session::OrderResults,
    ) -> Result<(), capnp::Error> {
        let order = order::read_order(params.get()?.get_order()?)?;
        let result = orders::execute(&self.state, order).await;
        order::write_result(&result, results.get().init_reply());
        Ok(())
    }

    async fn meter(
        self: Rc<Self>,
        params: session::MeterParams,
        mut results: session::MeterResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let aggregator = params.get_keeper()?.to_str()?;
        let aggregator = aggregator.parse();
        let aggregator = aggregator
            .map_err(|_| capnp::Error::failed("the name of the aggregator is invalid".into()))?;
        let (batch, serial) = self.state.meter.batch_for(&aggregator, params.get_taken());
        usage::write_batch(&batch, results.get().init_batch());
        results.get().set_mark(serial);
        Ok(())
    }

    async fn configure(
        self: Rc<Self>,
        params: session::ConfigureParams,
        mut results: session::ConfigureResults,
    ) -> Result<(), capnp::Error> {
        let update = params.get()?.get_update()?;
        let text = update.get_body()?.to_str()?;
        let push = ConfigPush::from_json(text);
        let push = push.map_err(|error| capnp::Error::failed(error.to_string()))?;
        if self.state.config.apply_push(push) {
            let state = &self.state;
            let configure = |config: &ServingConfig| {
                state.scheduler.configure(config, &state.settings.pool);
            };
            state.config.with(configure);
            let revision = state.config.revision();
            self.state.metrics.revision.record(revision.0, &[]);
            log::info!(revision = revision.0; "configuration is in force");
        }
        results.get().set_revision(self.state.config.revision().0);
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: session::FetchParams,
        mut results: session::FetchResults,
    ) -> Result<(), capnp::Error> {
        let known = Revision(params.get()?.get_known());
        let push = self.state.config.push_since(known);
        let mut update = results.get().init_update();
        update.set_revision(push.revision().unwrap_or(known).0);
        update.set_body(&*push.to_json());
        Ok(())
    }
}
