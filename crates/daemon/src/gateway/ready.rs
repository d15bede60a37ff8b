//! Serves the readiness check for the load balancer, and the metrics.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use eyre::Result;

use super::state::GatewayState;
use crate::http::{self, PortLimits};

const METRICS_PATH: &str = "/metrics";

/// Serves readiness and metrics, if an address for them is set, for as long as the process runs.
/// Every path but the one of the metrics answers the readiness check.
pub(crate) async fn serve(state: &Rc<GatewayState>) -> Result<()> {
    let Some(address) = state.settings().ready_listen else {
        return Ok(());
    };
    let state = Rc::clone(state);
    let server = http::serve(address, PortLimits::SIDE, move |request| {
        let response = match request.path() {
            METRICS_PATH => Response::ok().set_body(BoxBody::new(state.metrics.render())),
            _ if state.is_ready() => Response::ok().map_into_boxed_body(),
            _ => Response::new(StatusCode::SERVICE_UNAVAILABLE).map_into_boxed_body(),
        };
        async move { Ok(response) }
    });
    std::mem::forget(server.await?);
    Ok(())
}
