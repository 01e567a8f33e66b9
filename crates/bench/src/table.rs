//! Result tables, and the design targets (section 1.2 of the design) that they are compared with.

use std::io::Write;

use anyhow::Result;

use crate::deployment::{Deployment, FLOOR_FRACTION};
use crate::fault::Fault;
use crate::figures::{Detection, Figures};
use crate::run::Row;

/// Target for the 99th percentile of the detection time at the larger service, in seconds.
pub const MAX_DETECTION_LARGE_S: f64 = 2.0;

/// Target for the 99th percentile of the detection time at the service with six servers, in seconds.
pub const MAX_DETECTION_SMALL_S: f64 = 5.0;

/// Target for the served percentage of the worst-served organisation.
pub const MIN_WORST_SERVED_PERCENT: f64 = 99.0;

/// Target for refusals within the rate during a fault, per 1,000 requests; the figure must be lower.
pub const MAX_REFUSED_PER_MILLE: f64 = 1.0;

/// Headings and widths of the columns.
const COLUMNS: [(&str, usize); 14] = [
    ("policy", 18),
    ("detect large", 13),
    ("detect small", 13),
    ("false ej.", 9),
    ("capacity %", 10),
    ("worst served %", 14),
    ("refused in rate", 15),
    ("failed", 7),
    ("dup.", 5),
    ("over-adm.", 9),
    ("added %", 7),
    ("p50 ms", 6),
    ("p99 ms", 6),
    ("targets", 7),
];

/// Design targets that apply to a fault.
#[derive(Debug, Clone, Copy)]
pub struct Targets {
    fault: Fault,
}

impl Targets {
    /// Selects the targets of a fault.
    #[must_use]
    pub const fn new(fault: Fault) -> Self {
        Self { fault }
    }

    /// Returns the names of the targets that the figures miss.
    #[must_use]
    pub fn missed(self, figures: &Figures) -> Vec<&'static str> {
        let mut missed = Vec::new();
        if self.fault.has_detection_target() {
            let too_late = |detection: &Option<Detection>, limit_s: f64| {
                let p99_s = detection.as_ref().and_then(|detection| detection.p99_s);
                p99_s.is_none_or(|p99_s| p99_s > limit_s)
            };
            if too_late(&figures.detection_large, MAX_DETECTION_LARGE_S) {
                missed.push("detection, large service");
            }
            if too_late(&figures.detection_small, MAX_DETECTION_SMALL_S) {
                missed.push("detection, small service");
            }
        }
        if figures.false_ejections > 0 {
            missed.push("false ejections");
        }
        if figures.lowest_capacity_percent < FLOOR_FRACTION * 100.0 {
            missed.push("floor");
        }
        let worst = figures.worst_served.as_ref();
        if worst.is_some_and(|worst| worst.served_percent < MIN_WORST_SERVED_PERCENT) {
            missed.push("worst-served organisation");
        }
        if self.misses_refusals_target(figures) {
            missed.push("refusals within the rate");
        }
        if figures.duplicated_actions > 0 {
            missed.push("duplicated actions");
        }
        if figures.over_admission > 0.0 {
            missed.push("over-admission");
        }
        missed
    }

    /// Returns whether the figures miss the target for refusals within the rate. There is none for
    /// overload, in which some requests within the rate cannot be served.
    fn misses_refusals_target(self, figures: &Figures) -> bool {
        match self.fault {
            Fault::None120 => false,
            fault if fault.is_fault_free() => figures.refused_in_rate > 0,
            _ => figures.refused_in_rate_per_mille >= MAX_REFUSED_PER_MILLE,
        }
    }

    fn target_cells(self) -> Vec<String> {
        let detection = |limit_s: f64| {
            if self.fault.has_detection_target() {
                format!("<= {limit_s:.0} s")
            } else {
                "-".to_owned()
            }
        };
        let refused = match self.fault {
            Fault::None120 => "-".to_owned(),
            fault if fault.is_fault_free() => "0".to_owned(),
            _ => format!("< {MAX_REFUSED_PER_MILLE:.0} in 1000"),
        };
        let dash = "-".to_owned();
        vec![
            "target".to_owned(),
            detection(MAX_DETECTION_LARGE_S),
            detection(MAX_DETECTION_SMALL_S),
            "0".to_owned(),
            format!(">= {:.0}", FLOOR_FRACTION * 100.0),
            format!(">= {MIN_WORST_SERVED_PERCENT:.0}"),
            refused,
            dash.clone(),
            "0".to_owned(),
            "0".to_owned(),
            dash.clone(),
            dash.clone(),
            dash.clone(),
            dash,
        ]
    }
}

/// Writes the results of all policies for one fault as a Markdown table.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn write(
    out: &mut impl Write,
    deployment: Deployment,
    fault: Fault,
    rows: &[Row],
) -> Result<()> {
    let load = fault.load() * 100.0;
    writeln!(
        out,
        "User {}, {}, load {load:.0} %",
        deployment.name(),
        fault.name()
    )?;
    writeln!(out)?;
    write_row(out, &COLUMNS.map(|(name, _)| name.to_owned()))?;
    write_row(out, &COLUMNS.map(|(_, width)| "-".repeat(width)))?;
    write_row(out, &Targets::new(fault).target_cells())?;
    for row in rows {
        write_row(out, &row_cells(row))?;
    }
    writeln!(out)?;
    Ok(())
}

fn write_row(out: &mut impl Write, cells: &[String]) -> Result<()> {
    for (cell, (_, width)) in cells.iter().zip(COLUMNS) {
        write!(out, "| {cell:width$} ")?;
    }
    writeln!(out, "|")?;
    Ok(())
}

fn row_cells(row: &Row) -> Vec<String> {
    let figures = &row.figures;
    let worst = figures.worst_served.as_ref();
    vec![
        row.policy.to_owned(),
        detection_cell(figures.detection_large.as_ref()),
        detection_cell(figures.detection_small.as_ref()),
        figures.false_ejections.to_string(),
        format!("{:.1}", figures.lowest_capacity_percent),
        worst.map_or_else(String::new, |worst| format!("{:.2}", worst.served_percent)),
        format!("{:.3} in 1000", figures.refused_in_rate_per_mille),
        format!("{:.3}", figures.failed_per_mille),
        figures.duplicated_actions.to_string(),
        format!("{:.1}", figures.over_admission),
        format!("{:.2}", figures.added_load_percent),
        format!("{:.0}", figures.latency_p50_ms),
        format!("{:.0}", figures.latency_p99_ms),
        targets_cell(&row.missed),
    ]
}

fn detection_cell(detection: Option<&Detection>) -> String {
    let Some(detection) = detection else {
        return "-".to_owned();
    };
    let seconds = |time: Option<f64>| time.map_or("none".to_owned(), |time| format!("{time:.2}"));
    format!(
        "{} / {}",
        seconds(detection.p50_s),
        seconds(detection.p99_s)
    )
}

fn targets_cell(missed: &[&str]) -> String {
    if missed.is_empty() {
        "met".to_owned()
    } else {
        format!("MISSED: {}", missed.join(", "))
    }
}
