//! An encoded configuration in parts, so that entries send each other only what has changed.
//!
//! The bounds of the parts follow from the bytes around them. A change moves the bounds of the parts that it
//! touches, and all others are the same parts as before. Parts are named by their digest, so a part that is
//! already here is never sent again, whichever version it came with. See
//! [docs/design/reading.md](../../../../docs/design/reading.md#large-configurations).

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::unit::ByteSize;

/// No bound is looked for in so many bytes, so that no part is tiny.
const MIN_PART_BYTES: usize = 2 << 10;
/// The length at which a part ends even without a bound.
const MAX_PART_BYTES: usize = 32 << 10;
/// A bound is where these bits of the rolling hash are zero: after 8 KiB on average.
const BOUND_MASK: u64 = 0x1fff << 48;
/// The bytes that name a part: enough that no two parts of the same name are ever met.
const ID_BYTES: usize = 16;

/// The value of each byte in the rolling hash.
const GEAR: [u64; 256] = gear();

const fn gear() -> [u64; 256] {
    let mut values = [0; 256];
    let mut state: u64 = 0;
    let mut index = 0;
    while index < values.len() {
        // SplitMix64.
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut word = state;
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        values[index] = word ^ (word >> 31);
        index += 1;
    }
    values
}

/// The name of a part: the beginning of the SHA-256 digest of its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartId([u8; ID_BYTES]);

impl PartId {
    /// Returns the name of these bytes.
    pub fn of(bytes: &[u8]) -> Self {
        let digest = Sha256::digest(bytes);
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&digest[..ID_BYTES]);
        Self(id)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The error for a text that does not name a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartIdError;

impl fmt::Display for PartIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {} hexadecimal digits", 2 * ID_BYTES)
    }
}

impl std::error::Error for PartIdError {}

impl FromStr for PartId {
    type Err = PartIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * ID_BYTES || !text.is_ascii() {
            return Err(PartIdError);
        }
        let mut id = [0; ID_BYTES];
        for (at, byte) in id.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| PartIdError)?;
        }
        Ok(Self(id))
    }
}

/// The name and length of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPart {
    /// The name.
    pub id: PartId,
    /// The length in bytes.
    pub length: u32,
}

/// The parts of a configuration, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartList(pub Vec<ConfigPart>);

impl PartList {
    /// Divides an encoded configuration into parts.
    pub fn of(bytes: &[u8]) -> Self {
        Self::at(bytes, &part_ranges(bytes))
    }

    fn at(bytes: &[u8], ranges: &[Range<usize>]) -> Self {
        let parts = ranges.iter().map(|range| ConfigPart {
            id: PartId::of(&bytes[range.clone()]),
            length: range.len() as u32,
        });
        Self(parts.collect())
    }

    /// Returns the length of the configuration.
    pub fn size(&self) -> ByteSize {
        let lengths = self.0.iter().map(|part| ByteSize(part.length.into()));
        lengths.sum()
    }
}

/// Returns where the parts of these bytes are.
fn part_ranges(bytes: &[u8]) -> Vec<Range<usize>> {
    let mut ranges = Vec::new();
    let mut start = 0;
    while start < bytes.len() {
        let rest = &bytes[start..];
        let length = part_length(&rest[..rest.len().min(MAX_PART_BYTES)]);
        ranges.push(start..start + length);
        start += length;
    }
    ranges
}

/// Returns the length of the part at the beginning of these bytes.
fn part_length(bytes: &[u8]) -> usize {
    let mut hash: u64 = 0;
    for (at, byte) in bytes.iter().enumerate() {
        // Each shift moves one byte further out, so the hash is that of the last 64 bytes.
        hash = (hash << 1).wrapping_add(GEAR[usize::from(*byte)]);
        if at + 1 >= MIN_PART_BYTES && hash & BOUND_MASK == 0 {
            return at + 1;
        }
    }
    bytes.len()
}

/// The configuration in force with its parts, and the parts of a newer one that have arrived so far.
#[derive(Clone, Debug, Default)]
pub struct ConfigArchive {
    bytes: Vec<u8>,
    parts: PartList,
    ranges: BTreeMap<PartId, Range<usize>>,
    /// Parts that are not in `bytes`.
    fetched: BTreeMap<PartId, Vec<u8>>,
}

impl ConfigArchive {
    /// Returns the encoded configuration in force; empty if there is none.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the parts of the configuration in force.
    pub fn parts(&self) -> &PartList {
        &self.parts
    }

    /// Puts another configuration in place of the one in force. Fetched parts that it has are dropped, and the
    /// others are kept: a newer configuration may have them.
    pub fn replace(&mut self, bytes: Vec<u8>) {
        let ranges = part_ranges(&bytes);
        self.parts = PartList::at(&bytes, &ranges);
        let ids = self.parts.0.iter().map(|part| part.id);
        self.ranges = ids.zip(ranges).collect();
        self.bytes = bytes;
        let ranges = &self.ranges;
        self.fetched.retain(|id, _| !ranges.contains_key(id));
    }

    /// Returns a part that is here.
    pub fn part(&self, id: &PartId) -> Option<&[u8]> {
        match self.ranges.get(id) {
            Some(range) => self.bytes.get(range.clone()),
            None => self.fetched.get(id).map(Vec::as_slice),
        }
    }

    /// Returns the parts of a newer configuration that are not here, each once. Fetched parts that it lacks are
    /// dropped, so that what is kept never exceeds one configuration.
    pub fn missing(&mut self, wanted: &PartList) -> Vec<ConfigPart> {
        let ids: BTreeSet<PartId> = wanted.0.iter().map(|part| part.id).collect();
        self.fetched.retain(|id, _| ids.contains(id));
        let mut seen = BTreeSet::new();
        let parts = wanted.0.iter().filter(|part| seen.insert(part.id));
        let missing = parts.filter(|part| self.part(&part.id).is_none());
        missing.copied().collect()
    }

    /// Keeps a part that another entry has sent.
    pub fn insert(&mut self, bytes: Vec<u8>) {
        self.fetched.insert(PartId::of(&bytes), bytes);
    }

    /// Joins the parts of a configuration; `None` if one is missing.
    pub fn assemble(&self, wanted: &PartList) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(wanted.size().0 as usize);
        for part in &wanted.0 {
            bytes.extend_from_slice(self.part(&part.id)?);
        }
        Some(bytes)
    }
}
