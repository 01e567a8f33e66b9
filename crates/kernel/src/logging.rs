//! Log lines as JSON on standard error: time, level, message with the prefix of its part.

use std::io::Write;

use anyhow::{Context as _, Result};
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::Record;
use serde_json::json;

/// Starts the logger of the process. The handle must be kept until the end.
///
/// # Errors
///
/// Fails when the specification is malformed or a logger is already running.
pub fn start(specification: &str) -> Result<LoggerHandle> {
    let specification = LogSpecification::parse(specification)
        .with_context(|| format!("log specification {specification:?}"))?;
    Logger::with(specification)
        .log_to_stderr()
        .format(write_line)
        .start()
        .context("starting the logger")
}

fn write_line(
    output: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let line = json!({
        "at": now.format_rfc3339(),
        "level": record.level().as_str(),
        "message": record.args().to_string(),
    });
    write!(output, "{line}")
}
