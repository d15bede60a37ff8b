//! Identifiers, with one type for each kind of object, so that they cannot be confused.

use std::fmt;
use std::str::FromStr;

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use smol_str::SmolStr;

/// The longest text identifier, in bytes. It bounds the size of table rows and frames.
pub const MAX_ID_BYTES: usize = 64;

/// Why a text is not an identifier. The message says what is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    TooLong,
    /// The text contains a character other than ASCII letters, digits, `-`, `_`, `.` and `:`.
    BadCharacter,
    /// The text is not an unsigned integer.
    NotNumber,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "an identifier of at least one character",
            Self::TooLong => "an identifier of at most 64 bytes",
            Self::BadCharacter => "only letters, digits, '-', '_', '.' and ':'",
            Self::NotNumber => "a whole number",
        })
    }
}

impl std::error::Error for IdError {}

fn validate_text(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong);
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if !text.chars().all(allowed) {
        return Err(IdError::BadCharacter);
    }
    Ok(())
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate_text(text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl Serialize for $name {
            fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: Serializer,
            {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: Deserializer<'de>,
            {
                let text = SmolStr::deserialize(deserializer)?;
                validate_text(&text).map_err(de::Error::custom)?;
                Ok(Self(text))
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).map_err(|_| IdError::NotNumber)
            }
        }
    };
}

text_id! {
    /// A team, which is the unit of fairness, limits and billing.
    TeamId
}
text_id! {
    /// The public name of a caller key; the key itself is never stored.
    KeyId
}
text_id! {
    /// A service, which callers reach by a route.
    ServiceId
}
text_id! {
    /// A pool of backend servers that serve the same services.
    PoolId
}
text_id! {
    /// The name of a model, adapter or version, as callers write it.
    ModelId
}
text_id! {
    /// A backend server: a model engine or a plain service.
    BackendId
}
text_id! {
    /// A running process of the system, one per instance slot.
    InstanceId
}
text_id! {
    /// A failure domain.
    DomainId
}
text_id! {
    /// A region, which contains failure domains.
    RegionId
}
text_id! {
    /// A request, unique across all entries.
    RequestId
}
text_id! {
    /// A caller's idempotency key, by which a repeated request is recognized.
    IdempotencyKey
}
text_id! {
    /// An order to a backend server or to the platform.
    OrderId
}
text_id! {
    /// A scope of authority, which at most one process holds by a lease.
    ScopeId
}
number_id! {
    /// The number of one attempt to run a request, counted from 1.
    AttemptNumber
}
number_id! {
    /// A position in the configuration log, counted from 1; 0 is the empty configuration.
    Revision
}
number_id! {
    /// The number that an operator gave to a ticket.
    TicketNumber
}
number_id! {
    /// The fencing token of a lease; a higher one supersedes all lower ones.
    FencingNumber
}
number_id! {
    /// A usage window, numbered by the full window lengths since the Unix epoch.
    WindowId
}
number_id! {
    /// A shard of the idempotency claims.
    ShardId
}
