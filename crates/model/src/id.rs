//! Identifiers. Text identifiers consist of 1 to 64 characters from `a-z`, `A-Z`, `0-9`, `.`, `_` and `-`, so
//! they need no escaping in paths, log lines and metric labels.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

/// Maximum length of a text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// Error from parsing a text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("{kind} {value:?} is not 1 to {MAX_ID_BYTES} characters out of a-z A-Z 0-9 . _ -")]
pub struct ParseIdError {
    kind: &'static str,
    value: String,
}

fn is_identifier(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(allowed)
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(SerializeDisplay, DeserializeFromStr)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if is_identifier(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(ParseIdError { kind: $kind, value: text.to_owned() })
                }
            }
        }
    };
}

text_id!(
    /// Name of a service, which is configured by one document.
    ServiceId,
    "service"
);
text_id!(
    /// Name of an organisation whose members call services with keys.
    OrganisationId,
    "organisation"
);
text_id!(
    /// Name of one process of the fleet, stable across restarts.
    InstanceId,
    "instance"
);
text_id!(
    /// Name of an availability zone, a failure domain of the platform.
    AvailabilityZone,
    "availability zone"
);
text_id!(
    /// Name of a backend server of a service, stable across restarts.
    BackendServerId,
    "backend server"
);
text_id!(
    /// Public name of an organisation key, from which the key itself cannot be derived.
    KeyId,
    "key id"
);
text_id!(
    /// Idempotency key that an operator chooses for one submission; a resend returns the result of the first.
    SubmissionId,
    "submission id"
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number_id!(
    /// Sequence number of a configuration change. Revision 0 is the empty configuration.
    Revision
);
number_id!(
    /// Number of one run of a process between start and exit; each restart gets a higher number.
    Incarnation
);

impl Revision {
    /// Returns the revision that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
