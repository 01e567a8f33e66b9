//! Command-line arguments that the long-running programs share.

use std::path::PathBuf;

use anyhow::{Result, bail};
use lexopt::prelude::{Long, Short, Value};

/// Parsed command-line arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arguments {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to only validate the settings and then exit.
    pub check: bool,
}

impl Arguments {
    /// Parses the arguments after the program name. Prints the help or the version and exits if requested.
    ///
    /// # Errors
    ///
    /// Fails on unknown arguments and on a missing settings file.
    pub fn parse(program: &str, mut parser: lexopt::Parser) -> Result<Self> {
        let mut settings = None;
        let mut check = false;
        while let Some(argument) = parser.next()? {
            match argument {
                Long("check") => check = true,
                Long("help") | Short('h') => print_and_exit(&usage(program)),
                Long("version") | Short('V') => print_and_exit(env!("CARGO_PKG_VERSION")),
                Value(path) if settings.is_none() => settings = Some(path.into()),
                other => return Err(other.unexpected().into()),
            }
        }
        let Some(settings) = settings else {
            bail!("settings file is missing\n{}", usage(program));
        };
        Ok(Self { settings, check })
    }
}

fn print_and_exit(text: &str) -> ! {
    println!("{text}");
    std::process::exit(0);
}

fn usage(program: &str) -> String {
    format!(
        "Usage: {program} [--check] SETTINGS.json\n\n  --check    check the settings and exit\n  \
         --help     print this text\n  --version  print the version"
    )
}
