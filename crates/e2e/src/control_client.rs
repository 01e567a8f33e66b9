//! HTTP client for the operator API of one control instance. Unlike `radishpaddlectl`, it never fails
//! over, so tests can race submissions and select the instance that receives them.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use radishpaddle_model::{ResultCode, ServiceDocument};
use serde_json::Value;

use crate::fleet::OPERATOR_TOKEN;
use crate::plan::SERVICE;

/// Timeout of one request. The API responds after at most 8 s: 5 s for the commit and 3 s for the
/// distribution to the entry instances.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(9);

/// Timeout of a status request. It is short because tests poll instances that may be down.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Response of a control instance.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlResponse {
    /// Value of the `X-Result-Code` header, or 0 if the response has none.
    pub code: u16,
    /// JSON body, or null if the body is not valid JSON.
    pub body: Value,
}

impl ControlResponse {
    /// Returns whether the submission was committed, whether or not it is in force everywhere yet.
    #[must_use]
    pub fn is_committed(&self) -> bool {
        [ResultCode::InForce, ResultCode::Committed]
            .iter()
            .any(|code| code.number() == self.code)
    }

    /// Returns the revision of a committed submission.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.body["revision"].as_u64()
    }
}

/// Sends a GET request for a path of the operator API.
///
/// # Errors
///
/// Returns an error if no response arrives within 9 s.
pub fn get(control: SocketAddr, path: &str) -> Result<ControlResponse> {
    let request = agent(SUBMISSION_TIMEOUT)
        .get(format!("http://{control}{path}"))
        .header("Authorization", format!("Bearer {OPERATOR_TOKEN}"));
    parse_response(request.call()?)
}

/// Submits a document that replaces the given revision.
///
/// # Errors
///
/// Returns an error if no response arrives within 9 s. The submission may have been committed.
pub fn put(
    control: SocketAddr,
    document: &ServiceDocument,
    submission: &str,
    replaces: u64,
) -> Result<ControlResponse> {
    let request = agent(SUBMISSION_TIMEOUT)
        .put(format!("http://{control}/v1/services/{}", document.service))
        .header("Authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .header("X-Submission-Id", submission)
        .header("X-Replaces-Revision", replaces.to_string());
    parse_response(request.send(serde_json::to_string(document)?)?)
}

/// Returns the revision of the test service, or 0 if the service has no document.
///
/// # Errors
///
/// Returns an error if no response arrives within 9 s or the instance refuses the request.
pub fn service_revision(control: SocketAddr) -> Result<u64> {
    let response = get(control, "/v1/services")?;
    anyhow::ensure!(
        response.code == 0,
        "control instance refused to list services: result code {}",
        response.code
    );
    let services = response.body["services"].as_array();
    let service = services
        .into_iter()
        .flatten()
        .find(|entry| entry["document"]["service"] == SERVICE);
    Ok(service
        .and_then(|entry| entry["revision"].as_u64())
        .unwrap_or(0))
}

/// Fetches the status page of a control instance.
///
/// # Errors
///
/// Returns an error if no response arrives within 1 s.
pub fn status(control: SocketAddr) -> Result<Value> {
    let request = agent(STATUS_TIMEOUT)
        .get(format!("http://{control}/v1/status"))
        .header("Authorization", format!("Bearer {OPERATOR_TOKEN}"));
    Ok(parse_response(request.call()?)?.body)
}

fn agent(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .build()
        .into()
}

fn parse_response(mut response: ureq::http::Response<ureq::Body>) -> Result<ControlResponse> {
    let header = response.headers().get("x-result-code");
    let code = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let text = response.body_mut().read_to_string()?;
    Ok(ControlResponse {
        code: code.unwrap_or(0),
        body: serde_json::from_str(&text).unwrap_or(Value::Null),
    })
}
