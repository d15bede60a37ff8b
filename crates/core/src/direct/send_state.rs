//! What an entry may send to one run of a backend server.
//!
//! The states and transitions stand in
//! [docs/design/sending.md](../../../../docs/design/sending.md).

use crate::routing::FlightId;
use crate::unit::{TimePoint, TimeSpan};

/// When a request may come back that finds the one request under way that tries a backend server.
const TRIAL_WAIT: TimeSpan = TimeSpan::from_millis(100);

/// Why a backend server is tried with one request at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialCause {
    /// The rest that it asked for is over.
    Rested,
    /// Health wants to know whether it still fails.
    Probed,
}

/// What may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendState {
    /// Any request.
    Open,
    /// Nothing until then, since it turned a request away or changes what it does.
    Paused {
        /// When it may be sent requests again.
        until: TimePoint,
    },
    /// Nothing until then, as it asked; one request tries it afterwards.
    Resting {
        /// When the rest ends.
        until: TimePoint,
    },
    /// One request at a time, until that one is answered.
    Trial {
        /// Why.
        cause: TrialCause,
        /// The request under way.
        flight: Option<FlightId>,
    },
    /// Nothing, since it failed.
    LeftOut {
        /// When a rest ends that it asked for besides.
        rest_until: TimePoint,
    },
    /// Nothing, since the list says that it leaves; the list may take that back.
    Draining {
        /// When a rest ends that it asked for besides.
        rest_until: TimePoint,
    },
    /// Nothing, since it says itself that it leaves; that holds until the end of its run.
    Leaving,
}

/// What changes a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEvent {
    /// The list has it as ready.
    ListedReady,
    /// The list has it as leaving.
    ListedDraining,
    /// It said itself that it leaves.
    SaidLeaving,
    /// It asked for rest until then.
    AskedRest(TimePoint),
    /// It turned a request away, or changes what it does, and is left alone until then.
    TurnedAway(TimePoint),
    /// Health leaves it out.
    LeftOut,
    /// Health wants it tried.
    ProbeDue,
    /// Health takes it back.
    TakenBack,
    /// A request is being sent.
    Sent(FlightId),
    /// The answer to a request has begun.
    Answered(FlightId),
    /// A request ended without an answer.
    Unanswered(FlightId),
}

/// What a state means for one more request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// It may be sent.
    Send,
    /// It may be sent where nothing else is left.
    LastResort,
    /// It may be sent from then on.
    Wait(TimePoint),
    /// It may not be sent.
    Never,
}

impl SendState {
    /// Returns the name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Paused { .. } => "paused",
            Self::Resting { .. } => "resting",
            Self::Trial { .. } => "trial",
            Self::LeftOut { .. } => "left out",
            Self::Draining { .. } => "draining",
            Self::Leaving => "leaving",
        }
    }

    /// Returns what one more request may do at `now`.
    pub fn verdict(self, now: TimePoint) -> SendDecision {
        match self {
            Self::Open => SendDecision::Send,
            Self::Paused { until } | Self::Resting { until } if until > now => {
                SendDecision::Wait(until)
            }
            Self::Paused { .. } | Self::Resting { .. } | Self::Trial { flight: None, .. } => {
                SendDecision::Send
            }
            Self::Trial {
                cause: TrialCause::Rested,
                ..
            } => SendDecision::Wait(now + TRIAL_WAIT),
            Self::LeftOut { rest_until } if rest_until > now => SendDecision::Wait(rest_until),
            Self::Trial { .. } | Self::LeftOut { .. } => SendDecision::LastResort,
            Self::Draining { .. } | Self::Leaving => SendDecision::Never,
        }
    }

    /// Returns whether it serves, though it may want nothing just now.
    pub const fn is_serving(self) -> bool {
        match self {
            Self::Open | Self::Paused { .. } | Self::Resting { .. } => true,
            Self::Trial { .. } | Self::LeftOut { .. } | Self::Draining { .. } | Self::Leaving => {
                false
            }
        }
    }

    /// Returns whether it is left alone until a time that is known.
    pub fn is_paused(self, now: TimePoint) -> bool {
        match self {
            Self::Paused { until } | Self::Resting { until } => until > now,
            Self::LeftOut { rest_until } => rest_until > now,
            Self::Open | Self::Trial { .. } | Self::Draining { .. } | Self::Leaving => false,
        }
    }

    /// Returns whether a request that was placed earlier must not be sent any more.
    pub fn is_barred(self, now: TimePoint) -> bool {
        match self {
            Self::Draining { .. } | Self::Leaving => true,
            Self::Open | Self::Paused { .. } | Self::Trial { .. } => false,
            Self::Resting { .. } | Self::LeftOut { .. } => self.rest_until() > now,
        }
    }

    /// Returns the state after an event.
    pub fn after(self, event: SendEvent, now: TimePoint) -> Self {
        let rest_until = self.rest_until();
        match (self, event) {
            (Self::Leaving, _) | (_, SendEvent::SaidLeaving) => Self::Leaving,
            (_, SendEvent::ListedDraining) => Self::Draining { rest_until },
            (Self::Draining { .. }, SendEvent::ListedReady) => Self::rested(rest_until, now),
            (Self::Draining { .. }, SendEvent::AskedRest(until)) => Self::Draining {
                rest_until: until.max(rest_until),
            },
            (Self::Draining { .. }, _) => self,
            (Self::LeftOut { .. }, SendEvent::AskedRest(until)) => Self::LeftOut {
                rest_until: until.max(rest_until),
            },
            (_, SendEvent::AskedRest(until)) => Self::Resting {
                until: until.max(rest_until),
            },
            (_, SendEvent::LeftOut) => Self::LeftOut { rest_until },
            (Self::LeftOut { .. }, SendEvent::ProbeDue) if rest_until <= now => Self::Trial {
                cause: TrialCause::Probed,
                flight: None,
            },
            (Self::LeftOut { .. }, SendEvent::ProbeDue | SendEvent::TakenBack) => {
                Self::rested(rest_until, now)
            }
            (Self::Trial { .. }, SendEvent::TakenBack) => Self::Open,
            // A request that was sent before the rest may be turned away during it.
            (Self::Resting { until }, SendEvent::TurnedAway(other)) => Self::Resting {
                until: until.max(other),
            },
            (Self::Trial { cause, .. }, SendEvent::TurnedAway(until)) => match cause {
                TrialCause::Rested => Self::Resting { until },
                TrialCause::Probed => Self::LeftOut { rest_until: until },
            },
            (Self::Open | Self::Paused { .. }, SendEvent::TurnedAway(until)) => {
                Self::Paused { until }
            }
            (Self::Resting { .. } | Self::LeftOut { .. }, SendEvent::Sent(flight))
                if rest_until > TimePoint::START && rest_until <= now =>
            {
                Self::Trial {
                    cause: TrialCause::Rested,
                    flight: Some(flight),
                }
            }
            (
                Self::Trial {
                    cause,
                    flight: None,
                },
                SendEvent::Sent(flight),
            ) => Self::Trial {
                cause,
                flight: Some(flight),
            },
            (
                Self::Trial {
                    flight: Some(tried),
                    ..
                },
                SendEvent::Answered(flight),
            ) if tried == flight => Self::Open,
            (
                Self::Trial {
                    cause,
                    flight: Some(tried),
                },
                SendEvent::Unanswered(flight),
            ) if tried == flight => match cause {
                TrialCause::Rested => Self::Trial {
                    cause,
                    flight: None,
                },
                // Health says when the next one is due.
                TrialCause::Probed => Self::LeftOut { rest_until },
            },
            _ => self,
        }
    }

    fn rested(rest_until: TimePoint, now: TimePoint) -> Self {
        match rest_until > now {
            true => Self::Resting { until: rest_until },
            false => Self::Open,
        }
    }

    /// Returns when the rest ends that it asked for; the start of time where it did not.
    pub fn rest_until(self) -> TimePoint {
        match self {
            Self::Resting { until } => until,
            Self::LeftOut { rest_until } | Self::Draining { rest_until } => rest_until,
            Self::Open | Self::Paused { .. } | Self::Trial { .. } | Self::Leaving => {
                TimePoint::START
            }
        }
    }
}
