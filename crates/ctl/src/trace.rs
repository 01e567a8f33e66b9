//! Explains one request from collected lines of the decision logs.

use std::fmt::Write as _;
use std::path::PathBuf;

use anyhow::{Context as _, Result, bail};
use serde_json::Value;

/// Changes of belief this long before a request may have decided it.
const BEFORE_MS: u64 = 5_000;

/// Results at the same backend server this long before and after a request are shown with it.
const NEAR_MS: u64 = 2_000;

/// Lines of one kind that are shown.
const MAX_SHOWN: usize = 8;

/// Events that change what a process believes.
const BELIEFS: [&str; 12] = [
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

/// Reads the files and explains the request with the id.
///
/// # Errors
///
/// Fails when a file cannot be read or no line names the id.
pub fn explain(id: &str, files: &[PathBuf]) -> Result<String> {
    let mut events = Vec::new();
    for file in files {
        let text = std::fs::read(file).with_context(|| format!("log {}", file.display()))?;
        let text = String::from_utf8_lossy(&text);
        events.extend(text.lines().filter_map(event));
    }
    events.sort_by_key(at);
    let requests: Vec<&Value> = events
        .iter()
        .filter(|event| event["request_id"] == id && event["outcome"].is_string())
        .collect();
    if requests.is_empty() {
        bail!(
            "no line names the request {id}; answered requests are sampled, failed ones are kept"
        );
    }
    let mut text = String::new();
    for request in requests {
        describe(request, &events, &mut text)?;
    }
    Ok(text)
}

/// The JSON object of a line; collectors often put a time and an instance before it.
fn event(line: &str) -> Option<Value> {
    let object = &line[line.find('{')?..];
    let event: Value = serde_json::from_str(object).ok()?;
    event["event"].is_string().then_some(event)
}

fn at(event: &Value) -> u64 {
    event["at_unix_ms"].as_u64().unwrap_or(0)
}

fn describe(request: &Value, events: &[Value], text: &mut String) -> Result<()> {
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
        "  route {}, service {}, organisation {}, configuration {} proved {} ms ago",
        request["route"],
        request["service"],
        request["organisation"],
        request["config_version"],
        request["proof_age_ms"]
    )?;
    writeln!(
        text,
        "  {}",
        meaning(request["outcome"].as_str().unwrap_or_default())
    )?;
    let over = &request["over_limit"];
    if over.is_object() {
        writeln!(
            text,
            "  limit: {} tokens in the fleet, {} here; {} requests/s asked of the fleet, reported {} ms ago",
            over["level"], over["part"], over["fleet_per_s"], over["report_age_ms"]
        )?;
    }
    for attempt in request["attempts"].as_array().into_iter().flatten() {
        writeln!(
            text,
            "  attempt at {}: {} after {} ms; failure expected {}, in flight {}, connection {}",
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
        others_at(&attempt["server"], request, events, text)?;
    }
    crashes_with(request, events, text)?;
    beliefs_before(request, events, text)
}

/// Backend servers that ended with the request in flight; known only after its end.
fn crashes_with(request: &Value, events: &[Value], text: &mut String) -> Result<()> {
    let own = |event: &&Value| {
        event["event"] == "request_crash" && event["request_id"] == request["request_id"]
    };
    for crash in events.iter().filter(own) {
        writeln!(
            text,
            "  {} refused connections afterwards: it ended with this request in flight; fingerprint {}",
            crash["backend_server"], crash["fingerprint"]
        )?;
    }
    Ok(())
}

/// What other requests met at the same backend server about that time.
fn others_at(server: &Value, request: &Value, events: &[Value], text: &mut String) -> Result<()> {
    let near = |event: &&Value| {
        event["request_id"] != request["request_id"] && at(event).abs_diff(at(request)) <= NEAR_MS
    };
    let mut results: Vec<String> = Vec::new();
    for event in events.iter().filter(near) {
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
            "    {} others there within {NEAR_MS} ms: {shown}",
            results.len()
        )?;
    }
    Ok(())
}

fn beliefs_before(request: &Value, events: &[Value], text: &mut String) -> Result<()> {
    let begin = at(request).saturating_sub(BEFORE_MS);
    let changed = |event: &&Value| {
        let name = event["event"].as_str().unwrap_or_default();
        let own = event["instance"] == request["instance"];
        let shared = matches!(
            name,
            "config_submitted" | "backend_server_retired" | "suspect_requests"
        );
        BELIEFS.contains(&name) && (own || shared) && (begin..=at(request)).contains(&at(event))
    };
    for event in events.iter().rev().filter(changed).take(MAX_SHOWN) {
        let mut fields = event.clone();
        if let Some(fields) = fields.as_object_mut() {
            for known in ["event", "instance", "at_unix_ms"] {
                fields.remove(known);
            }
        }
        let before = at(request) - at(event);
        writeln!(
            text,
            "  {before} ms before: {} {} {fields}",
            event["instance"], event["event"]
        )?;
    }
    Ok(())
}

/// What an outcome says about the request.
fn meaning(outcome: &str) -> &'static str {
    match outcome {
        "served" => "a backend server answered with success",
        "backend_error" => "a backend server ran the request and answered with an error",
        "over_quota" => "not run: the organisation was over its limit over all gateways",
        "not_fresh" => "not run: the gateway could not prove that its configuration is current",
        "no_backend_server" => "not run: no backend server of the service took work",
        "not_run" => "not run: every server that was tried refused it or could not be reached",
        "expired_not_run" => "not run: the time was over before a server got the request",
        "outcome_unknown" => "may have run: the connection broke off after the request was sent",
        "timed_out" => "may have run: no answer within the time of the route or the caller",
        "key_unknown" => "not run: the key is missing, unknown or withdrawn",
        "no_route" => "not run: no route of the configuration takes the path",
        "crashes_backend_servers" => {
            "not run: backend servers ended one after the other with this request in flight"
        }
        "bad_request" => "not run: the request is malformed",
        "too_large" => "not run: the body is larger than the configuration allows",
        _ => "this version does not know the outcome; whether it ran is not said",
    }
}
