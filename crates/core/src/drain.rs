//! Stopping without cutting a request.
//!
//! A process announces that it stops, refuses new work, finishes what it has
//! and hands back what it holds before it exits. See
//! [docs/design/membership.md](../../../docs/design/membership.md#stopping).

use std::cell::Cell;
use std::rc::Rc;

use crate::code::{CallRefusal, ResultCode};
use crate::unit::{TimePoint, TimeSpan};

const RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// How a process stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainOptions {
    /// How long new work is still taken after the announcement, for callers
    /// that have not heard it.
    pub lame_duck: TimeSpan,
    /// The code of the refusals that follow.
    pub refusal: ResultCode,
}

impl DrainOptions {
    /// Options of an entry, which the platform's balancer finds out about late.
    pub const fn entry() -> Self {
        Self {
            lame_duck: TimeSpan::from_secs(5),
            refusal: ResultCode::InstanceDraining,
        }
    }

    /// Options of a sidecar, whose refusals send a request elsewhere.
    pub const fn sidecar() -> Self {
        Self {
            lame_duck: TimeSpan::ZERO,
            refusal: ResultCode::ServiceShutting,
        }
    }
}

/// How far a process has come with stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// It is not stopping.
    Serving,
    /// It has said that it stops, and still takes new work.
    LameDuck,
    /// It refuses new work and finishes what it has.
    Draining,
    /// It has nothing left to do.
    Stopped,
}

/// What stopping wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Tell peers and the platform that this instance leaves.
    Announce,
    /// Give back leases and deliver what is kept for others.
    HandOver,
    /// End the process.
    Exit,
}

/// Work under way; dropping it says that it is over.
#[derive(Debug)]
pub struct WorkGuard {
    running: Rc<Cell<usize>>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.running.set(self.running.get() - 1);
    }
}

/// Takes a process from serving to stopped.
#[derive(Debug)]
pub struct DrainState {
    options: DrainOptions,
    phase: DrainPhase,
    refuse_from: TimePoint,
    handed_back: bool,
    running: Rc<Cell<usize>>,
}

impl DrainState {
    /// A process that serves.
    pub fn new(options: DrainOptions) -> Self {
        Self {
            options,
            phase: DrainPhase::Serving,
            refuse_from: TimePoint::START,
            handed_back: false,
            running: Rc::new(Cell::new(0)),
        }
    }

    /// Returns how far it has come.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Returns whether heartbeats have to say that it is stopping.
    pub fn is_stopping(&self) -> bool {
        self.phase != DrainPhase::Serving
    }

    /// Returns how much work is under way.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Takes new work, or refuses it as not run.
    pub fn admit(&self) -> Result<WorkGuard, CallRefusal> {
        if self.phase >= DrainPhase::Draining {
            return Err(CallRefusal::retryable(self.options.refusal, RETRY_AFTER));
        }
        self.running.set(self.running.get() + 1);
        let running = Rc::clone(&self.running);
        Ok(WorkGuard { running })
    }

    /// Begins to stop; beginning again changes nothing.
    pub fn begin(&mut self, now: TimePoint) -> Vec<DrainAction> {
        if self.phase != DrainPhase::Serving {
            return Vec::new();
        }
        self.refuse_from = now + self.options.lame_duck;
        self.phase = match self.options.lame_duck {
            TimeSpan::ZERO => DrainPhase::Draining,
            _ => DrainPhase::LameDuck,
        };
        vec![DrainAction::Announce]
    }

    /// Goes on with stopping. `settled` says that nothing kept for others is left.
    pub fn tick(&mut self, now: TimePoint, settled: bool) -> Vec<DrainAction> {
        if self.phase == DrainPhase::LameDuck && now >= self.refuse_from {
            self.phase = DrainPhase::Draining;
        }
        if self.phase != DrainPhase::Draining || self.running() > 0 {
            return Vec::new();
        }
        if !self.handed_back {
            self.handed_back = true;
            return vec![DrainAction::HandOver];
        }
        if !settled {
            return Vec::new();
        }
        self.phase = DrainPhase::Stopped;
        vec![DrainAction::Exit]
    }
}
