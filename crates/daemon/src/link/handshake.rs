//! The server side of a connection: a peer authenticates and is given a session.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use applefold_core::code::ResultCode;
use applefold_wire::applefold_capnp::{gate, session};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use eyre::WrapErr;
use futures_util::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::reader_options;
use super::secret::{LinkNonce, ProofInput, ProofSide, SecretRing};

/// How long a peer may take to authenticate.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of connections that have not yet authenticated.
const MAX_UNAUTHENTICATED: usize = 64;
/// The delay after a failed accept, so that a lasting error does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The identity and the secrets with which a process authenticates.
#[derive(Clone, Debug)]
pub(crate) struct HandshakeOptions {
    pub(crate) instance: String,
    pub(crate) secrets: SecretRing,
}

struct GateServer {
    options: Rc<HandshakeOptions>,
    session: session::Client,
    nonce: LinkNonce,
    /// The permit that a connection holds until the peer has authenticated. A connection that is
    /// not authenticated within [`HANDSHAKE_TIMEOUT`] is closed.
    unauthenticated: RefCell<Option<OwnedSemaphorePermit>>,
}

impl gate::Server for GateServer {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_nonce(self.nonce.as_bytes());
        Ok(())
    }

    async fn open(
        self: Rc<Self>,
        params: gate::OpenParams,
        mut results: gate::OpenResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let refused = || capnp::Error::failed(format!("{}", ResultCode::PeerRefused));
        let client = LinkNonce::from_bytes(params.get_nonce()?).ok_or_else(refused)?;
        let input = ProofInput {
            side: ProofSide::Client,
            instance: params.get_instance()?.to_str()?,
            server: &self.nonce,
            client: &client,
        };
        let proof = params.get_proof()?;
        let secret = self.options.secrets.verify_proof(input, proof);
        let secret = secret.ok_or_else(refused)?;
        let proof = secret.prove(ProofInput {
            side: ProofSide::Server,
            ..input
        });
        self.unauthenticated.borrow_mut().take();
        results.get().set_proof(&proof);
        results.get().set_session(self.session.clone());
        Ok(())
    }
}

/// Accepts peers for as long as the process runs. Connections beyond [`MAX_UNAUTHENTICATED`] are
/// closed at once.
pub(crate) async fn serve(
    listener: TcpListener,
    options: HandshakeOptions,
    session: session::Client,
) {
    let options = Rc::new(options);
    let unauthenticated = std::sync::Arc::new(Semaphore::new(MAX_UNAUTHENTICATED));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = unauthenticated.clone().try_acquire_owned() else {
            log::warn!(peer = peer.to_string(); "connection closed: too many unauthenticated peers");
            continue;
        };
        let server = Rc::new(GateServer {
            options: options.clone(),
            session: session.clone(),
            nonce: LinkNonce::generate(),
            unauthenticated: RefCell::new(Some(permit)),
        });
        actix_rt::spawn(serve_peer(stream, peer, server));
    }
}

async fn serve_peer(stream: TcpStream, peer: SocketAddr, server: Rc<GateServer>) {
    let Ok(()) = stream.set_nodelay(true) else {
        return;
    };
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        BufReader::new(reader.compat()),
        writer.compat_write(),
        Side::Server,
        reader_options(),
    );
    let gate: gate::Client = capnp_rpc::new_client_from_rc(server.clone());
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    let mut system = std::pin::pin!(system);
    let ended = actix_rt::time::timeout(HANDSHAKE_TIMEOUT, &mut system).await;
    if ended.is_ok() {
        return;
    }
    if server.unauthenticated.borrow().is_some() {
        log::warn!(peer = peer.to_string(), code = ResultCode::PeerRefused.number();
            "connection closed: peer did not authenticate in time");
        return;
    }
    if let Err(error) = system.await {
        log::debug!(peer = peer.to_string(); "connection failed: {error}");
    }
}

/// Binds the peer port.
///
/// # Errors
///
/// Fails if `address` cannot be bound.
pub(crate) async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("could not listen for peers on {address}"))
}
