//! Assembly of one complete response from several attempts and broken streams,
//! and the decision whether a failed attempt is followed by another.
//!
//! Every part is checked for its request, attempt and offset. A token stream is
//! forwarded in complete events, so that after a break at any byte the next
//! attempt can resume at the right token. See
//! [docs/design/answers.md](../../../docs/design/answers.md).

mod assembler;
mod event;
mod plan;

pub use assembler::{
    CloseDecision, HeadDecision, PartDecision, ResponseAssembler, ResponseFormat, MAX_EVENT_SIZE,
    RESPONSE_BUFFER_LIMIT,
};
pub use plan::{AttemptEnd, AttemptOptions, AttemptPlan, NextStep, ResponseProgress};
