//! Where the figures come from: files and HTTP.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use radishpaddle_model::ServiceDocument;
use serde_json::Value;

/// Longest time for one request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;

/// A file, or a URL that starts with `http://`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// A file.
    File(PathBuf),
    /// A URL without a slash at its end.
    Url(String),
}

impl Source {
    /// Source from the command line.
    #[must_use]
    pub fn new(text: &str) -> Self {
        if text.starts_with("http://") {
            Self::Url(text.trim_end_matches('/').to_owned())
        } else {
            Self::File(PathBuf::from(text))
        }
    }

    /// Content of the file or the response.
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
    let agent: ureq::Agent = config.timeout_global(Some(TIMEOUT)).build().into();
    let mut request = agent.get(url);
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let mut response = request.call().with_context(|| url.to_owned())?;
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    body.read_to_string().with_context(|| url.to_owned())
}

/// Parses documents: a list or a map of documents, or of entries with a field `document`, as such or in a
/// field `services`.
///
/// # Errors
///
/// Returns an error when the text is not JSON or a document is not valid.
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
        _ => bail!("neither a list nor a map of documents"),
    };
    entries.into_iter().map(parse_document).collect()
}

fn parse_document(mut entry: Value) -> Result<ServiceDocument> {
    let inner = entry.get_mut("document").map(Value::take);
    let document: ServiceDocument = serde_json::from_value(inner.unwrap_or(entry))?;
    if let Err(errors) = document.check() {
        let first = errors.first().map(ToString::to_string).unwrap_or_default();
        bail!("document of {}: {first}", document.service);
    }
    Ok(document)
}
