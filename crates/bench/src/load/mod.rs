//! Open-loop load generator: requests start according to a schedule, and latency is measured from the
//! scheduled time. A stalled fleet therefore cannot hide the stall by slowing the generator down
//! (coordinated omission, Tene 2013).

mod pace;
mod report;
mod schedule;
mod settings;
mod stats;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use lexopt::prelude::*;

use settings::LoadSettings;

const HELP: &str = "\
Usage: radishpaddle-load --settings FILE [options]

Options:
  --settings FILE       JSON file that describes the traffic
  --duration-ms NUMBER  overrides the duration in the file
  --seed NUMBER         overrides the seed in the file
  --json                prints JSON instead of tables
  --allow-remote        accepts targets outside the loopback network
  --example             prints an example of the settings file";

/// Arguments of the command line.
#[derive(Debug, Default)]
struct Arguments {
    settings: Option<PathBuf>,
    duration_ms: Option<u64>,
    seed: Option<u64>,
    json: bool,
    allow_remote: bool,
    /// Text to print instead of a run.
    only_print: Option<String>,
}

/// Runs the load generator with the arguments of the command line.
///
/// # Errors
///
/// Fails when the command line or the settings are not valid, a target is not allowed, or requests do
/// not finish in time.
pub fn run(parser: lexopt::Parser) -> Result<ExitCode> {
    let arguments = parse(parser)?;
    if let Some(text) = arguments.only_print {
        println!("{text}");
        return Ok(ExitCode::SUCCESS);
    }
    let path = arguments.settings.context("--settings is missing")?;
    let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
    let mut settings: LoadSettings =
        serde_json::from_str(&text).with_context(|| path.display().to_string())?;
    settings.duration_ms = arguments.duration_ms.unwrap_or(settings.duration_ms);
    settings.seed = arguments.seed.unwrap_or(settings.seed);
    settings.check(arguments.allow_remote)?;
    let stats = pace::generate(&settings, arguments.allow_remote)?;
    let report = report::Report::new(&stats);
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(ExitCode::SUCCESS)
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => arguments.settings = Some(parser.value()?.into()),
            Long("duration-ms") => arguments.duration_ms = Some(parser.value()?.parse()?),
            Long("seed") => arguments.seed = Some(parser.value()?.parse()?),
            Long("json") => arguments.json = true,
            Long("allow-remote") => arguments.allow_remote = true,
            Long("example") => {
                let example = serde_json::to_string_pretty(&LoadSettings::example())?;
                arguments.only_print = Some(example);
            }
            Long("help") | Short('h') => arguments.only_print = Some(HELP.into()),
            _ => return Err(argument.unexpected().into()),
        }
    }
    Ok(arguments)
}
