//! Calls to the operator API, on whichever control instance leads.

use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use radishpaddle_model::{ResultCode, Revision, SubmissionId};
use serde_json::Value;
use ureq::Agent;
use ureq::http::{Request, Response};

/// Longest time for one call. A submission is answered after 8 s at the latest.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for which an instance that leads is looked for.
const LEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after all instances were asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Client of the operator API.
pub struct OperatorClient {
    agent: Agent,
    controls: Vec<String>,
    token: String,
}

/// Headers of a submission.
#[derive(Debug, Clone)]
pub struct SubmissionHeaders {
    /// Id; the same one is used when the call is repeated.
    pub id: SubmissionId,
    /// Revision that is replaced.
    pub replaces: Option<Revision>,
}

impl OperatorClient {
    /// Client for some control instances.
    ///
    /// # Errors
    ///
    /// Fails without any instance.
    pub fn new(controls: &[String], token: &str) -> Result<Self> {
        if controls.is_empty() {
            bail!("no control instance: use --control or RADISHPADDLE_CONTROL");
        }
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Ok(Self {
            agent: config.into(),
            controls: controls.to_vec(),
            token: token.to_owned(),
        })
    }

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// Fails with the refusal, or when no instance leads in time.
    pub fn get(&self, path: &str) -> Result<Value> {
        self.call("GET", path, None, None)
    }

    /// Sends a body that changes nothing.
    ///
    /// # Errors
    ///
    /// Fails with the refusal, or when no instance leads in time.
    pub fn post(&self, path: &str, body: &str) -> Result<Value> {
        self.call("POST", path, Some(body), None)
    }

    /// Sends a submission. It is repeated with the same id when the answer is lost or the outcome
    /// is unknown, so it is carried out once.
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
        let until = Instant::now() + LEADER_TIMEOUT;
        let mut last = String::new();
        while Instant::now() < until {
            for control in &self.controls {
                let request = self.request(control, method, path, body, submission)?;
                match self.agent.run(request) {
                    Ok(mut response) => match read(&mut response)? {
                        Read::Answer(value) => return Ok(value),
                        Read::AskAnother(reason) => last = format!("{control}: {reason}"),
                    },
                    Err(error) => last = format!("{control}: {error}"),
                }
            }
            std::thread::sleep(ROUND_PAUSE);
        }
        bail!("no control instance answered: {last}");
    }

    fn request(
        &self,
        control: &str,
        method: &str,
        path: &str,
        body: Option<&str>,
        submission: Option<&SubmissionHeaders>,
    ) -> Result<Request<String>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{control}{path}"))
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

enum Read {
    Answer(Value),
    AskAnother(String),
}

fn read(response: &mut Response<ureq::Body>) -> Result<Read> {
    let status = response.status();
    let code = response
        .headers()
        .get("X-Result-Code")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u16>().ok());
    let text = response.body_mut().read_to_string()?;
    if status.is_success() {
        return Ok(Read::Answer(serde_json::from_str(&text)?));
    }
    let body: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let message = body["message"].as_str().unwrap_or(text.trim()).to_owned();
    let another = [
        ResultCode::NotLeader,
        ResultCode::CommitUnknown,
        ResultCode::StorageFailed,
    ];
    if another.iter().any(|known| code == Some(known.number())) {
        return Ok(Read::AskAnother(message));
    }
    let name = body["name"].as_str().unwrap_or("refused");
    bail!("{} {name}: {message}", code.unwrap_or(status.as_u16()));
}
