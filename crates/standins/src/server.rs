//! HTTP listener, which dispatches each request to the simulated service.

use std::convert::Infallible;
use std::future::{pending, Future};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response};
use actix_service::{fn_service, Service, ServiceFactory};
use tokio::net::TcpListener;

use crate::connection::ConnectionTable;
use crate::engine::options::EngineOptions;
use crate::engine::EngineService;
use crate::http::{CallAnswer, HttpCall};
use crate::plain::{PlainOptions, PlainService};
use crate::platform::options::PlatformOptions;
use crate::platform::PlatformService;

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time limit for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Exit code of a process that SIGKILL ended (128 + 9), as a shell reports it.
const KILLED_EXIT_CODE: i32 = 137;

/// Effect of an injected crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// The process ends at once with exit code 137.
    Exit,
    /// All connections are closed, state is lost (except a plain service's executions) and the
    /// service is down for a time.
    Forget,
}

/// Kind of service that a stand-in simulates, with its settings.
#[derive(Clone, Debug)]
pub enum StandinOptions {
    /// Simulates the platform.
    Platform(PlatformOptions),
    /// Simulates a model engine.
    Engine(EngineOptions),
    /// Simulates a plain service.
    Plain(PlainOptions),
}

/// Carries out crash faults on the process or on its open connections.
pub(crate) struct CrashSwitch {
    pub(crate) table: Rc<ConnectionTable>,
    pub(crate) mode: CrashMode,
}

impl CrashSwitch {
    /// Ends the process or closes every connection, according to the mode.
    pub(crate) fn crash(&self) {
        match self.mode {
            CrashMode::Exit => std::process::exit(KILLED_EXIT_CODE),
            CrashMode::Forget => self.table.cut_all(),
        }
    }
}

enum StandinService {
    Platform(Rc<PlatformService>),
    Engine(Rc<EngineService>),
    Plain(Rc<PlainService>),
}

impl StandinService {
    fn new(options: StandinOptions, switch: CrashSwitch) -> Self {
        match options {
            StandinOptions::Platform(options) => {
                Self::Platform(Rc::new(PlatformService::new(options)))
            }
            StandinOptions::Engine(options) => Self::Engine(EngineService::start(options, switch)),
            StandinOptions::Plain(options) => {
                Self::Plain(Rc::new(PlainService::new(options, switch)))
            }
        }
    }

    async fn handle(&self, call: HttpCall) -> CallAnswer {
        match self {
            Self::Platform(service) => service.handle(call).await,
            Self::Engine(service) => service.handle(call).await,
            Self::Plain(service) => service.handle(call).await,
        }
    }

    /// Returns whether a request is cancelled when its client disconnects.
    ///
    /// The other services still execute it, however late.
    fn cancels_on_disconnect(&self) -> bool {
        matches!(self, Self::Engine(_))
    }

    fn is_down(&self) -> bool {
        match self {
            Self::Platform(_) => false,
            Self::Engine(service) => service.is_down(),
            Self::Plain(service) => service.is_down(),
        }
    }
}

/// Serves on `listener` until `stop` completes, then closes all connections.
///
/// Must run inside an actix-rt system; all state stays on that thread.
pub async fn serve<F>(listener: TcpListener, options: StandinOptions, mode: CrashMode, stop: F)
where
    F: Future<Output = ()>,
{
    let table = Rc::new(ConnectionTable::default());
    let switch = CrashSwitch {
        table: table.clone(),
        mode,
    };
    let service = Rc::new(StandinService::new(options, switch));
    let accepting = accept(listener, service, table.clone());
    tokio::select! {
        _ = accepting => {}
        () = stop => {}
    }
    table.cut_all();
}

async fn accept(
    listener: TcpListener,
    service: Rc<StandinService>,
    table: Rc<ConnectionTable>,
) -> io::Result<()> {
    let handler_service = service.clone();
    let handler_table = table.clone();
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .h1_allow_half_closed(!service.cancels_on_disconnect())
        .h1(fn_service(move |request: Request| {
            answer(handler_service.clone(), handler_table.clone(), request)
        }));
    let handler = Rc::new(
        factory
            .new_service(())
            .await
            .map_err(|()| io::ErrorKind::Other)?,
    );
    loop {
        let (socket, peer) = listener.accept().await?;
        if service.is_down() {
            continue;
        }
        socket.set_nodelay(true)?;
        let guard = table.open(peer);
        let handler = handler.clone();
        actix_rt::spawn(async move {
            tokio::select! {
                biased;
                () = guard.cut() => {}
                result = handler.call((guard.wrap(socket), Some(peer))) => {
                    result.unwrap_or_else(|error| log::debug!("connection from {peer} ended with an error: {error}"));
                }
            }
        });
    }
}

async fn answer(
    service: Rc<StandinService>,
    table: Rc<ConnectionTable>,
    request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let Some(peer) = request.peer_addr() else {
        return pending().await;
    };
    let answer = match HttpCall::read(request, peer).await {
        Ok(call) => service.handle(call).await,
        Err(answer) => answer,
    };
    match answer {
        CallAnswer::Reply(response) => Ok(response),
        CallAnswer::Cut => {
            table.cut(peer);
            pending().await
        }
    }
}

/// Binds a non-blocking listener to `address`.
pub(crate) fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
