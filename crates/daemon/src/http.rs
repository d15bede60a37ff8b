//! An HTTP server on the thread that owns the process's state.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response};
use actix_rt::net::TcpStream;
use actix_service::{fn_service, Service, ServiceFactory};
use awc::error::{ConnectError, SendRequestError};
use eyre::{eyre, Result, WrapErr};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::metrics::MetricSet;

/// The time limit for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// The pause after a failed accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How often a connection that may be closed is looked for while all are open.
const ROOM_PERIOD: Duration = Duration::from_millis(20);

/// How many connections a port has open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PortLimits {
    /// The most connections.
    pub(crate) most: usize,
    /// How long a connection stays open without a request that is being served before it may be closed for a newer
    /// one.
    pub(crate) min_idle: Duration,
}

impl PortLimits {
    /// The limits of a port that serves small responses to few peers, which send their requests at once. Such ports
    /// share the few descriptors that are neither for callers nor for backend servers.
    pub(crate) const SIDE: Self = Self {
        most: 32,
        min_idle: Duration::from_millis(100),
    };
}

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

/// Whether a connection has a request that is being served.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    serving: Cell<usize>,
    idle_since: Cell<Instant>,
    /// Notified when the connection has to close.
    closing: Notify,
}

impl ConnectionActivity {
    fn new() -> Self {
        Self {
            serving: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            closing: Notify::new(),
        }
    }

    /// Records that a request has been received and is being served, until the guard is dropped.
    pub(crate) fn serve(self: &Rc<Self>) -> ServingGuard {
        self.serving.set(self.serving.get() + 1);
        ServingGuard(Rc::clone(self))
    }
}

/// A request that is being served on a connection.
#[derive(Debug)]
pub(crate) struct ServingGuard(Rc<ConnectionActivity>);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.serving.set(self.0.serving.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// Returns the activity of the connection on which a request came.
pub(crate) fn activity(request: &Request) -> Option<Rc<ConnectionActivity>> {
    request.conn_data::<Rc<ConnectionActivity>>().cloned()
}

/// The open connections of a server, by their peers.
#[derive(Default)]
struct OpenConnections {
    by_peer: RefCell<BTreeMap<SocketAddr, Rc<ConnectionActivity>>>,
    /// Notified when a connection has closed.
    closed: Notify,
}

impl OpenConnections {
    /// Waits until another one may be opened. Closes the one that has been idle longest, or else asks `make_room`.
    async fn wait_room<F>(&self, limits: PortLimits, make_room: &F)
    where
        F: Fn(),
    {
        while self.by_peer.borrow().len() >= limits.most {
            match self.longest_idle(limits.min_idle) {
                Some(idle) => idle.closing.notify_one(),
                None => make_room(),
            }
            let _ = actix_rt::time::timeout(ROOM_PERIOD, self.closed.notified()).await;
        }
    }

    fn longest_idle(&self, min_idle: Duration) -> Option<Rc<ConnectionActivity>> {
        let open = self.by_peer.borrow();
        let idle = open
            .values()
            .filter(|one| one.serving.get() == 0 && one.idle_since.get().elapsed() >= min_idle);
        idle.min_by_key(|one| one.idle_since.get()).cloned()
    }
}

/// A connection in [`OpenConnections`], until it is dropped.
struct OpenGuard {
    open: Rc<OpenConnections>,
    peer: SocketAddr,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.by_peer.borrow_mut().remove(&self.peer);
        self.open.closed.notify_one();
    }
}

/// Serves requests on `address` with `handle`. Connections beyond the limit take the place of those that have been idle,
/// or wait to be accepted.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn serve<F, R>(
    address: SocketAddr,
    limits: PortLimits,
    handle: F,
) -> Result<HttpServer>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    serve_with_room(address, limits, || (), handle).await
}

/// Serves like [`serve`]. `make_room` is called while all connections are open and none is idle.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn serve_with_room<F, R, M>(
    address: SocketAddr,
    limits: PortLimits,
    make_room: M,
    handle: F,
) -> Result<HttpServer>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
    M: Fn() + 'static,
{
    let context = || format!("could not listen on {address}");
    let listener = TcpListener::bind(address).await.wrap_err_with(context)?;
    let address = listener.local_addr().wrap_err_with(context)?;
    let open = Rc::new(OpenConnections::default());
    let connections = Rc::clone(&open);
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .tcp_nodelay(true)
        .on_connect_ext(move |stream: &TcpStream, data| {
            let peer = stream.peer_addr().ok();
            let known = connections.by_peer.borrow();
            if let Some(activity) = peer.and_then(|peer| known.get(&peer)) {
                data.insert(Rc::clone(activity));
            }
        })
        .finish(fn_service(handle))
        .tcp_auto_h2c();
    let service = factory.new_service(()).await;
    let service = service.map_err(|_| eyre!("could not start the HTTP service"))?;
    let service = Rc::new(service);
    let task = actix_rt::spawn(async move {
        loop {
            open.wait_room(limits, &make_room).await;
            let Ok((stream, peer)) = listener.accept().await else {
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let activity = Rc::new(ConnectionActivity::new());
            open.by_peer.borrow_mut().insert(peer, Rc::clone(&activity));
            let guard = OpenGuard {
                open: Rc::clone(&open),
                peer,
            };
            let service = Rc::clone(&service);
            actix_rt::spawn(async move {
                let _guard = guard;
                tokio::select! {
                    _ = service.call(stream) => {}
                    () = activity.closing.notified() => {}
                }
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
    let server = serve(address, PortLimits::SIDE, move |_request| {
        let text = metrics.render();
        async move { Ok(Response::ok().set_body(BoxBody::new(text))) }
    });
    std::mem::forget(server.await?);
    Ok(())
}
