//! Identifiers of objects across the tables.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::{BackendId, IdError, KeyId, PoolId, ServiceId, TeamId};

/// The kind and identifier of one object of the configuration, such as `team/search`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "kind", content = "id", rename_all = "snake_case")]
pub enum ObjectId {
    /// A team.
    Team(TeamId),
    /// A caller key.
    Key(KeyId),
    /// A service.
    Service(ServiceId),
    /// A pool.
    Pool(PoolId),
    /// A backend server.
    Engine(BackendId),
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(id) => write!(f, "team/{id}"),
            Self::Key(id) => write!(f, "key/{id}"),
            Self::Service(id) => write!(f, "service/{id}"),
            Self::Pool(id) => write!(f, "pool/{id}"),
            Self::Engine(id) => write!(f, "engine/{id}"),
        }
    }
}

impl FromStr for ObjectId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (kind, id) = text.split_once('/').ok_or(IdError::BadCharacter)?;
        match kind {
            "team" => id.parse().map(Self::Team),
            "key" => id.parse().map(Self::Key),
            "service" => id.parse().map(Self::Service),
            "pool" => id.parse().map(Self::Pool),
            "engine" => id.parse().map(Self::Engine),
            _ => Err(IdError::BadCharacter),
        }
    }
}
