//! Entry proxy of the fleet.

use radishpaddle_entry::EntrySettings;
use radishpaddle_kernel::{Program, process};

fn main() -> anyhow::Result<()> {
    process::run::<EntrySettings>(Program::Entry, "radishpaddle-entry")
}
