//! KV caches that one engine keeps until another one answers from them.

use std::rc::Rc;
use std::time::Duration;

use applefold_core::id::{BackendId, DomainId};
use applefold_platform::{render_release, KvHandle};
use eyre::Result;

use super::connection::ClientConnection;
use super::state::GatewayState;

/// How long freeing a KV cache may take; the engine forgets it by itself later.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A KV cache at an engine, freed when it is dropped unless another engine took it.
pub(crate) struct HandoffGuard {
    state: Rc<GatewayState>,
    backend: BackendId,
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

    /// Returns the failure domain in which the KV cache lies.
    pub(crate) fn domain(&self) -> &DomainId {
        &self.domain
    }

    /// Returns where it is fetched from.
    pub(crate) fn handle(&self) -> Option<&KvHandle> {
        self.handle.as_ref()
    }

    /// Notes that an engine has taken it.
    pub(crate) fn taken(mut self) {
        self.handle = None;
    }
}

impl Drop for HandoffGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        // An engine that wants nothing forgets it by itself a little later.
        if self.state.is_unavailable(&self.backend) {
            let backend = self.backend.as_str();
            log::debug!(handle = handle.name.as_str(), backend; "KV cache left to its engine");
            return;
        }
        actix_rt::spawn(async move {
            let freed = release(&handle).await;
            let error = freed
                .err()
                .map_or(String::new(), |error| format!("{error:#}"));
            log::debug!(handle = handle.name.as_str(), error; "KV cache not taken");
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
