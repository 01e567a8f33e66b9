//! Runs the fault-injecting TCP proxy as a separate process.

use std::net::SocketAddr;

use anyhow::{Context, Result};
use lexopt::prelude::*;
use radishpaddle_testkit::fault_proxy::{self, FaultProxySettings, ProxyPlan};

const HELP: &str = "\
Usage: radishpaddle-fault-proxy --target ADDRESS [options]

Options:
  --listen ADDRESS   address for clients [127.0.0.1:0]
  --control ADDRESS  address of the HTTP control port [127.0.0.1:0]
  --plan JSON        initial faults

Control port: GET and PUT /plan, GET /status, POST /reset.";

#[tokio::main]
async fn main() -> Result<()> {
    let Some(settings) = parse(lexopt::Parser::from_env())? else {
        println!("{HELP}");
        return Ok(());
    };
    let proxy = fault_proxy::spawn(settings).await?;
    println!("fault-proxy: listening on {}", proxy.address());
    if let Some(address) = proxy.control_address() {
        println!("fault-proxy: control port on {address}");
    }
    // Without state to save, no signal handler is needed: the default action of a signal ends the process.
    std::future::pending().await
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<FaultProxySettings>> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listen = loopback;
    let mut control = loopback;
    let mut target: Option<SocketAddr> = None;
    let mut plan = ProxyPlan::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => listen = parser.value()?.parse()?,
            Long("control") => control = parser.value()?.parse()?,
            Long("target") => target = Some(parser.value()?.parse()?),
            Long("plan") => {
                let text = parser.value()?.string()?;
                plan = serde_json::from_str(&text).context("--plan")?;
            }
            Long("help") | Short('h') => return Ok(None),
            _ => return Err(argument.unexpected().into()),
        }
    }
    Ok(Some(FaultProxySettings {
        listen,
        target: target.context("--target is missing")?,
        control: Some(control),
        plan,
    }))
}
