//! Runs an embedded development fleet until Ctrl-C and prints example requests.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result};
use lexopt::prelude::{Long, Short};
use radishpaddle_dev::layout::{ADMIN_PORT, OPERATOR_TOKEN};
use radishpaddle_dev::{EmbeddedFleet, FleetLayout};
use radishpaddle_kernel::logging;
use radishpaddle_kernel::process::{self, ProcessSignals};
use radishpaddle_model::{OrganisationId, OrganisationKey, ServiceDocument};

/// Document of the sample service.
const SAMPLE_DOCUMENT: &str = include_str!("../sample-service.json");

/// Key of the sample organisation.
const SAMPLE_KEY: &str = "rk_development_0123456789";

/// Number of sample backend servers.
const BACKEND_COUNT: u16 = 4;

const USAGE: &str = "Usage: radishpaddle-dev [OPTIONS]

  --base-port PORT  first port of the fleet (default 7800)
  --entries N       number of entry instances, 1 to 20 (default 3)
  --data DIR        directory of the control state (default: a temporary one, removed at exit)
  --log SPEC        log specification (default warn)
  --run-for MS      stop after this time (default: run until Ctrl-C)
  --help            print this text";

struct Options {
    layout: FleetLayout,
    temporary_data: bool,
    run_for: Option<Duration>,
}

fn main() -> ExitCode {
    process::exit_code("radishpaddle-dev", run_process())
}

fn run_process() -> Result<()> {
    let options = parse(lexopt::Parser::from_env())?;
    let _logger = logging::start(&options.layout.log)?;
    let directory = options.layout.data_directory.clone();
    let temporary_data = options.temporary_data;
    let result = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run(options));
    if temporary_data {
        let _ = std::fs::remove_dir_all(directory);
    }
    result
}

fn parse(mut parser: lexopt::Parser) -> Result<Options> {
    let name = format!("radishpaddle-dev-{}", std::process::id());
    let mut layout = FleetLayout::new(std::env::temp_dir().join(name));
    let mut temporary_data = true;
    let mut run_for = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("base-port") => layout.base_port = number(&mut parser)?,
            Long("entries") => layout.entries = number::<u16>(&mut parser)?.clamp(1, 20),
            Long("data") => {
                layout.data_directory = PathBuf::from(parser.value()?);
                temporary_data = false;
            }
            Long("log") => layout.log = parser.value()?.to_string_lossy().as_ref().into(),
            Long("run-for") => run_for = Some(Duration::from_millis(number(&mut parser)?)),
            Long("help") | Short('h') => {
                println!("{USAGE}");
                std::process::exit(0);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Options {
        layout,
        temporary_data,
        run_for,
    })
}

fn number<T: std::str::FromStr>(parser: &mut lexopt::Parser) -> Result<T> {
    let text = parser.value()?.to_string_lossy().into_owned();
    text.parse()
        .ok()
        .with_context(|| format!("{text:?} is not a number in range"))
}

async fn run(options: Options) -> Result<()> {
    let layout = &options.layout;
    let mut signals = ProcessSignals::listen()?;
    println!("starting the fleet ...");
    let mut fleet = EmbeddedFleet::spawn(layout).await?;
    let document: ServiceDocument = serde_json::from_str(SAMPLE_DOCUMENT)?;
    let service = document.service.clone();
    let organisation: OrganisationId = "estate-north".parse()?;
    let key: OrganisationKey = SAMPLE_KEY.parse()?;
    if options.temporary_data {
        fleet.add_service(document, &[(organisation, key)]).await?;
    }
    fleet.add_backends(layout, &service, BACKEND_COUNT).await?;
    print_examples(layout);
    let run_for = options.run_for.unwrap_or(Duration::MAX);
    let _ = tokio::time::timeout(run_for, signals.next_stop()).await;
    println!("stopping ...");
    fleet.stop().await;
    Ok(())
}

fn print_examples(layout: &FleetLayout) {
    let callers = layout.caller_addresses();
    let joined: Vec<String> = callers.iter().map(ToString::to_string).collect();
    let caller = &joined[0];
    println!("callers:   {}", joined.join(" "));
    println!("operators: {}", layout.operator_address());
    println!(
        "metrics:   http://{}/metrics\n",
        layout.address(1, ADMIN_PORT)
    );
    println!("Send an idempotent request:\n");
    println!(
        "  curl -i -H 'Host: bookings.example' -H 'X-Api-Key: {SAMPLE_KEY}' http://{caller}/lookup/1\n"
    );
    println!("Send a non-idempotent request; repeat the command to get the recorded answer:\n");
    println!(
        "  curl -i -X POST -H 'Host: bookings.example' -H 'X-Api-Key: {SAMPLE_KEY}' -H 'Idempotency-Key: hold-1' -d '{{}}' http://{caller}/holds\n"
    );
    println!("Show the status of the fleet as an operator:\n");
    println!(
        "  curl -s -H 'Authorization: Bearer {OPERATOR_TOKEN}' http://{}/v1/status\n",
        layout.operator_address()
    );
    println!("Press Ctrl-C to stop the fleet.");
}
