//! How revisions spread, and when a process may serve requests that carry a key.
//!
//! The ways weighed, the bound on withdrawn keys and its proof are in
//! [docs/design/spreading.md](../../../../docs/design/spreading.md).

mod duty;
mod keeper;
mod standing;

pub use crate::spread::duty::{WatchDuty, WATCHERS_PER_DOMAIN};
pub use crate::spread::keeper::{CallNumber, ConfigKeeper, SpreadAction};
pub use crate::spread::standing::{Confirmation, ServingStanding, SpreadSettings, StandingRule};
