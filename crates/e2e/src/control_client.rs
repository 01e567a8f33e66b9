//! Single operator requests to one control instance, for tests that race or choose the instance.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use radishpaddle_model::{ResultCode, ServiceDocument};
use serde_json::Value;

use crate::fleet::OPERATOR_TOKEN;
use crate::plan::SERVICE;

/// Longest time for one request; the API answers after at most 5 s for the commit and 3 s for the
/// spread.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(9);

/// Answer of a control instance.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlAnswer {
    /// Value of `X-Result-Code`; 0 without one.
    pub code: u16,
    /// JSON body.
    pub body: Value,
}

impl ControlAnswer {
    /// Whether the submission is committed.
    #[must_use]
    pub fn is_committed(&self) -> bool {
        [ResultCode::InForce, ResultCode::Committed]
            .iter()
            .any(|code| code.number() == self.code)
    }

    /// Revision of a committed submission.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.body["revision"].as_u64()
    }
}

/// Reads a page of a control instance.
///
/// # Errors
///
/// Fails when no answer arrives.
pub fn get(control: SocketAddr, path: &str) -> Result<ControlAnswer> {
    let request = agent(REQUEST_TIMEOUT)
        .get(format!("http://{control}{path}"))
        .header("Authorization", format!("Bearer {OPERATOR_TOKEN}"));
    answer(request.call()?)
}

/// Submits a document that replaces a revision.
///
/// # Errors
///
/// Fails when no answer arrives; the submission may be committed then.
pub fn put(
    control: SocketAddr,
    document: &ServiceDocument,
    submission: &str,
    replaces: u64,
) -> Result<ControlAnswer> {
    let request = agent(REQUEST_TIMEOUT)
        .put(format!("http://{control}/v1/services/{}", document.service))
        .header("Authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .header("X-Submission-Id", submission)
        .header("X-Replaces-Revision", replaces.to_string());
    answer(request.send(serde_json::to_string(document)?)?)
}

/// Revision of the test service; 0 without one.
///
/// # Errors
///
/// Fails when no answer arrives or the instance refuses.
pub fn service_revision(control: SocketAddr) -> Result<u64> {
    let page = get(control, "/v1/services")?;
    anyhow::ensure!(page.code == 0, "refused with {}", page.code);
    let services = page.body["services"].as_array();
    let known = services
        .into_iter()
        .flatten()
        .find(|entry| entry["document"]["service"] == SERVICE);
    Ok(known
        .and_then(|entry| entry["revision"].as_u64())
        .unwrap_or(0))
}

/// Status page of a control instance, with a short timeout.
///
/// # Errors
///
/// Fails when no answer arrives.
pub fn status(control: SocketAddr) -> Result<Value> {
    let request = agent(Duration::from_secs(1))
        .get(format!("http://{control}/v1/status"))
        .header("Authorization", format!("Bearer {OPERATOR_TOKEN}"));
    Ok(answer(request.call()?)?.body)
}

fn agent(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .build()
        .into()
}

fn answer(mut response: ureq::http::Response<ureq::Body>) -> Result<ControlAnswer> {
    let header = response.headers().get("x-result-code");
    let code = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let text = response.body_mut().read_to_string()?;
    Ok(ControlAnswer {
        code: code.unwrap_or(0),
        body: serde_json::from_str(&text).unwrap_or(Value::Null),
    })
}
