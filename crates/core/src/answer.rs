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
    AnswerAssembler, AnswerShape, CloseVerdict, HeadVerdict, PartVerdict, EVENT_LIMIT, HOLD_LIMIT,
};
pub use plan::{AnswerProgress, AttemptEnd, AttemptOptions, AttemptPlan, NextStep};
