//! Journal events, read as JSON lines.

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

/// Time before an interval in which events still count as possible causes, in milliseconds. It covers the
/// delay between a decision and the requests that it affects.
const LOOKBACK_MS: u64 = 30_000;

/// One journal event. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// Wall clock time, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Instance that recorded the event.
    pub instance: String,
    /// Kind of event, such as `ejected`.
    pub kind: String,
    /// Service that the event concerns; `None` for events of the whole fleet.
    #[serde(default)]
    pub service: Option<String>,
    /// Backend server, organisation, key or instance that the event concerns.
    #[serde(default)]
    pub subject: Option<String>,
    /// Measured values on which the decision was based.
    #[serde(default)]
    pub detail: serde_json::Value,
}

/// Parses a journal with one JSON event per line.
///
/// # Errors
///
/// Returns an error with the number of the first line that is not an event.
pub fn parse(text: &str) -> Result<Vec<Event>> {
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| {
            serde_json::from_str(line).with_context(|| format!("journal line {}", index + 1))
        })
        .collect()
}

/// Selects the events of the service or of the whole fleet that fall into one of the intervals or shortly
/// before it, ordered by time. Intervals are start and end in milliseconds since the Unix epoch.
#[must_use]
pub fn events_in_intervals<'a>(
    events: &'a [Event],
    service: &str,
    intervals: &[(u64, u64)],
) -> Vec<&'a Event> {
    let concerns_service =
        |event: &&Event| event.service.as_deref().is_none_or(|name| name == service);
    let in_intervals = |event: &&Event| {
        let mut intervals = intervals.iter();
        intervals.any(|(start, end)| {
            (start.saturating_sub(LOOKBACK_MS)..=*end).contains(&event.at_unix_ms)
        })
    };
    let mut found: Vec<&Event> = events
        .iter()
        .filter(concerns_service)
        .filter(in_intervals)
        .collect();
    found.sort_by_key(|event| event.at_unix_ms);
    found
}
