//! Batches of usage figures, sent from a meter to its aggregators and between aggregators.

use applefold_core::id::WindowId;
use applefold_core::unit::TokenCount;
use applefold_core::usage::{UsageBatch, UsageFigure, UsageKey, UsageTotals};

use crate::applefold_capnp::{usage_batch, usage_figure};
use crate::error::{parse, MessageError};

fn write_figure(figure: &UsageFigure, mut builder: usage_figure::Builder<'_>) {
    builder.set_window(figure.key.window.0);
    builder.set_team(figure.key.team.as_str());
    builder.set_service(figure.key.service.as_str());
    builder.set_prompt_tokens(figure.totals.prompt_tokens.0);
    builder.set_answer_tokens(figure.totals.answer_tokens.0);
    builder.set_requests(figure.totals.requests);
}

fn read_figure(reader: usage_figure::Reader<'_>) -> Result<UsageFigure, MessageError> {
    Ok(UsageFigure {
        key: UsageKey {
            window: WindowId(reader.get_window()),
            team: parse(reader.get_team()?)?,
            service: parse(reader.get_service()?)?,
        },
        totals: UsageTotals {
            prompt_tokens: TokenCount(reader.get_prompt_tokens()),
            answer_tokens: TokenCount(reader.get_answer_tokens()),
            requests: reader.get_requests(),
        },
    })
}

/// Serializes the figures of one meter. They are running totals, so a duplicate is harmless.
pub fn write_batch(batch: &UsageBatch, mut builder: usage_batch::Builder<'_>) {
    builder.set_meter(batch.meter.as_str());
    let mut figures = builder.init_figures(batch.figures.len() as u32);
    for (index, figure) in batch.figures.iter().enumerate() {
        write_figure(figure, figures.reborrow().get(index as u32));
    }
}

/// Deserializes the figures of one meter.
///
/// # Errors
///
/// Returns [`MessageError`] if a field is malformed or out of range.
pub fn read_batch(reader: usage_batch::Reader<'_>) -> Result<UsageBatch, MessageError> {
    let figures = reader.get_figures()?.iter().map(read_figure);
    Ok(UsageBatch {
        meter: parse(reader.get_meter()?)?,
        figures: figures.collect::<Result<_, _>>()?,
    })
}
