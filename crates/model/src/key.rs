//! Organisation keys. Only their hashes are stored; the key itself is printed once, when it is created.

use std::fmt;
use std::fmt::Write as _;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Minimum length of a key, in bytes. Shorter keys could be found from their hash by trying all values.
pub const MIN_KEY_BYTES: usize = 16;

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Secret that authenticates a caller as a member of an organisation. `Debug` and `Display` do not reveal it.
#[derive(Clone, PartialEq, Eq)]
pub struct OrganisationKey(Box<str>);

/// SHA-256 hash of an organisation key, written as 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(SerializeDisplay, DeserializeFromStr)]
pub struct KeyHash([u8; 32]);

/// Error from parsing a key or a key hash.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum ParseKeyError {
    /// The key has a length or a character that is not allowed.
    #[error("a key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} visible ASCII characters")]
    Key,
    /// The key hash does not consist of 64 hexadecimal digits.
    #[error("a key hash has 64 hexadecimal digits")]
    Hash,
}

impl OrganisationKey {
    /// Returns the hash under which the key is stored and looked up.
    #[must_use]
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.0)
    }

    /// Returns the secret itself, to show it once to the operator who created it.
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
    /// Computes the hash of a key without a check of its length, for keys that the operators of a platform
    /// chose.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the first eight hexadecimal digits, for logs and listings.
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
