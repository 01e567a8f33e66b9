//! Organisation keys. Only hashes are stored; the key itself is shown once, when it is given.

use std::fmt;
use std::fmt::Write as _;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Shortest accepted key, in bytes. Shorter keys could be guessed from their hash.
pub const MIN_KEY_BYTES: usize = 16;

/// Longest accepted key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// A secret that proves a caller's organisation. `Debug` and `Display` never show it.
#[derive(Clone, PartialEq, Eq)]
pub struct OrganisationKey(Box<str>);

/// SHA-256 of an organisation key; text form is 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub struct KeyHash([u8; 32]);

/// The text is not a key or not a key hash.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum ParseKeyError {
    /// Length or characters of the key are not allowed.
    #[error("a key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} visible ASCII characters")]
    Key,
    /// Not 64 hexadecimal digits.
    #[error("a key hash has 64 hexadecimal digits")]
    Hash,
}

impl OrganisationKey {
    /// Hash under which the key is stored and looked up.
    #[must_use]
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.0)
    }

    /// The secret itself, to hand it to the operator who asked for it.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl FromStr for OrganisationKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let length_allowed = (MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&text.len());
        if length_allowed && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            Ok(Self(text.into()))
        } else {
            Err(ParseKeyError::Key)
        }
    }
}

impl fmt::Debug for OrganisationKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OrganisationKey(..)")
    }
}

impl fmt::Display for OrganisationKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden key)")
    }
}

impl KeyHash {
    /// Hash of a key whatever its length, for keys that operators of a platform chose.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// First eight hexadecimal digits, for logs and listings.
    #[must_use]
    pub fn prefix(&self) -> String {
        let mut text = self.to_string();
        text.truncate(8);
        text
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({}..)", self.prefix())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::with_capacity(64);
        for byte in self.0 {
            write!(text, "{byte:02x}")?;
        }
        f.write_str(&text)
    }
}

impl FromStr for KeyHash {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(ParseKeyError::Hash);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseKeyError::Hash)?;
        }
        Ok(Self(bytes))
    }
}
