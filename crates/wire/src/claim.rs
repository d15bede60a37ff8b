//! Claims on idempotency keys, which any entry forwards to the shard's owner.

use applefold_core::code::CallRefusal;
use applefold_core::id::{IdempotencyKey, RequestId, ShardId, TeamId};

use crate::applefold_capnp::{claim_outcome, claim_reply, claim_request, kept_answer};
use crate::error::{parse, read_refusal, write_refusal, MessageError};

/// A claim to run the request of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimMessage {
    /// The shard that the key belongs to.
    pub shard: ShardId,
    /// The key that the caller sent.
    pub key: IdempotencyKey,
    /// The team of the caller.
    pub team: TeamId,
    /// The fingerprint of method, path and body.
    pub fingerprint: u64,
    /// The request that claims.
    pub request: RequestId,
}

impl ClaimMessage {
    /// Writes the message.
    pub fn write(&self, mut builder: claim_request::Builder<'_>) {
        builder.set_shard(self.shard.0);
        builder.set_key(self.key.as_str());
        builder.set_team(self.team.as_str());
        builder.set_fingerprint(self.fingerprint);
        builder.set_request(self.request.as_str());
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
    pub fn read(reader: claim_request::Reader<'_>) -> Result<Self, MessageError> {
        Ok(Self {
            shard: ShardId(reader.get_shard()),
            key: parse(reader.get_key()?)?,
            team: parse(reader.get_team()?)?,
            fingerprint: reader.get_fingerprint(),
            request: parse(reader.get_request()?)?,
        })
    }
}

/// An answer that is kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerNote {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl AnswerNote {
    fn write(&self, mut builder: kept_answer::Builder<'_>) {
        builder.set_status(self.status);
        builder.set_body(&self.body);
    }

    fn read(reader: kept_answer::Reader<'_>) -> Result<Self, MessageError> {
        let status = reader.get_status();
        let body = reader.get_body()?.to_vec();
        Ok(Self { status, body })
    }
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The claim is durable, and the claimer alone may run the request.
    Granted,
    /// The request must not be run.
    Refused(CallRefusal),
    /// The request ran, and this was its answer.
    Kept(AnswerNote),
}

impl ClaimReply {
    /// Writes the message.
    pub fn write(&self, mut builder: claim_reply::Builder<'_>) {
        match self {
            Self::Granted => builder.set_granted(()),
            Self::Refused(refusal) => write_refusal(*refusal, builder.init_refused()),
            Self::Kept(answer) => answer.write(builder.init_kept()),
        }
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
    pub fn read(reader: claim_reply::Reader<'_>) -> Result<Self, MessageError> {
        Ok(match reader.which()? {
            claim_reply::Granted(()) => Self::Granted,
            claim_reply::Refused(refusal) => Self::Refused(read_refusal(refusal?)?),
            claim_reply::Kept(answer) => Self::Kept(AnswerNote::read(answer?)?),
        })
    }
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettleMessage {
    /// The shard that the key belongs to.
    pub shard: ShardId,
    /// The key that the caller sent.
    pub key: IdempotencyKey,
    /// The team of the caller.
    pub team: TeamId,
    /// The request that claimed.
    pub request: RequestId,
    /// The answer; `None` where the outcome is unknown.
    pub answer: Option<AnswerNote>,
}

impl SettleMessage {
    /// Writes the message.
    pub fn write(&self, mut builder: claim_outcome::Builder<'_>) {
        builder.set_shard(self.shard.0);
        builder.set_key(self.key.as_str());
        builder.set_team(self.team.as_str());
        builder.set_request(self.request.as_str());
        builder.set_known(self.answer.is_some());
        if let Some(answer) = &self.answer {
            answer.write(builder.init_answer());
        }
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
    pub fn read(reader: claim_outcome::Reader<'_>) -> Result<Self, MessageError> {
        let answer = match reader.get_known() {
            true => Some(AnswerNote::read(reader.get_answer()?)?),
            false => None,
        };
        Ok(Self {
            shard: ShardId(reader.get_shard()),
            key: parse(reader.get_key()?)?,
            team: parse(reader.get_team()?)?,
            request: parse(reader.get_request()?)?,
            answer,
        })
    }
}
