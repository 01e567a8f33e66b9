//! Program `radishpaddle-entry`, an entry proxy of the fleet.

use std::process::ExitCode;

use radishpaddle_entry::EntrySettings;
use radishpaddle_kernel::{Program, process};

fn main() -> ExitCode {
    let name = "radishpaddle-entry";
    process::exit_code(name, process::run::<EntrySettings>(Program::Entry, name))
}
