//! What backend servers have said of themselves to this entry, to be told to the others.
//!
//! What others have told is not told on: each hop would lengthen a rest by its time on the way.

use std::collections::BTreeMap;
use std::ops::Bound;

use applefold_core::id::BackendId;
use applefold_core::unit::{TimePoint, TimeSpan};
use applefold_platform::BackendNotice;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How long a leaving is told, by when the list says it too.
const TELL_LEAVING: TimeSpan = TimeSpan::from_secs(30);
/// The most words in one datagram.
const MAX_WORDS: usize = 16;

/// A word of a backend server, for other entries.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct NoticeReport {
    pub(crate) backend: SmolStr,
    /// The start of its run.
    pub(crate) start: u64,
    /// How much longer it rests, in milliseconds; none where it leaves.
    pub(crate) rest_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct ActiveNotice {
    start: u64,
    leaving: bool,
    /// When the rest ends, or when the leaving is no longer told.
    until: TimePoint,
}

/// The words that are told.
#[derive(Debug, Default)]
pub(crate) struct NoticeTable {
    heard: BTreeMap<BackendId, ActiveNotice>,
    last: Option<BackendId>,
}

impl NoticeTable {
    /// Notes what a run of a backend server has said to this entry.
    pub(crate) fn note(
        &mut self,
        backend: &BackendId,
        start: u64,
        word: &BackendNotice,
        now: TimePoint,
    ) {
        let span = match (word.leaving, word.cooldown) {
            (true, _) => TELL_LEAVING,
            (false, Some(rest)) => rest,
            (false, None) => return,
        };
        let known = self.heard.get(backend);
        if known.is_some_and(|known| known.start == start && known.leaving) {
            return;
        }
        let heard = ActiveNotice {
            start,
            leaving: word.leaving,
            until: now + span,
        };
        self.heard.insert(backend.clone(), heard);
    }

    /// Returns the words whose turn it is.
    pub(crate) fn next_news(&mut self, now: TimePoint) -> Vec<NoticeReport> {
        self.heard.retain(|_, heard| heard.until > now);
        let first = match &self.last {
            Some(last) => Bound::Excluded(last.clone()),
            None => Bound::Unbounded,
        };
        let later = self.heard.range((first, Bound::Unbounded));
        let turn = later.chain(self.heard.iter());
        let turn = turn.take(MAX_WORDS.min(self.heard.len()));
        let turn: Vec<(&BackendId, &ActiveNotice)> = turn.collect();
        let news = turn.iter().map(|(backend, heard)| NoticeReport {
            backend: SmolStr::new(backend.as_str()),
            start: heard.start,
            rest_ms: (!heard.leaving).then(|| heard.until.since(now).as_millis()),
        });
        let news = news.collect();
        let last = turn.last().map(|(backend, _)| (*backend).clone());
        self.last = last;
        news
    }
}
