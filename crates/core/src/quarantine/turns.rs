//! Reports that take turns where more are due than fit.

use super::row::SuspectRow;
use super::SuspectReport;

/// The reports that are due, the most important ones first.
///
/// Whatever comes first has at least half of the room that is left to it, so that none of them
/// waits for the others however many there are.
#[derive(Debug, Default)]
pub(super) struct DueReports {
    /// Crashes of what is quarantined.
    pub(super) quarantined: Vec<SuspectReport>,
    /// Answers and completions, which end suspicions at other processes.
    pub(super) cleared: Vec<SuspectReport>,
    /// Crashes that this process saw, which others may not know.
    pub(super) seen: Vec<SuspectReport>,
    /// Crashes that other processes reported.
    pub(super) received: Vec<SuspectReport>,
}

impl DueReports {
    /// Adds the report of a crash of a suspect that is not quarantined.
    pub(super) fn push_suspicion(&mut self, row: &SuspectRow, report: SuspectReport) {
        let crashed = report.crashed.as_ref();
        match crashed.is_some_and(|run| row.has_seen(run)) {
            true => self.seen.push(report),
            false => self.received.push(report),
        }
    }
}

/// Where the next round of reports begins, for each kind of [`DueReports`].
#[derive(Debug, Default)]
pub(super) struct ReportTurns {
    quarantined_offset: usize,
    cleared_offset: usize,
    seen_offset: usize,
    received_offset: usize,
}

impl ReportTurns {
    /// Returns up to `limit` of the reports.
    pub(super) fn take(&mut self, due: DueReports, limit: usize) -> Vec<SuspectReport> {
        let kinds = [
            (due.quarantined, &mut self.quarantined_offset),
            (due.cleared, &mut self.cleared_offset),
            (due.seen, &mut self.seen_offset),
            (due.received, &mut self.received_offset),
        ];
        let mut waiting: usize = kinds.iter().map(|(reports, _)| reports.len()).sum();
        let mut room = limit;
        let mut taken = Vec::new();
        for (reports, offset) in kinds {
            waiting -= reports.len();
            let share = room - waiting.min(room / 2);
            let batch = take_round_robin(reports, share, offset);
            room -= batch.len();
            taken.extend(batch);
        }
        taken
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
