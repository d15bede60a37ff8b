//! The server side of a connection: a peer authenticates and is given a session.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use applefold_core::code::ResultCode;
use applefold_wire::applefold_capnp::{gate, session};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use eyre::WrapErr;
use futures_util::io::{AsyncRead, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::reader_options;
use super::secret::{LinkNonce, ProofInput, ProofSide, SecretRing};

/// How long a peer may take to authenticate.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of connections that have not yet authenticated.
const MAX_UNAUTHENTICATED: usize = 64;
/// The most bytes that a peer may send before it has authenticated. The calls of the handshake take less than 1 KiB,
/// and a message that is not read completely is held in memory.
const MAX_HANDSHAKE_BYTES: usize = 16 << 10;
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
    /// Whether the connection is open and the peer has not authenticated. It is closed if that takes longer than
    /// [`HANDSHAKE_TIMEOUT`].
    is_pending: Cell<bool>,
    /// Notified when the connection has to give way to a newer one.
    yielding: Notify,
}

/// The bytes of a peer, of which there may be few before it has authenticated.
struct HandshakeReader {
    stream: Compat<OwnedReadHalf>,
    server: Rc<GateServer>,
    left: usize,
}

impl AsyncRead for HandshakeReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if !self.server.is_pending.get() {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        if self.left == 0 {
            let reason = "the peer sent too much before it authenticated";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let most = buffer.len().min(self.left);
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..most]);
        if let Poll::Ready(Ok(count)) = read {
            self.left -= count;
        }
        read
    }
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
        self.is_pending.set(false);
        results.get().set_proof(&proof);
        results.get().set_session(self.session.clone());
        Ok(())
    }
}

/// Accepts peers for as long as the process runs. Of more than [`MAX_UNAUTHENTICATED`] connections whose peers have
/// not authenticated the oldest is closed, since a peer that knows the secret needs little time.
pub(crate) async fn serve(
    listener: TcpListener,
    options: HandshakeOptions,
    session: session::Client,
) {
    let options = Rc::new(options);
    let mut pending: VecDeque<Rc<GateServer>> = VecDeque::new();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        pending.retain(|server| server.is_pending.get());
        if pending.len() >= MAX_UNAUTHENTICATED {
            if let Some(oldest) = pending.pop_front() {
                oldest.yielding.notify_one();
            }
        }
        let server = Rc::new(GateServer {
            options: options.clone(),
            session: session.clone(),
            nonce: LinkNonce::generate(),
            is_pending: Cell::new(true),
            yielding: Notify::new(),
        });
        pending.push_back(server.clone());
        actix_rt::spawn(serve_peer(stream, peer, server));
    }
}

async fn serve_peer(stream: TcpStream, peer: SocketAddr, server: Rc<GateServer>) {
    let Ok(()) = stream.set_nodelay(true) else {
        return;
    };
    let (reader, writer) = stream.into_split();
    let reader = HandshakeReader {
        stream: reader.compat(),
        server: server.clone(),
        left: MAX_HANDSHAKE_BYTES,
    };
    let network = VatNetwork::new(
        BufReader::new(reader),
        writer.compat_write(),
        Side::Server,
        reader_options(),
    );
    let gate: gate::Client = capnp_rpc::new_client_from_rc(server.clone());
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    let mut system = std::pin::pin!(system);
    let ended = tokio::select! {
        ended = actix_rt::time::timeout(HANDSHAKE_TIMEOUT, &mut system) => ended.is_ok(),
        () = server.yielding.notified() => false,
    };
    if server.is_pending.replace(false) {
        log::warn!(peer = peer.to_string(), code = ResultCode::PeerRefused.number(), ended;
            "connection closed: peer did not authenticate");
        return;
    }
    if ended {
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
