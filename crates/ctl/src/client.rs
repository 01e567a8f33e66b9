//! Client of the operator API that finds the control instance that is the leader.

use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use radishpaddle_model::{ResultCode, Revision, SubmissionId};
use serde_json::Value;
use ureq::Agent;
use ureq::http::{Request, Response};

/// Timeout of one HTTP call. Above 8 s, the longest time that a control instance takes to answer a submission.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a call that no leader has answered fails.
const LEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay before the instances are tried again after none of them has answered as leader.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// HTTP client for a group of control instances.
pub struct OperatorClient {
    agent: Agent,
    control_addresses: Vec<String>,
    token: String,
}

/// Headers that identify a submission.
#[derive(Debug, Clone)]
pub struct SubmissionHeaders {
    /// Submission id, sent unchanged with each retry so that the submission is carried out once.
    pub id: SubmissionId,
    /// Revision that the submission replaces; `None` for submissions about keys.
    pub replaces: Option<Revision>,
}

impl OperatorClient {
    /// Creates a client for the control instances at these addresses.
    ///
    /// # Errors
    ///
    /// Fails if no address is given.
    pub fn new(control_addresses: &[String], token: &str) -> Result<Self> {
        if control_addresses.is_empty() {
            bail!("no control instance given: set --control or RADISHPADDLE_CONTROL");
        }
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Ok(Self {
            agent: config.into(),
            control_addresses: control_addresses.to_vec(),
            token: token.to_owned(),
        })
    }

    /// Sends a GET request and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Fails with the refusal, or when no instance leads in time.
    pub fn get(&self, path: &str) -> Result<Value> {
        self.call("GET", path, None, None)
    }

    /// Sends a POST request that does not change the configuration, and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Fails with the refusal, or when no instance leads in time.
    pub fn post(&self, path: &str, body: &str) -> Result<Value> {
        self.call("POST", path, Some(body), None)
    }

    /// Sends a submission and returns the JSON response. Retries with the same submission id if the response is
    /// lost or the outcome is unknown, so the submission is carried out once.
    ///
    /// # Errors
    ///
    /// Fails with the refusal, or when no instance leads in time.
    pub fn submit(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
        submission: &SubmissionHeaders,
    ) -> Result<Value> {
        self.call(method, path, body, Some(submission))
    }

    fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&str>,
        submission: Option<&SubmissionHeaders>,
    ) -> Result<Value> {
        let deadline = Instant::now() + LEADER_TIMEOUT;
        let mut last_error = String::new();
        while Instant::now() < deadline {
            for address in &self.control_addresses {
                let request = self.request(address, method, path, body, submission)?;
                match self.agent.run(request) {
                    Ok(mut response) => match interpret(&mut response)? {
                        CallOutcome::Success(value) => return Ok(value),
                        CallOutcome::TryNext(reason) => last_error = format!("{address}: {reason}"),
                    },
                    Err(error) => last_error = format!("{address}: {error}"),
                }
            }
            std::thread::sleep(RETRY_DELAY);
        }
        bail!(
            "no leading control instance answered within {} s; last error: {last_error}",
            LEADER_TIMEOUT.as_secs()
        );
    }

    fn request(
        &self,
        address: &str,
        method: &str,
        path: &str,
        body: Option<&str>,
        submission: Option<&SubmissionHeaders>,
    ) -> Result<Request<String>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("Authorization", format!("Bearer {}", self.token))
            .header("Content-Type", "application/json");
        if let Some(submission) = submission {
            request = request.header("X-Submission-Id", submission.id.as_str());
            if let Some(replaces) = submission.replaces {
                request = request.header("X-Replaces-Revision", replaces.to_string());
            }
        }
        Ok(request.body(body.unwrap_or_default().to_owned())?)
    }
}

enum CallOutcome {
    /// Body of a successful response.
    Success(Value),
    /// Reason why the call must be tried at another instance or again.
    TryNext(String),
}

/// Reads a response. Fails if it is a refusal that another instance would give as well.
fn interpret(response: &mut Response<ureq::Body>) -> Result<CallOutcome> {
    let status = response.status();
    let code = response
        .headers()
        .get("X-Result-Code")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u16>().ok());
    let text = response.body_mut().read_to_string()?;
    if status.is_success() {
        return Ok(CallOutcome::Success(serde_json::from_str(&text)?));
    }
    let body: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let message = body["message"].as_str().unwrap_or(text.trim()).to_owned();
    let retryable = [
        ResultCode::NotLeader,
        ResultCode::CommitUnknown,
        ResultCode::StorageFailed,
    ];
    if retryable
        .iter()
        .any(|retryable| code == Some(retryable.number()))
    {
        return Ok(CallOutcome::TryNext(message));
    }
    let name = body["name"].as_str().unwrap_or("refused");
    bail!("{} {name}: {message}", code.unwrap_or(status.as_u16()));
}
