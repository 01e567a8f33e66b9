//! Urgency of a request, by which requests are ordered when there is not enough capacity for all.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Rank of a request; 0 is the most urgent. A smaller value compares as less, so sorting puts urgent requests first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Urgency(pub u32);

impl Urgency {
    /// Urgency of a request. The priority of its organisation takes precedence over that of its route.
    #[must_use]
    pub const fn of(route_priority: u32, organisation_priority: Option<u32>) -> Self {
        match organisation_priority {
            Some(priority) => Self(priority),
            None => Self(route_priority),
        }
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
