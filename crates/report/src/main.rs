//! Command-line tool that prints the service-level burn report.

use anyhow::Result;

fn main() -> Result<()> {
    radishpaddle_report::cli::run(lexopt::Parser::from_env())
}
