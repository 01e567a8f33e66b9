//! Command line of `radishpaddle-control`: the run mode and the maintenance commands.

use std::path::PathBuf;

use anyhow::{Context as _, Result, bail};
use lexopt::prelude::{Long, Value};
use radishpaddle_model::Revision;

/// Command selected on the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Runs the control process until it receives a signal. The kernel parses the arguments.
    Run,
    /// Founds a new control group in an empty data directory. Done once for each fleet.
    Found {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Exports the state of a stopped instance to a portable file.
    Export {
        /// Path of the settings file.
        settings: PathBuf,
        /// Path of the export to write.
        file: PathBuf,
    },
    /// Founds a new control group from an export.
    Restore {
        /// Path of the settings file.
        settings: PathBuf,
        /// Path of the export to read.
        file: PathBuf,
        /// Highest revision that any instance of the fleet has applied. The restored revision is higher.
        above: Revision,
    },
}

/// Parses the arguments after the program name. Arguments without a maintenance command give [`Command::Run`].
///
/// # Errors
///
/// Fails when a maintenance command is incomplete, or when several are given.
pub fn parse(mut parser: lexopt::Parser) -> Result<Command> {
    let mut found = false;
    let mut export = None;
    let mut restore = None;
    let mut above = None;
    let mut settings: Option<PathBuf> = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("found") => found = true,
            Long("export") => export = Some(PathBuf::from(parser.value()?)),
            Long("restore") => restore = Some(PathBuf::from(parser.value()?)),
            Long("above") => above = Some(revision(&parser.value()?.to_string_lossy())?),
            Value(path) if settings.is_none() => settings = Some(path.into()),
            // The kernel parses or rejects all other arguments.
            _ => return Ok(Command::Run),
        }
    }
    if !found && export.is_none() && restore.is_none() {
        return Ok(Command::Run);
    }
    let settings = settings.context("settings file is missing")?;
    match (found, export, restore) {
        (true, None, None) => Ok(Command::Found { settings }),
        (false, Some(file), None) => Ok(Command::Export { settings, file }),
        (false, None, Some(file)) => Ok(Command::Restore {
            settings,
            file,
            above: above.context("--restore needs --above REVISION, see docs/OPERATIONS.md")?,
        }),
        _ => bail!("only one of --found, --export and --restore"),
    }
}

fn revision(text: &str) -> Result<Revision> {
    text.parse()
        .with_context(|| format!("--above {text:?} is not a revision"))
}
