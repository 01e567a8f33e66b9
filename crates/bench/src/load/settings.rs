//! Settings file of the load generator.

use std::net::SocketAddr;

use anyhow::{Result, bail, ensure};
use radishpaddle_model::{OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};

/// Longest run, in milliseconds.
const MAX_DURATION_MS: u64 = 24 * 3_600_000;

/// Most requests of one run. Each scheduled request holds memory until it is reported.
const MAX_REQUESTS: u64 = 50_000_000;

/// Settings of one run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Instances to ask for addresses.
    pub seeds: Vec<SocketAddr>,
    /// Time during which requests are scheduled, in milliseconds.
    pub duration_ms: u64,
    /// Most requests of the run, over all streams.
    pub max_requests: u64,
    /// Most requests at the same time; more wait, and their latency counts from the schedule.
    pub max_in_flight: usize,
    /// Attempts of one request, the first included.
    #[serde(default = "one")]
    pub max_attempts: u32,
    /// Seed of the schedule.
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
    /// Organisation that calls.
    pub organisation: OrganisationId,
    /// Key of the organisation; without it the stream can only use open routes.
    #[serde(default)]
    pub key: Option<String>,
    /// Service that is called.
    pub service: ServiceId,
    /// Value of the `Host` header.
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
    /// Body size of an action, in bytes.
    #[serde(default)]
    pub action_body_bytes: usize,
    /// Time until the deadline, from the scheduled time, in milliseconds.
    pub deadline_ms: u64,
}

/// Distribution of the time between two arrivals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrivals {
    /// Independent arrivals.
    #[default]
    Poisson,
    /// Equal times.
    Even,
}

const fn one() -> u32 {
    1
}

impl LoadSettings {
    /// Checks every field, and that targets are loopback addresses unless `allow_remote`.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not allowed.
    pub fn check(&self, allow_remote: bool) -> Result<()> {
        ensure!(!self.seeds.is_empty(), "seeds is empty");
        ensure!(!self.traffic.is_empty(), "traffic is empty");
        let duration = 1..=MAX_DURATION_MS;
        ensure!(
            duration.contains(&self.duration_ms),
            "duration_ms is not in {duration:?}"
        );
        let requests = 1..=MAX_REQUESTS;
        ensure!(
            requests.contains(&self.max_requests),
            "max_requests is not in {requests:?}"
        );
        ensure!(self.max_in_flight > 0, "max_in_flight is 0");
        ensure!(self.max_attempts > 0, "max_attempts is 0");
        let remote = self.seeds.iter().find(|seed| !seed.ip().is_loopback());
        if let (false, Some(seed)) = (allow_remote, remote) {
            bail!("seed {seed} is not a loopback address; --allow-remote permits it");
        }
        for (index, stream) in self.traffic.iter().enumerate() {
            stream.check(index)?;
        }
        Ok(())
    }

    /// Example with two organisations.
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
            "{} is not above 0",
            field("rate_per_s")
        );
        let share = 0.0..=1.0;
        ensure!(
            share.contains(&self.action_share),
            "{} is not 0 to 1",
            field("action_share")
        );
        ensure!(self.deadline_ms > 0, "{} is 0", field("deadline_ms"));
        ensure!(
            self.idempotent_path.starts_with('/'),
            "{} is no path",
            field("idempotent_path")
        );
        let actions_have_path = self.action_share == 0.0 || self.action_path.starts_with('/');
        ensure!(actions_have_path, "{} is no path", field("action_path"));
        Ok(())
    }
}
