//! The RPC service that an entry offers to its peers.

use std::rc::Rc;

use applefold_core::id::{Revision, WindowId};
use applefold_wire::applefold_capnp::session;
use applefold_wire::heartbeat::HeartbeatMessage;
use applefold_wire::{claim, usage};

use super::claims;
use super::state::EntryState;

/// The RPC session, shared by all peers. It holds no state of a single peer.
pub(crate) struct EntrySession {
    state: Rc<EntryState>,
}

impl EntrySession {
    pub(crate) fn new(state: Rc<EntryState>) -> Self {
        Self { state }
    }
}

impl session::Server for EntrySession {
    async fn heartbeat(
        self: Rc<Self>,
        params: session::HeartbeatParams,
        mut results: session::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        let beat = HeartbeatMessage::read(params.get()?.get_beat()?)?;
        self.state.handle_heartbeat(&beat);
        self.state.heartbeat().write(results.get().init_beat());
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: session::ClaimParams,
        mut results: session::ClaimResults,
    ) -> Result<(), capnp::Error> {
        let request = claim::read_request(params.get()?.get_ask()?)?;
        let decision = claims::claim_locally(&self.state, request).await;
        claim::write_decision(&decision, results.get().init_verdict());
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: session::SettleParams,
        mut results: session::SettleResults,
    ) -> Result<(), capnp::Error> {
        let report = claim::read_report(params.get()?.get_report()?)?;
        let recorded = claims::report_locally(&self.state, report).await;
        results.get().set_taken(recorded);
        Ok(())
    }

    async fn collect(
        self: Rc<Self>,
        params: session::CollectParams,
        mut results: session::CollectResults,
    ) -> Result<(), capnp::Error> {
        let from = WindowId(params.get()?.get_from_window());
        let batches = self.state.usage.aggregator.borrow().batches(from);
        let mut list = results.get().init_batches(batches.len() as u32);
        for (index, batch) in batches.iter().enumerate() {
            usage::write_batch(batch, list.reborrow().get(index as u32));
        }
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
