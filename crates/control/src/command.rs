//! Command line of `radishpaddle-control`.

use std::path::PathBuf;

use anyhow::{Context as _, Result, bail};
use lexopt::prelude::{Long, Value};
use radishpaddle_model::Revision;

/// What the process is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run until a signal; the kernel parses the arguments.
    Run,
    /// Found a new group in an empty data directory, once in the life of a fleet.
    Found {
        /// Settings file.
        settings: PathBuf,
    },
    /// Write the state of a stopped instance to a portable file.
    Export {
        /// Settings file.
        settings: PathBuf,
        /// File to write.
        file: PathBuf,
    },
    /// Found a new group from an export.
    Restore {
        /// Settings file.
        settings: PathBuf,
        /// File to read.
        file: PathBuf,
        /// Highest revision that any instance of the fleet has applied.
        above: Revision,
    },
}

/// Parses the arguments after the program name.
///
/// # Errors
///
/// Fails on incomplete maintenance commands.
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
            // Everything else belongs to a normal run.
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
