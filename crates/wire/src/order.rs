//! Orders to a backend server, which are sent to its sidecar.

use applefold_core::fence::{EngineOrder, OrderResult};
use applefold_core::id::FencingNumber;
use applefold_core::unit::TimeSpan;
use smol_str::SmolStr;

use crate::applefold_capnp::{order, order_reply};
use crate::error::{parse, read_refusal, write_refusal, MessageError};

/// Serializes an order.
pub fn write_order(message: &EngineOrder, mut builder: order::Builder<'_>) {
    builder.set_id(message.id.as_str());
    builder.set_scope(message.scope.as_str());
    builder.set_holder(message.holder.as_str());
    builder.set_fencing(message.fencing.0);
    builder.set_deadline_micros(message.timeout.0);
    builder.set_body(&*message.body);
}

/// Deserializes an order.
///
/// # Errors
///
/// Returns [`MessageError`] if a field is malformed or out of range.
pub fn read_order(reader: order::Reader<'_>) -> Result<EngineOrder, MessageError> {
    Ok(EngineOrder {
        id: parse(reader.get_id()?)?,
        scope: parse(reader.get_scope()?)?,
        holder: parse(reader.get_holder()?)?,
        fencing: FencingNumber(reader.get_fencing()),
        timeout: TimeSpan(reader.get_deadline_micros()),
        body: SmolStr::new(reader.get_body()?.to_str()?),
    })
}

/// Serializes the result of an order.
pub fn write_result(result: &OrderResult, mut builder: order_reply::Builder<'_>) {
    match result {
        OrderResult::Done => builder.set_done(()),
        OrderResult::Refused(refusal) => write_refusal(*refusal, builder.init_refused()),
    }
}

/// Deserializes the result of an order.
///
/// # Errors
///
/// Returns [`MessageError`] if a field is malformed or out of range.
pub fn read_result(reader: order_reply::Reader<'_>) -> Result<OrderResult, MessageError> {
    Ok(match reader.which()? {
        order_reply::Done(()) => OrderResult::Done,
        order_reply::Refused(refusal) => OrderResult::Refused(read_refusal(refusal?)?),
    })
}
