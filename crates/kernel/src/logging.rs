//! Logger that writes JSON lines with time, level and message to standard error. Messages begin with the name
//! of the component.

use std::io::Write;

use anyhow::{Context as _, Result};
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::Record;
use serde_json::json;

/// Starts the logger of the process. The caller keeps the handle until the process exits, because dropping it may
/// stop the logger.
///
/// # Errors
///
/// Fails when the specification is malformed or a logger is already running.
pub fn start(specification: &str) -> Result<LoggerHandle> {
    let specification = LogSpecification::parse(specification)
        .with_context(|| format!("invalid log specification {specification:?}"))?;
    Logger::with(specification)
        .log_to_stderr()
        .format(write_line)
        .start()
        .context("cannot start the logger")
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
