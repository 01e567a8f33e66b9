//! Runs the sample backend server as a separate process.

use std::net::SocketAddr;

use anyhow::{Context, Result};
use lexopt::prelude::*;
use radishpaddle_model::{BackendServerId, Incarnation, ServiceId};
use radishpaddle_testkit::backend::{self, BackendSettings};

const HELP: &str = "\
Usage: radishpaddle-sample-backend --service NAME --name NAME [options]

Options:
  --listen ADDRESS          address of the request port [127.0.0.1:0]
  --announce-address ADDR   address to announce instead of the bound one
  --control ADDRESS         address of the HTTP control port [none]
  --zone NAME               availability zone [zone-a]
  --incarnation NUMBER      first incarnation [1]
  --slots NUMBER            requests that run at the same time [6]
  --queue-limit NUMBER      waiting requests above which new ones are shed [none]
  --entry ADDRESS           backend port of an entry instance; repeatable
  --token TEXT              bearer token for announcements
  --announce-period-ms N    interval between announcements in milliseconds [2000]
  --service-time-ms NUMBER  mean service time in milliseconds [5]
  --answer-bytes NUMBER     filler bytes in each response body [0]
  --record-limit NUMBER     largest number of executions kept in memory [200000]
  --answer-addresses        answer address requests with the server's own address
  --faults JSON             initial faults
  --seed NUMBER             seed for random service times and faults [1]

On SIGTERM or SIGINT it drains, finishes its requests, announces that it leaves and exits.";

#[tokio::main]
async fn main() -> Result<()> {
    let Some(settings) = parse(lexopt::Parser::from_env())? else {
        println!("{HELP}");
        return Ok(());
    };
    let backend = backend::spawn(settings).await?;
    println!("sample-backend: listening on {}", backend.address());
    if let Some(address) = backend.control_address() {
        println!("sample-backend: control port on {address}");
    }
    wait_for_signal().await?;
    shut_down(backend).await;
    Ok(())
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<BackendSettings>> {
    let mut service: Option<ServiceId> = None;
    let mut name: Option<BackendServerId> = None;
    let mut settings =
        BackendSettings::new("unnamed".parse()?, "unnamed".parse()?, "zone-a".parse()?);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("service") => service = Some(parser.value()?.parse()?),
            Long("name") => name = Some(parser.value()?.parse()?),
            Long("answer-addresses") => settings.serves_address_requests = true,
            Long("help") | Short('h') => return Ok(None),
            Long(option) => {
                let option = option.to_owned();
                let value = parser.value()?.string()?;
                apply_option(&mut settings, &option, &value)
                    .with_context(|| format!("--{option} {value}"))?;
            }
            _ => return Err(argument.unexpected().into()),
        }
    }
    settings.service = service.context("--service is missing")?;
    settings.backend_server = name.context("--name is missing")?;
    Ok(Some(settings))
}

fn apply_option(settings: &mut BackendSettings, option: &str, value: &str) -> Result<()> {
    match option {
        "listen" => settings.listen = value.parse()?,
        "announce-address" => settings.announced_address = Some(value.parse()?),
        "control" => settings.control = Some(value.parse::<SocketAddr>()?),
        "zone" => settings.availability_zone = value.parse()?,
        "incarnation" => settings.incarnation = Incarnation(value.parse()?),
        "slots" => settings.slots = value.parse()?,
        "queue-limit" => settings.queue_limit = Some(value.parse()?),
        "entry" => settings.entries.push(value.parse()?),
        "token" => value.clone_into(&mut settings.token),
        "announce-period-ms" => settings.announce_period_ms = value.parse()?,
        "service-time-ms" => settings.service_time_ms = value.parse()?,
        "faults" => settings.faults = serde_json::from_str(value)?,
        "answer-bytes" => settings.response_filler_bytes = value.parse()?,
        "record-limit" => settings.max_recorded_executions = value.parse()?,
        "seed" => settings.seed = value.parse()?,
        _ => anyhow::bail!("unknown option"),
    }
    Ok(())
}

async fn wait_for_signal() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};

    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Drains the server, waits for its requests to finish, announces that it leaves, and stops it.
async fn shut_down(backend: backend::RunningBackend) {
    backend.drain().await;
    while backend.status().in_flight + backend.status().waiting > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    backend.leave().await;
    backend.stop().await;
}
