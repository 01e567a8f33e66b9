//! Runs the selected scenarios and writes their results as tables or JSON lines.

use std::io::Write;

use anyhow::Result;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::emulator::Emulator;
use crate::fault::Fault;
use crate::figures::{Figures, RunFigures};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::table::{self, Targets};

/// Result of one policy in one scenario; a row of the table.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Name of the emulated deployment.
    pub user: &'static str,
    /// Name of the fault.
    pub fault: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Seeds of the runs that the figures cover.
    pub seeds: Vec<u64>,
    /// Length of each run in seconds.
    pub seconds: u64,
    /// Figures over all runs.
    #[serde(flatten)]
    pub figures: Figures,
    /// Names of the design targets that the figures miss; empty when all are met.
    pub missed: Vec<&'static str>,
}

/// Runs every combination of deployment, fault, policy and seed of the settings, in this order, and
/// writes the results after each fault.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn run(settings: &Settings, out: &mut impl Write) -> Result<()> {
    for deployment in &settings.deployments {
        for fault in &settings.faults {
            let rows: Vec<Row> = settings
                .policies
                .iter()
                .map(|policy| row(settings, *deployment, *fault, *policy))
                .collect();
            if settings.json {
                for row in &rows {
                    serde_json::to_writer(&mut *out, row)?;
                    writeln!(out)?;
                }
            } else {
                table::write(out, *deployment, *fault, &rows)?;
            }
            out.flush()?;
        }
    }
    Ok(())
}

fn row(settings: &Settings, deployment: Deployment, fault: Fault, policy: Policy) -> Row {
    let runs: Vec<(u64, RunFigures)> = settings
        .seeds
        .iter()
        .map(|seed| {
            let emulator = Emulator::new(deployment, fault, policy, *seed, settings.length);
            (*seed, emulator.run())
        })
        .collect();
    let figures = Figures::of_runs(&runs);
    let missed = Targets::new(fault).missed(&figures);
    Row {
        user: deployment.name(),
        fault: fault.name(),
        policy: policy.name(),
        seeds: settings.seeds.clone(),
        seconds: settings.length.as_secs(),
        figures,
        missed,
    }
}
