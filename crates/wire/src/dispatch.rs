//! The messages that dispatch an attempt to a sidecar and return its response.

use applefold_core::code::CallRefusal;
use applefold_core::id::{AttemptNumber, KeyId, ModelId, RequestId, ServiceId, TeamId};
use applefold_core::quarantine::SuspectReport;
use applefold_core::replication::Confirmation;
use applefold_core::unit::{ByteSize, TimeSpan, TokenCount};
use smol_str::SmolStr;

use crate::applefold_capnp::{answer_end, answer_head, answer_part, dispatch, pair};
use crate::error::{parse, parse_optional, read_refusal, write_refusal, MessageError};
use crate::heartbeat::{
    read_confirmation, read_reports, write_confirmation, write_reports, LoadStatus,
};

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderPair {
    /// The name, in lower case.
    pub name: SmolStr,
    /// The value.
    pub value: SmolStr,
}

impl HeaderPair {
    fn write(&self, mut builder: pair::Builder<'_>) {
        builder.set_name(&*self.name);
        builder.set_value(&*self.value);
    }

    fn read(reader: pair::Reader<'_>) -> Result<Self, MessageError> {
        Ok(Self {
            name: SmolStr::new(reader.get_name()?.to_str()?),
            value: SmolStr::new(reader.get_value()?.to_str()?),
        })
    }

    fn write_all(pairs: &[Self], mut builder: capnp::struct_list::Builder<'_, pair::Owned>) {
        for (index, pair) in pairs.iter().enumerate() {
            pair.write(builder.reborrow().get(index as u32));
        }
    }

    fn read_all(
        reader: capnp::struct_list::Reader<'_, pair::Owned>,
    ) -> Result<Vec<Self>, MessageError> {
        reader.iter().map(Self::read).collect()
    }
}

/// Identifies an attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request ID.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
}

/// One attempt at a request, sent to the sidecar of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchMessage {
    /// The attempt that the message belongs to.
    pub id: AttemptId,
    /// The team that the request runs for; `None` on a public route.
    pub team: Option<TeamId>,
    /// The ID of the caller key; `None` on a public route.
    pub key: Option<KeyId>,
    /// The service of the route.
    pub service: ServiceId,
    /// The model; `None` for a plain service.
    pub model: Option<ModelId>,
    /// The entry's configuration revision and how recently it was confirmed.
    pub confirmation: Confirmation,
    /// The time left until the first byte of the response is due.
    pub deadline: TimeSpan,
    /// The value of the W3C `traceparent` header.
    pub traceparent: SmolStr,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query of the request to the backend server.
    pub path: String,
    /// The headers of the request to the backend server. The caller key is never among them.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the response is an event stream.
    pub stream: bool,
    /// Whether the request is idempotent, so that it may run more than once.
    pub idempotent: bool,
    /// The estimated length of the prompt, in tokens.
    pub prompt_tokens: TokenCount,
    /// The maximum number of tokens to generate.
    pub answer_tokens: TokenCount,
    /// The priority, from 0 for interactive to 9 for batch.
    pub priority: u8,
    /// The number of generated tokens that the caller already has.
    pub resume_tokens: TokenCount,
    /// Reports of backend servers that crashed while they ran this request.
    pub suspects: Vec<SuspectReport>,
}

impl DispatchMessage {
    /// Serializes the message.
    pub fn write(&self, mut builder: dispatch::Builder<'_>) {
        builder.set_request(self.id.request.as_str());
        builder.set_attempt(self.id.attempt.0);
        builder.set_team(self.team.as_ref().map_or("", TeamId::as_str));
        builder.set_key(self.key.as_ref().map_or("", KeyId::as_str));
        builder.set_service(self.service.as_str());
        builder.set_model(self.model.as_ref().map_or("", ModelId::as_str));
        write_confirmation(&self.confirmation, builder.reborrow().init_confirmation());
        builder.set_deadline_micros(self.deadline.0);
        builder.set_traceparent(&*self.traceparent);
        builder.set_method(&*self.method);
        builder.set_path(&*self.path);
        HeaderPair::write_all(
            &self.headers,
            builder.reborrow().init_headers(self.headers.len() as u32),
        );
        builder.set_body(&self.body);
        builder.set_stream(self.stream);
        builder.set_repeatable(self.idempotent);
        builder.set_prompt_tokens(self.prompt_tokens.0);
        builder.set_answer_tokens(self.answer_tokens.0);
        builder.set_priority(self.priority);
        builder.set_resume_tokens(self.resume_tokens.0);
        write_reports(
            &self.suspects,
            builder.init_suspects(self.suspects.len() as u32),
        );
    }

    /// Deserializes a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] if a field is malformed or out of range.
    pub fn read(reader: dispatch::Reader<'_>) -> Result<Self, MessageError> {
        Ok(Self {
            id: AttemptId {
                request: parse(reader.get_request()?)?,
                attempt: AttemptNumber(reader.get_attempt()),
            },
            team: parse_optional(reader.get_team()?)?,
            key: parse_optional(reader.get_key()?)?,
            service: parse(reader.get_service()?)?,
            model: parse_optional(reader.get_model()?)?,
            confirmation: read_confirmation(reader.get_confirmation()?),
            deadline: TimeSpan(reader.get_deadline_micros()),
            traceparent: SmolStr::new(reader.get_traceparent()?.to_str()?),
            method: SmolStr::new(reader.get_method()?.to_str()?),
            path: reader.get_path()?.to_string()?,
            headers: HeaderPair::read_all(reader.get_headers()?)?,
            body: reader.get_body()?.to_vec(),
            stream: reader.get_stream(),
            idempotent: reader.get_repeatable(),
            prompt_tokens: TokenCount(reader.get_prompt_tokens()),
            answer_tokens: TokenCount(reader.get_answer_tokens()),
            priority: reader.get_priority(),
            resume_tokens: TokenCount(reader.get_resume_tokens()),
            suspects: read_reports(reader.get_suspects()?)?,
        })
    }
}

/// The status and headers of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadMessage {
    /// The attempt that the message belongs to.
    pub id: AttemptId,
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<HeaderPair>,
}

impl HeadMessage {
    /// Serializes the message.
    pub fn write(&self, mut builder: answer_head::Builder<'_>) {
        builder.set_request(self.id.request.as_str());
        builder.set_attempt(self.id.attempt.0);
        builder.set_status(self.status);
        let count = self.headers.len() as u32;
        HeaderPair::write_all(&self.headers, builder.init_headers(count));
    }

    /// Deserializes a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] if a field is malformed or out of range.
    pub fn read(reader: answer_head::Reader<'_>) -> Result<Self, MessageError> {
        Ok(Self {
            id: AttemptId {
                request: parse(reader.get_request()?)?,
                attempt: AttemptNumber(reader.get_attempt()),
            },
            status: reader.get_status(),
            headers: HeaderPair::read_all(reader.get_headers()?)?,
        })
    }
}

/// A part of a response body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartMessage {
    /// The attempt that the message belongs to.
    pub id: AttemptId,
    /// The offset of `data` in the body.
    pub offset: ByteSize,
    /// The bytes of the part.
    pub data: Vec<u8>,
}

impl PartMessage {
    /// Serializes the message.
    pub fn write(&self, mut builder: answer_part::Builder<'_>) {
        builder.set_request(self.id.request.as_str());
        builder.set_attempt(self.id.attempt.0);
        builder.set_offset(self.offset.0);
        builder.set_data(&self.data);
    }

    /// Deserializes a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] if a field is malformed or out of range.
    pub fn read(reader: answer_part::Reader<'_>) -> Result<Self, MessageError> {
        Ok(Self {
            id: AttemptId {
                request: parse(reader.get_request()?)?,
                attempt: AttemptNumber(reader.get_attempt()),
            },
            offset: ByteSize(reader.get_offset()),
            data: reader.get_data()?.to_vec(),
        })
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response was sent completely; its body has this size.
    Complete(ByteSize),
    /// The backend server did not start the request and will not.
    NotRun(CallRefusal),
    /// The response was truncated after this many bytes of its body.
    Broken(ByteSize),
    /// The backend server may have run the request; no response arrived.
    Unknown(CallRefusal),
}

/// The end of an attempt, with the load and the configuration freshness of the sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndMessage {
    /// The attempt that the message belongs to.
    pub id: AttemptId,
    /// How it ended.
    pub end: AttemptEnd,
    /// Whether the backend server crashed while it ran the request.
    pub crashed: bool,
    /// The current load of the backend server.
    pub load: LoadStatus,
    /// The sidecar's configuration revision.
    pub confirmation: Confirmation,
}

impl EndMessage {
    /// Serializes the message.
    pub fn write(&self, mut builder: answer_end::Builder<'_>) {
        builder.set_request(self.id.request.as_str());
        builder.set_attempt(self.id.attempt.0);
        self.load.write(builder.reborrow().init_load());
        write_confirmation(&self.confirmation, builder.reborrow().init_confirmation());
        builder.set_crashed(self.crashed);
        match self.end {
            AttemptEnd::Complete(size) => builder.set_whole(size.0),
            AttemptEnd::NotRun(refusal) => write_refusal(refusal, builder.init_not_run()),
            AttemptEnd::Broken(size) => builder.set_broken(size.0),
            AttemptEnd::Unknown(refusal) => write_refusal(refusal, builder.init_unknown()),
        }
    }

    /// Deserializes a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] if a field is malformed or out of range.
    pub fn read(reader: answer_end::Reader<'_>) -> Result<Self, MessageError> {
        let end = match reader.which()? {
            answer_end::Whole(size) => AttemptEnd::Complete(ByteSize(size)),
            answer_end::NotRun(refusal) => AttemptEnd::NotRun(read_refusal(refusal?)?),
            answer_end::Broken(size) => AttemptEnd::Broken(ByteSize(size)),
            answer_end::Unknown(refusal) => AttemptEnd::Unknown(read_refusal(refusal?)?),
        };
        Ok(Self {
            id: AttemptId {
                request: parse(reader.get_request()?)?,
                attempt: AttemptNumber(reader.get_attempt()),
            },
            end,
            crashed: reader.get_crashed(),
            load: LoadStatus::read(reader.get_load()?),
            confirmation: read_confirmation(reader.get_confirmation()?),
        })
    }
}
