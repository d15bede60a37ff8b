//! Orders to sidecars to drain, and to accept work again.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::fence::{EngineOrder, OrderResult};
use applefold_core::id::BackendId;
use applefold_core::unit::TimeSpan;
use applefold_wire::order as message;
use eyre::{Result, WrapErr};
use smol_str::SmolStr;

use super::leases::WorkScope;
use super::state::EntryState;
use crate::link::client::PeerLink;

/// How long a sidecar may take to carry out a drain order.
const DRAIN_ORDER_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// How long an entry waits for the reply to an order.
const ORDER_REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// The kind of a drain order.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DrainKind {
    /// Accept no new work.
    Drain,
    /// Accept work again.
    Undrain,
}

impl DrainKind {
    /// Returns the JSON body of the order.
    const fn body(self) -> &'static str {
        match self {
            Self::Drain => r#"{"kind":"drain"}"#,
            Self::Undrain => r#"{"kind":"undrain"}"#,
        }
    }

    const fn label(self) -> &'static str {
        match self {
            Self::Drain => "drain",
            Self::Undrain => "undrain",
        }
    }
}

/// Sends a drain order to the sidecar of a backend server, if it is connected and this entry holds
/// the fleet lease. Failures are only logged.
pub(crate) fn spawn(state: &Rc<EntryState>, backend: BackendId, kind: DrainKind) {
    let Some(link) = state.links.borrow().link_to(&backend) else {
        return;
    };
    let Some(order) = drain_order(state, &backend, kind) else {
        return;
    };
    actix_rt::spawn(async move {
        match send_order(&link.link, &order).await {
            Ok(OrderResult::Done) => {}
            Ok(OrderResult::Refused(refusal)) => {
                log::warn!(code = refusal.code.number(), backend = backend.as_str();
                    "the sidecar refused a drain or undrain order");
            }
            Err(error) => {
                log::warn!(backend = backend.as_str(); "could not send a drain or undrain order: {error:#}")
            }
        }
    });
}

/// Returns the order, or `None` if this entry does not hold the fleet lease. The time is part of
/// the order id, so that each order of a holder has its own.
fn drain_order(state: &EntryState, backend: &BackendId, kind: DrainKind) -> Option<EngineOrder> {
    let now = state.now();
    let authority = state
        .leases
        .with(WorkScope::Fleet, |lease| lease.authority(now))??;
    let fencing = authority.fencing();
    let id = format!("{}-{fencing}-{}-{backend}", kind.label(), now.0);
    let id = id.get(..id.len().min(applefold_core::id::MAX_ID_BYTES))?;
    Some(EngineOrder {
        id: id.parse().ok()?,
        scope: authority.scope().clone(),
        holder: authority.holder().clone(),
        fencing,
        timeout: DRAIN_ORDER_TIMEOUT,
        body: SmolStr::new_static(kind.body()),
    })
}

async fn send_order(link: &PeerLink, order: &EngineOrder) -> Result<OrderResult> {
    let mut request = link.session.order_request();
    message::write_order(order, request.get().init_order());
    let reply = actix_rt::time::timeout(ORDER_REPLY_TIMEOUT, request.send().promise).await;
    let reply = reply.wrap_err("the sidecar did not reply in time")??;
    Ok(message::read_result(reply.get()?.get_reply()?)?)
}
