//! Command-line program that loads a fleet with an open-loop schedule and reports latencies and outcomes.

#[path = "../load/mod.rs"]
mod load;

use std::process::ExitCode;

use anyhow::Result;

fn main() -> Result<ExitCode> {
    load::run(lexopt::Parser::from_env())
}
