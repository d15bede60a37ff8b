//! Applies a ticket to a configuration atomically.

use crate::code::ResultCode;
use crate::config::{ObjectId, ServingConfig, TicketRecord, MAX_TICKET_RECORDS};
use crate::id::{Revision, TicketNumber};
use crate::ticket::integrity::check_references;
use crate::ticket::refusal::{TicketFault, TicketRefusal};
use crate::ticket::{ChangeTicket, TouchedObject, MAX_CONFIG_SIZE};

/// How a valid ticket relates to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketDecision {
    /// It has not been accepted yet; filing it would create a new revision.
    New,
    /// It was already accepted as this revision.
    Duplicate(Revision),
}

/// The result of applying a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedTicket {
    /// The revision that the ticket created, now or earlier.
    pub revision: Revision,
    /// Whether it had been accepted before, so that this call changed nothing.
    pub duplicate: bool,
}

/// The effect of a ticket on the configuration.
enum NextState {
    /// The ticket was already accepted as this revision.
    Unchanged(Revision),
    Changed(Box<ServingConfig>),
}

impl ChangeTicket {
    /// Validates the ticket against `config` without applying it.
    ///
    /// Returns whether filing it would create a new revision.
    pub fn check(&self, config: &ServingConfig) -> Result<TicketDecision, TicketRefusal> {
        match config.size_checked_state(self)? {
            NextState::Unchanged(revision) => Ok(TicketDecision::Duplicate(revision)),
            NextState::Changed(_) => Ok(TicketDecision::New),
        }
    }
}

impl ServingConfig {
    /// Applies `ticket` as the next revision. A refused ticket changes nothing.
    pub fn apply(&mut self, ticket: &ChangeTicket) -> Result<AppliedTicket, TicketRefusal> {
        let state = self.size_checked_state(ticket)?;
        Ok(self.commit(state))
    }

    /// Applies a ticket from the log, without the size check, which was done when it was filed.
    pub(crate) fn replay(&mut self, ticket: &ChangeTicket) -> Result<AppliedTicket, TicketRefusal> {
        let state = self.next_state(ticket)?;
        Ok(self.commit(state))
    }

    fn commit(&mut self, state: NextState) -> AppliedTicket {
        match state {
            NextState::Unchanged(revision) => AppliedTicket {
                revision,
                duplicate: true,
            },
            NextState::Changed(config) => {
                *self = *config;
                AppliedTicket {
                    revision: self.revision,
                    duplicate: false,
                }
            }
        }
    }

    /// Returns the next state, and refuses a configuration that is too large for the store.
    fn size_checked_state(&self, ticket: &ChangeTicket) -> Result<NextState, TicketRefusal> {
        let state = self.next_state(ticket)?;
        if let NextState::Changed(config) = &state {
            config.check_size()?;
        }
        Ok(state)
    }

    fn next_state(&self, ticket: &ChangeTicket) -> Result<NextState, TicketRefusal> {
        if let Some(revision) = self.earlier_revision(ticket)? {
            return Ok(NextState::Unchanged(revision));
        }
        let touched = ticket.touched_objects();
        let mut faults = self.check_stale(ticket, &touched);
        let mut next = Box::new(self.clone());
        next.put_objects(ticket);
        faults.extend(next.remove_objects(ticket));
        faults.extend(check_references(&next, &touched));
        TicketRefusal::check(faults)?;
        next.record(ticket, &touched);
        Ok(NextState::Changed(next))
    }

    /// Returns the revision of the ticket if it was accepted before.
    ///
    /// Refuses a number that another ticket has used, or whose record may have been pruned.
    fn earlier_revision(&self, ticket: &ChangeTicket) -> Result<Option<Revision>, TicketRefusal> {
        if let Some(record) = self.tickets.get(&ticket.number) {
            if record.digest == ticket.digest() {
                return Ok(Some(record.revision));
            }
            let expected = format!("an unused number; {} has another content", ticket.number);
            let fault = TicketFault::new("ticket", expected, ResultCode::TicketConflict);
            return Err(TicketRefusal::one(fault));
        }
        if ticket.number <= self.last_pruned {
            let expected = format!("a number above {}", self.last_pruned);
            let fault = TicketFault::new("ticket", expected, ResultCode::TicketStale);
            return Err(TicketRefusal::one(fault));
        }
        Ok(None)
    }

    /// Returns a fault for each object that a higher ticket number has changed already.
    fn check_stale(&self, ticket: &ChangeTicket, touched: &[TouchedObject]) -> Vec<TicketFault> {
        let stale = |object: &TouchedObject| {
            let last = self.last_change(&object.id)?;
            let expected = format!("a ticket above {last}, which last changed {}", object.id);
            let fault = TicketFault::new(&object.path, expected, ResultCode::TicketStale);
            (last > ticket.number).then_some(fault)
        };
        touched.iter().filter_map(stale).collect()
    }

    fn put_objects(&mut self, ticket: &ChangeTicket) {
        let teams = ticket.teams.iter().cloned();
        self.teams.extend(teams.map(|row| (row.id.clone(), row)));
        let keys = ticket.keys.iter().cloned();
        self.keys.extend(keys.map(|row| (row.id.clone(), row)));
        let services = ticket.services.iter().cloned();
        self.services
            .extend(services.map(|row| (row.id.clone(), row)));
        let pools = ticket.pools.iter().cloned();
        self.pools.extend(pools.map(|row| (row.id.clone(), row)));
        let engines = ticket.engines.iter().cloned();
        self.engines
            .extend(engines.map(|row| (row.id.clone(), row)));
    }

    fn remove_objects(&mut self, ticket: &ChangeTicket) -> Vec<TicketFault> {
        let mut faults = Vec::new();
        for (index, object) in ticket.remove.iter().enumerate() {
            if !self.remove_object(object) {
                let expected = format!("an object that exists; {object} does not");
                let path = format!("remove[{index}]");
                faults.push(TicketFault::new(
                    &path,
                    expected,
                    ResultCode::ReferenceUnknown,
                ));
            }
        }
        faults
    }

    fn remove_object(&mut self, object: &ObjectId) -> bool {
        match object {
            ObjectId::Team(id) => self.teams.remove(id).is_some(),
            ObjectId::Key(id) => self.keys.remove(id).is_some(),
            ObjectId::Service(id) => self.services.remove(id).is_some(),
            ObjectId::Pool(id) => self.pools.remove(id).is_some(),
            ObjectId::Engine(id) => self.engines.remove(id).is_some(),
        }
    }

    fn record(&mut self, ticket: &ChangeTicket, touched: &[TouchedObject]) {
        self.revision = self.revision.next();
        let changes = touched
            .iter()
            .map(|object| (object.id.clone(), ticket.number));
        self.touched.extend(changes);
        let record = TicketRecord {
            revision: self.revision,
            digest: ticket.digest(),
        };
        self.tickets.insert(ticket.number, record);
        self.prune_records();
        self.rebuild_index();
    }

    /// Drops the records of the lowest ticket numbers beyond the limit.
    ///
    /// Also drops the last changes of removed objects up to these numbers: no ticket that low is
    /// accepted any more, so none can recreate the object.
    fn prune_records(&mut self) {
        while self.tickets.len() > MAX_TICKET_RECORDS {
            let Some((number, _)) = self.tickets.pop_first() else {
                return;
            };
            self.last_pruned = number;
        }
        let last_pruned: TicketNumber = self.last_pruned;
        let mut touched = std::mem::take(&mut self.touched);
        touched.retain(|object, number| *number > last_pruned || self.has_object(object));
        self.touched = touched;
    }

    fn has_object(&self, object: &ObjectId) -> bool {
        match object {
            ObjectId::Team(id) => self.teams.contains_key(id),
            ObjectId::Key(id) => self.keys.contains_key(id),
            ObjectId::Service(id) => self.services.contains_key(id),
            ObjectId::Pool(id) => self.pools.contains_key(id),
            ObjectId::Engine(id) => self.engines.contains_key(id),
        }
    }

    fn check_size(&self) -> Result<(), TicketRefusal> {
        if self.to_json().len() as u64 <= MAX_CONFIG_SIZE.0 {
            return Ok(());
        }
        let expected = format!("a configuration of at most {MAX_CONFIG_SIZE}");
        let fault = TicketFault::new("", expected, ResultCode::TicketTooLarge);
        Err(TicketRefusal::one(fault))
    }
}
