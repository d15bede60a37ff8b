//! Parses the heads of requests and responses.

use std::fmt;

use smol_str::SmolStr;

use crate::body::BodyFraming;
use crate::field::FieldList;

/// The most header fields that a message may have.
const MAX_FIELDS: usize = 100;
/// The status codes that exist. The parser accepts any three digits.
const STATUS_CODES: std::ops::RangeInclusive<u16> = 100..=599;

/// Why bytes could not be parsed as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// This part of the message is invalid.
    Malformed(&'static str),
    /// The message exceeds a size limit.
    TooLarge,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(part) => write!(f, "invalid {part}"),
            Self::TooLarge => f.write_str("message exceeds a size limit"),
        }
    }
}

impl std::error::Error for ParseError {}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: SmolStr,
    /// The path, with the query if there is one.
    pub target: SmolStr,
    /// The header fields.
    pub fields: FieldList,
    /// How the body ends.
    pub framing: BodyFraming,
    /// Whether the connection may be reused after the response.
    pub keep_alive: bool,
    /// Whether the caller waits for a `100 Continue` response before it sends the body.
    pub expects_continue: bool,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub fields: FieldList,
    /// How the body ends.
    pub framing: BodyFraming,
    /// Whether the connection may be reused after the body.
    pub keep_alive: bool,
    /// How long the peer keeps an idle connection open, in seconds, if its `Keep-Alive` field
    /// says so.
    pub idle_timeout_secs: Option<u64>,
}

/// Parses the head of a request. Returns it with its length in bytes, or `None` while it is
/// incomplete.
///
/// # Errors
///
/// Returns [`ParseError::TooLarge`] for a head over `limit` bytes, too many header fields or a
/// `Content-Length` that does not fit a `u64`, and [`ParseError::Malformed`] for bytes that are
/// not a request. A request with ambiguous framing is malformed too, since it would allow request
/// smuggling.
pub fn parse_request(
    bytes: &[u8],
    limit: usize,
) -> Result<Option<(RequestHead, usize)>, ParseError> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut storage);
    let used = match request.parse(bytes) {
        Ok(httparse::Status::Complete(used)) if used <= limit => used,
        Ok(httparse::Status::Partial) if bytes.len() < limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(ParseError::TooLarge),
        Err(_) => return Err(ParseError::Malformed("request head")),
    };
    let fields = read_fields(request.headers)?;
    let framing = request_framing(&fields, request.version)?;
    let target = request.path.unwrap_or_default();
    if !target.starts_with('/') {
        return Err(ParseError::Malformed("request target"));
    }
    let head = RequestHead {
        method: SmolStr::new(request.method.unwrap_or_default()),
        target: SmolStr::new(target),
        framing,
        keep_alive: is_persistent(&fields, request.version),
        expects_continue: fields.has_token("expect", "100-continue"),
        fields,
    };
    Ok(Some((head, used)))
}

/// Parses the head of a response. Returns it with its length in bytes, or `None` while it is
/// incomplete.
///
/// # Errors
///
/// Returns [`ParseError::TooLarge`] for a head over `limit` bytes, too many header fields or a
/// `Content-Length` that does not fit a `u64`, and [`ParseError::Malformed`] for bytes that are
/// not a response, have a status outside 100 to 599 or ambiguous framing.
pub fn parse_response(
    bytes: &[u8],
    limit: usize,
) -> Result<Option<(ResponseHead, usize)>, ParseError> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut storage);
    let used = match response.parse(bytes) {
        Ok(httparse::Status::Complete(used)) if used <= limit => used,
        Ok(httparse::Status::Partial) if bytes.len() < limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(ParseError::TooLarge),
        Err(_) => return Err(ParseError::Malformed("response head")),
    };
    let fields = read_fields(response.headers)?;
    let status = response.code.unwrap_or_default();
    if !STATUS_CODES.contains(&status) {
        return Err(ParseError::Malformed("status code"));
    }
    let framing = response_framing(&fields, status)?;
    let keep_alive = is_persistent(&fields, response.version) && framing != BodyFraming::UntilClose;
    let head = ResponseHead {
        status,
        framing,
        keep_alive,
        idle_timeout_secs: idle_timeout_secs(&fields),
        fields,
    };
    Ok(Some((head, used)))
}

fn read_fields(headers: &[httparse::Header<'_>]) -> Result<FieldList, ParseError> {
    let mut fields = FieldList::default();
    for header in headers {
        let value = std::str::from_utf8(header.value);
        let value = value.map_err(|_| ParseError::Malformed("header field value"))?;
        fields.push(header.name, value.trim());
    }
    Ok(fields)
}

fn is_persistent(fields: &FieldList, version: Option<u8>) -> bool {
    version == Some(1) && !fields.has_token("connection", "close")
}

fn idle_timeout_secs(fields: &FieldList) -> Option<u64> {
    let value = fields.get("keep-alive")?;
    let parts = value.split(',').map(str::trim);
    let mut times = parts.filter_map(|part| part.strip_prefix("timeout="));
    times.next()?.parse().ok()
}

/// Returns the `Content-Length`, if there is one; repeated fields are malformed.
fn content_length(fields: &FieldList) -> Result<Option<u64>, ParseError> {
    let mut lengths = fields.all("content-length");
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    let digits = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_digit());
    if lengths.next().is_some() || !digits {
        return Err(ParseError::Malformed("Content-Length"));
    }
    let length = first.parse();
    length.map(Some).map_err(|_| ParseError::TooLarge)
}

fn is_chunked(fields: &FieldList) -> Result<bool, ParseError> {
    let mut encodings = fields.all("transfer-encoding");
    match (encodings.next(), encodings.next()) {
        (None, _) => Ok(false),
        (Some(encoding), None) if encoding.eq_ignore_ascii_case("chunked") => Ok(true),
        _ => Err(ParseError::Malformed("Transfer-Encoding")),
    }
}

fn request_framing(fields: &FieldList, version: Option<u8>) -> Result<BodyFraming, ParseError> {
    let chunked = is_chunked(fields)?;
    match (chunked, content_length(fields)?) {
        (true, Some(_)) => Err(ParseError::Malformed(
            "framing: Transfer-Encoding with Content-Length",
        )),
        (true, None) if version != Some(1) => Err(ParseError::Malformed(
            "framing: Transfer-Encoding in HTTP/1.0",
        )),
        (true, None) => Ok(BodyFraming::Chunked),
        (false, length) => Ok(BodyFraming::Length(length.unwrap_or(0))),
    }
}

fn response_framing(fields: &FieldList, status: u16) -> Result<BodyFraming, ParseError> {
    if matches!(status, 100..=199 | 204 | 304) {
        return Ok(BodyFraming::Length(0));
    }
    match (is_chunked(fields)?, content_length(fields)?) {
        (true, Some(_)) => Err(ParseError::Malformed(
            "framing: Transfer-Encoding with Content-Length",
        )),
        (true, None) => Ok(BodyFraming::Chunked),
        (false, Some(length)) => Ok(BodyFraming::Length(length)),
        (false, None) => Ok(BodyFraming::UntilClose),
    }
}
