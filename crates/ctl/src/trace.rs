//! Explains the outcome of one request from the collected decision logs of several instances.

use std::fmt::Write as _;
use std::path::PathBuf;

use anyhow::{Context as _, Result, bail};
use serde_json::Value;

/// State changes are shown if they occurred at most this long before the request, in milliseconds; earlier ones
/// are unlikely to have influenced it.
const STATE_CHANGE_WINDOW_MS: u64 = 5_000;

/// Results of other requests at the same backend server are shown if they occurred at most this long before or
/// after the request, in milliseconds.
const NEARBY_WINDOW_MS: u64 = 2_000;

/// Maximum number of state changes shown for a request, and of nearby results shown for an attempt.
const MAX_SHOWN: usize = 8;

/// Events that record a change of the state on which an instance bases its decisions.
const STATE_CHANGE_EVENTS: [&str; 12] = [
    "start",
    "stop",
    "stopped",
    "reload",
    "config_applied",
    "config_submitted",
    "coordinator_lost",
    "coordinator_regained",
    "backend_server_retired",
    "request_crash",
    "request_quarantined",
    "suspect_requests",
];

/// Reads the log files and explains all requests with the id.
///
/// # Errors
///
/// Fails when a file cannot be read or no line records a request with the id.
pub fn explain(id: &str, files: &[PathBuf]) -> Result<String> {
    let mut events = Vec::new();
    for file in files {
        let text = std::fs::read(file)
            .with_context(|| format!("cannot read log file {}", file.display()))?;
        let text = String::from_utf8_lossy(&text);
        events.extend(text.lines().filter_map(parse_event));
    }
    events.sort_by_key(unix_ms);
    let requests: Vec<&Value> = events
        .iter()
        .filter(|event| event["request_id"] == id && event["outcome"].is_string())
        .collect();
    if requests.is_empty() {
        bail!(
            "request {id} not found in the logs; successful requests are logged as a sample only, failed ones completely"
        );
    }
    let mut text = String::new();
    for request in requests {
        write_request(request, &events, &mut text)?;
    }
    Ok(text)
}

/// Parses the event of a log line. Log collectors often add a prefix with time and instance, so the JSON object
/// begins at the first brace.
fn parse_event(line: &str) -> Option<Value> {
    let object = &line[line.find('{')?..];
    let event: Value = serde_json::from_str(object).ok()?;
    event["event"].is_string().then_some(event)
}

fn unix_ms(event: &Value) -> u64 {
    event["at_unix_ms"].as_u64().unwrap_or(0)
}

fn write_request(request: &Value, events: &[Value], text: &mut String) -> Result<()> {
    writeln!(
        text,
        "request {} at {}: {} after {} ms of {} ms",
        request["request_id"],
        request["instance"],
        request["outcome"],
        request["elapsed_ms"],
        request["deadline_ms"]
    )?;
    writeln!(
        text,
        "  route {}, service {}, organisation {}, configuration {} confirmed as current {} ms ago",
        request["route"],
        request["service"],
        request["organisation"],
        request["config_version"],
        request["proof_age_ms"]
    )?;
    writeln!(
        text,
        "  {}",
        outcome_description(request["outcome"].as_str().unwrap_or_default())
    )?;
    let limit = &request["over_limit"];
    if limit.is_object() {
        writeln!(
            text,
            "  rate limit: {} tokens in the fleet, {} at this gateway; demand on the fleet {} requests/s, reported {} ms ago",
            limit["level"], limit["part"], limit["fleet_per_s"], limit["report_age_ms"]
        )?;
    }
    for attempt in request["attempts"].as_array().into_iter().flatten() {
        writeln!(
            text,
            "  attempt at {}: {} after {} ms; failure probability {}, in flight {}, connection {}",
            attempt["server"],
            attempt["result"],
            attempt["elapsed_ms"],
            attempt["failure_probability"],
            attempt["in_flight"],
            if attempt["reused"] == true {
                "reused"
            } else {
                "new"
            }
        )?;
        write_nearby_results(&attempt["server"], request, events, text)?;
    }
    write_crashes(request, events, text)?;
    write_state_changes(request, events, text)
}

/// Writes the backend servers that terminated with the request in flight. These events are logged after the end of
/// the request, when the server refuses new connections.
fn write_crashes(request: &Value, events: &[Value], text: &mut String) -> Result<()> {
    let concerns_request = |event: &&Value| {
        event["event"] == "request_crash" && event["request_id"] == request["request_id"]
    };
    for crash in events.iter().filter(concerns_request) {
        writeln!(
            text,
            "  {} refused connections afterwards: it ended with this request in flight; fingerprint {}",
            crash["backend_server"], crash["fingerprint"]
        )?;
    }
    Ok(())
}

/// Writes the results of other requests at the same backend server around the time of the request.
fn write_nearby_results(
    server: &Value,
    request: &Value,
    events: &[Value],
    text: &mut String,
) -> Result<()> {
    let nearby = |event: &&Value| {
        event["request_id"] != request["request_id"]
            && unix_ms(event).abs_diff(unix_ms(request)) <= NEARBY_WINDOW_MS
    };
    let mut results: Vec<String> = Vec::new();
    for event in events.iter().filter(nearby) {
        for attempt in event["attempts"].as_array().into_iter().flatten() {
            if attempt["server"] == *server {
                results.push(format!("{} {}", event["instance"], attempt["result"]));
            }
        }
    }
    if !results.is_empty() {
        let shown = results[..results.len().min(MAX_SHOWN)].join(", ");
        writeln!(
            text,
            "    {} others there within {NEARBY_WINDOW_MS} ms: {shown}",
            results.len()
        )?;
    }
    Ok(())
}

/// Writes the newest state changes before the request, of its own instance and of the whole fleet.
fn write_state_changes(request: &Value, events: &[Value], text: &mut String) -> Result<()> {
    let window_start = unix_ms(request).saturating_sub(STATE_CHANGE_WINDOW_MS);
    let is_relevant = |event: &&Value| {
        let name = event["event"].as_str().unwrap_or_default();
        let same_instance = event["instance"] == request["instance"];
        let fleet_wide = matches!(
            name,
            "config_submitted" | "backend_server_retired" | "suspect_requests"
        );
        STATE_CHANGE_EVENTS.contains(&name)
            && (same_instance || fleet_wide)
            && (window_start..=unix_ms(request)).contains(&unix_ms(event))
    };
    for event in events.iter().rev().filter(is_relevant).take(MAX_SHOWN) {
        let mut fields = event.clone();
        if let Some(fields) = fields.as_object_mut() {
            for shown_separately in ["event", "instance", "at_unix_ms"] {
                fields.remove(shown_separately);
            }
        }
        let before_ms = unix_ms(request) - unix_ms(event);
        writeln!(
            text,
            "  {before_ms} ms before: {} {} {fields}",
            event["instance"], event["event"]
        )?;
    }
    Ok(())
}

/// Describes an outcome, beginning with whether the request was executed if that is not evident.
fn outcome_description(outcome: &str) -> &'static str {
    match outcome {
        "served" => "a backend server answered with success",
        "backend_error" => "a backend server ran the request and answered with an error",
        "over_quota" => "not run: the organisation was over its limit for the whole fleet",
        "not_fresh" => "not run: the gateway could not prove that its configuration is current",
        "isolated" => "not run: the gateway reached no backend server",
        "stopping" => "not run: the gateway was stopping and would have ended before the timeout",
        "no_backend_server" => "not run: no backend server of the service accepted requests",
        "paused" => "not run: all backend servers of the service had asked for a pause",
        "not_run" => "not run: all backend servers that were tried refused it or were unreachable",
        "expired_not_run" => {
            "not run: the deadline passed before the request was sent to a backend server"
        }
        "outcome_unknown" => "may have run: the connection was lost after the request was sent",
        "timed_out" => "may have run: no answer within the timeout of the route or the caller",
        "stopped" => "may have run: the gateway ended before a backend server answered",
        "key_unknown" => "not run: the key is missing, unknown or withdrawn",
        "no_route" => "not run: no route of the configuration matches the path",
        "crashes_backend_servers" => {
            "not run: backend servers terminated one after the other with this request in flight"
        }
        "bad_request" => "not run: the request is malformed",
        "too_large" => "not run: the body is larger than the configuration allows",
        _ => "unknown outcome; this version cannot tell whether the request was executed",
    }
}
