//! Connections between the processes of the system.
//!
//! Every internal port serves a [`handshake`]; a peer that proves the cluster secret
//! is given a session. See [docs/design/links.md](../../../../docs/design/links.md).

pub(crate) mod client;
pub(crate) mod handshake;
pub(crate) mod secret;

use capnp::message::ReaderOptions;

use applefold_core::unit::ByteSize;

/// The largest message that is read from a peer.
pub(crate) const MAX_MESSAGE_SIZE: ByteSize = ByteSize(16 * 1024 * 1024);

const WORD_BYTES: u64 = 8;
const NESTING_LIMIT: i32 = 32;

fn reader_options() -> ReaderOptions {
    let words = (MAX_MESSAGE_SIZE.0 / WORD_BYTES) as usize;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(words));
    options.nesting_limit(NESTING_LIMIT);
    options
}
