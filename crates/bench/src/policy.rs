//! The policies that the bench compares.

/// A policy. All of them use the same queueing, retry budget and hedging; they differ only in what
/// their name says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The decision code of this project.
    Radishpaddle,
    /// Round robin over all servers, nothing is ejected; actions have no claims.
    NoEjection,
    /// Round robin; each instance ejects after consecutive errors, up to a percentage; actions have
    /// no claims.
    ConsecutiveErrors,
    /// The decision code of this project, but each instance has a fixed part of each rate.
    FixedShares,
}

impl Policy {
    /// Every policy in the order of the tables.
    pub const ALL: [Self; 4] = [
        Self::Radishpaddle,
        Self::NoEjection,
        Self::ConsecutiveErrors,
        Self::FixedShares,
    ];

    /// Name in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Radishpaddle => "radishpaddle",
            Self::NoEjection => "no ejection",
            Self::ConsecutiveErrors => "consecutive errors",
            Self::FixedShares => "fixed rate shares",
        }
    }

    /// Whether actions are claimed before they are dispatched.
    #[must_use]
    pub const fn claims_actions(self) -> bool {
        matches!(self, Self::Radishpaddle | Self::FixedShares)
    }

    /// Whether the rate of an organisation follows demand.
    #[must_use]
    pub const fn allocates_rate(self) -> bool {
        !matches!(self, Self::FixedShares)
    }
}
