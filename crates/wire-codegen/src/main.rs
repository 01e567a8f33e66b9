//! Generates the file `crates/wire/src/generated.rs`.

use anyhow::Result;
use radishpaddle_wire_codegen::{generate, wire_directory};

fn main() -> Result<()> {
    std::fs::write(wire_directory().join("src/generated.rs"), generate()?)?;
    Ok(())
}
