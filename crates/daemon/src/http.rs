//! An HTTP server on the thread that owns the process's state.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response};
use actix_service::{fn_service, Service, ServiceFactory};
use awc::error::{ConnectError, SendRequestError};
use eyre::{eyre, Result, WrapErr};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::metrics::MetricSet;

/// The time limit for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// The pause after a failed accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The most open connections. Further ones wait to be accepted.
const CONNECTION_LIMIT: usize = 8_192;

/// A listening server; dropping it stops accepting.
pub(crate) struct HttpServer {
    /// The address that it listens on.
    pub(crate) address: SocketAddr,
    task: actix_rt::task::JoinHandle<()>,
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves requests on `address` with `handle`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn serve<F, R>(address: SocketAddr, handle: F) -> Result<HttpServer>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let context = || format!("could not listen on {address}");
    let listener = TcpListener::bind(address).await.wrap_err_with(context)?;
    let address = listener.local_addr().wrap_err_with(context)?;
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .tcp_nodelay(true)
        .finish(fn_service(handle))
        .tcp_auto_h2c();
    let service = factory.new_service(()).await;
    let service = service.map_err(|_| eyre!("could not start the HTTP service"))?;
    let service = std::rc::Rc::new(service);
    let open = std::sync::Arc::new(Semaphore::new(CONNECTION_LIMIT));
    let task = actix_rt::spawn(async move {
        loop {
            let Ok(permit) = open.clone().acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let service = service.clone();
            actix_rt::spawn(async move {
                let _permit = permit;
                let _ = service.call(stream).await;
            });
        }
    });
    Ok(HttpServer { address, task })
}

/// Returns whether a call failed before any byte of it was sent.
///
/// The client library also reports a connection that closed before the response as a connect
/// error, namely `Disconnected`. Only the other connect errors occur before sending.
pub(crate) fn never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}

/// Serves the metrics on `address` for as long as the process runs.
pub(crate) async fn serve_metrics(address: SocketAddr, metrics: MetricSet) -> Result<()> {
    let server = serve(address, move |_request| {
        let text = metrics.render();
        async move { Ok(Response::ok().set_body(BoxBody::new(text))) }
    });
    std::mem::forget(server.await?);
    Ok(())
}
