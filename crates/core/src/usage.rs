//! Usage metering and reporting for billing.
//!
//! A meter beside each backend server counts usage as running totals. Two or more
//! entries aggregate the totals of each meter, so that the loss of one entry loses
//! no usage. One entry, the holder of a lease, seals each window with
//! a single write to the store and then reports it to the platform. Only sealed
//! figures are reported, so that every repetition of a report is identical,
//! whichever entry sends it. See
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
