//! A small fake of a plain service, which runs one call after the other.

use std::collections::VecDeque;

use applefold_core::code::{CallRefusal, ResultCode};
use applefold_core::health::HealthSample;
use applefold_core::id::BackendId;
use applefold_core::routing::{LoadReport, RoutePhase};
use applefold_core::unit::TokenCount;

use crate::serve::BUSY_SPAN;
use crate::world::{World, WorldEvent};

#[derive(Debug)]
pub(crate) struct PlainServer {
    pub(crate) id: BackendId,
    pub(crate) up: bool,
    pub(crate) epoch: u64,
    pub(crate) running: Option<usize>,
    pub(crate) waiting: VecDeque<usize>,
}

impl PlainServer {
    pub(crate) fn new(id: BackendId) -> Self {
        Self {
            id,
            up: true,
            epoch: 0,
            running: None,
            waiting: VecDeque::new(),
        }
    }

    pub(crate) fn load(&self) -> LoadReport {
        LoadReport {
            running: u32::from(self.running.is_some()),
            waiting: self.waiting.len() as u32,
            ..LoadReport::default()
        }
    }
}

impl World<'_> {
    pub(crate) fn attempt_plain(&mut self, request: usize) {
        let choice = self.choose(request, RoutePhase::Unsplit);
        let Some(best) = choice.best() else {
            let missing = CallRefusal::retryable(ResultCode::BackendMissing, BUSY_SPAN);
            return self.fail(request, missing);
        };
        let backend = best.backend.clone();
        let server = self.plains.iter().position(|plain| plain.id == backend);
        let row = &mut self.rows[request];
        row.flight = self.entry.table.begin(&backend, TokenCount::ZERO, self.now);
        row.backend = Some(backend);
        row.sent_at = self.now;
        let attempt = row.attempt;
        if let Some(server) = server {
            let delivered = WorldEvent::PlainDelivered {
                request,
                attempt,
                server,
            };
            self.plan_in(self.plan.workload.one_way, delivered);
        }
    }

    pub(crate) fn on_plain_delivered(&mut self, request: usize, attempt: u64, server: usize) {
        if !self.is_current(request, attempt) {
            return;
        }
        if !self.plains[server].up {
            self.record_health(request, HealthSample::Failed);
            let missing = CallRefusal::retryable(ResultCode::BackendMissing, BUSY_SPAN);
            return self.fail(request, missing);
        }
        self.plains[server].waiting.push_back(request);
        self.begin_plain(server);
    }

    fn begin_plain(&mut self, server: usize) {
        let plain = &mut self.plains[server];
        if plain.running.is_some() {
            return;
        }
        plain.running = plain.waiting.pop_front();
        if let Some(request) = plain.running {
            let epoch = plain.epoch;
            self.rows[request].executions += 1;
            let work = self.plan.workload.plain_work;
            self.plan_in(work, WorldEvent::PlainDone { server, epoch });
        }
    }

    pub(crate) fn on_plain_done(&mut self, server: usize, epoch: u64) {
        let plain = &mut self.plains[server];
        if plain.epoch != epoch {
            return;
        }
        if let Some(request) = plain.running.take() {
            let span = self.now.since(self.rows[request].sent_at);
            self.record_health(request, HealthSample::Answered(span));
            self.finish(request);
        }
        self.begin_plain(server);
    }
}
