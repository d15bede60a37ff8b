//! Classes of urgency, by which the work that is queued at a backend server is counted.

/// A class of urgency. Engines run more urgent requests first.
///
/// There are three, so that the load by class still fits a datagram. The types of requests that
/// compete for a service usually have three adjacent priorities, from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum UrgencyClass {
    /// Priority 0. Work of an unknown class counts as of this one, so that it counts for everyone.
    #[default]
    High,
    /// Priority 1.
    Normal,
    /// Priorities 2 to 9.
    Low,
}

impl UrgencyClass {
    /// The number of classes.
    pub const COUNT: usize = 3;
    /// All classes, from the most urgent one.
    pub const ALL: [Self; Self::COUNT] = [Self::High, Self::Normal, Self::Low];

    /// Returns the class of a priority, of which 0 is the most urgent.
    pub const fn of_priority(priority: u8) -> Self {
        match priority {
            0 => Self::High,
            1 => Self::Normal,
            _ => Self::Low,
        }
    }

    /// Returns its index in [`Self::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns its name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }
}

/// What a request in flight counts as for others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlightClass {
    /// The class of its urgency.
    pub urgency: UrgencyClass,
    /// Whether it was admitted for its minimum share. Until its first token, other requests avoid its
    /// backend server, where it would otherwise not be reached while more urgent ones come.
    pub reserves: bool,
}
