//! How time and memory grow with the size of each table.
//!
//! The slopes are what [docs/CAPACITY.md](../../../../docs/CAPACITY.md) is
//! worked out from. Every table is grown alone, filled the way a process fills
//! it, and asked for the decision that it exists for.

mod admitting;
mod capacity;
mod control;
mod fit;
mod probe;
mod queueing;
mod recording;
mod report;
mod routing;

use self::probe::ScaleProbe;
pub(crate) use self::report::ScaleReport;

/// Measures every table, first its memory and then its time.
///
/// Memory comes first because what earlier tables gave back would be reused
/// and hide what later ones take.
pub(crate) fn measure() -> eyre::Result<ScaleReport> {
    let mut probe = ScaleProbe::for_bytes();
    grow_all(&mut probe)?;
    probe.turn_to_time();
    grow_all(&mut probe)?;
    Ok(ScaleReport::new(probe.into_series()))
}

fn grow_all(probe: &mut ScaleProbe) -> eyre::Result<()> {
    routing::grow(probe)?;
    admitting::grow(probe)?;
    queueing::grow(probe)?;
    recording::grow(probe)?;
    control::grow(probe)
}
