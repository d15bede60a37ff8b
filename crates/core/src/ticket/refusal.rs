//! Why a ticket is refused, in a form that an author can act on.

use std::fmt;

use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr};

use crate::code::ResultCode;

/// One thing that is wrong with a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TicketFault {
    /// The place in the ticket, such as `teams[2].weight`; empty for the whole ticket.
    pub path: SmolStr,
    /// What should stand there.
    pub expected: SmolStr,
    /// The kind of fault.
    pub code: ResultCode,
}

impl TicketFault {
    pub(crate) fn new<E>(path: &str, expected: E, code: ResultCode) -> Self
    where
        E: fmt::Display,
    {
        Self {
            path: SmolStr::new(path),
            expected: expected.to_smolstr(),
            code,
        }
    }
}

impl fmt::Display for TicketFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "ticket"
        } else {
            &self.path
        };
        write!(f, "{path}: expected {} ({})", self.expected, self.code)
    }
}

/// The refusal of a ticket, with everything that is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TicketRefusal {
    /// The code of the first fault.
    pub code: ResultCode,
    /// Every fault found.
    pub faults: Vec<TicketFault>,
}

impl TicketRefusal {
    pub(crate) fn one(fault: TicketFault) -> Self {
        Self {
            code: fault.code,
            faults: vec![fault],
        }
    }

    /// Returns a refusal unless `faults` is empty.
    pub(crate) fn check(faults: Vec<TicketFault>) -> Result<(), Self> {
        match faults.first() {
            None => Ok(()),
            Some(fault) => Err(Self {
                code: fault.code,
                faults,
            }),
        }
    }
}

impl fmt::Display for TicketRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code, self.code.meaning())?;
        self.faults
            .iter()
            .try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}

impl std::error::Error for TicketRefusal {}
