//! Settings from the command line.

use std::ffi::OsString;
use std::time::Duration;

use anyhow::{Context, Result, bail};

use crate::fault::Fault;
use crate::policy::Policy;
use crate::user::User;

/// Seeds of a run without `--seed`.
pub const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// Length of a run without `--seconds`.
pub const DEFAULT_SECONDS: u64 = 60;

/// Shortest run; a third of it must cover the detection targets.
pub const MIN_SECONDS: u64 = 6;

/// Text of `--help`.
pub const HELP: &str = "\
radishpaddle-bench: emulates the policies of the fleet and prints one table per fault

  --user m|e        one user only
  --fault NAME      one fault only; may be repeated
  --policy NAME     one policy only; may be repeated
  --seed N          one seed instead of 1 to 5; may be repeated
  --seconds N       length of a run, at least 6; default 60
  --json            one JSON line per table row instead of tables
  --list            names of faults and policies
";

/// What to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Users.
    pub users: Vec<User>,
    /// Faults.
    pub faults: Vec<Fault>,
    /// Policies.
    pub policies: Vec<Policy>,
    /// Seeds; each is a run.
    pub seeds: Vec<u64>,
    /// Length of a run.
    pub length: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run the emulator.
    Run(Settings),
    /// Print the help.
    Help,
    /// Print the names of faults and policies.
    List,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            users: User::ALL.to_vec(),
            faults: Fault::ALL.to_vec(),
            policies: Policy::ALL.to_vec(),
            seeds: DEFAULT_SEEDS.collect(),
            length: Duration::from_secs(DEFAULT_SECONDS),
            json: false,
        }
    }
}

impl Command {
    /// Parses the arguments after the program name.
    ///
    /// # Errors
    ///
    /// Fails on an unknown argument, name or number.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self> {
        use lexopt::Arg::{Long, Short};
        use lexopt::ValueExt;

        let mut settings = Settings::default();
        let mut chosen = Chosen::default();
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("user") => chosen.users.push(user(&parser.value()?.string()?)?),
                Long("fault") => chosen.faults.push(fault(&parser.value()?.string()?)?),
                Long("policy") => chosen.policies.push(policy(&parser.value()?.string()?)?),
                Long("seed") => chosen.seeds.push(parser.value()?.parse()?),
                Long("seconds") => settings.length = length(parser.value()?.parse()?)?,
                Long("json") => settings.json = true,
                Long("list") => return Ok(Self::List),
                Long("help") | Short('h') => return Ok(Self::Help),
                other => return Err(other.unexpected().into()),
            }
        }
        chosen.replace(&mut settings);
        Ok(Self::Run(settings))
    }
}

#[derive(Default)]
struct Chosen {
    users: Vec<User>,
    faults: Vec<Fault>,
    policies: Vec<Policy>,
    seeds: Vec<u64>,
}

impl Chosen {
    fn replace(self, settings: &mut Settings) {
        replace_if_chosen(&mut settings.users, self.users);
        replace_if_chosen(&mut settings.faults, self.faults);
        replace_if_chosen(&mut settings.policies, self.policies);
        replace_if_chosen(&mut settings.seeds, self.seeds);
    }
}

fn replace_if_chosen<T>(setting: &mut Vec<T>, chosen: Vec<T>) {
    if !chosen.is_empty() {
        *setting = chosen;
    }
}

fn user(name: &str) -> Result<User> {
    User::by_name(name).with_context(|| format!("{name:?} is not a user; allowed: m, e"))
}

fn fault(name: &str) -> Result<Fault> {
    Fault::by_name(name).with_context(|| format!("{name:?} is not a fault; see --list"))
}

fn policy(name: &str) -> Result<Policy> {
    let found = Policy::ALL.into_iter().find(|policy| policy.name() == name);
    found.with_context(|| format!("{name:?} is not a policy; see --list"))
}

fn length(seconds: u64) -> Result<Duration> {
    if seconds < MIN_SECONDS {
        bail!("--seconds is {seconds}; allowed: at least {MIN_SECONDS}");
    }
    Ok(Duration::from_secs(seconds))
}
