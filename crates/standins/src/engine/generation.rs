//! Deterministic generation of text, so that a test can compute every expected response.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Range;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Consonants that start a syllable.
const ONSETS: &[u8; 16] = b"bdfghjklmnprstvz";
/// Vowels that end a syllable.
const VOWELS: &[u8; 4] = b"aeio";
/// Number of syllables in a word.
const WORD_SYLLABLES: usize = 4;

/// A 64-bit hash of the text of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptHash(u64);

impl PromptHash {
    /// Returns the hash of the text of a prompt.
    pub fn of(text: &str) -> Self {
        Self(hash(&[text.as_bytes()]))
    }
}

impl FromStr for PromptHash {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for PromptHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Returns the generated token at position `index`: a word and a space.
pub fn token_text(model: &str, prompt: PromptHash, index: u64) -> String {
    let parts = [
        model.as_bytes(),
        &prompt.0.to_be_bytes(),
        &index.to_be_bytes(),
    ];
    let mut bits = hash(&parts);
    let mut word = String::with_capacity(2 * WORD_SYLLABLES + 1);
    for _ in 0..WORD_SYLLABLES {
        word.push(char::from(ONSETS[(bits & 15) as usize]));
        word.push(char::from(VOWELS[(bits >> 4 & 3) as usize]));
        bits >>= 6;
    }
    word.push(' ');
    word
}

/// Returns the generated text of a range of token positions.
pub fn generated_text(model: &str, prompt: PromptHash, tokens: Range<u64>) -> String {
    tokens
        .map(|index| token_text(model, prompt, index))
        .collect()
}

/// Returns a hash of the parts, each prefixed with its length, so that their boundaries count.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    let bytes = digest.finalize();
    let prefix: [u8; 8] = std::array::from_fn(|index| bytes[index]);
    u64::from_be_bytes(prefix)
}
