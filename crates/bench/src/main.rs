//! Command-line program that compares the routing policies under emulated faults.

use std::io::stdout;

use anyhow::Result;
use radishpaddle_bench::fault::Fault;
use radishpaddle_bench::policy::Policy;
use radishpaddle_bench::run::run;
use radishpaddle_bench::settings::{Command, HELP};

fn main() -> Result<()> {
    match Command::parse(std::env::args_os().skip(1))? {
        Command::Run(settings) => run(&settings, &mut stdout().lock())?,
        Command::Help => print!("{HELP}"),
        Command::List => list(),
    }
    Ok(())
}

fn list() {
    for fault in Fault::ALL {
        println!("fault   {}", fault.name());
    }
    for policy in Policy::ALL {
        println!("policy  {}", policy.name());
    }
}
