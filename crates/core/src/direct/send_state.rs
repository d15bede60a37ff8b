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
    CooldownEnded,
    /// Health wants to know whether it still fails.
    HealthProbe,
}

/// What may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendState {
    /// Any request.
    Available,
    /// Nothing until then, since it turned a request away or changes what it does.
    BackingOff {
        /// When it may be sent requests again.
        until: TimePoint,
    },
    /// Nothing until then, as it asked; one request tries it afterwards.
    CoolingDown {
        /// When the rest ends.
        until: TimePoint,
    },
    /// One request at a time, until that one is answered.
    HalfOpen {
        /// Why.
        cause: TrialCause,
        /// The request under way.
        flight: Option<FlightId>,
    },
    /// Nothing, since it failed.
    Ejected {
        /// When a rest ends that it asked for besides.
        cooldown_until: TimePoint,
    },
    /// Nothing, since the list says that it leaves; the list may take that back.
    Draining {
        /// When a rest ends that it asked for besides.
        cooldown_until: TimePoint,
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
    LeavingAnnounced,
    /// It asked for rest until then.
    CooldownRequested(TimePoint),
    /// It turned a request away, or changes what it does, and is left alone until then.
    Rejected(TimePoint),
    /// Health leaves it out.
    Ejected,
    /// Health wants it tried.
    ProbeDue,
    /// Health takes it back.
    Reinstated,
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
            Self::Available => "open",
            Self::BackingOff { .. } => "paused",
            Self::CoolingDown { .. } => "resting",
            Self::HalfOpen { .. } => "trial",
            Self::Ejected { .. } => "left out",
            Self::Draining { .. } => "draining",
            Self::Leaving => "leaving",
        }
    }

    /// Returns what one more request may do at `now`.
    pub fn decision(self, now: TimePoint) -> SendDecision {
        match self {
            Self::Available => SendDecision::Send,
            Self::BackingOff { until } | Self::CoolingDown { until } if until > now => {
                SendDecision::Wait(until)
            }
            Self::BackingOff { .. }
            | Self::CoolingDown { .. }
            | Self::HalfOpen { flight: None, .. } => SendDecision::Send,
            Self::HalfOpen {
                cause: TrialCause::CooldownEnded,
                ..
            } => SendDecision::Wait(now + TRIAL_WAIT),
            Self::Ejected { cooldown_until } if cooldown_until > now => {
                SendDecision::Wait(cooldown_until)
            }
            Self::HalfOpen { .. } | Self::Ejected { .. } => SendDecision::LastResort,
            Self::Draining { .. } | Self::Leaving => SendDecision::Never,
        }
    }

    /// Returns whether it serves, though it may want nothing just now.
    pub const fn is_serving(self) -> bool {
        match self {
            Self::Available | Self::BackingOff { .. } | Self::CoolingDown { .. } => true,
            Self::HalfOpen { .. }
            | Self::Ejected { .. }
            | Self::Draining { .. }
            | Self::Leaving => false,
        }
    }

    /// Returns whether it is left alone until a time that is known.
    pub fn is_backing_off(self, now: TimePoint) -> bool {
        match self {
            Self::BackingOff { until } | Self::CoolingDown { until } => until > now,
            Self::Ejected { cooldown_until } => cooldown_until > now,
            Self::Available | Self::HalfOpen { .. } | Self::Draining { .. } | Self::Leaving => {
                false
            }
        }
    }

    /// Returns whether a request that was placed earlier must not be sent any more.
    pub fn is_unavailable(self, now: TimePoint) -> bool {
        match self {
            Self::Draining { .. } | Self::Leaving => true,
            Self::Available | Self::BackingOff { .. } | Self::HalfOpen { .. } => false,
            Self::CoolingDown { .. } | Self::Ejected { .. } => self.cooldown_until() > now,
        }
    }

    /// Returns the state after an event.
    pub fn after(self, event: SendEvent, now: TimePoint) -> Self {
        let cooldown_until = self.cooldown_until();
        match (self, event) {
            (Self::Leaving, _) | (_, SendEvent::LeavingAnnounced) => Self::Leaving,
            (_, SendEvent::ListedDraining) => Self::Draining { cooldown_until },
            (Self::Draining { .. }, SendEvent::ListedReady) => {
                Self::after_cooldown(cooldown_until, now)
            }
            (Self::Draining { .. }, SendEvent::CooldownRequested(until)) => Self::Draining {
                cooldown_until: until.max(cooldown_until),
            },
            (Self::Draining { .. }, _) => self,
            (Self::Ejected { .. }, SendEvent::CooldownRequested(until)) => Self::Ejected {
                cooldown_until: until.max(cooldown_until),
            },
            (_, SendEvent::CooldownRequested(until)) => Self::CoolingDown {
                until: until.max(cooldown_until),
            },
            (_, SendEvent::Ejected) => Self::Ejected { cooldown_until },
            (Self::Ejected { .. }, SendEvent::ProbeDue) if cooldown_until <= now => {
                Self::HalfOpen {
                    cause: TrialCause::HealthProbe,
                    flight: None,
                }
            }
            (Self::Ejected { .. }, SendEvent::ProbeDue | SendEvent::Reinstated) => {
                Self::after_cooldown(cooldown_until, now)
            }
            (Self::HalfOpen { .. }, SendEvent::Reinstated) => Self::Available,
            // A request that was sent before the rest may be turned away during it.
            (Self::CoolingDown { until }, SendEvent::Rejected(other)) => Self::CoolingDown {
                until: until.max(other),
            },
            (Self::HalfOpen { cause, .. }, SendEvent::Rejected(until)) => match cause {
                TrialCause::CooldownEnded => Self::CoolingDown { until },
                TrialCause::HealthProbe => Self::Ejected {
                    cooldown_until: until,
                },
            },
            (Self::Available | Self::BackingOff { .. }, SendEvent::Rejected(until)) => {
                Self::BackingOff { until }
            }
            (Self::CoolingDown { .. } | Self::Ejected { .. }, SendEvent::Sent(flight))
                if cooldown_until > TimePoint::START && cooldown_until <= now =>
            {
                Self::HalfOpen {
                    cause: TrialCause::CooldownEnded,
                    flight: Some(flight),
                }
            }
            (
                Self::HalfOpen {
                    cause,
                    flight: None,
                },
                SendEvent::Sent(flight),
            ) => Self::HalfOpen {
                cause,
                flight: Some(flight),
            },
            (
                Self::HalfOpen {
                    flight: Some(tried),
                    ..
                },
                SendEvent::Answered(flight),
            ) if tried == flight => Self::Available,
            (
                Self::HalfOpen {
                    cause,
                    flight: Some(tried),
                },
                SendEvent::Unanswered(flight),
            ) if tried == flight => match cause {
                TrialCause::CooldownEnded => Self::HalfOpen {
                    cause,
                    flight: None,
                },
                // Health says when the next one is due.
                TrialCause::HealthProbe => Self::Ejected { cooldown_until },
            },
            _ => self,
        }
    }

    fn after_cooldown(cooldown_until: TimePoint, now: TimePoint) -> Self {
        match cooldown_until > now {
            true => Self::CoolingDown {
                until: cooldown_until,
            },
            false => Self::Available,
        }
    }

    /// Returns when the rest ends that it asked for; the start of time where it did not.
    pub fn cooldown_until(self) -> TimePoint {
        match self {
            Self::CoolingDown { until } => until,
            Self::Ejected { cooldown_until } | Self::Draining { cooldown_until } => cooldown_until,
            Self::Available | Self::BackingOff { .. } | Self::HalfOpen { .. } | Self::Leaving => {
                TimePoint::START
            }
        }
    }
}
