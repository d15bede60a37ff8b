//! The error of a malformed message, and the conversions that the message types share.

use std::fmt;
use std::str::FromStr;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::unit::TimeSpan;
use smol_str::SmolStr;

use crate::applefold_capnp::refusal;

/// The error of a message that cannot be deserialized. The call that carried the message fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageError {
    reason: SmolStr,
}

impl MessageError {
    /// Creates an error with the reason why the message cannot be deserialized.
    pub fn new<R>(reason: R) -> Self
    where
        R: fmt::Display,
    {
        let reason = smol_str::format_smolstr!("{reason}");
        Self { reason }
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed message: {}", self.reason)
    }
}

impl std::error::Error for MessageError {}

impl From<capnp::Error> for MessageError {
    fn from(error: capnp::Error) -> Self {
        Self::new(error)
    }
}

impl From<capnp::NotInSchema> for MessageError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::new(error)
    }
}

impl From<std::str::Utf8Error> for MessageError {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::new(error)
    }
}

impl From<MessageError> for capnp::Error {
    fn from(error: MessageError) -> Self {
        capnp::Error::failed(error.to_string())
    }
}

/// Parses a text field.
pub(crate) fn parse<T>(text: capnp::text::Reader<'_>) -> Result<T, MessageError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let text = text.to_str()?;
    text.parse().map_err(MessageError::new)
}

/// Parses a text field in which an empty text means that there is no value.
pub(crate) fn parse_optional<T>(text: capnp::text::Reader<'_>) -> Result<Option<T>, MessageError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    if text.is_empty() {
        return Ok(None);
    }
    parse(text).map(Some)
}

/// Serializes a refusal; a permanent one has a retry delay of 0.
pub(crate) fn write_refusal(refusal: CallRefusal, mut builder: refusal::Builder<'_>) {
    builder.set_code(refusal.code.number());
    let delay = refusal.retry_after.unwrap_or(TimeSpan::ZERO);
    builder.set_retry_after_micros(delay.0);
}

/// Deserializes a refusal; a retry delay of 0 makes it permanent.
pub(crate) fn read_refusal(reader: refusal::Reader<'_>) -> Result<CallRefusal, MessageError> {
    let code = ResultCode::try_from(reader.get_code()).map_err(MessageError::new)?;
    Ok(match reader.get_retry_after_micros() {
        0 => CallRefusal::permanent(code),
        micros => CallRefusal::retryable(code, TimeSpan(micros)),
    })
}
