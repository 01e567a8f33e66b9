//! Arguments of `radishpaddlectl`.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use lexopt::prelude::{Long, Short, Value};
use radishpaddle_model::{KeyId, OrganisationId, Revision, ServiceId, SubmissionId};

/// A change has to be in force everywhere within this time (design 1.4).
const DEFAULT_WAIT_MS: u64 = 8_000;

/// Text of `--help`.
pub const USAGE: &str = "Usage: radishpaddlectl [OPTIONS] COMMAND

Commands:
  services                         list the services with their revisions
  service NAME                     show one document
  put FILE                         add or replace a service
  diff FILE                        show what putting the file would change
  remove NAME                      remove a service
  keys                             list the keys
  give ORGANISATION [KEY_ID]       make a key, show it once and put it in force
  withdraw KEY_ID                  take a key out of force
  changes                          list the newest changes
  status                           show the control group and the spread of the configuration
  explain                          show the events of an instance, see --instance
  trace ID FILE...                 explain a request from collected decision logs

Options:
  --control ADDRESS   operator address of a control instance; may be repeated
                      (default: RADISHPADDLE_CONTROL, separated by commas)
  --token-file FILE   file with the operator token (default: RADISHPADDLE_TOKEN)
  --replaces N        revision that the submission replaces (default: the current one)
  --submission ID     id of the submission, to send one again (default: random)
  --instance ADDRESS  admin address of the instance to explain
  --since N           events after this sequence number
  --about TEXT        events that mention the text
  --wait MS           longest wait until every instance confirmed a submission (default 8000)
  --help, --version";

/// What to do and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// Operator addresses of control instances.
    pub controls: Vec<String>,
    /// Operator token.
    pub token: String,
    /// Revision that the submission replaces.
    pub replaces: Option<Revision>,
    /// Id of the submission.
    pub submission: Option<SubmissionId>,
    /// Admin address of the instance to explain.
    pub instance: Option<String>,
    /// Events after this sequence number.
    pub since: u64,
    /// Text that events have to mention.
    pub about: Option<String>,
    /// Longest wait until every instance confirmed a submission.
    pub wait: Duration,
    /// The command.
    pub command: Command,
}

/// A command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// List the services.
    Services,
    /// Show one document.
    Service(ServiceId),
    /// Add or replace a service.
    Put(PathBuf),
    /// Show what putting a file would change.
    Diff(PathBuf),
    /// Remove a service.
    Remove(ServiceId),
    /// List the keys.
    Keys,
    /// Make a key and put it in force.
    Give(OrganisationId, Option<KeyId>),
    /// Take a key out of force.
    Withdraw(KeyId),
    /// List the newest changes.
    Changes,
    /// Show the control group.
    Status,
    /// Show the events of an instance.
    Explain,
    /// Explain a request from files of decision logs.
    Trace(String, Vec<PathBuf>),
}

/// Parses the arguments. Prints help or version and exits when asked.
///
/// # Errors
///
/// Fails on unknown or missing arguments.
pub fn parse(mut parser: lexopt::Parser) -> Result<Invocation> {
    let mut controls = Vec::new();
    let mut token_file = None;
    let mut replaces = None;
    let mut submission = None;
    let mut instance = None;
    let mut since = 0;
    let mut about = None;
    let mut wait_ms = DEFAULT_WAIT_MS;
    let mut words = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("control") => controls.push(text(&mut parser)?),
            Long("token-file") => token_file = Some(PathBuf::from(parser.value()?)),
            Long("replaces") => replaces = Some(number(&mut parser)?),
            Long("submission") => submission = Some(text(&mut parser)?.parse()?),
            Long("instance") => instance = Some(text(&mut parser)?),
            Long("since") => since = number::<u64>(&mut parser)?,
            Long("wait") => wait_ms = number::<u64>(&mut parser)?,
            Long("about") => about = Some(text(&mut parser)?),
            Long("help") | Short('h') => exit_with(USAGE),
            Long("version") | Short('V') => exit_with(env!("CARGO_PKG_VERSION")),
            Value(word) => words.push(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().into()),
        }
    }
    if controls.is_empty() {
        controls = controls_from_environment();
    }
    Ok(Invocation {
        controls,
        token: read_token(token_file)?,
        replaces,
        submission,
        instance,
        since,
        about,
        wait: Duration::from_millis(wait_ms),
        command: command(&words)?,
    })
}

fn command(words: &[String]) -> Result<Command> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Ok(match words.as_slice() {
        ["services"] => Command::Services,
        ["service", name] => Command::Service(name.parse()?),
        ["put", file] => Command::Put(file.into()),
        ["diff", file] => Command::Diff(file.into()),
        ["remove", name] => Command::Remove(name.parse()?),
        ["keys"] => Command::Keys,
        ["give", organisation] => Command::Give(organisation.parse()?, None),
        ["give", organisation, key_id] => {
            Command::Give(organisation.parse()?, Some(key_id.parse()?))
        }
        ["withdraw", key_id] => Command::Withdraw(key_id.parse()?),
        ["changes"] => Command::Changes,
        ["status"] => Command::Status,
        ["explain"] => Command::Explain,
        ["trace", id, file, files @ ..] => {
            let files = std::iter::once(file).chain(files);
            Command::Trace((*id).to_owned(), files.map(PathBuf::from).collect())
        }
        _ => bail!("unknown or incomplete command\n\n{USAGE}"),
    })
}

fn controls_from_environment() -> Vec<String> {
    let text = std::env::var("RADISHPADDLE_CONTROL").unwrap_or_default();
    text.split(',')
        .filter(|address| !address.is_empty())
        .map(str::to_owned)
        .collect()
}

fn read_token(file: Option<PathBuf>) -> Result<String> {
    let Some(file) = file else {
        return Ok(std::env::var("RADISHPADDLE_TOKEN").unwrap_or_default());
    };
    let text =
        std::fs::read_to_string(&file).with_context(|| format!("token file {}", file.display()))?;
    Ok(text.trim().to_owned())
}

fn text(parser: &mut lexopt::Parser) -> Result<String> {
    Ok(parser.value()?.to_string_lossy().into_owned())
}

fn number<T: std::str::FromStr>(parser: &mut lexopt::Parser) -> Result<T> {
    let text = text(parser)?;
    text.parse()
        .ok()
        .with_context(|| format!("{text:?} is not a number"))
}

fn exit_with(text: &str) -> ! {
    println!("{text}");
    std::process::exit(0);
}
