//! Usage: metered beside the backend servers, kept twice, sealed and reported once.
//!
//! Only the sealed figure of a window is ever reported, so that a repeat is
//! identical whoever sends it. See
//! [docs/design/usage.md](../../../docs/design/usage.md).

mod aggregator;
mod meter;
mod phase;
mod record;
mod sealer;
mod seals;
mod types;

pub use aggregator::UsageAggregator;
pub use meter::{MeterPosition, UsageMeter};
pub use sealer::UsageSealer;
pub use types::{
    MeterName, ReportId, SealerAction, SealerEvent, SealerOptions, UsageBatch, UsageFigure,
    UsageKey, UsageReport, UsageTotals,
};
