//! Command-line arguments of `radishpaddlectl`.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use lexopt::prelude::{Long, Short, Value};
use radishpaddle_model::{KeyId, OrganisationId, Revision, ServiceId, SubmissionId};

/// Default time to wait for the confirmation of a submission, in milliseconds. The design (section 1.4) requires
/// a change to be in force on all instances within this time.
const DEFAULT_CONFIRMATION_TIMEOUT_MS: u64 = 8_000;

/// Text of `--help`.
pub const USAGE: &str = "Usage: radishpaddlectl [OPTIONS] COMMAND

Commands:
  services                         list the services with their revisions
  service NAME                     show one document
  put FILE                         add or replace a service with a document
  diff FILE                        compare a document with the current one of its service
  remove NAME                      remove a service
  keys                             list the keys
  give ORGANISATION [KEY_ID]       create a key, print it once and put it in force
  withdraw KEY_ID                  withdraw a key
  changes                          list the newest changes
  status                           show the control group and the distribution of the configuration
  evacuate ZONE [--end]            evacuate an availability zone, or end its evacuation, at coordinators
  evacuate status                  show the zones with such an order, at coordinators
  explain                          show the journal events of an instance, see --instance
  trace ID FILE...                 explain a request from collected decision logs

Options:
  --control ADDRESS   operator address of a control instance or coordinator; may be repeated
                      (default: RADISHPADDLE_CONTROL, separated by commas)
  --end               end the evacuation
  --token-file FILE   file with the operator token (default: RADISHPADDLE_TOKEN)
  --replaces N        revision that the submission replaces (default: the current one)
  --submission ID     id of the submission, to resend an earlier one (default: random)
  --instance ADDRESS  admin address of the instance whose events explain shows
  --since N           show only events after this sequence number
  --about TEXT        show only events that contain the text
  --wait MS           maximum wait until all instances confirm a submission (default 8000)
  --help, --version";

/// Parsed command line: the command with its options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// Operator API addresses of the control instances.
    pub control_addresses: Vec<String>,
    /// Operator token, empty if none is set.
    pub token: String,
    /// Revision that the submission replaces; `None` stands for the current one.
    pub replaces: Option<Revision>,
    /// Id of the submission; `None` stands for a random one.
    pub submission_id: Option<SubmissionId>,
    /// Admin address of the instance whose events the command `explain` shows.
    pub admin_address: Option<String>,
    /// Sequence number after which events are shown.
    pub since: u64,
    /// Text that an event must contain to be shown.
    pub event_filter: Option<String>,
    /// Maximum wait until all instances confirm a submission.
    pub confirmation_timeout: Duration,
    /// Command to run.
    pub command: Command,
}

/// Command of the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// List the services.
    Services,
    /// Show one document.
    Service(ServiceId),
    /// Add or replace a service with the document in a file.
    Put(PathBuf),
    /// Compare the document in a file with the current one of its service.
    Diff(PathBuf),
    /// Remove a service.
    Remove(ServiceId),
    /// List the keys.
    Keys,
    /// Create a key for an organisation and put it in force; `None` derives the key id from the key hash.
    Give(OrganisationId, Option<KeyId>),
    /// Withdraw a key.
    Withdraw(KeyId),
    /// List the newest changes.
    Changes,
    /// Show the control group and the distribution of the configuration.
    Status,
    /// Evacuate an availability zone, or end its evacuation.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Whether the evacuation ends.
        end: bool,
    },
    /// Show the zones for which there was an order.
    EvacuationStatus,
    /// Show the journal events of an instance.
    Explain,
    /// Explain the request with an id from files of decision logs.
    Trace(String, Vec<PathBuf>),
}

/// Parses the arguments. Prints the help or the version and exits if requested.
///
/// # Errors
///
/// Fails on unknown or missing arguments.
pub fn parse(mut parser: lexopt::Parser) -> Result<Invocation> {
    let mut control_addresses = Vec::new();
    let mut token_file = None;
    let mut replaces = None;
    let mut submission_id = None;
    let mut admin_address = None;
    let mut since = 0;
    let mut event_filter = None;
    let mut confirmation_timeout_ms = DEFAULT_CONFIRMATION_TIMEOUT_MS;
    let mut end = false;
    let mut positional = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("control") => control_addresses.push(string_value(&mut parser)?),
            Long("token-file") => token_file = Some(PathBuf::from(parser.value()?)),
            Long("replaces") => replaces = Some(number(&mut parser)?),
            Long("submission") => submission_id = Some(string_value(&mut parser)?.parse()?),
            Long("instance") => admin_address = Some(string_value(&mut parser)?),
            Long("since") => since = number::<u64>(&mut parser)?,
            Long("wait") => confirmation_timeout_ms = number::<u64>(&mut parser)?,
            Long("about") => event_filter = Some(string_value(&mut parser)?),
            Long("end") => end = true,
            Long("help") | Short('h') => print_and_exit(USAGE),
            Long("version") | Short('V') => print_and_exit(env!("CARGO_PKG_VERSION")),
            Value(value) => positional.push(value.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().into()),
        }
    }
    if control_addresses.is_empty() {
        control_addresses = control_addresses_from_environment();
    }
    Ok(Invocation {
        control_addresses,
        token: read_token(token_file)?,
        replaces,
        submission_id,
        admin_address,
        since,
        event_filter,
        confirmation_timeout: Duration::from_millis(confirmation_timeout_ms),
        command: parse_command(&positional, end)?,
    })
}

fn parse_command(arguments: &[String], end: bool) -> Result<Command> {
    let is_order = arguments.len() == 2 && arguments[0] == "evacuate" && arguments[1] != "status";
    if end && !is_order {
        bail!("--end belongs to evacuate ZONE\n\n{USAGE}");
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    Ok(match arguments.as_slice() {
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
        ["evacuate", "status"] => Command::EvacuationStatus,
        ["evacuate", zone] => Command::Evacuate {
            zone: (*zone).to_owned(),
            end,
        },
        ["explain"] => Command::Explain,
        ["trace", id, file, files @ ..] => {
            let files = std::iter::once(file).chain(files);
            Command::Trace((*id).to_owned(), files.map(PathBuf::from).collect())
        }
        _ => bail!("unknown or incomplete command\n\n{USAGE}"),
    })
}

fn control_addresses_from_environment() -> Vec<String> {
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
    let text = std::fs::read_to_string(&file)
        .with_context(|| format!("cannot read token file {}", file.display()))?;
    Ok(text.trim().to_owned())
}

fn string_value(parser: &mut lexopt::Parser) -> Result<String> {
    Ok(parser.value()?.to_string_lossy().into_owned())
}

fn number<T: std::str::FromStr>(parser: &mut lexopt::Parser) -> Result<T> {
    let text = string_value(parser)?;
    text.parse()
        .ok()
        .with_context(|| format!("{text:?} is not a number"))
}

fn print_and_exit(text: &str) -> ! {
    println!("{text}");
    std::process::exit(0);
}
