//! Renders the report as one self-contained HTML page with SVG plots.

use std::fmt::Write as _;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use crate::burn::{Budget, Report, ServiceReport};
use crate::text::{format_codes, format_window, organisation_label};
use crate::time::{format_duration, format_utc};

/// Width of a plot, in pixels.
const PLOT_WIDTH_PX: u32 = 760;
/// Height of a plot, in pixels.
const PLOT_HEIGHT_PX: u32 = 240;

/// Milliseconds per minute; the time axis is in minutes.
const MS_PER_MINUTE: f64 = 60_000.0;

const STYLE: &str = "body{font:15px/1.4 sans-serif;margin:2em auto;max-width:60em;color:#222}\
table{border-collapse:collapse;margin:.5em 0}th,td{padding:.2em .7em;text-align:right;\
border-bottom:1px solid #ddd}th:first-child,td:first-child{text-align:left}.bad{color:#a00}";

/// Renders the report as an HTML page.
///
/// # Errors
///
/// Returns an error when a plot cannot be drawn.
pub fn render(report: &Report) -> Result<String> {
    let mut page = String::new();
    let time = format_utc(report.at_unix_ms);
    write!(
        page,
        "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
    )?;
    write!(
        page,
        "<title>Burn report {time} UTC</title><style>{STYLE}</style></head><body>"
    )?;
    write!(
        page,
        "<h1>Burn report</h1><p>{time} UTC, instances: {}, ",
        report.instances
    )?;
    writeln!(
        page,
        "samples cover {}.</p>",
        format_duration(report.covered_ms)
    )?;
    write_overview(&mut page, report)?;
    for service in &report.services {
        write_service(&mut page, service)?;
    }
    for service in &report.without_document {
        writeln!(
            page,
            "<p>Service {}: no document, not reported.</p>",
            escape(service)
        )?;
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

/// Writes the wrongful refusals and the worst-served organisation over all services.
fn write_overview(page: &mut String, report: &Report) -> Result<()> {
    writeln!(page, "<h2>Wrongly refused</h2>")?;
    if report.wrongly_refused.is_empty() {
        writeln!(page, "<p>None.</p>")?;
    } else {
        let head = [
            "organisation",
            "service",
            "refused",
            "share",
            "result codes",
        ];
        write_head(page, &head)?;
        for entry in &report.wrongly_refused {
            let cells = [
                organisation_label(&entry.organisation).to_owned(),
                entry.service.clone(),
                format!("{:.0}", entry.refused),
                format!("{:.2} %", entry.share * 100.0),
                format_codes(&entry.by_code),
            ];
            write_row(page, &cells)?;
        }
        writeln!(page, "</table>")?;
    }
    writeln!(page, "<h2>Worst-served organisation</h2>")?;
    match &report.worst_served {
        None => writeln!(page, "<p>No requests.</p>")?,
        Some(worst) => {
            let (organisation, service) = (
                escape(organisation_label(&worst.organisation)),
                escape(&worst.service),
            );
            let share = worst.share * 100.0;
            write!(page, "<p>{organisation} at {service}: {share:.2} % of ")?;
            writeln!(
                page,
                "{:.0} weighted requests delivered.</p>",
                worst.entitled
            )?;
        }
    }
    Ok(())
}

fn write_service(page: &mut String, service: &ServiceReport) -> Result<()> {
    let ServiceReport {
        service: id,
        success_percent,
        latency_ms,
        ..
    } = service;
    writeln!(page, "<h2>Service {}</h2>", escape(id))?;
    writeln!(
        page,
        "<p>Objective: {success_percent} % answered within {latency_ms} ms.</p>"
    )?;
    let windows = service
        .total
        .burn
        .iter()
        .map(|burn| format!("burn {}", format_window(burn.window_ms)));
    let mut head: Vec<String> = ["organisation", "requests", "served %", "budget left %"]
        .map(Into::into)
        .into();
    head.extend(windows);
    head.extend(["refused", "late", "failed", "unknown"].map(Into::into));
    write_head(page, &head)?;
    write_row(page, &budget_cells("(all)", &service.total))?;
    for (organisation, budget) in &service.organisations {
        write_row(
            page,
            &budget_cells(organisation_label(organisation), budget),
        )?;
    }
    writeln!(page, "</table>")?;
    page.push_str(&plot_burn(service)?);
    write_events(page, service)
}

fn budget_cells(label: &str, budget: &Budget) -> Vec<String> {
    let tally = &budget.tally;
    let percent =
        |share: Option<f64>| share.map_or("-".into(), |share| format!("{:.2}", share * 100.0));
    let mut cells = vec![
        label.to_owned(),
        format!("{:.0}", tally.entitled()),
        percent(tally.served_share()),
        percent(budget.left),
    ];
    let rates = budget.burn.iter();
    cells.extend(rates.map(|burn| burn.rate.map_or("-".into(), |rate| format!("{rate:.2}"))));
    let counts = [
        tally.refused,
        tally.late,
        tally.failed,
        tally.outcome_unknown,
    ];
    cells.extend(counts.map(|count| format!("{count:.0}")));
    cells
}

fn write_events(page: &mut String, service: &ServiceReport) -> Result<()> {
    if service.events.is_empty() {
        return Ok(());
    }
    writeln!(page, "<h3>Events in the intervals that spent most</h3>")?;
    write_head(page, &["time", "instance", "kind", "subject", "detail"])?;
    for event in &service.events {
        let cells = [
            format_utc(event.at_unix_ms),
            event.instance.clone(),
            event.kind.clone(),
            event.subject.clone().unwrap_or_default(),
            event.detail.to_string(),
        ];
        write_row(page, &cells)?;
    }
    writeln!(page, "</table>")?;
    Ok(())
}

fn write_head(page: &mut String, cells: &[impl AsRef<str>]) -> Result<()> {
    write!(page, "<table><tr>")?;
    for cell in cells {
        write!(page, "<th>{}</th>", escape(cell.as_ref()))?;
    }
    writeln!(page, "</tr>")?;
    Ok(())
}

fn write_row(page: &mut String, cells: &[String]) -> Result<()> {
    write!(page, "<tr>")?;
    for cell in cells {
        write!(page, "<td>{}</td>", escape(cell))?;
    }
    writeln!(page, "</tr>")?;
    Ok(())
}

/// Plots the burn rate of each interval over time, with a line at 1, the rate that spends the
/// budget exactly. Returns an empty string without an error budget or without requests.
fn plot_burn(service: &ServiceReport) -> Result<String> {
    let allowed_failures = 1.0 - service.success_percent / 100.0;
    let points = burn_points(service, allowed_failures);
    if points.len() < 2 {
        return Ok(String::new());
    }
    let first = points[0].0;
    let max_rate = points.iter().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let mut svg = String::new();
    let area =
        SVGBackend::with_string(&mut svg, (PLOT_WIDTH_PX, PLOT_HEIGHT_PX)).into_drawing_area();
    let result = draw_chart(&area, &points, first, max_rate);
    drop(area);
    result.map_err(|error| {
        anyhow!(
            "cannot draw the plot of service {}: {error}",
            service.service
        )
    })?;
    Ok(svg)
}

/// Draws the chart; the time axis reaches from `first` minutes (negative) to 0.
fn draw_chart(
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    points: &[(f64, f64)],
    first: f64,
    max_rate: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(first..0.0, 0.0..max_rate)?;
    chart
        .configure_mesh()
        .x_desc("minutes before the newest sample")
        .y_desc("burn rate")
        .draw()?;
    let exact_spend = [(first, 1.0), (0.0, 1.0)];
    chart.draw_series(LineSeries::new(exact_spend, &BLACK.mix(0.4)))?;
    chart.draw_series(LineSeries::new(points.iter().copied(), &RED))?;
    area.present()?;
    Ok(())
}

/// Returns the points of a step plot: minutes relative to the newest sample, and burn rate.
#[expect(clippy::cast_precision_loss)]
fn burn_points(service: &ServiceReport, allowed_failures: f64) -> Vec<(f64, f64)> {
    let newest = service
        .history
        .last()
        .map_or(0, |interval| interval.end_unix_ms);
    let minutes = |at_unix_ms: u64| -((newest - at_unix_ms) as f64) / MS_PER_MINUTE;
    let mut points = Vec::new();
    for interval in &service.history {
        let has_duration = interval.end_unix_ms > interval.start_unix_ms;
        if has_duration && interval.entitled > 0.0 && allowed_failures > 1e-9 {
            let rate = interval.bad / interval.entitled / allowed_failures;
            points.push((minutes(interval.start_unix_ms), rate));
            points.push((minutes(interval.end_unix_ms), rate));
        }
    }
    points
}

/// Escapes the characters that have a meaning in HTML.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for char in text.chars() {
        match char {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            _ => escaped.push(char),
        }
    }
    escaped
}
