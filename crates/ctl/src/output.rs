//! Formats responses of the operator API and journal events for a terminal.

use std::fmt::Write as _;

use serde_json::Value;

/// Formats a response as indented JSON.
#[must_use]
pub fn indented_json(page: &Value) -> String {
    format!("{page:#}")
}

/// Formats the result of an accepted submission. `spread` is the newest known state of the distribution: the
/// revision that is in force and the revision that each instance has confirmed.
#[must_use]
pub fn submission_result(answer: &Value, spread: &Value) -> String {
    let revision = answer["revision"].as_u64().unwrap_or(0);
    let (confirmed, total) = confirmations(spread, revision);
    let in_force = spread["in_force"].as_u64().unwrap_or(0) >= revision;
    if in_force || answer["name"] == "in_force" {
        format!("revision {revision} is in force; {confirmed} of {total} instances confirmed it")
    } else {
        format!("revision {revision} is committed and not yet in force")
    }
}

/// Returns whether a revision is in force and all known instances have confirmed it. `false` if no instance is
/// known.
#[must_use]
pub fn is_confirmed_by_all(spread: &Value, revision: u64) -> bool {
    let (confirmed, total) = confirmations(spread, revision);
    spread["in_force"].as_u64().unwrap_or(0) >= revision && confirmed == total && total > 0
}

/// Returns the number of instances that have confirmed the revision and the number of known instances.
fn confirmations(spread: &Value, revision: u64) -> (usize, usize) {
    let members = spread["members"].as_array().map_or(&[][..], Vec::as_slice);
    let confirmed = |member: &&Value| member["revision"].as_u64() >= Some(revision);
    (members.iter().filter(confirmed).count(), members.len())
}

/// Prints a line on standard output. A closed pipe is not an error, because its reader needs no more output.
///
/// # Errors
///
/// Fails when a write to standard output fails for any other reason.
pub fn print_line(text: &str) -> std::io::Result<()> {
    use std::io::Write as _;
    match writeln!(std::io::stdout(), "{text}") {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        result => result,
    }
}

/// Formats a list of services, one per line.
#[must_use]
pub fn service_list(page: &Value) -> String {
    let mut text = format!("configuration revision {}\n", page["revision"]);
    for entry in page["services"].as_array().into_iter().flatten() {
        let document = &entry["document"];
        let count = |field: &str| document[field].as_array().map_or(0, Vec::len);
        let _ = writeln!(
            text,
            "{:<24} revision {:<8} {} routes, {} organisations",
            document["service"].as_str().unwrap_or("?"),
            entry["revision"].to_string(),
            count("routes"),
            count("organisations"),
        );
    }
    text.trim_end().to_owned()
}

/// Formats a list of organisation keys, one per line.
#[must_use]
pub fn key_list(page: &Value) -> String {
    let mut text = format!("configuration revision {}\n", page["revision"]);
    for key in page["keys"].as_array().into_iter().flatten() {
        let field = |name: &str| key[name].as_str().unwrap_or("?").to_owned();
        let _ = writeln!(
            text,
            "{:<32} {:<24} hash {}..",
            field("key_id"),
            field("organisation"),
            field("hash_prefix"),
        );
    }
    text.trim_end().to_owned()
}

/// Formats the differences between a document and its current revision, one field per line.
#[must_use]
pub fn difference_list(answer: &Value) -> String {
    let mut text = format!("against revision {}\n", answer["revision"]);
    let differences = answer["differences"].as_array();
    for difference in differences.into_iter().flatten() {
        let field = difference["field"].as_str().unwrap_or("?");
        let field = if field.is_empty() {
            "(document)"
        } else {
            field
        };
        let (before, after) = (&difference["before"], &difference["after"]);
        let _ = writeln!(text, "{field}: {before} -> {after}");
    }
    if differences.is_none_or(Vec::is_empty) {
        text.push_str("no difference");
    }
    text.trim_end().to_owned()
}

/// Formats one journal event, given as a JSON line. Returns a malformed line unchanged.
#[must_use]
pub fn journal_event(line: &str) -> String {
    let Ok(event) = serde_json::from_str::<Value>(line) else {
        return line.to_owned();
    };
    let field = |name: &str| event[name].as_str().unwrap_or("-").to_owned();
    format!(
        "{} {} {} {} {} {}",
        event["sequence"],
        event["at_unix_ms"],
        field("kind"),
        field("service"),
        field("subject"),
        event["detail"],
    )
}
