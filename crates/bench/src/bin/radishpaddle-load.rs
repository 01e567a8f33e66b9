//! Open-loop load generator.

#[path = "../load/mod.rs"]
mod load;

use std::process::ExitCode;

use anyhow::Result;

fn main() -> Result<ExitCode> {
    load::run(lexopt::Parser::from_env())
}
