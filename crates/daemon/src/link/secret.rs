//! Mutual challenge-response authentication with the cluster secret.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use smol_str::SmolStr;

/// The minimum length of a cluster secret.
const MIN_SECRET_BYTES: usize = 16;
const NONCE_BYTES: usize = 32;

/// The side that makes a proof. It is part of the proof, which prevents reflection attacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProofSide {
    Client,
    Server,
}

impl ProofSide {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"applefold client",
            Self::Server => b"applefold server",
        }
    }
}

/// A random nonce of one side of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LinkNonce(Vec<u8>);

impl LinkNonce {
    pub(crate) fn generate() -> Self {
        let mut bytes = vec![0; NONCE_BYTES];
        rand::thread_rng().fill_bytes(&mut bytes);
        Self(bytes)
    }

    /// Returns `None` if the length is not that of a nonce.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        (bytes.len() == NONCE_BYTES).then(|| Self(bytes.to_vec()))
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// The input of a proof: its side, the name of the client and both nonces.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProofInput<'a> {
    pub(crate) side: ProofSide,
    pub(crate) instance: &'a str,
    pub(crate) server: &'a LinkNonce,
    pub(crate) client: &'a LinkNonce,
}

/// A cluster secret; its `Debug` form does not reveal it.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct ClusterSecret(SmolStr);

impl fmt::Debug for ClusterSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterSecret(..)")
    }
}

/// The error of a secret shorter than [`MIN_SECRET_BYTES`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct SecretError;

impl fmt::Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a secret of at least {MIN_SECRET_BYTES} bytes")
    }
}

impl FromStr for ClusterSecret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        if text.len() < MIN_SECRET_BYTES {
            return Err(SecretError);
        }
        Ok(Self(SmolStr::new(text)))
    }
}

impl ClusterSecret {
    fn mac(&self, input: ProofInput<'_>) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.0.as_bytes()).ok()?;
        mac.update(input.side.label());
        mac.update(input.server.as_bytes());
        mac.update(input.client.as_bytes());
        mac.update(input.instance.as_bytes());
        Some(mac)
    }

    fn verify(&self, input: ProofInput<'_>, proof: &[u8]) -> bool {
        let mac = self.mac(input);
        mac.is_some_and(|mac| mac.verify_slice(proof).is_ok())
    }

    /// Returns the proof: an HMAC-SHA256 over `input`.
    pub(crate) fn prove(&self, input: ProofInput<'_>) -> Vec<u8> {
        let mac = self.mac(input);
        mac.map_or_else(Vec::new, |mac| mac.finalize().into_bytes().to_vec())
    }
}

/// The valid cluster secrets: two during a rotation.
#[derive(Clone, Debug)]
pub(crate) struct SecretRing {
    /// The secret with which this process makes proofs.
    pub(crate) current: ClusterSecret,
    /// A second secret, whose proofs are accepted too.
    pub(crate) other: Option<ClusterSecret>,
}

impl SecretRing {
    /// Returns the valid secret that made the proof, or `None` if none did.
    pub(crate) fn verify_proof(
        &self,
        input: ProofInput<'_>,
        proof: &[u8],
    ) -> Option<&ClusterSecret> {
        let mut secrets = std::iter::once(&self.current).chain(&self.other);
        secrets.find(|secret| secret.verify(input, proof))
    }
}
