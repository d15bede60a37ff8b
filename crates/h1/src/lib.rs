//! Parses and encodes HTTP/1.1 messages, without I/O.
//!
//! Whether a request may be retried depends on exactly which of its bytes were
//! sent and which bytes came back. The process therefore drives its connections
//! itself, and only the parsing comes from a library. The reasons are in
//! [docs/design/platform.md](../../../docs/design/platform.md#connections).

mod body;
mod field;
mod head;

pub use body::{encode_chunk, BodyDecoder, BodyFraming, LAST_CHUNK};
pub use field::{FieldList, HeaderField};
pub use head::{parse_request, parse_response, ParseError, RequestHead, ResponseHead};
