//! The server side of a connection: proof first, then a session.

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

/// How long a peer may take to prove the secret.
const PROOF_TIMEOUT: Duration = Duration::from_secs(5);
/// How many peers may be without proof at one time.
const UNPROVEN_LIMIT: usize = 64;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a gate needs to know of its process.
#[derive(Clone, Debug)]
pub(crate) struct HandshakeOptions {
    pub(crate) instance: String,
    pub(crate) secrets: SecretRing,
}

struct GateServer {
    options: Rc<HandshakeOptions>,
    session: session::Client,
    nonce: LinkNonce,
    /// Held until the proof is given; the connection is closed if it never is.
    unproven: RefCell<Option<OwnedSemaphorePermit>>,
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
        let secret = self.options.secrets.match_proof(input, proof);
        let secret = secret.ok_or_else(refused)?;
        let answer = secret.prove(ProofInput {
            side: ProofSide::Server,
            ..input
        });
        self.unproven.borrow_mut().take();
        results.get().set_proof(&answer);
        results.get().set_session(self.session.clone());
        Ok(())
    }
}

/// Accepts peers until the process ends.
pub(crate) async fn serve(
    listener: TcpListener,
    options: HandshakeOptions,
    session: session::Client,
) {
    let options = Rc::new(options);
    let unproven = std::sync::Arc::new(Semaphore::new(UNPROVEN_LIMIT));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = unproven.clone().try_acquire_owned() else {
            log::warn!(peer = peer.to_string(); "too many peers without proof, closed");
            continue;
        };
        let server = Rc::new(GateServer {
            options: options.clone(),
            session: session.clone(),
            nonce: LinkNonce::fresh(),
            unproven: RefCell::new(Some(permit)),
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
    let proved = actix_rt::time::timeout(PROOF_TIMEOUT, &mut system).await;
    if proved.is_ok() {
        return;
    }
    if server.unproven.borrow().is_some() {
        log::warn!(peer = peer.to_string(), code = ResultCode::PeerRefused.number();
            "peer gave no proof in time, closed");
        return;
    }
    if let Err(error) = system.await {
        log::debug!(peer = peer.to_string(); "connection ended: {error}");
    }
}

/// Binds the internal port.
pub(crate) async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("could not listen for peers on {address}"))
}
