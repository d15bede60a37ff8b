//! KV cache handoff: the engine that prefilled a prompt keeps its KV cache until the engine that
//! generates the response has fetched it.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::id::{BackendId, DomainId};
use applefold_platform::{render_release, KvHandle};
use eyre::Result;

use super::connection::ClientConnection;
use super::state::GatewayState;

/// How long a call to free a KV cache may take. The engine frees it by itself later.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A KV cache held at an engine. Dropping the guard frees it there, unless another engine has
/// fetched it.
pub(crate) struct HandoffGuard {
    state: Rc<GatewayState>,
    backend: BackendId,
    /// `None` once the KV cache has been fetched or freed.
    handle: Option<KvHandle>,
    domain: DomainId,
}

impl HandoffGuard {
    pub(crate) fn new(
        state: &Rc<GatewayState>,
        backend: &BackendId,
        handle: KvHandle,
        domain: DomainId,
    ) -> Self {
        Self {
            state: Rc::clone(state),
            backend: backend.clone(),
            handle: Some(handle),
            domain,
        }
    }

    /// Returns the failure domain of the engine that holds the KV cache.
    pub(crate) fn domain(&self) -> &DomainId {
        &self.domain
    }

    /// Returns the handle from which the KV cache is fetched.
    pub(crate) fn handle(&self) -> Option<&KvHandle> {
        self.handle.as_ref()
    }

    /// Disarms the guard, since another engine has fetched the KV cache.
    pub(crate) fn fetched(mut self) {
        self.handle = None;
    }
}

impl Drop for HandoffGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        // An engine that takes no requests now frees the KV cache by itself a little later.
        if self.state.is_unavailable(&self.backend) {
            let backend = self.backend.as_str();
            log::debug!(handle = handle.name.as_str(), backend;
                "KV cache not freed: its engine takes no requests now and frees it later");
            return;
        }
        actix_rt::spawn(async move {
            let freed = release(&handle).await;
            let error = freed
                .err()
                .map_or(String::new(), |error| format!("{error:#}"));
            log::debug!(handle = handle.name.as_str(), error;
                "KV cache was not fetched; its engine was asked to free it");
        });
    }
}

async fn release(handle: &KvHandle) -> Result<()> {
    let mut connection = ClientConnection::open(handle.address, RELEASE_TIMEOUT).await?;
    connection
        .call(&render_release(handle), RELEASE_TIMEOUT)
        .await?;
    Ok(())
}
