//! Settings files in JSON, parsed and validated completely before any plugin starts.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use radishpaddle_model::{AvailabilityZone, InstanceId};
use radishpaddle_wire::TlsFiles;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Settings of one program.
pub trait ProcessSettings: DeserializeOwned + Send + Sync + 'static {
    /// Returns the settings that every program has.
    fn common(&self) -> &CommonSettings;

    /// Adds each field with an invalid value to the report.
    fn check(&self, report: &mut ValidationReport);
}

/// Settings that every long-running program has.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommonSettings {
    /// Name of the fleet; peer connections from another fleet are refused.
    pub fleet: Arc<str>,
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub availability_zone: AvailabilityZone,
    /// Address on which the admin server serves metrics, health and journal.
    pub admin_listen: SocketAddr,
    /// Log specification in the syntax of `flexi_logger`, such as `info`.
    #[serde(default = "default_log")]
    pub log: Arc<str>,
    /// Maximum number of events that the journal keeps in memory, 100 to 1000000.
    #[serde(default = "default_journal_events")]
    pub journal_events: usize,
    /// Time in milliseconds that a graceful shutdown may wait for requests in flight, 0 to 600000.
    #[serde(default = "default_stop_deadline_ms")]
    pub stop_deadline_ms: u64,
    /// Certificates for the peer protocol. May be absent only when all peers use loopback addresses.
    #[serde(default)]
    pub peer_tls: Option<TlsFiles>,
}

fn default_log() -> Arc<str> {
    "info".into()
}

const fn default_journal_events() -> usize {
    10_000
}

const fn default_stop_deadline_ms() -> u64 {
    60_000
}

impl CommonSettings {
    /// Adds each common field with an invalid value to the report.
    pub fn check(&self, report: &mut ValidationReport) {
        report.range("common.journal_events", self.journal_events, 100, 1_000_000);
        report.range("common.stop_deadline_ms", self.stop_deadline_ms, 0, 600_000);
        if self.fleet.is_empty() {
            report.add("common.fleet", &self.fleet, "a name");
        }
    }

    /// Adds each address outside loopback to the report if no certificates are set. `addresses` holds pairs of
    /// field name and value.
    pub fn check_peer_addresses(
        &self,
        report: &mut ValidationReport,
        addresses: &[(String, SocketAddr)],
    ) {
        for (field, address) in addresses {
            if self.peer_tls.is_none() && !address.ip().is_loopback() {
                report.add(field, address, "a loopback address, or common.peer_tls set");
            }
        }
    }
}

/// Collects the fields with invalid values, so that all of them are reported at once.
#[derive(Debug, Default)]
pub struct ValidationReport {
    problems: Vec<String>,
}

impl ValidationReport {
    /// Adds a field with its value and a description of the allowed values.
    pub fn add(&mut self, field: &str, value: &dyn fmt::Display, allowed: &str) {
        self.problems
            .push(format!("{field} is \"{value}\"; allowed: {allowed}"));
    }

    /// Converts the report to a result.
    ///
    /// # Errors
    ///
    /// Returns one line for each field with an invalid value.
    pub fn finish(self) -> Result<(), Vec<String>> {
        if self.problems.is_empty() {
            Ok(())
        } else {
            Err(self.problems)
        }
    }

    /// Adds the field if its value is below `min` or above `max`.
    pub fn range<T: Copy + PartialOrd + fmt::Display>(
        &mut self,
        field: &str,
        value: T,
        min: T,
        max: T,
    ) {
        if value < min || value > max {
            self.add(field, &value, &format!("{min} to {max}"));
        }
    }
}

/// Error that makes a settings file unusable.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {cause}", file.display())]
    Unreadable {
        /// Path of the settings file.
        file: PathBuf,
        /// I/O error from reading the file.
        cause: std::io::Error,
    },
    /// The file is not valid JSON, or a field is missing, unknown or of the wrong type.
    #[error("{}: {field}: {cause}", file.display())]
    Malformed {
        /// Path of the settings file.
        file: PathBuf,
        /// Path of the field, such as `common.fleet`.
        field: String,
        /// Error of the JSON parser.
        cause: serde_json::Error,
    },
    /// Some fields have values that are not allowed.
    #[error("{}: {}", file.display(), problems.join("; "))]
    OutOfRange {
        /// Path of the settings file.
        file: PathBuf,
        /// One line for each such field.
        problems: Vec<String>,
    },
}

/// Loads and validates a settings file.
///
/// # Errors
///
/// Fails when the file cannot be read, is malformed, or a field has an invalid value.
pub fn load<S: ProcessSettings>(file: &Path) -> Result<S, SettingsError> {
    let text = std::fs::read_to_string(file).map_err(|cause| SettingsError::Unreadable {
        file: file.to_owned(),
        cause,
    })?;
    parse(file, &text)
}

/// Parses and validates the text of a settings file. `file` appears in error messages only.
///
/// # Errors
///
/// Fails when the text is malformed or a field has an invalid value.
pub fn parse<S: ProcessSettings>(file: &Path, text: &str) -> Result<S, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let settings: S = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| malformed(file, error))?;
    deserializer
        .end()
        .map_err(|cause| SettingsError::Malformed {
            file: file.to_owned(),
            field: "(end of file)".into(),
            cause,
        })?;
    let mut report = ValidationReport::default();
    settings.check(&mut report);
    if report.problems.is_empty() {
        return Ok(settings);
    }
    Err(SettingsError::OutOfRange {
        file: file.to_owned(),
        problems: report.problems,
    })
}

fn malformed(file: &Path, error: serde_path_to_error::Error<serde_json::Error>) -> SettingsError {
    SettingsError::Malformed {
        file: file.to_owned(),
        field: error.path().to_string(),
        cause: error.into_inner(),
    }
}
