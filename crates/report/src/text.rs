//! Formats the report for a terminal.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

use radishpaddle_model::ResultCode;

use crate::burn::{Budget, Report, ServiceReport};
use crate::time::{format_duration, format_utc};

/// Number of characters after which the detail of an event is cut off.
const MAX_DETAIL_CHARS: usize = 60;

/// Renders the report as plain text.
///
/// # Panics
///
/// Never panics: writing to a string does not fail.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut text = String::new();
    write_report(&mut text, report).expect("writing to a string does not fail");
    text
}

fn write_report(f: &mut String, report: &Report) -> fmt::Result {
    let Report {
        at_unix_ms,
        covered_ms,
        instances,
        ..
    } = report;
    writeln!(
        f,
        "burn report at {} UTC, instances: {instances}",
        format_utc(*at_unix_ms)
    )?;
    match covered_ms {
        0 => writeln!(
            f,
            "one sample: counts since the start of the instances, no burn rates"
        )?,
        _ => writeln!(f, "samples cover {}", format_duration(*covered_ms))?,
    }
    write_wrongly_refused(f, report)?;
    write_worst_served(f, report)?;
    for service in &report.services {
        write_service(f, service)?;
    }
    for name in &report.without_document {
        writeln!(f, "\nservice {name}: no document, not reported")?;
    }
    Ok(())
}

fn write_wrongly_refused(f: &mut String, report: &Report) -> fmt::Result {
    writeln!(f, "\nwrongly refused (within the rate, weighted)")?;
    if report.wrongly_refused.is_empty() {
        return writeln!(f, "  none");
    }
    for entry in &report.wrongly_refused {
        let organisation = organisation_label(&entry.organisation);
        let share = entry.share * 100.0;
        let codes = format_codes(&entry.by_code);
        write!(
            f,
            "  {organisation} at {}: {:.0}, ",
            entry.service, entry.refused
        )?;
        writeln!(f, "{share:.2} % of its requests; {codes}")?;
    }
    Ok(())
}

fn write_worst_served(f: &mut String, report: &Report) -> fmt::Result {
    writeln!(f, "\nworst-served organisation")?;
    let Some(worst) = &report.worst_served else {
        return writeln!(f, "  no requests");
    };
    let organisation = organisation_label(&worst.organisation);
    let share = worst.share * 100.0;
    write!(f, "  {organisation} at {}: {share:.2} % of ", worst.service)?;
    writeln!(f, "{:.0} weighted requests delivered", worst.entitled)
}

fn write_service(f: &mut String, service: &ServiceReport) -> fmt::Result {
    let ServiceReport {
        service: id,
        success_percent,
        latency_ms,
        ..
    } = service;
    writeln!(
        f,
        "\nservice {id}: {success_percent} % answered within {latency_ms} ms"
    )?;
    let columns = ["requests", "served %", "left %"];
    write!(f, "  {:<14}", "organisation")?;
    for column in columns {
        write!(f, "{column:>10}")?;
    }
    for burn in &service.total.burn {
        write!(
            f,
            "{:>9}",
            format!("burn {}", format_window(burn.window_ms))
        )?;
    }
    for column in ["refused", "late", "failed", "unknown"] {
        write!(f, "{column:>9}")?;
    }
    writeln!(f)?;
    write_budget(f, "(all)", &service.total)?;
    for (organisation, budget) in &service.organisations {
        write_budget(f, organisation_label(organisation), budget)?;
    }
    write_events(f, service)
}

fn write_budget(f: &mut String, label: &str, budget: &Budget) -> fmt::Result {
    let tally = &budget.tally;
    let percent =
        |share: Option<f64>| share.map_or("-".into(), |share| format!("{:.2}", share * 100.0));
    write!(f, "  {label:<14}{:>10.0}", tally.entitled())?;
    write!(
        f,
        "{:>10}{:>10}",
        percent(tally.served_share()),
        percent(budget.left)
    )?;
    for burn in &budget.burn {
        let rate = burn.rate.map_or("-".into(), |rate| format!("{rate:.2}"));
        write!(f, "{rate:>9}")?;
    }
    for count in [
        tally.refused,
        tally.late,
        tally.failed,
        tally.outcome_unknown,
    ] {
        write!(f, "{count:>9.0}")?;
    }
    writeln!(f)
}

fn write_events(f: &mut String, service: &ServiceReport) -> fmt::Result {
    if service.events.is_empty() {
        return Ok(());
    }
    writeln!(f, "  events in the intervals that spent most")?;
    for event in &service.events {
        let subject = event.subject.as_deref().unwrap_or("-");
        let detail: String = event
            .detail
            .to_string()
            .chars()
            .take(MAX_DETAIL_CHARS)
            .collect();
        let detail = if event.detail.is_null() { "" } else { &detail };
        let time = format_utc(event.at_unix_ms);
        let line = format!(
            "    {time} {} {} {subject} {detail}",
            event.instance, event.kind
        );
        writeln!(f, "{}", replace_control_chars(line.trim_end()))?;
    }
    Ok(())
}

/// Formats the length of a window in its largest unit, such as `5m` or `3d`.
#[must_use]
pub fn format_window(window_ms: u64) -> String {
    let minutes = window_ms / 60_000;
    match minutes {
        0..60 => format!("{minutes}m"),
        60..1_440 => format!("{}h", minutes / 60),
        _ => format!("{}d", minutes / 1_440),
    }
}

/// Returns the label of an organisation; requests on open routes have no organisation and get `(open)`.
#[must_use]
pub fn organisation_label(organisation: &str) -> &str {
    if organisation.is_empty() {
        "(open)"
    } else {
        organisation
    }
}

/// Formats result codes with their counts, in descending order of the count.
#[must_use]
pub fn format_codes(by_code: &BTreeMap<u16, f64>) -> String {
    let mut entries: Vec<(&u16, &f64)> = by_code.iter().collect();
    entries.sort_by(|a, b| b.1.total_cmp(a.1));
    let texts = entries.into_iter().map(|(number, count)| {
        let known = ResultCode::ALL.iter().find(|code| code.number() == *number);
        let code = known.map_or_else(|| number.to_string(), ToString::to_string);
        format!("{code}: {count:.0}")
    });
    texts.collect::<Vec<_>>().join(", ")
}

/// Replaces control characters, so that journal text cannot send escape sequences to the terminal.
fn replace_control_chars(text: &str) -> String {
    let replace = |char: char| if char.is_control() { '\u{fffd}' } else { char };
    text.chars().map(replace).collect()
}
