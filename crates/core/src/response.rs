//! Whole answers: putting the parts of one request's answer together, over
//! broken streams and several attempts.
//!
//! Every part is checked for its request, attempt and offset; a token stream
//! is forwarded in whole events, so that a break at any byte can be resumed
//! at the right token. See
//! [docs/design/answers.md](../../../docs/design/answers.md).

mod assembler;
mod event;
mod plan;

pub use assembler::{
    CloseDecision, HeadDecision, PartDecision, ResponseAssembler, ResponseFormat, MAX_EVENT_SIZE,
    RESPONSE_BUFFER_LIMIT,
};
pub use plan::{AttemptEnd, AttemptOptions, AttemptPlan, NextStep, ResponseProgress};
