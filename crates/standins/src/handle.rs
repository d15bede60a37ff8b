//! Runs stand-ins inside a test process, each on its own thread.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::JoinHandle;

use tokio::sync::oneshot;

use crate::engine::options::EngineOptions;
use crate::plain::PlainOptions;
use crate::platform::options::PlatformOptions;
use crate::server::{bind, serve, CrashMode, StandinOptions};

/// Handle of a running stand-in, which stops when the handle is dropped.
pub struct StandinHandle {
    /// Address that it listens on.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl StandinHandle {
    /// Starts a simulated platform.
    pub fn platform(options: PlatformOptions) -> io::Result<Self> {
        Self::start(StandinOptions::Platform(options))
    }

    /// Starts a simulated model engine.
    pub fn engine(options: EngineOptions) -> io::Result<Self> {
        Self::start(StandinOptions::Engine(options))
    }

    /// Starts a simulated plain service.
    pub fn plain(options: PlainOptions) -> io::Result<Self> {
        Self::start(StandinOptions::Plain(options))
    }

    /// Starts a stand-in on a free loopback port.
    pub fn start(options: StandinOptions) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), options)
    }

    /// Starts a stand-in on a given address, so that one can be restarted on the same port.
    pub fn start_at(address: SocketAddr, options: StandinOptions) -> io::Result<Self> {
        let listener = bind(address)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new().name("standin".to_owned());
        let thread = thread.spawn(move || run(listener, options, stopped))?;
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

impl Drop for StandinHandle {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}

fn run(listener: std::net::TcpListener, options: StandinOptions, stopped: oneshot::Receiver<()>) {
    actix_rt::System::new().block_on(async move {
        let stop = async move {
            // Dropping the sender is the stop signal.
            let _ = stopped.await;
        };
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => serve(listener, options, CrashMode::Forget, stop).await,
            Err(error) => log::error!(
                "cannot register the stand-in's listener with the runtime, not serving: {error}"
            ),
        }
    });
}
