//! The software version of backend servers.

use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;

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
