//! Fingerprint of a request's content, to recognise a request that is sent again under another request id.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Hash over organisation, scope, method, path with query, and body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Computes the fingerprint of a request: the first 16 bytes of a SHA-256 hash, so that a caller cannot
    /// construct two requests with one fingerprint. `scope` separates requests with one path to different
    /// services; it must not change with a new configuration while the same request is sent again.
    #[must_use]
    pub fn of(
        organisation: &str,
        scope: &str,
        method: &str,
        path_and_query: &str,
        body: &[u8],
    ) -> Self {
        let mut hasher = Sha256::new();
        for part in [organisation, scope, method, path_and_query] {
            hasher.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let digest = hasher.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
