//! Admission control in an entry.
//!
//! A request is admitted if its team is within this entry's share of the team's
//! limits and if one of the backend servers that routing has chosen can meet its
//! deadlines. The alternatives that were considered are in
//! [docs/design/admission.md](../../../docs/design/admission.md).

mod control;
mod limit;
mod share;

pub use control::{AdmissionControl, AdmissionDeadlines, AdmissionRequest, AdmissionTicket};
pub use limit::TeamLimit;
pub use share::{TeamDemand, TeamShares};
