//! Text for a terminal.

use std::fmt::Write as _;

use serde_json::Value;

/// A page as indented JSON.
#[must_use]
pub fn pretty(page: &Value) -> String {
    format!("{page:#}")
}

/// Result of an accepted submission with the newest known spread.
#[must_use]
pub fn submitted(answer: &Value, spread: &Value) -> String {
    let revision = answer["revision"].as_u64().unwrap_or(0);
    let (reached, total) = confirmations(spread, revision);
    let in_force = spread["in_force"].as_u64().unwrap_or(0) >= revision;
    if in_force || answer["name"] == "in_force" {
        format!("revision {revision} is in force; {reached} of {total} instances confirmed it")
    } else {
        format!("revision {revision} is committed and not yet in force")
    }
}

/// Whether a revision is in force and every known instance has confirmed it.
#[must_use]
pub fn is_everywhere(spread: &Value, revision: u64) -> bool {
    let (reached, total) = confirmations(spread, revision);
    spread["in_force"].as_u64().unwrap_or(0) >= revision && reached == total && total > 0
}

fn confirmations(spread: &Value, revision: u64) -> (usize, usize) {
    let members = spread["members"].as_array().map_or(&[][..], Vec::as_slice);
    let confirmed = |member: &&Value| member["revision"].as_u64() >= Some(revision);
    (members.iter().filter(confirmed).count(), members.len())
}

/// Prints a line. A reader that has closed the pipe is not an error.
///
/// # Errors
///
/// Fails when standard output cannot be written for another reason.
pub fn print(text: &str) -> std::io::Result<()> {
    use std::io::Write as _;
    match writeln!(std::io::stdout(), "{text}") {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        result => result,
    }
}

/// Services, one a line.
#[must_use]
pub fn services(page: &Value) -> String {
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

/// Keys, one a line.
#[must_use]
pub fn keys(page: &Value) -> String {
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

/// Differences, one a line.
#[must_use]
pub fn differences(answer: &Value) -> String {
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

/// One event of a journal.
#[must_use]
pub fn event(line: &str) -> String {
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
