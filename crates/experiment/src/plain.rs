//! A small fake of a plain service, which runs one call after the other.

use std::collections::VecDeque;

use applefold_core::id::BackendId;
use applefold_core::routing::LoadReport;

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
