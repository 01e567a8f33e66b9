//! A fleet with a document and keys in force, a recorded history and the checks at the end of a test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use radishpaddle_model::ServiceId;
use radishpaddle_testkit::backend::{FaultPlan, RunningBackend};
use radishpaddle_testkit::caller::{Attempt, Caller, CallerSettings, Operation, Told};
use radishpaddle_testkit::clock::now_us;
use radishpaddle_testkit::history::{History, KeyGrant, RateLimit, Recorder};

use crate::fleet::Node;
use crate::observer::{Observer, entry_status, is_out, standings};
use crate::plan::{ORGANISATIONS, SERVICE, document, organisation};
use crate::traffic::{TrafficPlan, operation};
use crate::{FleetPlan, Operator, ProcessFleet, Traffic};

/// Longest time until a started fleet answers on every instance.
const WARM_UP_LIMIT: Duration = Duration::from_secs(20);

/// Pause between two looks at a condition.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Withdrawn keys may work for the freshness limit (design 4.1).
const WITHDRAWAL_GRACE_US: u64 = 4_000_000;

/// A fleet in use.
pub struct Scenario {
    /// Its processes.
    pub fleet: ProcessFleet,
    /// An operator.
    pub operator: Operator,
    recorder: Recorder,
    keys: Vec<KeyGrant>,
    observer: Observer,
}

impl Scenario {
    /// Starts a fleet, puts the document and a key for each organisation in force, and waits until
    /// every entry instance answers a lookup.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or an instance does not answer in time.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let fleet = ProcessFleet::start(plan).await?;
        let operator = fleet.operator();
        let keys = tokio::task::block_in_place(|| put_in_force(&operator, fleet.plan()))?;
        let entries = 0..fleet.plan().entries;
        let admins = entries.map(|entry| fleet.admin_address(Node::Entry(entry)));
        // The document has a floor of 50 percent.
        let observer = Observer::spawn(admins.collect(), fleet.plan().backends.div_ceil(2));
        let scenario = Self {
            fleet,
            operator,
            recorder: Recorder::default(),
            keys,
            observer,
        };
        for entry in 0..scenario.fleet.plan().entries {
            scenario.wait_answers(entry, WARM_UP_LIMIT).await?;
        }
        Ok(scenario)
    }

    /// Caller of `north` that uses only the given entry instances.
    #[must_use]
    pub fn caller(&self, entries: &[usize], max_attempts: u32) -> Caller {
        let addresses = self.fleet.caller_addresses();
        let seeds: Vec<SocketAddr> = entries.iter().map(|entry| addresses[*entry]).collect();
        let grant = &self.keys[0];
        let settings = CallerSettings {
            max_attempts,
            keep_alive_ms: 900,
            seeds_only: true,
            ..CallerSettings::new(seeds).with_key(grant.organisation.clone(), grant.key.clone())
        };
        Caller::new(settings, Some(self.recorder.clone()))
    }

    /// Caller that uses every entry instance in turn.
    #[must_use]
    pub fn any_caller(&self, max_attempts: u32) -> Caller {
        let entries: Vec<usize> = (0..self.fleet.plan().entries).collect();
        self.caller(&entries, max_attempts)
    }

    /// Callers in the background that ask for addresses as real ones do, the given number for each
    /// organisation that has a key.
    ///
    /// # Errors
    ///
    /// Never fails for the service that is built in.
    pub fn traffic(&self, callers: usize, pause_ms: u64, max_attempts: u32) -> Result<Traffic> {
        let traffic = Traffic::recording(self.recorder.clone());
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

    /// Notes that the withdrawal of the key of an organisation was acknowledged now.
    pub fn withdrawn(&mut self, organisation: usize) {
        self.keys[organisation].withdrawn_us = Some(now_us());
    }

    /// Backend server by its position.
    #[must_use]
    pub fn backend(&self, number: usize) -> &RunningBackend {
        &self.fleet.backends()[number]
    }

    /// Sets the same faults on every backend server.
    pub fn set_all_faults(&self, plan: &FaultPlan) {
        for backend in self.fleet.backends() {
            backend.set_faults(plan.clone());
        }
    }

    /// Status page of an entry instance.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn status(&self, entry: usize) -> Result<serde_json::Value> {
        let admin = self.fleet.admin_address(Node::Entry(entry));
        tokio::task::block_in_place(|| entry_status(admin))
    }

    /// Standing of a backend server at an entry instance; empty when it is not known there.
    #[must_use]
    pub fn standing(&self, entry: usize, backend: usize) -> String {
        let name = format!("{SERVICE}-{}", backend + 1);
        let status = self.status(entry).unwrap_or_default();
        standings(&status).remove(&name).unwrap_or_default()
    }

    /// Whether an entry instance keeps a backend server out of rotation.
    #[must_use]
    pub fn is_out(&self, entry: usize, backend: usize) -> bool {
        is_out(&self.standing(entry, backend))
    }

    /// Whether an entry instance says that it is fresh.
    #[must_use]
    pub fn is_fresh(&self, entry: usize) -> bool {
        self.status(entry)
            .is_ok_and(|status| status["fresh"].as_bool() == Some(true))
    }

    /// Position of the witness leader as an entry instance sees it.
    #[must_use]
    pub fn witness_leader(&self, entry: usize) -> Option<usize> {
        let status = self.status(entry).ok()?;
        let name = status["leader"]["life"]["instance"].as_str()?;
        let number: usize = name.strip_prefix("entry-")?.parse().ok()?;
        number.checked_sub(1)
    }

    /// Waits until one entry instance answers a lookup.
    ///
    /// # Errors
    ///
    /// Fails with what the last lookup was told when the limit passes.
    pub async fn wait_answers(&self, entry: usize, limit: Duration) -> Result<Duration> {
        let caller = self.caller(&[entry], 1);
        let started = Instant::now();
        loop {
            let told = caller.perform(&lookup(&unique("probe"))).await;
            if is_answer(&told) {
                return Ok(started.elapsed());
            }
            if started.elapsed() > limit {
                bail!("entry-{} does not answer: {told:?}", entry + 1);
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Sends an action again through one entry instance, as callers do after "not run", until it is
    /// answered. Returns the result code of the answer.
    ///
    /// # Errors
    ///
    /// Fails when the limit passes first.
    pub async fn wait_action(
        &self,
        entry: usize,
        operation: &Operation,
        limit: Duration,
    ) -> Result<Option<u16>> {
        let caller = self.caller(&[entry], 1);
        let started = Instant::now();
        loop {
            let told = caller.perform(&again(operation)).await;
            match told {
                Told::Answer { code, .. } => return Ok(code),
                _ if started.elapsed() < limit => tokio::time::sleep(LOOK_PAUSE).await,
                _ => bail!("entry-{} does not answer: {told:?}", entry + 1),
            }
        }
    }

    /// Waits until every entry instance answers a lookup.
    ///
    /// # Errors
    ///
    /// Fails when one does not answer within the limit.
    pub async fn wait_all_answer(&self, limit: Duration) -> Result<()> {
        let started = Instant::now();
        for entry in 0..self.fleet.plan().entries {
            let left = limit.saturating_sub(started.elapsed());
            self.wait_answers(entry, left).await?;
        }
        Ok(())
    }

    /// Attempts of the callers in the background.
    #[must_use]
    pub fn traffic_attempts(&self) -> Vec<Attempt> {
        let mut attempts = self.recorder.attempts();
        // Their operations are named after the organisation.
        let named = |attempt: &Attempt| {
            let organisation = attempt.organisation.as_ref()?;
            Some(attempt.operation.starts_with(organisation.as_str()))
        };
        attempts.retain(|attempt| named(attempt) == Some(true));
        attempts
    }

    /// Executions whose operation starts with the text.
    #[must_use]
    pub fn executions(&self, prefix: &str) -> usize {
        let runs = self
            .fleet
            .backends()
            .iter()
            .flat_map(RunningBackend::executions);
        let operation = |run: &radishpaddle_testkit::backend::Execution| {
            let tag = run.operation.clone().unwrap_or_default();
            tag.starts_with(prefix)
        };
        runs.filter(operation).count()
    }

    /// What the processes and backend servers say, for the message of a failed test: decisions of the
    /// witness leaders, crash reports, standings, and the executions with the prefix.
    #[must_use]
    pub fn trace(&self, prefix: &str) -> String {
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
                let tag = run.operation.unwrap_or_default();
                if tag.starts_with(prefix) {
                    let (server, start_us) = (&run.backend_server, run.start_us);
                    lines.push(format!("{tag} at {server} {start_us} us: {:?}", run.status));
                }
            }
        }
        lines.extend(self.summary());
        lines.join("\n")
    }

    /// Number and mean time of the attempts by what they were told.
    fn summary(&self) -> Vec<String> {
        let mut groups: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for attempt in self.recorder.attempts() {
            let kind = match attempt.told {
                Told::Answer { status, code, .. } => format!("answer {status} {code:?}"),
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

    /// Checks the whole history against the guarantees, P1 and P11 included.
    ///
    /// # Panics
    ///
    /// Never panics for the names that are built in.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let (rate_per_s, burst) = self.fleet.plan().limit;
        let limits = ORGANISATIONS.map(|name| RateLimit {
            service: service(),
            organisation: organisation(name).expect("a valid name"),
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

    /// Fails the test when the history shows a violation.
    ///
    /// # Panics
    ///
    /// Panics with every violation.
    pub fn assert_guarantees(&self) {
        assert!(self.observer.looks() > 0, "the observer saw nothing");
        let violations = self.violations();
        assert!(violations.is_empty(), "{}", violations.join("\n"));
    }
}

fn put_in_force(operator: &Operator, plan: &FleetPlan) -> Result<Vec<KeyGrant>> {
    operator.put(&document(plan.limit.0, plan.limit.1)?)?;
    ORGANISATIONS[..plan.organisations]
        .iter()
        .map(|name| {
            Ok(KeyGrant {
                key: operator.give(name, &format!("{name}-1"))?,
                organisation: organisation(name)?,
                withdrawn_us: None,
            })
        })
        .collect()
}

/// An operation id that no other operation of this process has.
#[must_use]
pub fn unique(prefix: &str) -> String {
    use std::sync::atomic::{AtomicU64, Ordering};

    static NUMBERS: AtomicU64 = AtomicU64::new(1);
    format!("{prefix}-{}", NUMBERS.fetch_add(1, Ordering::Relaxed))
}

fn service() -> ServiceId {
    SERVICE.parse().expect("a valid name")
}

/// An idempotent operation.
#[must_use]
pub fn lookup(id: &str) -> Operation {
    operation(&service(), id.to_owned(), false)
}

/// A non-idempotent operation with an idempotency key.
#[must_use]
pub fn action(id: &str) -> Operation {
    operation(&service(), id.to_owned(), true)
}

/// The same request under another operation id, as a caller sends it after a lost response.
#[must_use]
pub fn again(operation: &Operation) -> Operation {
    Operation {
        id: unique(&format!("{}-again", operation.id)),
        ..operation.clone()
    }
}

/// Whether the caller got a complete response with status 200.
#[must_use]
pub fn is_answer(told: &Told) -> bool {
    matches!(told, Told::Answer { status: 200, .. })
}

/// Waits until a condition holds and returns how long that took.
///
/// # Errors
///
/// Fails when the limit passes first.
pub async fn eventually(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<Duration> {
    let started = Instant::now();
    loop {
        if condition() {
            return Ok(started.elapsed());
        }
        if started.elapsed() > limit {
            bail!("{what}: not within {limit:?}");
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}
