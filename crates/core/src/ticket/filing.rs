//! The write path: files one ticket and resolves the outcome after a missing reply.
//!
//! A ticket counts as accepted only once it has been read back from the log. So a
//! missing reply, a lost race and a success are all resolved in the same way, by
//! reading the log. See [docs/design/tickets.md](../../../../docs/design/tickets.md).

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

const INITIAL_BACKOFF: TimeSpan = TimeSpan::from_millis(50);
const MAX_BACKOFF: TimeSpan = TimeSpan::from_millis(800);

/// The outcome of a filing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FilingOutcome {
    /// The ticket is in the log.
    Accepted {
        /// Its position in the log.
        revision: Revision,
        /// Whether another filing wrote it.
        duplicate: bool,
    },
    /// The ticket is not in the log, and this filing will not write it.
    Refused(TicketRefusal),
    /// The ticket may be in the log or may still get there by a delayed write.
    Unknown,
}

/// The next action of a filing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FilingStep {
    /// Make this call and pass its reply to [`TicketFiling::handle_reply`].
    Call(StoreCall),
    /// Wait this long before the next step.
    Wait(TimeSpan),
    /// The filing has ended.
    Done(FilingOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum FilingPhase {
    Reading,
    Writing,
    Ended(FilingOutcome),
}

/// The state machine that files one ticket.
#[derive(Clone, Debug)]
pub struct TicketFiling {
    ticket: ChangeTicket,
    reader: ConfigReader,
    deadline: TimePoint,
    phase: FilingPhase,
    /// Revisions at which a write of this filing may have taken effect.
    attempted_revisions: Vec<Revision>,
    backoff: TimeSpan,
    wait_until: TimePoint,
}

impl TicketFiling {
    /// Files `ticket`, starting from `config`, which may be outdated, and gives up at `deadline`.
    pub fn new(ticket: ChangeTicket, config: ServingConfig, deadline: TimePoint) -> Self {
        let mut reader = ConfigReader::new(config);
        reader.refresh();
        Self {
            ticket,
            reader,
            deadline,
            phase: FilingPhase::Reading,
            attempted_revisions: Vec::new(),
            backoff: INITIAL_BACKOFF,
            wait_until: TimePoint::START,
        }
    }

    /// Returns the configuration as far as the filing has read it.
    pub fn config(&self) -> &ServingConfig {
        self.reader.config()
    }

    /// Returns the action to take at `now`.
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

    /// Handles the reply to the last step's call, which was sent at `sent_at`.
    pub fn handle_reply(&mut self, reply: StoreReply, sent_at: TimePoint, now: TimePoint) {
        match self.phase {
            FilingPhase::Reading => self.handle_read(reply, sent_at, now),
            FilingPhase::Writing => self.handle_write(&reply, now),
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

    fn handle_read(&mut self, reply: StoreReply, sent_at: TimePoint, now: TimePoint) {
        match self.reader.handle_reply(reply, sent_at) {
            ReadProgress::Partial => self.backoff = INITIAL_BACKOFF,
            ReadProgress::Confirmed(_) => self.decide(),
            ReadProgress::Failed => self.back_off(now),
        }
    }

    /// Decides by the configuration that was read from the store.
    fn decide(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        match self.ticket.check(self.reader.config()) {
            Ok(TicketDecision::New) => self.phase = FilingPhase::Writing,
            Ok(TicketDecision::Duplicate(revision)) => {
                let duplicate = !self.attempted_revisions.contains(&revision);
                self.end(FilingOutcome::Accepted {
                    revision,
                    duplicate,
                });
            }
            Err(refusal) => self.end(FilingOutcome::Refused(refusal)),
        }
    }

    /// Reads the log again after any reply, since only the log tells whether the write took effect.
    fn handle_write(&mut self, reply: &StoreReply, now: TimePoint) {
        let revision = self.reader.config().revision.next();
        match reply {
            StoreReply::Unavailable => self.back_off(now),
            StoreReply::Conflict => {}
            _ => self.attempted_revisions.push(revision),
        }
        if matches!(reply, StoreReply::NoResponse) {
            self.back_off(now);
        }
        self.phase = FilingPhase::Reading;
        self.reader.refresh();
    }

    fn back_off(&mut self, now: TimePoint) {
        self.wait_until = now + self.backoff;
        self.backoff = TimeSpan(self.backoff.0 * 2).min(MAX_BACKOFF);
    }

    /// Ends the filing at its deadline. It is a refusal only if no write can have taken effect.
    fn give_up(&mut self) {
        if matches!(self.phase, FilingPhase::Ended(_)) {
            return;
        }
        if !self.attempted_revisions.is_empty() {
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
