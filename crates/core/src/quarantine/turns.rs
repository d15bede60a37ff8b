//! Reports that take turns where more are due than fit.

use super::SuspectReport;

/// Where the next round of reports begins.
#[derive(Debug, Default)]
pub(super) struct ReportTurns {
    quarantined_offset: usize,
    other_offset: usize,
}

impl ReportTurns {
    /// Returns up to `limit` of the reports, of which quarantines get at least half of the places.
    pub(super) fn take(
        &mut self,
        quarantined: Vec<SuspectReport>,
        others: Vec<SuspectReport>,
        limit: usize,
    ) -> Vec<SuspectReport> {
        let quarantined_room = limit - others.len().min(limit / 2);
        let mut reports =
            take_round_robin(quarantined, quarantined_room, &mut self.quarantined_offset);
        let other_room = limit - reports.len();
        reports.extend(take_round_robin(others, other_room, &mut self.other_offset));
        reports
    }
}

/// Returns up to `room` of the reports, continuing at `offset`. Each pass begins a little later than
/// the one before, so that several peers that get reports in turn do not always get the same part.
fn take_round_robin(
    reports: Vec<SuspectReport>,
    room: usize,
    offset: &mut usize,
) -> Vec<SuspectReport> {
    if reports.len() <= room {
        return reports;
    }
    let count = reports.len();
    let first = *offset % count;
    let next = first + room;
    *offset = match next < count {
        true => next,
        false => next - count + room / 2 + 1,
    };
    reports.into_iter().cycle().skip(first).take(room).collect()
}
