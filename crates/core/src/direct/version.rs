//! The software version of backend servers, and which versions may run an attempt.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;

use crate::code::{CallRefusal, ResultCode};

/// The longest software version, in bytes.
const MAX_VERSION_BYTES: usize = 128;

/// Why a text is not a software version. The message says what is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionError;

impl fmt::Display for VersionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a software version of 1 to 128 bytes without control characters")
    }
}

impl std::error::Error for VersionError {}

/// The version of a backend server's software. Two versions are the same only if their texts are.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(SmolStr);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        let valid = (1..=MAX_VERSION_BYTES).contains(&text.len());
        if !valid || text.chars().any(char::is_control) {
            return Err(VersionError);
        }
        Ok(Self(SmolStr::new(text)))
    }
}

/// Which software versions may run an attempt.
#[derive(Clone, Copy, Debug)]
pub enum VersionBound<'a> {
    /// Any version.
    Any,
    /// Any version but these, unless no backend server of another one is available.
    Avoid(&'a BTreeSet<SoftwareVersion>),
    /// This version only, since it has begun the stream.
    Only(&'a SoftwareVersion),
}

impl VersionBound<'_> {
    /// Returns whether a backend server of `version` may run the attempt. An unknown version is
    /// never the one that has begun a stream.
    pub(in crate::direct) fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Avoid(avoided) => version.is_none_or(|version| !avoided.contains(version)),
            Self::Only(only) => version == Some(*only),
        }
    }
}

/// What is known of the software version that began a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamBinding {
    /// The stream has not begun.
    #[default]
    Unbound,
    /// A backend server of this version began it, and only those of this version may resume it.
    Version(SoftwareVersion),
    /// It has begun at a version that cannot be known, so no backend server may resume it.
    Unknown,
}

impl StreamBinding {
    /// Returns the binding of a stream that a backend server of `version` has begun.
    pub fn begun_at(version: Option<&SoftwareVersion>) -> Self {
        version.map_or(Self::Unknown, |version| Self::Version(version.clone()))
    }

    /// Returns which versions may run the next attempt; before the stream has begun, all but
    /// `avoided`.
    ///
    /// # Errors
    ///
    /// Refuses with [`ResultCode::OriginUnknown`] if the version that began the stream cannot be
    /// known.
    pub fn bound<'a>(
        &'a self,
        avoided: &'a BTreeSet<SoftwareVersion>,
    ) -> Result<VersionBound<'a>, CallRefusal> {
        match self {
            Self::Unbound if avoided.is_empty() => Ok(VersionBound::Any),
            Self::Unbound => Ok(VersionBound::Avoid(avoided)),
            Self::Version(version) => Ok(VersionBound::Only(version)),
            Self::Unknown => Err(CallRefusal::permanent(ResultCode::OriginUnknown)),
        }
    }
}
