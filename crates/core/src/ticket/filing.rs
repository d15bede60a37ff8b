//! Files one ticket: the write path, and how it is settled after a lost answer.
//!
//! A ticket counts as accepted only when it has been read from the log. So a
//! lost answer, a lost race and a success are settled in the same way: by
//! reading. See [docs/design/tickets.md](../../../../docs/design/tickets.md).

use crate::code::ResultCode;
use crate::config::ServingConfig;
use crate::id::Revision;
use crate::ticket::apply::TicketDecision;
use crate::ticket::log::log_key;
use crate::ticket::reader::{ConfigReader, ReadProgress};
use crate::ticket::refusal::{TicketFault, TicketRefusal};
use crate::ticket::store::{StoreCall, StoreReply, WriteCondition};
use crate::ticket::ChangeTicket;
use crate::unit::{TimePoint, TimeSpan};

const FIRST_BACKOFF: TimeSpan = TimeSpan::from_millis(50);
const MAX_BACKOFF: TimeSpan = TimeSpan::from_millis(800);

/// How a filing ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FilingOutcome {
    /// The ticket stands in the log.
    Accepted {
        /// Its position.
        revision: Revision,
        /// Whether it stood there before this filing.
        duplicate: bool,
    },
    /// The ticket does not stand in the log, and this filing will not put it there.
    Refused(TicketRefusal),
    /// The ticket may stand in the log, now or soon.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FilingStep {
    /// Make this call and pass its answer to [`TicketFiling::handle_reply`].
    Call(StoreCall),
    /// Let this much time pass.
    Wait(TimeSpan),
    /// Stop.
    Done(FilingOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum FilingPhase {
    Reading,
    Writing,
    Ended(FilingOutcome),
}

/// The filing of one ticket.
#[derive(Clone, Debug)]
pub struct TicketFiling {
    ticket: ChangeTicket,
    reader: ConfigReader,
    deadline: TimePoint,
    phase: FilingPhase,
    /// The revisions at which a write of this filing may have taken effect.
    attempted: Vec<Revision>,
    backoff: TimeSpan,
    wait_until: TimePoint,
}

impl TicketFiling {
    /// Files `ticket` on top of `config`, which may be behind, and gives up at `deadline`.
    pub fn new(ticket: ChangeTicket, config: ServingConfig, deadline: TimePoint) -> Self {
        let mut reader = ConfigReader::new(config);
        reader.refresh();
        Self {
            ticket,
            reader,
            deadline,
            phase: FilingPhase::Reading,
            attempted: Vec::new(),
            backoff: FIRST_BACKOFF,
            wait_until: TimePoint::START,
        }
    }

    /// Returns the configuration as the filing has read it.
    pub fn config(&self) -> &ServingConfig {
        self.reader.config()
    }

    /// Returns what to do at `now`.
    pub fn step(&mut self, now: TimePoint) -> FilingStep {
        if now >= self.deadline {
            self.give_up();
        }
        match &self.phase {
            FilingPhase::Ended(outcome) => FilingStep::Done(outcome.clone()),
            _ if now < self.wait_until => FilingStep::Wait(self.wait_until.since(now)),
            FilingPhase::Reading => FilingStep::Call(self.reader.next_call()),
            FilingPhase::Writing => FilingStep::Call(self.write_call()),
        }
    }

    /// Takes the answer to the call of the last step, which was sent at `asked_at`.
    pub fn handle_reply(&mut self, answer: StoreReply, asked_at: TimePoint, now: TimePoint) {
        match self.phase {
            FilingPhase::Reading => self.read(answer, asked_at, now),
            FilingPhase::Writing => self.wrote(&answer, now),
            FilingPhase::Ended(_) => {}
        }
    }

    fn write_call(&self) -> StoreCall {
        StoreCall::Write {
            key: log_key(self.reader.config().revision.next()),
            value: self.ticket.to_json(),
            condition: WriteCondition::Absent,
        }
    }

    fn read(&mut self, answer: StoreReply, asked_at: TimePoint, now: TimePoint) {
        match self.reader.handle_reply(answer, asked_at) {
            ReadProgress::Partial => self.backoff = FIRST_BACKOFF,
            ReadProgress::Confirmed(_) => self.decide(),
            ReadProgress::Failed => self.pause(now),
        }
    }

    /// Decides on the configuration as it stands in the store.
    fn decide(&mut self) {
        self.backoff = FIRST_BACKOFF;
        match self.ticket.check(self.reader.config()) {
            Ok(TicketDecision::New) => self.phase = FilingPhase::Writing,
            Ok(TicketDecision::Duplicate(revision)) => {
                let duplicate = !self.attempted.contains(&revision);
                self.end(FilingOutcome::Accepted {
                    revision,
                    duplicate,
                });
            }
            Err(refusal) => self.end(FilingOutcome::Refused(refusal)),
        }
    }

    /// Whatever came back, the log says what holds.
    fn wrote(&mut self, answer: &StoreReply, now: TimePoint) {
        let revision = self.reader.config().revision.next();
        match answer {
            StoreReply::Unavailable => self.pause(now),
            StoreReply::Conflict => {}
            _ => self.attempted.push(revision),
        }
        if matches!(answer, StoreReply::NoResponse) {
            self.pause(now);
        }
        self.phase = FilingPhase::Reading;
        self.reader.refresh();
    }

    fn pause(&mut self, now: TimePoint) {
        self.wait_until = now + self.backoff;
        self.backoff = TimeSpan(self.backoff.0 * 2).min(MAX_BACKOFF);
    }

    fn give_up(&mut self) {
        if matches!(self.phase, FilingPhase::Ended(_)) {
            return;
        }
        if !self.attempted.is_empty() {
            return self.end(FilingOutcome::Unknown);
        }
        let expected = "an answer of the store in time; file the ticket again";
        let fault = TicketFault::new("", expected, ResultCode::PlatformUnavailable);
        self.end(FilingOutcome::Refused(TicketRefusal::one(fault)));
    }

    fn end(&mut self, outcome: FilingOutcome) {
        self.phase = FilingPhase::Ended(outcome);
    }
}
