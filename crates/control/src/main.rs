//! Entry point of `radishpaddle-control`: runs the control process or a maintenance command.

use std::process::ExitCode;

use radishpaddle_control::command::{self, Command};
use radishpaddle_control::{ControlSettings, maintenance};
use radishpaddle_kernel::{Program, process};

const PROGRAM_NAME: &str = "radishpaddle-control";

fn main() -> ExitCode {
    process::exit_code(PROGRAM_NAME, run())
}

fn run() -> anyhow::Result<()> {
    match command::parse(lexopt::Parser::from_env())? {
        Command::Run => process::run::<ControlSettings>(Program::Control, PROGRAM_NAME),
        Command::Found { settings } => maintenance::bootstrap(&settings),
        Command::Export { settings, file } => maintenance::export(&settings, &file),
        Command::Restore {
            settings,
            file,
            above,
        } => maintenance::restore(&settings, &file, above),
    }
}
