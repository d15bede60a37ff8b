//! The bodies of messages.

use std::io::Write;

use bytes::{Buf, BytesMut};

use crate::head::ParseError;

/// What ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The longest line of a chunk's size or trailer, in bytes; longer ones are hostile.
const MAX_LINE_BYTES: usize = 1_024;
/// The most lines after the last chunk, as many as a head may have fields.
const MAX_TRAILER_LINES: u32 = 100;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecoderState {
    Bytes(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// After this many lines of it.
    Trailer(u32),
    Open,
    Done,
}

/// Takes the body of one message out of the bytes of a connection.
#[derive(Clone, Debug)]
pub struct BodyDecoder(DecoderState);

impl BodyDecoder {
    /// A decoder at the start of a body.
    pub fn new(framing: BodyFraming) -> Self {
        Self(match framing {
            BodyFraming::Length(0) => DecoderState::Done,
            BodyFraming::Length(length) => DecoderState::Bytes(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::Open,
        })
    }

    /// Returns whether the whole body has been taken.
    pub fn is_done(&self) -> bool {
        self.0 == DecoderState::Done
    }

    /// Returns whether the end of the connection is the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        self.0 == DecoderState::Open
    }

    /// Moves body bytes from `input` to `output`; returns whether the body is whole.
    ///
    /// # Errors
    ///
    /// Fails where the bytes cannot be a body of this framing.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        output: &mut Vec<u8>,
    ) -> Result<bool, ParseError> {
        loop {
            match self.0 {
                DecoderState::Done => return Ok(true),
                DecoderState::Open => {
                    output.extend_from_slice(input);
                    input.clear();
                    return Ok(false);
                }
                DecoderState::Bytes(left) => {
                    let left = left - take(input, left, output);
                    if left > 0 {
                        self.0 = DecoderState::Bytes(left);
                        return Ok(false);
                    }
                    self.0 = DecoderState::Done;
                }
                DecoderState::ChunkData(left) => {
                    let left = left - take(input, left, output);
                    if left > 0 {
                        self.0 = DecoderState::ChunkData(left);
                        return Ok(false);
                    }
                    self.0 = DecoderState::ChunkEnd;
                }
                // The library takes a missing size for zero.
                DecoderState::ChunkSize
                    if input.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) =>
                {
                    return Err(ParseError::Malformed("the size of a chunk"));
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
                    _ => return Err(ParseError::Malformed("the size of a chunk")),
                },
                DecoderState::ChunkEnd => {
                    if input.len() < 2 {
                        return Ok(false);
                    }
                    if &input[..2] != b"\r\n" {
                        return Err(ParseError::Malformed("the end of a chunk"));
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

fn take(input: &mut BytesMut, left: u64, output: &mut Vec<u8>) -> u64 {
    let count = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
    output.extend_from_slice(&input[..count]);
    input.advance(count);
    count as u64
}

/// Appends one chunk; an empty one is left out, since it would end the body.
pub fn encode_chunk(data: &[u8], output: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    let written = write!(output, "{:x}\r\n", data.len());
    debug_assert!(written.is_ok(), "writing to memory does not fail");
    output.extend_from_slice(data);
    output.extend_from_slice(b"\r\n");
}
