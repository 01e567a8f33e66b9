//! Polls the status page of every entry instance while a test runs. It checks the guarantees that a
//! history of requests does not show: instances respect the ejection floor (P1), and the revision that
//! an instance serves never decreases (P11).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

use crate::operator::admin_page;
use crate::plan::SERVICE;

/// Pause between two polls of all entry instances.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A background thread that polls the entry instances. It stops when the handle is dropped.
pub struct Observer {
    observations: Arc<Mutex<Observations>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Observations {
    /// Highest revision that each instance reported while it was fresh, by admin address.
    highest_revision: BTreeMap<SocketAddr, u64>,
    /// Number of status pages that were read.
    samples: u64,
    violations: Vec<String>,
}

impl Observer {
    /// Starts to poll the entry instances at these admin addresses. `floor` is the minimum number of
    /// backend servers that must stay in rotation.
    #[must_use]
    pub fn spawn(admins: Vec<SocketAddr>, floor: usize) -> Self {
        let observations = Arc::new(Mutex::new(Observations::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let (thread_observations, thread_stop) = (Arc::clone(&observations), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            while !thread_stop.load(Ordering::Relaxed) {
                for admin in &admins {
                    // An instance that the test has killed does not respond.
                    if let Ok(status) = entry_status(*admin) {
                        lock(&thread_observations).record(*admin, &status, floor);
                    }
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        Self {
            observations,
            stop,
            thread: Some(thread),
        }
    }

    /// Returns the violations of P1 and P11 that were observed.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        lock(&self.observations).violations.clone()
    }

    /// Returns the number of status pages that were read.
    #[must_use]
    pub fn samples(&self) -> u64 {
        lock(&self.observations).samples
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}

impl Observations {
    fn record(&mut self, admin: SocketAddr, status: &Value, floor: usize) {
        self.samples += 1;
        let standings = standings(status);
        let ejected = standings
            .values()
            .filter(|text| is_out_of_rotation(text))
            .count();
        if standings.len() >= floor && standings.len() - ejected < floor {
            self.violations.push(format!(
                "P1: fewer than {floor} servers in rotation at {admin}: {standings:?}"
            ));
        }
        if status["fresh"].as_bool() != Some(true) {
            return;
        }
        let revision = status["revision"].as_u64().unwrap_or(0);
        let highest = self.highest_revision.entry(admin).or_default();
        if revision < *highest {
            let text = format!("P11: revision at {admin} decreased from {highest} to {revision}");
            self.violations.push(text);
        }
        *highest = revision.max(*highest);
    }
}

fn lock(observations: &Mutex<Observations>) -> MutexGuard<'_, Observations> {
    observations.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Fetches the status page of an entry instance.
///
/// # Errors
///
/// Returns an error if the process does not respond or the page is not valid JSON.
pub fn entry_status(admin: SocketAddr) -> anyhow::Result<Value> {
    Ok(serde_json::from_str(&admin_page(admin, "/v1/status")?)?)
}

/// Returns whether a backend server with this standing is out of rotation. A server on trial counts as
/// out, because a trial request adds no capacity.
#[must_use]
pub fn is_out_of_rotation(standing: &str) -> bool {
    standing.starts_with("Out") || standing.starts_with("Trial")
}

/// Returns the standing of each backend server on the status page of an entry instance.
#[must_use]
pub fn standings(status: &Value) -> BTreeMap<String, String> {
    let servers = status["services"][SERVICE]["servers"].as_array();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    servers
        .into_iter()
        .flatten()
        .map(|server| (text(&server["backend_server"]), text(&server["standing"])))
        .collect()
}
