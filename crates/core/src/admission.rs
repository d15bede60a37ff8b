//! Whether an entry takes in a request.
//!
//! Two questions are answered at once: whether the answer would be on time,
//! from the route that was chosen, and whether the team is within its limits,
//! from this entry's share of them. The ways weighed are in
//! [docs/design/admission.md](../../../docs/design/admission.md).

mod control;
mod limit;
mod share;

pub use control::{AdmissionControl, AdmissionDeadlines, AdmissionRequest, AdmissionTicket};
pub use limit::TeamLimit;
pub use share::{TeamDemand, TeamShares};
