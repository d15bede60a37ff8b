//! Authenticated connections between the processes.
//!
//! Every peer port serves a [`handshake`]. A peer that proves that it knows the cluster secret is
//! given a session. See [docs/design/links.md](../../../../docs/design/links.md).

pub(crate) mod client;
pub(crate) mod handshake;
pub(crate) mod secret;

use capnp::message::ReaderOptions;

use applefold_core::unit::ByteSize;

/// The maximum size of a message from a peer.
pub(crate) const MAX_MESSAGE_SIZE: ByteSize = ByteSize(16 * 1024 * 1024);

/// The size of a word of the message format.
const WORD_BYTES: u64 = 8;
/// The maximum nesting depth of a message.
const MAX_NESTING: i32 = 32;

fn reader_options() -> ReaderOptions {
    let words = (MAX_MESSAGE_SIZE.0 / WORD_BYTES) as usize;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(words));
    options.nesting_limit(MAX_NESTING);
    options
}
