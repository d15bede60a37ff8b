//! The refusal of a ticket, with a path and an expectation for each fault.

use std::fmt;

use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr};

use crate::code::ResultCode;

/// One fault of a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TicketFault {
    /// The path of the field, such as `teams[2].weight`; empty if the fault concerns the whole ticket.
    pub path: SmolStr,
    /// What a valid ticket has at the path.
    pub expected: SmolStr,
    /// The result code of the fault.
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

/// The refusal of a ticket, with all its faults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TicketRefusal {
    /// The code of the first fault.
    pub code: ResultCode,
    /// The faults found.
    pub faults: Vec<TicketFault>,
}

impl TicketRefusal {
    /// Returns a refusal with a single fault.
    pub(crate) fn one(fault: TicketFault) -> Self {
        Self {
            code: fault.code,
            faults: vec![fault],
        }
    }

    /// Returns a refusal with `faults` as the error, or `Ok` if there are none.
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
