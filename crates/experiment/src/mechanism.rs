//! The mechanisms that can be replaced by their naive version one by one.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::Serialize;

/// A mechanism whose worth is measured by switching it off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Mechanism {
    /// Which engine a request goes to; off: round robin.
    Routing,
    /// Whether a request is taken at all; off: always.
    Admission,
    /// The order in which an engine works; off: first come, first served.
    Fairness,
    /// The prefill and decode counts; off: fixed.
    Roles,
    /// The number of engines; off: fixed.
    Fleet,
    /// What is repeated and resumed after a failure; off: up to three blind tries.
    Retry,
}

impl Mechanism {
    /// Those that `--without` takes.
    pub(crate) const SWITCHED: [Self; 5] = [
        Self::Routing,
        Self::Admission,
        Self::Fairness,
        Self::Roles,
        Self::Fleet,
    ];

    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Routing => "routing",
            Self::Admission => "admission",
            Self::Fairness => "fairness",
            Self::Roles => "roles",
            Self::Fleet => "fleet",
            Self::Retry => "retry",
        }
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Mechanism {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::SWITCHED.iter().find(|one| one.as_str() == text);
        found
            .copied()
            .ok_or_else(|| "routing, admission, fairness, roles or fleet".to_owned())
    }
}

/// A version that is measured: the mechanisms that are switched on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VersionSet {
    on: BTreeSet<Mechanism>,
}

impl VersionSet {
    /// The naive version.
    pub(crate) fn naive() -> Self {
        let on = BTreeSet::new();
        Self { on }
    }

    /// All of applefold.
    pub(crate) fn whole() -> Self {
        let mut on = BTreeSet::from(Mechanism::SWITCHED);
        on.insert(Mechanism::Retry);
        Self { on }
    }

    /// The same version with one mechanism less.
    pub(crate) fn without(mut self, mechanism: Mechanism) -> Self {
        self.on.remove(&mechanism);
        self
    }

    pub(crate) fn has(&self, mechanism: Mechanism) -> bool {
        self.on.contains(&mechanism)
    }
}
