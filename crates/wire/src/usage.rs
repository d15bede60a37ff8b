//! Usage figures on their way from a meter to its keepers.

use applefold_core::id::{InstanceId, ServiceId, TeamId, WindowId};
use applefold_core::unit::TokenCount;

use crate::applefold_capnp::{usage_batch, usage_figure};
use crate::error::{parse, MessageError};

/// What a team has used of a service in a window, as a running total.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FigureNote {
    /// The window.
    pub window: WindowId,
    /// The team.
    pub team: TeamId,
    /// The service.
    pub service: ServiceId,
    /// Tokens of prompts.
    pub prompt_tokens: TokenCount,
    /// Tokens of answers.
    pub answer_tokens: TokenCount,
    /// Requests.
    pub requests: u64,
}

impl FigureNote {
    fn write(&self, mut builder: usage_figure::Builder<'_>) {
        builder.set_window(self.window.0);
        builder.set_team(self.team.as_str());
        builder.set_service(self.service.as_str());
        builder.set_prompt_tokens(self.prompt_tokens.0);
        builder.set_answer_tokens(self.answer_tokens.0);
        builder.set_requests(self.requests);
    }

    fn read(reader: usage_figure::Reader<'_>) -> Result<Self, MessageError> {
        Ok(Self {
            window: WindowId(reader.get_window()),
            team: parse(reader.get_team()?)?,
            service: parse(reader.get_service()?)?,
            prompt_tokens: TokenCount(reader.get_prompt_tokens()),
            answer_tokens: TokenCount(reader.get_answer_tokens()),
            requests: reader.get_requests(),
        })
    }
}

/// The figures of one meter; running totals, so that a repeat is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageMessage {
    /// The process that counted, with its incarnation.
    pub meter: InstanceId,
    /// The figures that changed since the keeper last confirmed.
    pub figures: Vec<FigureNote>,
}

impl UsageMessage {
    /// Writes the message.
    pub fn write(&self, mut builder: usage_batch::Builder<'_>) {
        builder.set_meter(self.meter.as_str());
        let mut figures = builder.init_figures(self.figures.len() as u32);
        for (index, figure) in self.figures.iter().enumerate() {
            figure.write(figures.reborrow().get(index as u32));
        }
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns [`MessageError`] where a field does not hold what its type promises.
    pub fn read(reader: usage_batch::Reader<'_>) -> Result<Self, MessageError> {
        let figures = reader.get_figures()?.iter().map(FigureNote::read);
        Ok(Self {
            meter: parse(reader.get_meter()?)?,
            figures: figures.collect::<Result<_, _>>()?,
        })
    }
}
