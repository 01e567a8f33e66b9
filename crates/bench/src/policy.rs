//! Policies that the benchmark compares.

/// How instances choose backend servers, protect actions from running twice and limit rates. Queueing,
/// the retry budget and hedging are the same for all policies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The decision code of this project: pooled outlier detection, claims for actions, and rates that
    /// follow demand.
    Radishpaddle,
    /// Round robin over all servers without ejection; actions are not claimed.
    NoEjection,
    /// Round robin; each instance ejects servers on its own after consecutive errors or failed health
    /// checks, up to a maximum percentage of them. Actions are not claimed.
    ConsecutiveErrors,
    /// Same as `Radishpaddle`, except that each instance has a fixed, equal share of each rate.
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

    /// Returns the name on the command line and in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Radishpaddle => "radishpaddle",
            Self::NoEjection => "no ejection",
            Self::ConsecutiveErrors => "consecutive errors",
            Self::FixedShares => "fixed rate shares",
        }
    }

    /// Returns whether instances claim an action at the witnesses before they dispatch it.
    #[must_use]
    pub const fn claims_actions(self) -> bool {
        matches!(self, Self::Radishpaddle | Self::FixedShares)
    }

    /// Returns whether the share of each instance in the rate of an organisation follows demand.
    #[must_use]
    pub const fn allocates_rate(self) -> bool {
        !matches!(self, Self::FixedShares)
    }
}
