//! The client side of a connection between processes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::ResultCode;
use applefold_wire::applefold_capnp::{gate, session};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use eyre::{bail, WrapErr};
use futures_util::io::BufReader;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::handshake::HandshakeOptions;
use super::reader_options;
use super::secret::{LinkNonce, ProofInput, ProofSide};

/// How long connecting and the handshake may take.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to a peer. It is closed when the last clone is dropped.
#[derive(Clone)]
pub(crate) struct PeerLink {
    pub(crate) session: session::Client,
    inner: Rc<LinkTask>,
}

struct LinkTask {
    closed: watch::Receiver<bool>,
    close: watch::Sender<bool>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Drop for LinkTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PeerLink {
    /// Closes the connection; pending calls on it fail at once.
    pub(crate) fn close(&self) {
        self.inner.close.send_replace(true);
        self.inner.task.abort();
    }

    /// Waits until either side has closed the connection.
    pub(crate) async fn wait_closed(&self) {
        let mut closed = self.inner.closed.clone();
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

/// Connects to the peer at `address`. Both sides prove that they know the cluster secret.
///
/// # Errors
///
/// Fails if the peer cannot be reached, does not complete the handshake in time, or one side rejects
/// the proof of the other.
pub(crate) async fn dial(
    address: SocketAddr,
    options: &HandshakeOptions,
) -> eyre::Result<PeerLink> {
    let link = actix_rt::time::timeout(DIAL_TIMEOUT, connect(address, options)).await;
    let link =
        link.wrap_err_with(|| format!("peer {address} did not complete the handshake in time"))?;
    link.wrap_err_with(|| format!("could not connect to peer {address}"))
}

async fn connect(address: SocketAddr, options: &HandshakeOptions) -> eyre::Result<PeerLink> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        BufReader::new(reader.compat()),
        writer.compat_write(),
        Side::Client,
        reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    let (close, closed) = watch::channel(false);
    let on_close = close.clone();
    let task = actix_rt::spawn(async move {
        let _ = system.await;
        on_close.send_replace(true);
    });
    let inner = Rc::new(LinkTask {
        closed,
        close,
        task,
    });
    let session = authenticate(&gate, options).await?;
    Ok(PeerLink { session, inner })
}

async fn authenticate(
    gate: &gate::Client,
    options: &HandshakeOptions,
) -> eyre::Result<session::Client> {
    let challenge = gate.challenge_request().send().promise.await?;
    let server = LinkNonce::from_bytes(challenge.get()?.get_nonce()?);
    let Some(server) = server else {
        bail!("the nonce of the peer has an invalid size");
    };
    let client = LinkNonce::generate();
    let input = ProofInput {
        side: ProofSide::Client,
        instance: &options.instance,
        server: &server,
        client: &client,
    };
    let mut request = gate.open_request();
    request.get().set_instance(&*options.instance);
    request.get().set_nonce(client.as_bytes());
    request
        .get()
        .set_proof(&options.secrets.current.prove(input));
    let opened = request.send().promise.await?;
    let opened = opened.get()?;
    let expected = ProofInput {
        side: ProofSide::Server,
        ..input
    };
    let verified = options.secrets.verify_proof(expected, opened.get_proof()?);
    if verified.is_none() {
        bail!(
            "{} the peer did not prove that it knows the cluster secret",
            ResultCode::PeerRefused
        );
    }
    Ok(opened.get_session()?)
}
