//! `radishpaddlectl`, the command-line client with which operators configure and inspect the fleet.

use std::process::ExitCode;

use radishpaddle_ctl::{arguments, command};

fn main() -> ExitCode {
    let parsed = arguments::parse(lexopt::Parser::from_env());
    match parsed.and_then(|invocation| command::run(&invocation)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("radishpaddlectl: {error:#}");
            ExitCode::FAILURE
        }
    }
}
