//! Weighted fair queueing between teams in a sidecar.
//!
//! Each team has a virtual counter of the tokens served to it, divided by its
//! weight; the team with the smallest counter is served next. Contention is at the
//! backend server, so fairness is decided there and no entry needs a global
//! view. The alternatives that were considered are in
//! [docs/design/fairness.md](../../../docs/design/fairness.md).

mod call;
mod class_queue;
mod queue;

pub use call::{CallClass, CallId, DroppedCall, QueuedCall, TeamWeight};
pub use queue::{PrefillLoad, PushOutcome, QueuePolicy, TeamQueue};
