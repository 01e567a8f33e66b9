//! Whether a backend server takes new requests, as its own answers state it.
//!
//! A server that leaves says so in its answers, and a server that rejects a request may ask for a pause. Both bind the
//! instance that received the answer, whatever coordinators report about the server.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Upper bound of a pause. A server that stays away for longer restarts or stops its announcements.
pub const MAX_PAUSE: Duration = Duration::from_mins(10);

/// Maximum length of the text of a [`RetryAfter`] in bytes. A floating-point number of seconds takes fewer than 20.
const MAX_RETRY_AFTER_BYTES: usize = 32;

/// Upper bound of the random extension of a pause, after which the instances that heard of it return one after the
/// other.
pub const MAX_RESUME_SPREAD: Duration = Duration::from_millis(250);

/// Spread of the returns of callers as a share of their wait. More callers have been refused the longer the pause is.
const RETURN_SPREAD_SHARE: f64 = 0.5;

/// Lower bound of the spread of the returns of callers.
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(100);

/// Upper bound of the spread of the returns of callers, most of which wait for a few seconds at most.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Time for which a server wants no requests, at most [`MAX_PAUSE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(Duration);

impl RetryAfter {
    /// Length of the pause.
    #[must_use]
    pub const fn length(self) -> Duration {
        self.0
    }

    /// Returns the longest of several values and the number of invalid ones.
    pub fn longest<'a>(values: impl Iterator<Item = &'a [u8]>) -> (Option<Self>, u64) {
        let mut longest = None;
        let mut invalid = 0;
        for value in values {
            match str::from_utf8(value).ok().map(str::parse) {
                Some(Ok(valid)) => longest = longest.max(Some(valid)),
                _ => invalid += 1,
            }
        }
        (longest, invalid)
    }
}

impl FromStr for RetryAfter {
    type Err = InvalidRetryAfter;

    /// Parses a number of seconds: digits, with at most one dot between them.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_number =
            |digits: &str| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
        let (seconds, fraction) = text.split_once('.').unwrap_or((text, "0"));
        if text.len() > MAX_RETRY_AFTER_BYTES || !is_number(seconds) || !is_number(fraction) {
            return Err(InvalidRetryAfter);
        }
        let seconds: f64 = text.parse().map_err(|_| InvalidRetryAfter)?;
        let length = Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64()));
        Ok(Self(length))
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0.as_secs_f64())
    }
}

/// The text is not a number of seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRetryAfter;

impl fmt::Display for InvalidRetryAfter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not a decimal number of seconds")
    }
}

impl std::error::Error for InvalidRetryAfter {}

/// Reason why a server gets no new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoNewRequests {
    /// The server is leaving.
    Leaving,
    /// The server wants a pause.
    Paused {
        /// Local time at which the pause ends.
        ends_at: Duration,
    },
}

/// Effect of a request for a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseChange {
    /// The server was not paused.
    Begun {
        /// Local time at which the pause ends.
        ends_at: Duration,
    },
    /// The server was paused already and the pause ends later than before.
    Extended {
        /// Local time at which the pause ends.
        ends_at: Duration,
    },
}

/// What the answers of one incarnation of a backend server said about new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Intake {
    leaving: bool,
    paused_until: Option<Duration>,
}

impl Intake {
    /// Records that the server is leaving, which nothing but a new incarnation ends. Returns whether that is new.
    pub const fn record_leaving(&mut self) -> bool {
        let is_new = !self.leaving;
        self.leaving = true;
        is_new
    }

    /// Records that the server wants no requests for some time from `now` on. The later end of two pauses counts.
    /// Returns `None` when nothing changes.
    pub fn record_pause(&mut self, length: Duration, now: Duration) -> Option<PauseChange> {
        let ends_at = now.saturating_add(length);
        let before = self.paused_until.filter(|before| now < *before);
        if ends_at <= before.unwrap_or(now) {
            return None;
        }
        self.paused_until = Some(ends_at);
        Some(match before {
            Some(_) => PauseChange::Extended { ends_at },
            None => PauseChange::Begun { ends_at },
        })
    }

    /// Why the server gets no new requests; `None` when it gets some.
    #[must_use]
    pub fn refusal(&self, now: Duration) -> Option<NoNewRequests> {
        if self.leaving {
            return Some(NoNewRequests::Leaving);
        }
        let ends_at = self.paused_until.filter(|ends_at| now < *ends_at)?;
        Some(NoNewRequests::Paused { ends_at })
    }

    /// Whether the server is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a pause has ended and [`take_ended_pause`](Self::take_ended_pause) was not called since.
    #[must_use]
    pub fn has_ended_pause(&self, now: Duration) -> bool {
        self.paused_until.is_some_and(|ends_at| ends_at <= now)
    }

    /// Returns the time at which the last pause ended and forgets it; `None` without a pause or while it lasts.
    pub fn take_ended_pause(&mut self, now: Duration) -> Option<Duration> {
        self.paused_until.take_if(|ends_at| *ends_at <= now)
    }
}

/// Length of a pause with its random extension, which is at most the pause itself; `random` is from 0 (inclusive) to 1
/// (exclusive).
#[must_use]
pub fn extended_pause(pause: RetryAfter, random: f64) -> Duration {
    let length = pause.length();
    length + MAX_RESUME_SPREAD.min(length).mul_f64(random)
}

/// Time after which a caller that is refused because of pauses should return: the rest of the pause that ends first and
/// a random spread, so that the refused callers do not return at the same moment. `random` is from 0 (inclusive) to 1
/// (exclusive).
#[must_use]
pub fn spread_retry_after(first_end: Duration, now: Duration, random: f64) -> Duration {
    let wait = first_end.saturating_sub(now);
    let spread = wait.mul_f64(RETURN_SPREAD_SHARE);
    wait + spread
        .clamp(MIN_RETURN_SPREAD, MAX_RETURN_SPREAD)
        .mul_f64(random)
}
