//! Digests of caller keys, so that no process stores the keys themselves.

use std::fmt;
use std::str::FromStr;

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

const DIGEST_BYTES: usize = 32;
const HEX_DIGITS_PER_BYTE: usize = 2;

/// The SHA-256 digest of a caller key; [`key_digest`] computes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// The error for a string that is not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DigestError;

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("64 hexadecimal digits")
    }
}

impl std::error::Error for DigestError {}

/// Computes the digest by which the configuration identifies a caller key.
pub fn key_digest(text: &str) -> KeyDigest {
    KeyDigest(Sha256::digest(text.as_bytes()).into())
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let digits = text.as_bytes();
        if digits.len() != DIGEST_BYTES * HEX_DIGITS_PER_BYTE {
            return Err(DigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks(HEX_DIGITS_PER_BYTE)) {
            *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

fn hex_value(digit: u8) -> Result<u8, DigestError> {
    let value = char::from(digit).to_digit(16).ok_or(DigestError)?;
    u8::try_from(value).map_err(|_| DigestError)
}

impl Serialize for KeyDigest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = smol_str::SmolStr::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
