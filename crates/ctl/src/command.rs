//! Carries out the commands.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result};
use radishpaddle_model::{KeyId, OrganisationId, OrganisationKey, Revision, SubmissionId};
use rand::rngs::SmallRng;
use rand::{RngCore as _, SeedableRng as _};
use serde_json::{Value, json};

use crate::arguments::{Command, Invocation};
use crate::client::{OperatorClient, SubmissionHeaders};
use crate::{output, trace};

/// Pause between two looks at the spread of a submission.
const CONFIRM_PAUSE: Duration = Duration::from_millis(250);

/// Carries out a command and prints its result.
///
/// # Errors
///
/// Fails with the refusal of the fleet, or when no control instance leads in time.
pub fn run(invocation: &Invocation) -> Result<()> {
    if invocation.command == Command::Explain {
        return explain(invocation);
    }
    if let Command::Trace(id, files) = &invocation.command {
        output::print(&trace::explain(id, files)?)?;
        return Ok(());
    }
    let client = OperatorClient::new(&invocation.controls, &invocation.token)?;
    let text = match &invocation.command {
        Command::Services => output::services(&client.get("/v1/services")?),
        Command::Service(service) => {
            output::pretty(&client.get(&format!("/v1/services/{service}"))?)
        }
        Command::Put(file) => put(invocation, &client, file)?,
        Command::Diff(file) => diff(&client, file)?,
        Command::Remove(service) => {
            let path = format!("/v1/services/{service}");
            let replaces = current_revision(invocation, &client, service.as_str())?;
            let headers = headers(invocation, Some(replaces))?;
            let answer = client.submit("DELETE", &path, None, &headers)?;
            confirmed(invocation, &client, &answer)
        }
        Command::Keys => output::keys(&client.get("/v1/keys")?),
        Command::Give(organisation, key_id) => {
            give(invocation, &client, organisation, key_id.as_ref())?
        }
        Command::Withdraw(key_id) => {
            let path = format!("/v1/keys/{key_id}");
            let headers = headers(invocation, None)?;
            let answer = client.submit("DELETE", &path, None, &headers)?;
            confirmed(invocation, &client, &answer)
        }
        Command::Changes => output::pretty(&client.get("/v1/changes")?),
        Command::Status => output::pretty(&client.get("/v1/status")?),
        Command::Explain | Command::Trace(..) => String::new(),
    };
    output::print(&text)?;
    Ok(())
}

fn put(invocation: &Invocation, client: &OperatorClient, file: &Path) -> Result<String> {
    let (service, body) = read_document(file)?;
    let replaces = current_revision(invocation, client, &service)?;
    let headers = headers(invocation, Some(replaces))?;
    let path = format!("/v1/services/{service}");
    let answer = client.submit("PUT", &path, Some(&body), &headers)?;
    Ok(confirmed(invocation, client, &answer))
}

/// Waits until every instance has confirmed the revision, unless the operator does not want to.
fn confirmed(invocation: &Invocation, client: &OperatorClient, answer: &Value) -> String {
    let revision = answer["revision"].as_u64().unwrap_or(0);
    let until = Instant::now() + invocation.wait;
    let mut spread = answer["spread"].clone();
    while Instant::now() < until && !output::is_everywhere(&spread, revision) {
        std::thread::sleep(CONFIRM_PAUSE);
        if let Ok(status) = client.get("/v1/status") {
            spread = status["spread"].clone();
        }
    }
    output::submitted(answer, &spread)
}

fn diff(client: &OperatorClient, file: &Path) -> Result<String> {
    let (service, body) = read_document(file)?;
    let answer = client.post(&format!("/v1/services/{service}/diff"), &body)?;
    Ok(output::differences(&answer))
}

/// The key is made here and only its hash is sent, so it is lost with nobody's answer.
fn give(
    invocation: &Invocation,
    client: &OperatorClient,
    organisation: &OrganisationId,
    key_id: Option<&KeyId>,
) -> Result<String> {
    let key: OrganisationKey = format!("rk_{}", random_text()?).parse()?;
    let key_id = match key_id {
        Some(key_id) => key_id.clone(),
        None => format!("{organisation}-{}", key.hash().prefix()).parse()?,
    };
    let body = json!({"key_id": key_id, "organisation": organisation, "key_hash": key.hash()});
    let headers = headers(invocation, None)?;
    let answer = client.submit("POST", "/v1/keys", Some(&body.to_string()), &headers)?;
    let submitted = confirmed(invocation, client, &answer);
    Ok(format!(
        "key id {key_id}\nkey    {}\n{submitted}",
        key.reveal()
    ))
}

fn explain(invocation: &Invocation) -> Result<()> {
    let instance = invocation
        .instance
        .as_deref()
        .context("--instance ADDRESS is missing")?;
    let url = format!("http://{instance}/v1/journal?since={}", invocation.since);
    let text = ureq::get(url).call()?.body_mut().read_to_string()?;
    for line in text.lines() {
        if invocation
            .about
            .as_deref()
            .is_none_or(|about| line.contains(about))
        {
            output::print(&output::event(line))?;
        }
    }
    Ok(())
}

fn read_document(file: &Path) -> Result<(String, String)> {
    let text =
        std::fs::read_to_string(file).with_context(|| format!("document {}", file.display()))?;
    let document: Value =
        serde_json::from_str(&text).with_context(|| format!("document {}", file.display()))?;
    let service = document["service"]
        .as_str()
        .with_context(|| format!("{}: the field service is missing", file.display()))?;
    Ok((service.to_owned(), text))
}

/// The revision given by the operator, or the current one of the service.
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
    let known = services
        .into_iter()
        .find(|entry| entry["document"]["service"] == service);
    let revision = known.and_then(|entry| entry["revision"].as_u64());
    Ok(Revision(revision.unwrap_or(0)))
}

fn headers(invocation: &Invocation, replaces: Option<Revision>) -> Result<SubmissionHeaders> {
    let id: SubmissionId = match &invocation.submission {
        Some(id) => id.clone(),
        None => format!("ctl-{}", random_text()?).parse()?,
    };
    Ok(SubmissionHeaders { id, replaces })
}

/// 32 hexadecimal digits from the operating system.
fn random_text() -> Result<String> {
    let mut rng = SmallRng::try_from_os_rng()?;
    let first = rng.next_u64();
    let mut rng = SmallRng::try_from_os_rng()?;
    Ok(format!("{first:016x}{:016x}", rng.next_u64()))
}
