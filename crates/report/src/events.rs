//! Journal events as JSON lines.

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

/// Time before an interval in which its causes may lie, in milliseconds. It covers the delay between
/// a decision and the requests that it affects.
const LEAD_MS: u64 = 30_000;

/// A journal event; unknown fields are ignored.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// Wall clock time in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Instance that recorded the event.
    pub instance: String,
    /// Kind of event.
    pub kind: String,
    /// Service that the event is about.
    #[serde(default)]
    pub service: Option<String>,
    /// Backend server, organisation, key or instance that the event is about.
    #[serde(default)]
    pub subject: Option<String>,
    /// Numbers that led to the decision.
    #[serde(default)]
    pub detail: serde_json::Value,
}

/// Parses JSON lines.
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

/// Events about the service, or about the whole fleet, that may explain what happened in the intervals,
/// in order of time. Intervals are in milliseconds since 1970.
#[must_use]
pub fn explaining<'a>(
    events: &'a [Event],
    service: &str,
    intervals: &[(u64, u64)],
) -> Vec<&'a Event> {
    let concerns = |event: &&Event| event.service.as_deref().is_none_or(|name| name == service);
    let in_time = |event: &&Event| {
        let mut intervals = intervals.iter();
        intervals
            .any(|(start, end)| (start.saturating_sub(LEAD_MS)..=*end).contains(&event.at_unix_ms))
    };
    let mut found: Vec<&Event> = events.iter().filter(concerns).filter(in_time).collect();
    found.sort_by_key(|event| event.at_unix_ms);
    found
}
