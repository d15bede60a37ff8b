//! Applies a ticket to a configuration: whole or not at all.

use crate::code::ResultCode;
use crate::config::{ObjectId, ServingConfig, TicketRecord, MAX_TICKET_RECORDS};
use crate::id::{Revision, TicketNumber};
use crate::ticket::integrity::check_links;
use crate::ticket::refusal::{TicketFault, TicketRefusal};
use crate::ticket::{ChangeTicket, TouchedObject, MAX_CONFIG_SIZE};

/// What filing a ticket would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketDecision {
    /// It would make a new revision.
    New,
    /// It was accepted before, as this revision.
    Duplicate(Revision),
}

/// What applying a ticket did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedTicket {
    /// The revision that the ticket made, now or before.
    pub revision: Revision,
    /// Whether it was accepted before, so that nothing changed now.
    pub duplicate: bool,
}

/// The configuration after a ticket.
enum NextState {
    Same(Revision),
    Changed(Box<ServingConfig>),
}

impl ChangeTicket {
    /// Says what filing the ticket now would do.
    pub fn check(&self, config: &ServingConfig) -> Result<TicketDecision, TicketRefusal> {
        match config.sized_state(self)? {
            NextState::Same(revision) => Ok(TicketDecision::Duplicate(revision)),
            NextState::Changed(_) => Ok(TicketDecision::New),
        }
    }
}

impl ServingConfig {
    /// Applies `ticket` as the next revision; a refused ticket changes nothing.
    pub fn apply(&mut self, ticket: &ChangeTicket) -> Result<AppliedTicket, TicketRefusal> {
        let state = self.sized_state(ticket)?;
        Ok(self.enter(state))
    }

    /// Applies a ticket whose filing has checked the size already.
    pub(crate) fn replay(&mut self, ticket: &ChangeTicket) -> Result<AppliedTicket, TicketRefusal> {
        let state = self.next_state(ticket)?;
        Ok(self.enter(state))
    }

    fn enter(&mut self, state: NextState) -> AppliedTicket {
        match state {
            NextState::Same(revision) => AppliedTicket {
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

    fn sized_state(&self, ticket: &ChangeTicket) -> Result<NextState, TicketRefusal> {
        let state = self.next_state(ticket)?;
        if let NextState::Changed(config) = &state {
            config.check_size()?;
        }
        Ok(state)
    }

    fn next_state(&self, ticket: &ChangeTicket) -> Result<NextState, TicketRefusal> {
        if let Some(revision) = self.earlier_revision(ticket)? {
            return Ok(NextState::Same(revision));
        }
        let touched = ticket.touched_objects();
        let mut faults = self.stale_faults(ticket, &touched);
        let mut next = Box::new(self.clone());
        next.put_objects(ticket);
        faults.extend(next.remove_objects(ticket));
        faults.extend(check_links(&next, &touched));
        TicketRefusal::check(faults)?;
        next.record(ticket, &touched);
        Ok(NextState::Changed(next))
    }

    fn earlier_revision(&self, ticket: &ChangeTicket) -> Result<Option<Revision>, TicketRefusal> {
        if let Some(record) = self.tickets.get(&ticket.number) {
            if record.digest == ticket.digest() {
                return Ok(Some(record.revision));
            }
            let expected = format!("an unused number; {} has another content", ticket.number);
            let fault = TicketFault::new("ticket", expected, ResultCode::TicketConflict);
            return Err(TicketRefusal::one(fault));
        }
        if ticket.number <= self.forgotten {
            let expected = format!("a number above {}", self.forgotten);
            let fault = TicketFault::new("ticket", expected, ResultCode::TicketStale);
            return Err(TicketRefusal::one(fault));
        }
        Ok(None)
    }

    fn stale_faults(&self, ticket: &ChangeTicket, touched: &[TouchedObject]) -> Vec<TicketFault> {
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
        for (at, object) in ticket.remove.iter().enumerate() {
            if !self.remove_object(object) {
                let expected = format!("an object that exists; {object} does not");
                let path = format!("remove[{at}]");
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
        let touches = touched
            .iter()
            .map(|object| (object.id.clone(), ticket.number));
        self.touched.extend(touches);
        let record = TicketRecord {
            revision: self.revision,
            digest: ticket.digest(),
        };
        self.tickets.insert(ticket.number, record);
        self.forget_tickets();
        self.rebuild_index();
    }

    /// Forgets the lowest numbers, and the removed objects that no ticket can bring back.
    fn forget_tickets(&mut self) {
        while self.tickets.len() > MAX_TICKET_RECORDS {
            let Some((number, _)) = self.tickets.pop_first() else {
                return;
            };
            self.forgotten = number;
        }
        let forgotten: TicketNumber = self.forgotten;
        let mut touched = std::mem::take(&mut self.touched);
        touched.retain(|object, number| *number > forgotten || self.has_object(object));
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
