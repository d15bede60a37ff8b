//! What an entry believes that it may send to backend servers, and who said so.

use applefold_core::direct::{SendEvent, SendState};
use applefold_core::id::{BackendId, InstanceId};
use applefold_core::unit::TimeSpan;
use applefold_h1::ResponseHead;
use applefold_platform::{BackendNotice, MAX_COOLDOWN};
use opentelemetry::KeyValue;

use super::notices::NoticeReport;
use super::state::GatewayState;

impl GatewayState {
    /// Returns whether a backend server wants nothing now; one that is not listed does not.
    pub(crate) fn is_unavailable(&self, id: &BackendId) -> bool {
        let table = self.table.borrow();
        let row = table.get(id);
        row.is_none_or(|row| row.gate().is_barred(self.now()))
    }

    /// Takes in what a backend server says of itself with an answer to `source`.
    pub(crate) fn handle_notice(&self, backend: &BackendId, head: &ResponseHead, source: &str) {
        let word = BackendNotice::read(head, self.local_time());
        let start = self
            .table
            .borrow()
            .get(backend)
            .map_or(0, |row| row.spec.born);
        let mut words = self.notices.borrow_mut();
        words.note(backend, start, &word, self.now());
        drop(words);
        if word.invalid {
            self.count_word("odd");
            log::warn!(request = source, backend = backend.as_str(), status = head.status;
                "word of a backend server ignored or cut");
        }
        if word.leaving {
            self.count_word("leaving");
            self.apply_send_event(backend, SendEvent::SaidLeaving, source);
        }
        if let Some(rest) = word.cooldown {
            self.count_word("rest");
            let until = self.now() + rest;
            self.apply_send_event(backend, SendEvent::AskedRest(until), source);
        }
    }

    /// Takes in what a backend server has said to another entry, `age` ago.
    pub(crate) fn handle_gossiped_notice(
        &self,
        peer: &InstanceId,
        news: &NoticeReport,
        age: TimeSpan,
    ) {
        let Ok(backend) = news.backend.parse::<BackendId>() else {
            log::debug!(peer = peer.as_str(); "word of an unnamed backend server ignored");
            return;
        };
        let table = self.table.borrow();
        let same_run = table
            .get(&backend)
            .is_some_and(|row| row.spec.born == news.start);
        drop(table);
        if !same_run {
            return;
        }
        let event = match news.rest_ms {
            None => SendEvent::SaidLeaving,
            Some(rest) => {
                let rest = TimeSpan::from_millis(rest).min(MAX_COOLDOWN);
                if rest <= age {
                    return;
                }
                SendEvent::AskedRest(self.now() + rest.saturating_sub(age))
            }
        };
        self.apply_send_event(&backend, event, peer.as_str());
    }

    /// Counts what a backend server said of itself.
    fn count_word(&self, word: &'static str) {
        let word = KeyValue::new("word", word);
        self.metrics.backend_notices.add(1, &[word]);
    }

    /// Takes in what decides on what may be sent to a backend server.
    pub(crate) fn apply_send_event(&self, id: &BackendId, event: SendEvent, source: &str) {
        let now = self.now();
        let applied = self.table.borrow_mut().apply(id, event, now);
        let Some((before, after)) = applied.filter(|(before, after)| before != after) else {
            return;
        };
        let to = KeyValue::new("to", after.name());
        self.metrics.backend_states.add(1, &[to]);
        log::info!(backend = id.as_str(), from = before.name(), to = after.name(), source,
            rest_ms = after.rest_until().since(now).as_millis(); "what may be sent has changed");
        if after == SendState::Leaving {
            self.pool.remove(id);
        }
    }
}
