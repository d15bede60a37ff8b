//! Graceful shutdown, in which no running request is aborted without an answer.
//!
//! A process announces that it stops, refuses new work, finishes its running work, and hands
//! over what it holds before it exits. See
//! [docs/design/membership.md](../../../docs/design/membership.md#stopping).

use std::cell::Cell;
use std::rc::Rc;

use crate::code::{CallRefusal, ResultCode};
use crate::unit::{TimePoint, TimeSpan};

/// When a caller may retry a call that was refused because of the shutdown.
const RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// How a process shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainOptions {
    /// How long new work is still accepted after the announcement, for callers that have not
    /// received it yet.
    pub lame_duck: TimeSpan,
    /// The code of refusals after that time.
    pub refusal: ResultCode,
    /// How long after the announcement work may still run; `None` if it runs to its end.
    pub work_limit: Option<TimeSpan>,
}

impl DrainOptions {
    /// Returns the options of an entry. The platform's load balancer notices its shutdown late.
    pub const fn entry() -> Self {
        Self {
            lame_duck: TimeSpan::from_secs(5),
            refusal: ResultCode::InstanceDraining,
            work_limit: None,
        }
    }

    /// Returns the options of a sidecar. Requests that it refuses are sent elsewhere.
    pub const fn sidecar() -> Self {
        Self {
            lame_duck: TimeSpan::ZERO,
            refusal: ResultCode::ServiceShutting,
            work_limit: None,
        }
    }
}

/// The phase of a process's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// It is not stopping.
    Serving,
    /// It has announced that it stops, and still accepts new work.
    LameDuck,
    /// It refuses new work and finishes its running work.
    Draining,
    /// The time for its running work is over, and what has not finished is ended with an answer.
    Ending,
    /// It has finished and may exit.
    Stopped,
}

/// An action that the owner of a [`DrainState`] has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Tell peers and the platform that this instance is leaving.
    Announce,
    /// Release leases and deliver the data that is kept for others.
    HandOver,
    /// End the process.
    Exit,
}

/// Counts one unit of work as running until it is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    running: Rc<Cell<usize>>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.running.set(self.running.get() - 1);
    }
}

/// The state machine of a process's shutdown, from serving to stopped.
#[derive(Debug)]
pub struct DrainState {
    options: DrainOptions,
    phase: DrainPhase,
    /// When the lame duck phase ends.
    refuse_from: TimePoint,
    /// When running work is ended, if it is limited.
    end_from: Option<TimePoint>,
    handed_over: bool,
    running: Rc<Cell<usize>>,
}

impl DrainState {
    /// Creates the state of a process that serves.
    pub fn new(options: DrainOptions) -> Self {
        Self {
            options,
            phase: DrainPhase::Serving,
            refuse_from: TimePoint::START,
            end_from: None,
            handed_over: false,
            running: Rc::new(Cell::new(0)),
        }
    }

    /// Returns the phase of the shutdown.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Returns whether the process is stopping, which its heartbeats report.
    pub fn is_stopping(&self) -> bool {
        self.phase != DrainPhase::Serving
    }

    /// Returns when running work is ended, once the shutdown has begun and if it is limited.
    pub fn work_end(&self) -> Option<TimePoint> {
        self.end_from
    }

    /// Returns how many units of work are running.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Accepts new work.
    ///
    /// # Errors
    ///
    /// Refuses work as not run, with the code of the options, once the process drains.
    pub fn admit(&self) -> Result<WorkGuard, CallRefusal> {
        if self.phase >= DrainPhase::Draining {
            return Err(self.refusal());
        }
        self.running.set(self.running.get() + 1);
        let running = Rc::clone(&self.running);
        Ok(WorkGuard { running })
    }

    /// Returns the refusal of work that has not begun.
    pub fn refusal(&self) -> CallRefusal {
        CallRefusal::retryable(self.options.refusal, RETRY_AFTER)
    }

    /// Begins the shutdown; later calls have no effect.
    pub fn begin(&mut self, now: TimePoint) -> Vec<DrainAction> {
        if self.phase != DrainPhase::Serving {
            return Vec::new();
        }
        self.refuse_from = now + self.options.lame_duck;
        self.end_from = self.options.work_limit.map(|limit| now + limit);
        self.phase = match self.options.lame_duck {
            TimeSpan::ZERO => DrainPhase::Draining,
            _ => DrainPhase::LameDuck,
        };
        vec![DrainAction::Announce]
    }

    /// Continues the shutdown. `settled` says that nothing else is left that the process must do
    /// before it exits, such as delivering data that it keeps for others.
    pub fn tick(&mut self, now: TimePoint, settled: bool) -> Vec<DrainAction> {
        if self.phase == DrainPhase::LameDuck && now >= self.refuse_from {
            self.phase = DrainPhase::Draining;
        }
        let overdue = self.end_from.is_some_and(|end_from| now >= end_from);
        if overdue && matches!(self.phase, DrainPhase::LameDuck | DrainPhase::Draining) {
            self.phase = DrainPhase::Ending;
        }
        let refusing = matches!(self.phase, DrainPhase::Draining | DrainPhase::Ending);
        if !refusing || self.running() > 0 {
            return Vec::new();
        }
        if !self.handed_over {
            self.handed_over = true;
            return vec![DrainAction::HandOver];
        }
        if !settled {
            return Vec::new();
        }
        self.phase = DrainPhase::Stopped;
        vec![DrainAction::Exit]
    }
}
