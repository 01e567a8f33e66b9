//! Command line of the benchmark.

use std::ffi::OsString;
use std::time::Duration;

use anyhow::{Context, Result, bail};

use crate::deployment::Deployment;
use crate::fault::Fault;
use crate::policy::Policy;

/// Seeds that are used without `--seed`.
pub const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// Length of a run in seconds without `--seconds`.
pub const DEFAULT_SECONDS: u64 = 60;

/// Minimum length of a run in seconds. The fault is in effect for a third of the run.
pub const MIN_SECONDS: u64 = 6;

/// Text of `--help`.
pub const HELP: &str = "\
radishpaddle-bench: compares routing policies under emulated faults, with one table per fault

  --user m|e        runs only this deployment; may be repeated
  --fault NAME      runs only this fault; may be repeated
  --policy NAME     runs only this policy; may be repeated
  --seed N          uses this seed instead of 1 to 5; may be repeated
  --seconds N       length of a run, at least 6; default 60
  --json            prints one JSON line per table row instead of tables
  --list            prints the names of the faults and policies
";

/// Scenarios to run, and the form of the output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Deployments.
    pub deployments: Vec<Deployment>,
    /// Fault scenarios.
    pub faults: Vec<Fault>,
    /// Policies to compare.
    pub policies: Vec<Policy>,
    /// Seeds; every combination of the other settings runs once with each.
    pub seeds: Vec<u64>,
    /// Time during which the callers of a run create requests.
    pub length: Duration,
    /// Prints JSON lines instead of tables.
    pub json: bool,
}

/// Action that the command line selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run the emulator with these settings.
    Run(Settings),
    /// Print the help.
    Help,
    /// Print the names of faults and policies.
    List,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            deployments: Deployment::ALL.to_vec(),
            faults: Fault::ALL.to_vec(),
            policies: Policy::ALL.to_vec(),
            seeds: DEFAULT_SEEDS.collect(),
            length: Duration::from_secs(DEFAULT_SECONDS),
            json: false,
        }
    }
}

impl Command {
    /// Parses the arguments that follow the program name.
    ///
    /// # Errors
    ///
    /// Fails on an unknown argument or name, and on a value that is not valid.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self> {
        use lexopt::Arg::{Long, Short};
        use lexopt::ValueExt;

        let mut settings = Settings::default();
        let mut selection = Selection::default();
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("user") => selection
                    .deployments
                    .push(parse_deployment(&parser.value()?.string()?)?),
                Long("fault") => selection
                    .faults
                    .push(parse_fault(&parser.value()?.string()?)?),
                Long("policy") => selection
                    .policies
                    .push(parse_policy(&parser.value()?.string()?)?),
                Long("seed") => selection.seeds.push(parser.value()?.parse()?),
                Long("seconds") => settings.length = parse_length(parser.value()?.parse()?)?,
                Long("json") => settings.json = true,
                Long("list") => return Ok(Self::List),
                Long("help") | Short('h') => return Ok(Self::Help),
                other => return Err(other.unexpected().into()),
            }
        }
        selection.apply_to(&mut settings);
        Ok(Self::Run(settings))
    }
}

/// Values given on the command line; an empty list keeps the default.
#[derive(Default)]
struct Selection {
    deployments: Vec<Deployment>,
    faults: Vec<Fault>,
    policies: Vec<Policy>,
    seeds: Vec<u64>,
}

impl Selection {
    fn apply_to(self, settings: &mut Settings) {
        replace_if_selected(&mut settings.deployments, self.deployments);
        replace_if_selected(&mut settings.faults, self.faults);
        replace_if_selected(&mut settings.policies, self.policies);
        replace_if_selected(&mut settings.seeds, self.seeds);
    }
}

fn replace_if_selected<T>(setting: &mut Vec<T>, selection: Vec<T>) {
    if !selection.is_empty() {
        *setting = selection;
    }
}

fn parse_deployment(name: &str) -> Result<Deployment> {
    Deployment::by_name(name)
        .with_context(|| format!("unknown deployment {name:?}; --user allows m and e"))
}

fn parse_fault(name: &str) -> Result<Fault> {
    Fault::by_name(name).with_context(|| format!("unknown fault {name:?}; --list prints the names"))
}

fn parse_policy(name: &str) -> Result<Policy> {
    let found = Policy::ALL.into_iter().find(|policy| policy.name() == name);
    found.with_context(|| format!("unknown policy {name:?}; --list prints the names"))
}

fn parse_length(seconds: u64) -> Result<Duration> {
    if seconds < MIN_SECONDS {
        bail!("--seconds must be at least {MIN_SECONDS}, got {seconds}");
    }
    Ok(Duration::from_secs(seconds))
}
