//! Decisions on requests that compete for capacity: their record, log lines and metrics.

use applefold_core::direct::{CompetitionLedger, CompetitionReport, CompetitorKind};
use applefold_core::id::ServiceId;
use applefold_core::unit::TimePoint;
use opentelemetry::KeyValue;
use smol_str::SmolStr;

use crate::metrics::MetricSet;

/// A decision on a request, and what it was taken on.
pub(super) struct CompetitionRecord<'a> {
    pub(super) request: &'a SmolStr,
    pub(super) service: &'a ServiceId,
    pub(super) kind: CompetitorKind<'a>,
    pub(super) report: &'a CompetitionReport,
    pub(super) now: TimePoint,
}

impl CompetitionRecord<'_> {
    /// Records the decision for later ones, counts it and logs it.
    pub(super) fn apply(&self, ledger: &mut CompetitionLedger, metrics: &MetricSet) {
        let (kind, report) = (&self.kind, self.report);
        ledger.record(self.service, kind, report, self.now);
        let labels = [
            KeyValue::new("outcome", report.outcome.as_str()),
            KeyValue::new("class", kind.class().as_str()),
        ];
        metrics.competition.add(1, &labels);
        let level = match report.outcome.is_plain() {
            true => log::Level::Debug,
            false => log::Level::Info,
        };
        log::log!(level, request = self.request.as_str(), service = self.service.as_str(),
            route = kind.route, urgency = kind.urgency, outcome = report.outcome.as_str(),
            wait_ms = report.wait.as_millis(), accepted_ms = report.accepted_wait.as_millis(),
            tokens = report.size.prompt_tokens.0, work_ms = report.size.work.as_millis(),
            shortage_percent = report.shortage_percent, own_flights = report.share.own, all_flights = report.share.total,
            load_age_ms = report.load_age.as_millis();
            "request decided on in competition for capacity");
    }
}
