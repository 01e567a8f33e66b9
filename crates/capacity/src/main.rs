//! Command-line tool that measures the slopes, or writes the capacity page from the committed slopes.

use std::path::Path;

use anyhow::{Result, bail};
use radishpaddle_capacity::{Slopes, measure, page};

const USAGE: &str = "Usage: radishpaddle-capacity measure|render

  measure   measure the slopes on this machine and write docs/capacity-slopes.json
  render    write docs/CAPACITY.md from docs/capacity-slopes.json";

fn main() -> Result<()> {
    let command = std::env::args().nth(1).unwrap_or_default();
    let slopes_file = page::docs_directory().join("capacity-slopes.json");
    match command.as_str() {
        "measure" => {
            let slopes = measure::measure_slopes()?;
            let text = serde_json::to_string_pretty(&slopes)?;
            std::fs::write(&slopes_file, text.clone() + "\n")?;
            println!("{text}");
        }
        "render" => {
            let slopes = read_slopes(&slopes_file)?;
            let file = page::docs_directory().join("CAPACITY.md");
            std::fs::write(file, page::render(&slopes))?;
        }
        _ => bail!("{USAGE}"),
    }
    Ok(())
}

fn read_slopes(file: &Path) -> Result<Slopes> {
    Ok(serde_json::from_str(&std::fs::read_to_string(file)?)?)
}
