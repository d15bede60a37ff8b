//! Fingerprints, by which a request is recognized when it is sent again.

use sha2::{Digest, Sha256};

use applefold_wire::dispatch::DispatchMessage;

/// Returns the fingerprint of what the backend server would run.
pub(crate) fn of(dispatch: &DispatchMessage) -> u64 {
    let mut hash = Sha256::new();
    hash.update(dispatch.method.as_bytes());
    hash.update([0]);
    hash.update(dispatch.path.as_bytes());
    hash.update([0]);
    hash.update(&dispatch.body);
    let digest = hash.finalize();
    let head = digest.iter().take(8);
    head.fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
