//! Units with validated ranges: rates, sizes and percentages.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error from a text or number that is not a valid value of the unit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("{value:?} is not {expected}")]
pub struct ParseUnitError {
    value: String,
    expected: &'static str,
}

/// Rate in requests per second, finite and at least 0. The text form may have the suffix `/s`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RatePerSecond(f64);

/// Number of bytes. The text form may have the suffix `KiB`, `MiB` or `GiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ByteSize(pub u64);

/// Percentage from 0 to 100. The text form may have the suffix `%`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Percent(f64);

impl RatePerSecond {
    const EXPECTED: &'static str = "a finite rate of at least 0 requests per second";

    /// Returns the rate in requests per second.
    #[must_use]
    pub const fn as_f64(self) -> f64 {
        self.0
    }
}

impl Percent {
    const EXPECTED: &'static str = "a percentage from 0 to 100";

    /// Returns the percentage as a fraction from 0 to 1.
    #[must_use]
    pub fn as_fraction(self) -> f64 {
        self.0 / 100.0
    }
}

impl TryFrom<f64> for RatePerSecond {
    type Error = ParseUnitError;

    fn try_from(value: f64) -> Result<Self, Self::Error> {
        if value.is_finite() && value >= 0.0 {
            Ok(Self(value))
        } else {
            Err(ParseUnitError {
                value: value.to_string(),
                expected: Self::EXPECTED,
            })
        }
    }
}

impl TryFrom<f64> for Percent {
    type Error = ParseUnitError;

    fn try_from(value: f64) -> Result<Self, Self::Error> {
        if (0.0..=100.0).contains(&value) {
            Ok(Self(value))
        } else {
            Err(ParseUnitError {
                value: value.to_string(),
                expected: Self::EXPECTED,
            })
        }
    }
}

impl From<RatePerSecond> for f64 {
    fn from(rate: RatePerSecond) -> Self {
        rate.0
    }
}

impl From<Percent> for f64 {
    fn from(percent: Percent) -> Self {
        percent.0
    }
}

impl fmt::Display for RatePerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for RatePerSecond {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseUnitError {
            value: text.to_owned(),
            expected: Self::EXPECTED,
        };
        let number = text.strip_suffix("/s").unwrap_or(text);
        let value: f64 = number.parse().map_err(|_| error())?;
        Self::try_from(value).map_err(|_| error())
    }
}

impl FromStr for Percent {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseUnitError {
            value: text.to_owned(),
            expected: Self::EXPECTED,
        };
        let number = text.strip_suffix('%').unwrap_or(text);
        let value: f64 = number.parse().map_err(|_| error())?;
        Self::try_from(value).map_err(|_| error())
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (suffix, factor) in BYTE_SUFFIXES {
            if self.0 >= factor && self.0.is_multiple_of(factor) {
                return write!(f, "{}{suffix}", self.0 / factor);
            }
        }
        write!(f, "{}", self.0)
    }
}

const BYTE_SUFFIXES: [(&str, u64); 3] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];

impl FromStr for ByteSize {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseUnitError {
            value: text.to_owned(),
            expected: "a number of bytes, with or without KiB, MiB or GiB",
        };
        let suffixed = BYTE_SUFFIXES
            .iter()
            .find_map(|(suffix, factor)| text.strip_suffix(suffix).map(|number| (number, *factor)));
        let (number, factor) = suffixed.unwrap_or((text, 1));
        let count: u64 = number.parse().map_err(|_| error())?;
        count.checked_mul(factor).map(Self).ok_or_else(error)
    }
}
