//! Runs `radishpaddlectl` as an operator does.

use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use radishpaddle_model::ServiceDocument;
use radishpaddle_testkit::process::workspace_binary;

/// Runs `radishpaddlectl` against the control instances of a fleet.
#[derive(Debug, Clone)]
pub struct Operator {
    controls: Vec<SocketAddr>,
    token: String,
}

impl Operator {
    /// Creates an operator that authenticates with the token.
    #[must_use]
    pub fn new(controls: Vec<SocketAddr>, token: &str) -> Self {
        Self {
            controls,
            token: token.to_owned(),
        }
    }

    /// Runs a command and returns its standard output.
    ///
    /// # Errors
    ///
    /// Returns an error with the standard error of the command if the command fails.
    pub fn run(&self, arguments: &[&str]) -> Result<String> {
        let controls: Vec<String> = self.controls.iter().map(ToString::to_string).collect();
        let output = Command::new(workspace_binary("radishpaddlectl")?)
            .env("RADISHPADDLE_CONTROL", controls.join(","))
            .env("RADISHPADDLE_TOKEN", &self.token)
            .args(arguments)
            .output()?;
        if !output.status.success() {
            bail!("{}", String::from_utf8_lossy(&output.stderr).trim());
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Submits a document and waits until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// Returns an error if the submission is refused or not in force before the command times out.
    pub fn submit_document(&self, document: &ServiceDocument) -> Result<String> {
        // Tests of one binary run concurrently, so the process id alone does not make the name unique.
        static NEXT_FILE_NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("radishpaddle-document-{}-{number}.json", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, serde_json::to_string(document)?)?;
        let printed = self.run(&["put", &file.display().to_string()]);
        let _ = std::fs::remove_file(&file);
        printed
    }

    /// Creates an API key for an organisation and returns it.
    ///
    /// # Errors
    ///
    /// Returns an error if the submission is refused or not in force before the command times out.
    pub fn create_key(&self, organisation: &str, key_id: &str) -> Result<String> {
        let printed = self.run(&["give", organisation, key_id])?;
        let key = printed
            .lines()
            .find_map(|line| line.strip_prefix("key    "))
            .context("radishpaddlectl printed no key")?;
        Ok(key.trim().to_owned())
    }

    /// Revokes an API key.
    ///
    /// # Errors
    ///
    /// Returns an error if the submission is refused or not in force before the command times out.
    pub fn withdraw_key(&self, key_id: &str) -> Result<String> {
        self.run(&["withdraw", key_id])
    }
}

/// Fetches an admin page of a process as text.
///
/// # Errors
///
/// Returns an error if the process does not respond within 2 s.
pub fn admin_page(address: SocketAddr, path: &str) -> Result<String> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(2)))
        .http_status_as_error(false)
        .build();
    let agent: ureq::Agent = config.into();
    let mut response = agent.get(format!("http://{address}{path}")).call()?;
    Ok(response.body_mut().read_to_string()?)
}
