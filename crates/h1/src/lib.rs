//! HTTP/1.1 messages as bytes, without I/O.
//!
//! What a process may say of a request depends on exactly which bytes of it
//! left and which bytes came back, so connections are driven by the process
//! itself and only the parsing is a library's. The reasons are in
//! [docs/design/platform.md](../../../docs/design/platform.md#connections).

mod body;
mod field;
mod head;

pub use body::{encode_chunk, BodyDecoder, BodyFraming, LAST_CHUNK};
pub use field::{FieldList, HeaderField};
pub use head::{parse_request, parse_response, ParseError, RequestHead, ResponseHead};
