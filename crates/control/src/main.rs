//! Control process of the fleet.

use radishpaddle_control::command::{self, Command};
use radishpaddle_control::{ControlSettings, maintenance};
use radishpaddle_kernel::{Program, process};

fn main() -> anyhow::Result<()> {
    match command::parse(lexopt::Parser::from_env())? {
        Command::Run => process::run::<ControlSettings>(Program::Control, "radishpaddle-control"),
        Command::Found { settings } => maintenance::found(&settings),
        Command::Export { settings, file } => maintenance::export(&settings, &file),
        Command::Restore {
            settings,
            file,
            above,
        } => maintenance::restore(&settings, &file, above),
    }
}
