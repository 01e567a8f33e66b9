//! Settings file of the load generator.

use std::net::SocketAddr;

use anyhow::{Result, bail, ensure};
use radishpaddle_model::{OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};

/// Maximum duration of a run, in milliseconds.
const MAX_DURATION_MS: u64 = 24 * 3_600_000;

/// Maximum number of requests of a run. Each scheduled request holds memory until its result is recorded.
const MAX_REQUESTS: u64 = 50_000_000;

/// Settings of a run, read from a JSON file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Addresses of the entry instances from which the callers request the address list.
    pub seeds: Vec<SocketAddr>,
    /// Time during which requests are scheduled, in milliseconds.
    pub duration_ms: u64,
    /// Maximum number of requests of the run, over all streams.
    pub max_requests: u64,
    /// Maximum number of requests in flight. Further ones wait; their latency includes the wait.
    pub max_in_flight: usize,
    /// Maximum number of times that a request is sent, the first one included.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Seed of the random numbers of the schedule.
    #[serde(default)]
    pub seed: u64,
    /// Streams of requests.
    pub traffic: Vec<Stream>,
}

/// Requests of one organisation to one service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Calling organisation.
    pub organisation: OrganisationId,
    /// API key of the organisation; without it the stream can use only open routes.
    #[serde(default)]
    pub key: Option<String>,
    /// Called service.
    pub service: ServiceId,
    /// Value of the `Host` header of the requests.
    pub host: String,
    /// Mean rate in requests per second.
    pub rate_per_s: f64,
    /// Distribution of the time between two arrivals.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Share of actions among the requests, from 0 to 1.
    #[serde(default)]
    pub action_share: f64,
    /// Path of idempotent requests, sent with `GET`.
    pub idempotent_path: String,
    /// Path of actions, sent with `POST` and an idempotency key.
    #[serde(default)]
    pub action_path: String,
    /// Size of the body of an action, in bytes.
    #[serde(default)]
    pub action_body_bytes: usize,
    /// Time from the scheduled start of a request to its deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Distribution of the time between two arrivals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrivals {
    /// Poisson process: independent arrivals with exponentially distributed gaps.
    #[default]
    Poisson,
    /// Constant gaps.
    Even,
}

const fn default_max_attempts() -> u32 {
    1
}

impl LoadSettings {
    /// Checks that every field is within its range, and that the seeds are loopback addresses unless
    /// `allow_remote` is set.
    ///
    /// # Errors
    ///
    /// Fails with a message that names the first field that is not valid.
    pub fn check(&self, allow_remote: bool) -> Result<()> {
        ensure!(!self.seeds.is_empty(), "seeds must not be empty");
        ensure!(!self.traffic.is_empty(), "traffic must not be empty");
        let duration = 1..=MAX_DURATION_MS;
        ensure!(
            duration.contains(&self.duration_ms),
            "duration_ms must be in {duration:?}"
        );
        let requests = 1..=MAX_REQUESTS;
        ensure!(
            requests.contains(&self.max_requests),
            "max_requests must be in {requests:?}"
        );
        ensure!(self.max_in_flight > 0, "max_in_flight must be above 0");
        ensure!(self.max_attempts > 0, "max_attempts must be above 0");
        let remote = self.seeds.iter().find(|seed| !seed.ip().is_loopback());
        if let (false, Some(seed)) = (allow_remote, remote) {
            bail!("seed {seed} is not a loopback address; --allow-remote permits it");
        }
        for (index, stream) in self.traffic.iter().enumerate() {
            stream.check(index)?;
        }
        Ok(())
    }

    /// Returns an example with two organisations.
    pub fn example() -> Self {
        let stream = |organisation: &str, rate_per_s| Stream {
            organisation: organisation.parse().expect("the example is valid"),
            key: Some(format!("rk_{organisation}_0123456789abcdef")),
            service: "dispatch".parse().expect("the example is valid"),
            host: "dispatch.example".into(),
            rate_per_s,
            arrivals: Arrivals::Poisson,
            action_share: 0.1,
            idempotent_path: "/jobs".into(),
            action_path: "/jobs".into(),
            action_body_bytes: 64,
            deadline_ms: 1_000,
        };
        Self {
            seeds: vec![SocketAddr::from(([127, 0, 0, 1], 8080))],
            duration_ms: 10_000,
            max_requests: 1_000_000,
            max_in_flight: 2_000,
            max_attempts: 1,
            seed: 1,
            traffic: vec![stream("large", 80.0), stream("small", 10.0)],
        }
    }
}

impl Stream {
    fn check(&self, index: usize) -> Result<()> {
        let field = |name: &str| format!("traffic[{index}].{name}");
        let rate = self.rate_per_s;
        ensure!(
            rate.is_finite() && rate > 0.0,
            "{} must be above 0",
            field("rate_per_s")
        );
        let share = 0.0..=1.0;
        ensure!(
            share.contains(&self.action_share),
            "{} must be between 0 and 1",
            field("action_share")
        );
        ensure!(
            self.deadline_ms > 0,
            "{} must be above 0",
            field("deadline_ms")
        );
        ensure!(
            self.idempotent_path.starts_with('/'),
            "{} must start with /",
            field("idempotent_path")
        );
        let actions_have_path = self.action_share == 0.0 || self.action_path.starts_with('/');
        ensure!(
            actions_have_path,
            "{} must start with /",
            field("action_path")
        );
        Ok(())
    }
}
