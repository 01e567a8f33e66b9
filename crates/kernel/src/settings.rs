//! Settings files: JSON, checked in whole before anything starts.

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
    /// The part that every program has.
    fn common(&self) -> &CommonSettings;

    /// Reports each field that is outside its range.
    fn check(&self, report: &mut Report);
}

/// Settings that every long-running program has.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommonSettings {
    /// Name of the fleet; peers of another fleet are refused.
    pub fleet: Arc<str>,
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub availability_zone: AvailabilityZone,
    /// Address of metrics, health and journal.
    pub admin_listen: SocketAddr,
    /// Log specification, such as `info`.
    #[serde(default = "default_log")]
    pub log: Arc<str>,
    /// Events that the journal keeps in memory.
    #[serde(default = "default_journal_events")]
    pub journal_events: usize,
    /// Longest planned stop before it is forced.
    #[serde(default = "default_stop_deadline_ms")]
    pub stop_deadline_ms: u64,
    /// Certificates for the peer protocol. May be absent only when all peers are on loopback.
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
    /// Reports each field that is outside its range.
    pub fn check(&self, report: &mut Report) {
        report.range("common.journal_events", self.journal_events, 100, 1_000_000);
        report.range("common.stop_deadline_ms", self.stop_deadline_ms, 0, 600_000);
        if self.fleet.is_empty() {
            report.add("common.fleet", &self.fleet, "a name");
        }
    }

    /// Reports addresses that need TLS while no certificates are set.
    pub fn check_peer_addresses(&self, report: &mut Report, addresses: &[(String, SocketAddr)]) {
        for (field, address) in addresses {
            if self.peer_tls.is_none() && !address.ip().is_loopback() {
                report.add(field, address, "a loopback address, or common.peer_tls set");
            }
        }
    }
}

/// Fields that are outside their range.
#[derive(Debug, Default)]
pub struct Report {
    problems: Vec<String>,
}

impl Report {
    /// Adds a field with its value and what it takes.
    pub fn add(&mut self, field: &str, value: &dyn fmt::Display, allowed: &str) {
        self.problems
            .push(format!("{field} is \"{value}\"; allowed: {allowed}"));
    }

    /// Ends the report.
    ///
    /// # Errors
    ///
    /// Returns one line for each field that is outside its range.
    pub fn finish(self) -> Result<(), Vec<String>> {
        if self.problems.is_empty() {
            Ok(())
        } else {
            Err(self.problems)
        }
    }

    /// Adds the field when its value is outside the range.
    pub fn range<T: Copy + PartialOrd + fmt::Display>(
        &mut self,
        field: &str,
        value: T,
        low: T,
        high: T,
    ) {
        if value < low || value > high {
            self.add(field, &value, &format!("{low} to {high}"));
        }
    }
}

/// A settings file cannot be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {cause}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The file is not JSON, or a field has a wrong type or is unknown.
    #[error("{}: {field}: {cause}", file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// Path of the field.
        field: String,
        /// Why.
        cause: serde_json::Error,
    },
    /// Fields are outside their range.
    #[error("{}: {}", file.display(), problems.join("; "))]
    OutOfRange {
        /// The file.
        file: PathBuf,
        /// One line a field.
        problems: Vec<String>,
    },
}

/// Loads and checks a settings file.
///
/// # Errors
///
/// Fails when the file cannot be read, is malformed, or any field is outside its range.
pub fn load<S: ProcessSettings>(file: &Path) -> Result<S, SettingsError> {
    let text = std::fs::read_to_string(file).map_err(|cause| SettingsError::Unreadable {
        file: file.to_owned(),
        cause,
    })?;
    parse(file, &text)
}

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// Fails when the text is malformed or any field is outside its range.
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
    let mut report = Report::default();
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
