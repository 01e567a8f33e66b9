//! Runs what the settings ask for and prints tables or JSON lines.

use std::io::Write;

use anyhow::Result;
use serde::Serialize;

use crate::emulator::Emulator;
use crate::fault::Fault;
use crate::figures::{Figures, RunFigures};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::table::{self, Judgement};
use crate::user::User;

/// One row of a table.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// User.
    pub user: &'static str,
    /// Fault.
    pub fault: &'static str,
    /// Policy.
    pub policy: &'static str,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Length of each run in seconds.
    pub seconds: u64,
    /// Measured figures.
    #[serde(flatten)]
    pub figures: Figures,
    /// Targets of the design that the figures miss; empty when all are met.
    pub missed: Vec<&'static str>,
}

/// Runs every user, fault, policy and seed of the settings in this order and writes the result.
///
/// # Errors
///
/// Fails when the output cannot be written.
pub fn run(settings: &Settings, out: &mut impl Write) -> Result<()> {
    for user in &settings.users {
        for fault in &settings.faults {
            let rows: Vec<Row> = settings
                .policies
                .iter()
                .map(|policy| row(settings, *user, *fault, *policy))
                .collect();
            if settings.json {
                for row in &rows {
                    serde_json::to_writer(&mut *out, row)?;
                    writeln!(out)?;
                }
            } else {
                table::write(out, *user, *fault, &rows)?;
            }
            out.flush()?;
        }
    }
    Ok(())
}

fn row(settings: &Settings, user: User, fault: Fault, policy: Policy) -> Row {
    let runs: Vec<(u64, RunFigures)> = settings
        .seeds
        .iter()
        .map(|seed| {
            let emulator = Emulator::new(user, fault, policy, *seed, settings.length);
            (*seed, emulator.run())
        })
        .collect();
    let figures = Figures::of_runs(&runs);
    let missed = Judgement::new(fault).missed(&figures);
    Row {
        user: user.name(),
        fault: fault.name(),
        policy: policy.name(),
        seeds: settings.seeds.clone(),
        seconds: settings.length.as_secs(),
        figures,
        missed,
    }
}
