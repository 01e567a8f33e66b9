//! Reads metrics, journals and service documents from files and over HTTP.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use radishpaddle_model::ServiceDocument;
use serde_json::Value;

/// Timeout of one HTTP request, including the transfer of the response body.
const HTTP_TIMEOUT: Duration = Duration::from_secs(10);

/// Size limit of an HTTP response body, in bytes (256 MiB).
const MAX_RESPONSE_BYTES: u64 = 256 << 20;

/// Input given on the command line: a file, or a URL that starts with `http://`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// Path of a file.
    File(PathBuf),
    /// URL without trailing slashes.
    Url(String),
}

impl Source {
    /// Creates a source from a command line argument; anything but an `http://` URL is a file path.
    #[must_use]
    pub fn new(text: &str) -> Self {
        if text.starts_with("http://") {
            Self::Url(text.trim_end_matches('/').to_owned())
        } else {
            Self::File(PathBuf::from(text))
        }
    }

    /// Reads the file, or fetches the URL with an optional bearer token.
    ///
    /// # Errors
    ///
    /// Returns an error when the file or the URL cannot be read.
    pub fn read(&self, token: Option<&str>) -> Result<String> {
        match self {
            Self::File(path) => read_file(path),
            Self::Url(url) => fetch(url, token),
        }
    }
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).with_context(|| path.display().to_string())
}

/// Fetches a URL with an optional bearer token.
///
/// # Errors
///
/// Returns an error when the request fails or the status is not 200.
pub fn fetch(url: &str, token: Option<&str>) -> Result<String> {
    let config = ureq::Agent::config_builder();
    let agent: ureq::Agent = config.timeout_global(Some(HTTP_TIMEOUT)).build().into();
    let mut request = agent.get(url);
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let mut response = request.call().with_context(|| url.to_owned())?;
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    body.read_to_string().with_context(|| url.to_owned())
}

/// Parses service documents from JSON.
///
/// Accepts a single document, or an array or object whose values are documents or have a field
/// `document`. The array or object may also be the value of a top-level field `services`.
///
/// # Errors
///
/// Returns an error when the text is not JSON or a document is invalid.
pub fn parse_documents(text: &str) -> Result<Vec<ServiceDocument>> {
    let value: Value = serde_json::from_str(text)?;
    let list = match value {
        Value::Object(mut object) => match object.remove("services") {
            Some(services) => services,
            None if object.contains_key("routes") => Value::Array(vec![Value::Object(object)]),
            None => Value::Object(object),
        },
        other => other,
    };
    let entries: Vec<Value> = match list {
        Value::Array(entries) => entries,
        Value::Object(entries) => entries.into_iter().map(|(_, entry)| entry).collect(),
        _ => bail!("expected a JSON array or object of service documents"),
    };
    entries.into_iter().map(parse_document).collect()
}

fn parse_document(mut entry: Value) -> Result<ServiceDocument> {
    let inner = entry.get_mut("document").map(Value::take);
    let document: ServiceDocument = serde_json::from_value(inner.unwrap_or(entry))?;
    if let Err(errors) = document.check() {
        let first = errors.first().map(ToString::to_string).unwrap_or_default();
        bail!("invalid document of service {}: {first}", document.service);
    }
    Ok(document)
}
