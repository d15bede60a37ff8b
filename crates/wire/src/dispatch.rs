//! A request on its way to a sidecar, and the answer on its way back.

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

/// Which attempt of which request a message belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
}

/// One attempt to run a request, for the sidecar of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchMessage {
    /// The request and the attempt.
    pub id: AttemptId,
    /// The team that the request runs for; `None` on a route open to all.
    pub team: Option<TeamId>,
    /// The name of the caller key; `None` on a route open to all.
    pub key: Option<KeyId>,
    /// The service that the route names.
    pub service: ServiceId,
    /// The model, for a model service.
    pub model: Option<ModelId>,
    /// What the entry knows of the configuration.
    pub confirmation: Confirmation,
    /// The time left until the first byte of the answer is due.
    pub deadline: TimeSpan,
    /// The trace context in the form of the W3C.
    pub traceparent: SmolStr,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query for the backend server.
    pub path: String,
    /// The headers for the backend server; the caller key is never among them.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// The estimated length of the prompt.
    pub prompt_tokens: TokenCount,
    /// The longest answer that the caller allows.
    pub answer_tokens: TokenCount,
    /// The priority, from 0 for interactive to 9 for batch.
    pub priority: u8,
    /// How much of the answer the caller already has.
    pub resume_tokens: TokenCount,
    /// What is known of backend servers that died while they ran this request.
    pub suspects: Vec<SuspectReport>,
}

impl DispatchMessage {
    /// Writes the message.
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

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
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

/// The status and the headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadMessage {
    /// The request and the attempt.
    pub id: AttemptId,
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<HeaderPair>,
}

impl HeadMessage {
    /// Writes the message.
    pub fn write(&self, mut builder: answer_head::Builder<'_>) {
        builder.set_request(self.id.request.as_str());
        builder.set_attempt(self.id.attempt.0);
        builder.set_status(self.status);
        let count = self.headers.len() as u32;
        HeaderPair::write_all(&self.headers, builder.init_headers(count));
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
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

/// A piece of an answer's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartMessage {
    /// The request and the attempt.
    pub id: AttemptId,
    /// The position of the first byte in the body.
    pub offset: ByteSize,
    /// The bytes.
    pub data: Vec<u8>,
}

impl PartMessage {
    /// Writes the message.
    pub fn write(&self, mut builder: answer_part::Builder<'_>) {
        builder.set_request(self.id.request.as_str());
        builder.set_attempt(self.id.attempt.0);
        builder.set_offset(self.offset.0);
        builder.set_data(&self.data);
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
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
    /// The whole answer was sent, with a body of this size.
    Complete(ByteSize),
    /// The backend server has not begun the request, and will not.
    NotRun(CallRefusal),
    /// The answer broke off after this many bytes of body.
    Broken(ByteSize),
    /// The backend server may have run the request; no answer came.
    Unknown(CallRefusal),
}

/// The end of an attempt, with the news that ride along.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndMessage {
    /// The request and the attempt.
    pub id: AttemptId,
    /// How it ended.
    pub end: AttemptEnd,
    /// Whether the backend server died while it ran the request.
    pub crashed: bool,
    /// The load of the backend server now.
    pub load: LoadStatus,
    /// What the sidecar knows of the configuration.
    pub confirmation: Confirmation,
}

impl EndMessage {
    /// Writes the message.
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

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
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
