//! Test scenario: a fleet with a service document and API keys in force, a recorded history, and the
//! checks of the guarantees at the end of a test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use radishpaddle_model::ServiceId;
use radishpaddle_testkit::backend::{FaultPlan, RunningBackend};
use radishpaddle_testkit::caller::{Attempt, AttemptResult, Caller, CallerSettings, Operation};
use radishpaddle_testkit::clock::now_us;
use radishpaddle_testkit::history::{AttemptRecorder, History, KeyGrant, RateLimit};

use crate::fleet::Node;
use crate::observer::{Observer, entry_status, is_out_of_rotation, standings};
use crate::plan::{ORGANISATIONS, SERVICE, parse_organisation, service_document};
use crate::traffic::{TrafficPlan, operation};
use crate::{FleetPlan, Operator, ProcessFleet, Traffic};

/// Timeout for each entry instance of a new fleet to answer its first lookup.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two evaluations of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the acknowledgement of a withdrawal during which the key may still work. It equals the
/// freshness limit of 4 s (`docs/design.md`, section 4.1).
const WITHDRAWAL_GRACE_US: u64 = 4_000_000;

/// A running fleet with its operator, keys and recorded history.
pub struct Scenario {
    /// Processes and backend servers.
    pub fleet: ProcessFleet,
    /// Operator that knows all control instances.
    pub operator: Operator,
    recorder: AttemptRecorder,
    keys: Vec<KeyGrant>,
    observer: Observer,
}

impl Scenario {
    /// Starts a fleet, submits the service document and a key for each organisation, and waits until
    /// every entry instance answers a lookup.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start, a submission fails, or an entry instance does not
    /// answer within 20 s.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let fleet = ProcessFleet::start(plan).await?;
        let operator = fleet.operator();
        let keys =
            tokio::task::block_in_place(|| submit_document_and_keys(&operator, fleet.plan()))?;
        let entries = 0..fleet.plan().entries;
        let admins = entries.map(|entry| fleet.admin_address(Node::Entry(entry)));
        // `floor_percent` of the document is 50.
        let observer = Observer::spawn(admins.collect(), fleet.plan().backends.div_ceil(2));
        let scenario = Self {
            fleet,
            operator,
            recorder: AttemptRecorder::default(),
            keys,
            observer,
        };
        for entry in 0..scenario.fleet.plan().entries {
            scenario
                .wait_entry_answers(entry, FIRST_ANSWER_TIMEOUT)
                .await?;
        }
        Ok(scenario)
    }

    /// Creates a caller of the first organisation, `north`, that uses only the given entry instances.
    #[must_use]
    pub fn caller(&self, entries: &[usize], max_attempts: u32) -> Caller {
        let addresses = self.fleet.caller_addresses();
        let seeds = entries.iter().map(|entry| addresses[*entry]).collect();
        let settings = self.caller_settings(seeds);
        let settings = CallerSettings {
            max_attempts,
            keep_alive_ms: 900,
            ..settings
        };
        Caller::new(settings, Some(self.recorder.clone()))
    }

    /// Creates a caller of the first organisation that makes one attempt at one entry instance, without a fault
    /// proxy, and keeps its connections for 10 s.
    #[must_use]
    pub fn direct_caller(&self, entry: usize) -> Caller {
        let settings = CallerSettings {
            max_attempts: 1,
            keep_alive_ms: 10_000,
            ..self.caller_settings(vec![self.fleet.caller_listen_address(entry)])
        };
        Caller::new(settings, Some(self.recorder.clone()))
    }

    fn caller_settings(&self, seeds: Vec<SocketAddr>) -> CallerSettings {
        let grant = &self.keys[0];
        let settings = CallerSettings {
            seeds_only: true,
            ..CallerSettings::new(seeds)
        };
        settings.with_key(grant.organisation.clone(), grant.key.clone())
    }

    /// Returns the API key of the first organisation.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.keys[0].key
    }

    /// Creates a caller of the first organisation that uses all entry instances in turn.
    #[must_use]
    pub fn round_robin_caller(&self, max_attempts: u32) -> Caller {
        let entries: Vec<usize> = (0..self.fleet.plan().entries).collect();
        self.caller(&entries, max_attempts)
    }

    /// Starts `callers` background callers for each organisation that has a key. They discover the
    /// addresses of entry instances as real callers do. Every fifth operation is an action.
    ///
    /// # Errors
    ///
    /// Returns an error if the built-in service name is invalid.
    pub fn start_traffic(
        &self,
        callers: usize,
        pause_ms: u64,
        max_attempts: u32,
    ) -> Result<Traffic> {
        let traffic = Traffic::with_recorder(self.recorder.clone());
        for grant in &self.keys {
            let plan = TrafficPlan {
                organisation: grant.organisation.clone(),
                key: grant.key.clone(),
                callers,
                pause: Duration::from_millis(pause_ms),
                action_every: 5,
                max_attempts,
            };
            traffic.start(&self.fleet.caller_addresses(), &plan)?;
        }
        Ok(traffic)
    }

    /// Records the current time as the time at which the withdrawal of the key of an organisation was
    /// acknowledged.
    pub fn record_withdrawal(&mut self, organisation: usize) {
        self.keys[organisation].withdrawn_us = Some(now_us());
    }

    /// Returns the backend server with this zero-based index.
    #[must_use]
    pub fn backend(&self, number: usize) -> &RunningBackend {
        &self.fleet.backends()[number]
    }

    /// Injects the same faults into every backend server.
    pub fn set_faults_on_all_backends(&self, plan: &FaultPlan) {
        for backend in self.fleet.backends() {
            backend.set_faults(plan.clone());
        }
    }

    /// Fetches the status page of an entry instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not respond.
    pub fn status(&self, entry: usize) -> Result<serde_json::Value> {
        let admin = self.fleet.admin_address(Node::Entry(entry));
        tokio::task::block_in_place(|| entry_status(admin))
    }

    /// Returns the standing of a backend server at an entry instance, or an empty text if the instance
    /// does not respond or does not know the server.
    #[must_use]
    pub fn standing(&self, entry: usize, backend: usize) -> String {
        let name = format!("{SERVICE}-{}", backend + 1);
        let status = self.status(entry).unwrap_or_default();
        standings(&status).remove(&name).unwrap_or_default()
    }

    /// Returns whether an entry instance keeps a backend server out of rotation.
    #[must_use]
    pub fn is_out_of_rotation(&self, entry: usize, backend: usize) -> bool {
        is_out_of_rotation(&self.standing(entry, backend))
    }

    /// Returns what an entry instance has learnt from the responses of a backend server about new
    /// requests, as on its status page, or an empty text if it does not know the server.
    #[must_use]
    pub fn intake(&self, entry: usize, backend: usize) -> String {
        let name = format!("{SERVICE}-{}", backend + 1);
        let status = self.status(entry).unwrap_or_default();
        let servers = status["services"][SERVICE]["servers"].as_array();
        let mut servers = servers.into_iter().flatten();
        let server = servers.find(|server| server["backend_server"] == name.as_str());
        let intake = server.and_then(|server| server["intake"].as_str());
        intake.unwrap_or_default().to_owned()
    }

    /// Returns whether an entry instance reports that its configuration is fresh.
    #[must_use]
    pub fn is_fresh(&self, entry: usize) -> bool {
        self.status(entry)
            .is_ok_and(|status| status["fresh"].as_bool() == Some(true))
    }

    /// Returns the index of the witness leader that an entry instance reports, if it knows one.
    #[must_use]
    pub fn witness_leader(&self, entry: usize) -> Option<usize> {
        let status = self.status(entry).ok()?;
        let name = status["leader"]["life"]["instance"].as_str()?;
        let number: usize = name.strip_prefix("entry-")?.parse().ok()?;
        number.checked_sub(1)
    }

    /// Waits until one entry instance answers a lookup, and returns how long that took.
    ///
    /// # Errors
    ///
    /// Returns an error with the outcome of the last lookup if none is answered within the limit.
    pub async fn wait_entry_answers(&self, entry: usize, limit: Duration) -> Result<Duration> {
        let caller = self.caller(&[entry], 1);
        let started_at = Instant::now();
        loop {
            let told = caller.perform(&lookup(&unique_id("probe"))).await;
            if is_success(&told) {
                return Ok(started_at.elapsed());
            }
            if started_at.elapsed() > limit {
                bail!("entry-{} does not answer: {told:?}", entry + 1);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Resends an action through one entry instance until it is answered, as callers do after the outcome
    /// "not run". Returns the result code of the response.
    ///
    /// # Errors
    ///
    /// Returns an error with the last outcome if no response arrives within the limit.
    pub async fn resend_until_answered(
        &self,
        entry: usize,
        operation: &Operation,
        limit: Duration,
    ) -> Result<Option<u16>> {
        let caller = self.caller(&[entry], 1);
        let started_at = Instant::now();
        loop {
            let told = caller.perform(&resend_of(operation)).await;
            match told {
                AttemptResult::Answer { code, .. } => return Ok(code),
                _ if started_at.elapsed() < limit => tokio::time::sleep(POLL_INTERVAL).await,
                _ => bail!("entry-{} does not answer: {told:?}", entry + 1),
            }
        }
    }

    /// Waits until every entry instance answers a lookup.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them does not answer. The limit applies to all instances together.
    pub async fn wait_all_entries_answer(&self, limit: Duration) -> Result<()> {
        let started_at = Instant::now();
        for entry in 0..self.fleet.plan().entries {
            let remaining = limit.saturating_sub(started_at.elapsed());
            self.wait_entry_answers(entry, remaining).await?;
        }
        Ok(())
    }

    /// Returns the attempts of the background callers.
    #[must_use]
    pub fn traffic_attempts(&self) -> Vec<Attempt> {
        let mut attempts = self.recorder.attempts();
        // Only background callers use operation ids that start with the name of the organisation.
        let from_background_caller = |attempt: &Attempt| {
            let organisation = attempt.organisation.as_ref()?;
            Some(attempt.operation.starts_with(organisation.as_str()))
        };
        attempts.retain(|attempt| from_background_caller(attempt) == Some(true));
        attempts
    }

    /// Returns how many times the backend servers executed operations whose id starts with the prefix.
    #[must_use]
    pub fn executions(&self, prefix: &str) -> usize {
        let runs = self
            .fleet
            .backends()
            .iter()
            .flat_map(RunningBackend::executions);
        let has_prefix = |run: &radishpaddle_testkit::backend::Execution| {
            let operation_id = run.operation.clone().unwrap_or_default();
            operation_id.starts_with(prefix)
        };
        runs.filter(has_prefix).count()
    }

    /// Returns a report for the message of a failed test: the decisions that witness leaders logged, the
    /// standings at each entry instance, the status of each backend server, the executions of operations
    /// whose id starts with the prefix, and a summary of all attempts.
    #[must_use]
    pub fn diagnostics(&self, prefix: &str) -> String {
        let mut lines = Vec::new();
        for entry in 0..self.fleet.plan().entries {
            let log = self.fleet.log(Node::Entry(entry)).unwrap_or_default();
            let decisions = log.lines().filter(|line| line.contains("leader:"));
            lines.extend(decisions.map(|line| format!("entry-{}: {line}", entry + 1)));
            let status = self.status(entry).unwrap_or_default();
            lines.push(format!(
                "entry-{} leader {}: {:?}",
                entry + 1,
                status["leader"],
                standings(&status)
            ));
        }
        for backend in self.fleet.backends() {
            lines.push(format!("{:?}", backend.status()));
            for run in backend.executions() {
                let operation_id = run.operation.unwrap_or_default();
                if operation_id.starts_with(prefix) {
                    let (server, start_us) = (&run.backend_server, run.start_us);
                    lines.push(format!(
                        "{operation_id} at {server} {start_us} us: {:?}",
                        run.status
                    ));
                }
            }
        }
        lines.extend(self.attempt_summary());
        lines.join("\n")
    }

    /// Returns one line per outcome with the number of attempts and their mean duration.
    fn attempt_summary(&self) -> Vec<String> {
        let mut groups: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for attempt in self.recorder.attempts() {
            let kind = match attempt.told {
                AttemptResult::Answer { status, code, .. } => format!("answer {status} {code:?}"),
                told => format!("{told:?}"),
            };
            let group = groups.entry(kind).or_default();
            group.0 += 1;
            group.1 += attempt.received_us.saturating_sub(attempt.sent_us);
        }
        let line = |(kind, (count, time_us)): (String, (u64, u64))| {
            format!("{count} attempts, mean {} us: {kind}", time_us / count)
        };
        groups.into_iter().map(line).collect()
    }

    /// Checks the recorded history against the guarantees and returns the violations, including those of
    /// P1 and P11 that the observer found.
    ///
    /// # Panics
    ///
    /// Panics if the name of a built-in organisation or service is invalid.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let (rate_per_s, burst) = self.fleet.plan().rate_and_burst;
        let limits = ORGANISATIONS.map(|name| RateLimit {
            service: service(),
            organisation: parse_organisation(name).expect("a valid name"),
            rate_per_s,
            burst,
        });
        let history = History {
            attempts: self.recorder.attempts(),
            executions: self
                .fleet
                .backends()
                .iter()
                .flat_map(RunningBackend::executions)
                .collect(),
            keys: self.keys.clone(),
            limits: limits.to_vec(),
            withdrawal_grace_us: WITHDRAWAL_GRACE_US,
            organisation_header: Some("x-organisation".to_owned()),
        };
        let found = history.violations();
        let mut texts: Vec<String> = found.iter().map(ToString::to_string).collect();
        texts.extend(self.observer.violations());
        texts
    }

    /// Asserts that no guarantee was violated.
    ///
    /// # Panics
    ///
    /// Panics with all violations if there are any, or if the observer read no status page.
    pub fn assert_guarantees(&self) {
        assert!(
            self.observer.samples() > 0,
            "the observer read no status page"
        );
        let violations = self.violations();
        assert!(violations.is_empty(), "{}", violations.join("\n"));
    }
}

fn submit_document_and_keys(operator: &Operator, plan: &FleetPlan) -> Result<Vec<KeyGrant>> {
    let (rate_per_s, burst) = plan.rate_and_burst;
    operator.submit_document(&service_document(rate_per_s, burst)?)?;
    ORGANISATIONS[..plan.organisations]
        .iter()
        .map(|name| {
            Ok(KeyGrant {
                key: operator.create_key(name, &format!("{name}-1"))?,
                organisation: parse_organisation(name)?,
                withdrawn_us: None,
            })
        })
        .collect()
}

/// Returns an operation id that is unique within this process.
#[must_use]
pub fn unique_id(prefix: &str) -> String {
    use std::sync::atomic::{AtomicU64, Ordering};

    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);
    format!("{prefix}-{}", NEXT_NUMBER.fetch_add(1, Ordering::Relaxed))
}

fn service() -> ServiceId {
    SERVICE.parse().expect("a valid name")
}

/// Creates an idempotent lookup with this operation id.
#[must_use]
pub fn lookup(id: &str) -> Operation {
    operation(&service(), id.to_owned(), false)
}

/// Creates a non-idempotent action whose operation id is also its idempotency key.
#[must_use]
pub fn action(id: &str) -> Operation {
    operation(&service(), id.to_owned(), true)
}

/// Returns the same request with another operation id, as a caller resends it after a lost response. An
/// idempotency key stays the same.
#[must_use]
pub fn resend_of(operation: &Operation) -> Operation {
    Operation {
        id: unique_id(&format!("{}-again", operation.id)),
        ..operation.clone()
    }
}

/// Returns whether the caller received a complete response with status 200.
#[must_use]
pub fn is_success(told: &AttemptResult) -> bool {
    matches!(told, AttemptResult::Answer { status: 200, .. })
}

/// Polls a condition until it holds, and returns how long that took.
///
/// # Errors
///
/// Returns an error that names the condition if it does not hold within the limit.
pub async fn eventually(
    description: &str,
    limit: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<Duration> {
    let started_at = Instant::now();
    loop {
        if condition() {
            return Ok(started_at.elapsed());
        }
        if started_at.elapsed() > limit {
            bail!("{description}: not within {limit:?}");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
