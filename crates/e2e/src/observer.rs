//! Looks at every entry instance while a test runs and checks what a history of requests does not
//! show: the ejection floor (P1) and revisions that never revert (P11).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

use crate::operator::admin_page;
use crate::plan::SERVICE;

/// Pause between two looks at the fleet.
const PERIOD: Duration = Duration::from_millis(100);

/// A running observer. It stops when it is dropped.
pub struct Observer {
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Seen {
    /// Highest revision that each instance served with.
    served: BTreeMap<SocketAddr, u64>,
    looks: u64,
    violations: Vec<String>,
}

impl Observer {
    /// Starts to look at the entry instances with these admin addresses.
    #[must_use]
    pub fn spawn(admins: Vec<SocketAddr>, floor: usize) -> Self {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let (task_seen, task_stop) = (Arc::clone(&seen), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            while !task_stop.load(Ordering::Relaxed) {
                for admin in &admins {
                    // An instance that a test has killed does not answer.
                    if let Ok(status) = entry_status(*admin) {
                        lock(&task_seen).look(*admin, &status, floor);
                    }
                }
                std::thread::sleep(PERIOD);
            }
        });
        Self {
            seen,
            stop,
            thread: Some(thread),
        }
    }

    /// What was seen against P1 and P11.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        lock(&self.seen).violations.clone()
    }

    /// Answers that the instances gave so far.
    #[must_use]
    pub fn looks(&self) -> u64 {
        lock(&self.seen).looks
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }
}

impl Seen {
    fn look(&mut self, admin: SocketAddr, status: &Value, floor: usize) {
        self.looks += 1;
        let standings = standings(status);
        let ejected = standings.values().filter(|text| is_out(text)).count();
        if standings.len() >= floor && standings.len() - ejected < floor {
            self.violations
                .push(format!("P1: below the floor at {admin}: {standings:?}"));
        }
        if status["fresh"].as_bool() != Some(true) {
            return;
        }
        let revision = status["revision"].as_u64().unwrap_or(0);
        let highest = self.served.entry(admin).or_default();
        if revision < *highest {
            let text = format!("P11: {admin} went from revision {highest} to {revision}");
            self.violations.push(text);
        }
        *highest = revision.max(*highest);
    }
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Status page of an entry instance.
///
/// # Errors
///
/// Fails when the process does not answer.
pub fn entry_status(admin: SocketAddr) -> anyhow::Result<Value> {
    Ok(serde_json::from_str(&admin_page(admin, "/v1/status")?)?)
}

/// Whether a standing takes a backend server out of rotation; a trial request does not count as
/// capacity.
#[must_use]
pub fn is_out(standing: &str) -> bool {
    standing.starts_with("Out") || standing.starts_with("Trial")
}

/// Standing of each backend server on a status page.
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
