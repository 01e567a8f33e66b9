//! Runs the commands of the operator.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result};
use radishpaddle_model::{KeyId, OrganisationId, OrganisationKey, Revision, SubmissionId};
use rand::rngs::SmallRng;
use rand::{RngCore as _, SeedableRng as _};
use serde_json::{Value, json};

use crate::arguments::{Command, Invocation};
use crate::client::{OperatorClient, SubmissionHeaders};
use crate::evacuate::EvacuationClient;
use crate::{output, trace};

/// Interval at which the distribution state of a submission is polled.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Runs a command and prints its result.
///
/// # Errors
///
/// Fails when the fleet refuses the command, no leading control instance answers in time, or a file cannot be
/// read.
pub fn run(invocation: &Invocation) -> Result<()> {
    if invocation.command == Command::Explain {
        return print_journal(invocation);
    }
    if let Command::Trace(id, files) = &invocation.command {
        output::print_line(&trace::explain(id, files)?)?;
        return Ok(());
    }
    let addresses = &invocation.control_addresses;
    match &invocation.command {
        Command::Evacuate { zone, end } => {
            let text = EvacuationClient::new(addresses)?.order(zone, !end)?;
            return Ok(output::print_line(&text)?);
        }
        Command::EvacuationStatus => {
            let text = EvacuationClient::new(addresses)?.status()?;
            return Ok(output::print_line(&text)?);
        }
        _ => (),
    }
    let client = OperatorClient::new(&invocation.control_addresses, &invocation.token)?;
    let text = match &invocation.command {
        Command::Services => output::service_list(&client.get("/v1/services")?),
        Command::Service(service) => {
            output::indented_json(&client.get(&format!("/v1/services/{service}"))?)
        }
        Command::Put(file) => put(invocation, &client, file)?,
        Command::Diff(file) => diff(&client, file)?,
        Command::Remove(service) => {
            let path = format!("/v1/services/{service}");
            let replaces = current_revision(invocation, &client, service.as_str())?;
            let headers = submission_headers(invocation, Some(replaces))?;
            let answer = client.submit("DELETE", &path, None, &headers)?;
            await_confirmation(invocation, &client, &answer)
        }
        Command::Keys => output::key_list(&client.get("/v1/keys")?),
        Command::Give(organisation, key_id) => {
            create_key(invocation, &client, organisation, key_id.as_ref())?
        }
        Command::Withdraw(key_id) => {
            let path = format!("/v1/keys/{key_id}");
            let headers = submission_headers(invocation, None)?;
            let answer = client.submit("DELETE", &path, None, &headers)?;
            await_confirmation(invocation, &client, &answer)
        }
        Command::Changes => output::indented_json(&client.get("/v1/changes")?),
        Command::Status => output::indented_json(&client.get("/v1/status")?),
        Command::Explain
        | Command::Trace(..)
        | Command::Evacuate { .. }
        | Command::EvacuationStatus => String::new(),
    };
    output::print_line(&text)?;
    Ok(())
}

fn put(invocation: &Invocation, client: &OperatorClient, file: &Path) -> Result<String> {
    let (service, body) = read_document(file)?;
    let replaces = current_revision(invocation, client, &service)?;
    let headers = submission_headers(invocation, Some(replaces))?;
    let path = format!("/v1/services/{service}");
    let answer = client.submit("PUT", &path, Some(&body), &headers)?;
    Ok(await_confirmation(invocation, client, &answer))
}

/// Waits until all instances have confirmed the submitted revision or the confirmation timeout has passed, and
/// returns the result as text.
fn await_confirmation(invocation: &Invocation, client: &OperatorClient, answer: &Value) -> String {
    let revision = answer["revision"].as_u64().unwrap_or(0);
    let deadline = Instant::now() + invocation.confirmation_timeout;
    let mut spread = answer["spread"].clone();
    while Instant::now() < deadline && !output::is_confirmed_by_all(&spread, revision) {
        std::thread::sleep(CONFIRMATION_POLL_INTERVAL);
        if let Ok(status) = client.get("/v1/status") {
            spread = status["spread"].clone();
        }
    }
    output::submission_result(answer, &spread)
}

fn diff(client: &OperatorClient, file: &Path) -> Result<String> {
    let (service, body) = read_document(file)?;
    let answer = client.post(&format!("/v1/services/{service}/diff"), &body)?;
    Ok(output::difference_list(&answer))
}

/// Creates a key and submits its hash. The key is generated locally and only its hash is sent, so a lost response
/// does not lose the key.
fn create_key(
    invocation: &Invocation,
    client: &OperatorClient,
    organisation: &OrganisationId,
    key_id: Option<&KeyId>,
) -> Result<String> {
    let key: OrganisationKey = format!("rk_{}", random_hex()?).parse()?;
    let key_id = match key_id {
        Some(key_id) => key_id.clone(),
        None => format!("{organisation}-{}", key.hash().prefix()).parse()?,
    };
    let body = json!({"key_id": key_id, "organisation": organisation, "key_hash": key.hash()});
    let headers = submission_headers(invocation, None)?;
    let answer = client.submit("POST", "/v1/keys", Some(&body.to_string()), &headers)?;
    let result = await_confirmation(invocation, client, &answer);
    Ok(format!(
        "key id {key_id}\nkey    {}\n{result}",
        key.reveal()
    ))
}

/// Prints the journal events of an instance that match the options.
fn print_journal(invocation: &Invocation) -> Result<()> {
    let address = invocation
        .admin_address
        .as_deref()
        .context("--instance ADDRESS is missing")?;
    let url = format!("http://{address}/v1/journal?since={}", invocation.since);
    let text = ureq::get(url).call()?.body_mut().read_to_string()?;
    for line in text.lines() {
        if invocation
            .event_filter
            .as_deref()
            .is_none_or(|text| line.contains(text))
        {
            output::print_line(&output::journal_event(line))?;
        }
    }
    Ok(())
}

/// Reads a document and returns the name of its service and its text.
fn read_document(file: &Path) -> Result<(String, String)> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("cannot read document {}", file.display()))?;
    let document: Value = serde_json::from_str(&text)
        .with_context(|| format!("document {} is not valid JSON", file.display()))?;
    let service = document["service"]
        .as_str()
        .with_context(|| format!("{}: the field service is missing", file.display()))?;
    Ok((service.to_owned(), text))
}

/// Returns the revision given by the operator or, by default, the current one of the service; 0 if the service
/// has no document.
fn current_revision(
    invocation: &Invocation,
    client: &OperatorClient,
    service: &str,
) -> Result<Revision> {
    if let Some(replaces) = invocation.replaces {
        return Ok(replaces);
    }
    let page = client.get("/v1/services")?;
    let services = page["services"].as_array().into_iter().flatten();
    let current = services
        .into_iter()
        .find(|entry| entry["document"]["service"] == service);
    let revision = current.and_then(|entry| entry["revision"].as_u64());
    Ok(Revision(revision.unwrap_or(0)))
}

fn submission_headers(
    invocation: &Invocation,
    replaces: Option<Revision>,
) -> Result<SubmissionHeaders> {
    let id: SubmissionId = match &invocation.submission_id {
        Some(id) => id.clone(),
        None => format!("ctl-{}", random_hex()?).parse()?,
    };
    Ok(SubmissionHeaders { id, replaces })
}

/// Returns 32 hexadecimal digits (128 bits) of randomness. Each half comes from a generator with its own seed from
/// the operating system.
fn random_hex() -> Result<String> {
    let mut rng = SmallRng::try_from_os_rng()?;
    let first = rng.next_u64();
    let mut rng = SmallRng::try_from_os_rng()?;
    Ok(format!("{first:016x}{:016x}", rng.next_u64()))
}
