//! Tables with the targets of design section 1.2.

use std::io::Write;

use anyhow::Result;

use crate::fault::Fault;
use crate::figures::{Detection, Figures};
use crate::run::Row;
use crate::user::{FLOOR_PART, User};

/// Longest detection time at the larger service, in seconds.
pub const DETECTION_LARGE_S: f64 = 2.0;

/// Longest detection time at the service with six servers, in seconds.
pub const DETECTION_SMALL_S: f64 = 5.0;

/// Lowest service of the worst-served organisation, in percent.
pub const WORST_SERVED_PERCENT: f64 = 99.0;

/// Refusals within the rate during a single fault, in 1,000 requests; the figure must be lower.
pub const REFUSED_PER_MILLE: f64 = 1.0;

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

/// The targets that apply to a fault.
#[derive(Debug, Clone, Copy)]
pub struct Judgement {
    fault: Fault,
}

impl Judgement {
    /// Targets of a fault.
    #[must_use]
    pub const fn new(fault: Fault) -> Self {
        Self { fault }
    }

    /// Names of the targets that the figures miss.
    #[must_use]
    pub fn missed(self, figures: &Figures) -> Vec<&'static str> {
        let mut missed = Vec::new();
        if self.fault.has_detection_target() {
            let late = |detection: &Option<Detection>, limit_s: f64| {
                let p99_s = detection.as_ref().and_then(|detection| detection.p99_s);
                p99_s.is_none_or(|p99_s| p99_s > limit_s)
            };
            if late(&figures.detection_large, DETECTION_LARGE_S) {
                missed.push("detection, large service");
            }
            if late(&figures.detection_small, DETECTION_SMALL_S) {
                missed.push("detection, small service");
            }
        }
        if figures.false_ejections > 0 {
            missed.push("false ejections");
        }
        if figures.lowest_capacity_percent < FLOOR_PART * 100.0 {
            missed.push("floor");
        }
        let worst = figures.worst_served.as_ref();
        if worst.is_some_and(|worst| worst.served_percent < WORST_SERVED_PERCENT) {
            missed.push("worst-served organisation");
        }
        if self.refusals_missed(figures) {
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

    /// In overload the design states no target: a part of the requests within the rate cannot be
    /// served.
    fn refusals_missed(self, figures: &Figures) -> bool {
        match self.fault {
            Fault::None120 => false,
            fault if fault.is_none() => figures.refused_in_rate > 0,
            _ => figures.refused_in_rate_per_mille >= REFUSED_PER_MILLE,
        }
    }

    fn cells(self) -> Vec<String> {
        let detection = |limit_s: f64| {
            if self.fault.has_detection_target() {
                format!("<= {limit_s:.0} s")
            } else {
                "-".to_owned()
            }
        };
        let refused = match self.fault {
            Fault::None120 => "-".to_owned(),
            fault if fault.is_none() => "0".to_owned(),
            _ => format!("< {REFUSED_PER_MILLE:.0} in 1000"),
        };
        let dash = "-".to_owned();
        vec![
            "target".to_owned(),
            detection(DETECTION_LARGE_S),
            detection(DETECTION_SMALL_S),
            "0".to_owned(),
            format!(">= {:.0}", FLOOR_PART * 100.0),
            format!(">= {WORST_SERVED_PERCENT:.0}"),
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

/// Writes the table of one fault in Markdown.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn write(out: &mut impl Write, user: User, fault: Fault, rows: &[Row]) -> Result<()> {
    let load = fault.load() * 100.0;
    writeln!(
        out,
        "User {}, {}, load {load:.0} %",
        user.name(),
        fault.name()
    )?;
    writeln!(out)?;
    line(out, &COLUMNS.map(|(name, _)| name.to_owned()))?;
    line(out, &COLUMNS.map(|(_, width)| "-".repeat(width)))?;
    line(out, &Judgement::new(fault).cells())?;
    for row in rows {
        line(out, &cells(row))?;
    }
    writeln!(out)?;
    Ok(())
}

fn line(out: &mut impl Write, cells: &[String]) -> Result<()> {
    for (cell, (_, width)) in cells.iter().zip(COLUMNS) {
        write!(out, "| {cell:width$} ")?;
    }
    writeln!(out, "|")?;
    Ok(())
}

fn cells(row: &Row) -> Vec<String> {
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
        judgement_cell(&row.missed),
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

fn judgement_cell(missed: &[&str]) -> String {
    if missed.is_empty() {
        "met".to_owned()
    } else {
        format!("MISSED: {}", missed.join(", "))
    }
}
