//! Decodes and encodes message bodies.

use std::io::Write;

use bytes::{Buf, BytesMut};

use crate::head::ParseError;

/// The last chunk of a chunked body, followed by an empty trailer section.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The longest chunk size line or trailer line, in bytes. Only a hostile peer sends longer ones.
const MAX_LINE_BYTES: usize = 1_024;
/// The most trailer lines after the last chunk, as many as a head may have header fields.
const MAX_TRAILER_LINES: u32 = 100;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes (`Content-Length`).
    Length(u64),
    /// The body is sent in chunks (`Transfer-Encoding: chunked`).
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

impl BodyFraming {
    /// Returns the name of the framing, without the length.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until close",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecoderState {
    /// The bytes that are left of a body of known length.
    Length(u64),
    ChunkSize,
    /// The bytes that are left of the chunk.
    ChunkData(u64),
    /// The line break after the data of a chunk.
    ChunkEnd,
    /// The number of trailer lines that have been read.
    Trailer(u32),
    UntilClose,
    Done,
}

/// An incremental decoder that extracts the body of one message from the bytes of a connection.
#[derive(Clone, Debug)]
pub struct BodyDecoder(DecoderState);

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    pub fn new(framing: BodyFraming) -> Self {
        Self(match framing {
            BodyFraming::Length(0) => DecoderState::Done,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        })
    }

    /// Returns whether the complete body has been decoded.
    pub fn is_done(&self) -> bool {
        self.0 == DecoderState::Done
    }

    /// Returns whether the body ends when the connection is closed.
    pub fn ends_with_connection(&self) -> bool {
        self.0 == DecoderState::UntilClose
    }

    /// Moves body bytes from `input` to `output`; returns whether the body is complete.
    ///
    /// Bytes after the end of the body stay in `input`.
    ///
    /// # Errors
    ///
    /// Returns [`ParseError::Malformed`] for invalid chunk framing, and
    /// [`ParseError::TooLarge`] for a trailer line or a number of trailer lines over the limit.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        output: &mut Vec<u8>,
    ) -> Result<bool, ParseError> {
        loop {
            match self.0 {
                DecoderState::Done => return Ok(true),
                DecoderState::UntilClose => {
                    output.extend_from_slice(input);
                    input.clear();
                    return Ok(false);
                }
                DecoderState::Length(remaining) => {
                    let remaining = remaining - move_bytes(input, remaining, output);
                    if remaining > 0 {
                        self.0 = DecoderState::Length(remaining);
                        return Ok(false);
                    }
                    self.0 = DecoderState::Done;
                }
                DecoderState::ChunkData(remaining) => {
                    let remaining = remaining - move_bytes(input, remaining, output);
                    if remaining > 0 {
                        self.0 = DecoderState::ChunkData(remaining);
                        return Ok(false);
                    }
                    self.0 = DecoderState::ChunkEnd;
                }
                // `httparse` parses a missing chunk size as zero.
                DecoderState::ChunkSize
                    if input.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) =>
                {
                    return Err(ParseError::Malformed("chunk size"));
                }
                DecoderState::ChunkSize => match httparse::parse_chunk_size(input) {
                    Ok(httparse::Status::Complete((used, size))) if used <= MAX_LINE_BYTES => {
                        input.advance(used);
                        self.0 = match size {
                            0 => DecoderState::Trailer(0),
                            size => DecoderState::ChunkData(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if input.len() <= MAX_LINE_BYTES => {
                        return Ok(false);
                    }
                    _ => return Err(ParseError::Malformed("chunk size")),
                },
                DecoderState::ChunkEnd => {
                    if input.len() < 2 {
                        return Ok(false);
                    }
                    if &input[..2] != b"\r\n" {
                        return Err(ParseError::Malformed("chunk terminator"));
                    }
                    input.advance(2);
                    self.0 = DecoderState::ChunkSize;
                }
                DecoderState::Trailer(lines) => {
                    let end = input.windows(2).position(|pair| pair == b"\r\n");
                    if end.map_or(input.len(), |end| end + 2) > MAX_LINE_BYTES {
                        return Err(ParseError::TooLarge);
                    }
                    let Some(end) = end else {
                        return Ok(false);
                    };
                    input.advance(end + 2);
                    self.0 = match end {
                        0 => DecoderState::Done,
                        _ if lines < MAX_TRAILER_LINES => DecoderState::Trailer(lines + 1),
                        _ => return Err(ParseError::TooLarge),
                    };
                }
            }
        }
    }
}

fn move_bytes(input: &mut BytesMut, remaining: u64, output: &mut Vec<u8>) -> u64 {
    let count = usize::try_from(remaining)
        .unwrap_or(usize::MAX)
        .min(input.len());
    output.extend_from_slice(&input[..count]);
    input.advance(count);
    count as u64
}

/// Appends `data` to `output` as one chunk. Empty data is skipped, since an empty chunk would
/// end the body.
pub fn encode_chunk(data: &[u8], output: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    let written = write!(output, "{:x}\r\n", data.len());
    debug_assert!(written.is_ok(), "writing to a vector cannot fail");
    output.extend_from_slice(data);
    output.extend_from_slice(b"\r\n");
}
