//! Orders to a backend server, which go through its sidecar.

use applefold_core::code::CallRefusal;
use applefold_core::id::{FencingNumber, InstanceId, OrderId, ScopeId};
use applefold_core::unit::TimeSpan;

use crate::applefold_capnp::{order, order_reply};
use crate::error::{parse, read_refusal, write_refusal, MessageError};

/// An order with the authority that it is given under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderMessage {
    /// The order, so that a repeat is recognized.
    pub id: OrderId,
    /// The scope of the sender's authority.
    pub scope: ScopeId,
    /// The sender.
    pub holder: InstanceId,
    /// The version of the sender's lease.
    pub fencing: FencingNumber,
    /// The time within which the order is carried out or refused.
    pub deadline: TimeSpan,
    /// The order in JSON.
    pub body: String,
}

impl OrderMessage {
    /// Writes the message.
    pub fn write(&self, mut builder: order::Builder<'_>) {
        builder.set_id(self.id.as_str());
        builder.set_scope(self.scope.as_str());
        builder.set_holder(self.holder.as_str());
        builder.set_fencing(self.fencing.0);
        builder.set_deadline_micros(self.deadline.0);
        builder.set_body(&*self.body);
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
    pub fn read(reader: order::Reader<'_>) -> Result<Self, MessageError> {
        Ok(Self {
            id: parse(reader.get_id()?)?,
            scope: parse(reader.get_scope()?)?,
            holder: parse(reader.get_holder()?)?,
            fencing: FencingNumber(reader.get_fencing()),
            deadline: TimeSpan(reader.get_deadline_micros()),
            body: reader.get_body()?.to_string()?,
        })
    }
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The order took effect, now or before.
    Done,
    /// The order was refused.
    Refused(CallRefusal),
}

impl OrderReply {
    /// Writes the message.
    pub fn write(&self, mut builder: order_reply::Builder<'_>) {
        match self {
            Self::Done => builder.set_done(()),
            Self::Refused(refusal) => write_refusal(*refusal, builder.init_refused()),
        }
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
    pub fn read(reader: order_reply::Reader<'_>) -> Result<Self, MessageError> {
        Ok(match reader.which()? {
            order_reply::Done(()) => Self::Done,
            order_reply::Refused(refusal) => Self::Refused(read_refusal(refusal?)?),
        })
    }
}
