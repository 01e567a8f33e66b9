//! State of a sample backend server that its tasks and its handle share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use radishpaddle_model::{Announcement, BackendState, Incarnation};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use super::record::ExecutionLog;
use super::signal::SignalLog;
use super::{BackendSettings, FaultPlan};
use crate::clock::now_us;

/// State and counters of a sample backend server. The counters cover all incarnations.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendStatus {
    /// Current incarnation.
    pub incarnation: Incarnation,
    /// Announced state; new requests are accepted only while serving.
    pub state: BackendState,
    /// Whether connections are accepted; `false` between a crash and the restart.
    pub up: bool,
    /// Requests that hold a slot.
    pub in_flight: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Executions started.
    pub started: u64,
    /// Requests refused with `X-Shed: 1` while serving.
    pub shed: u64,
    /// Requests that arrived after the drain began and were refused.
    pub arrived_after_drain: u64,
    /// Time at which the last of these requests arrived, in microseconds since the Unix epoch.
    pub last_arrival_after_drain_us: Option<u64>,
    /// Announcements accepted by an entry instance.
    pub announcements_accepted: u64,
    /// Announcements that failed or were refused.
    pub announcements_failed: u64,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: BackendSettings,
    pub(super) address: SocketAddr,
    pub(super) execution_log: Arc<ExecutionLog>,
    pub(super) signals: SignalLog,
    pub(super) slots: Arc<Semaphore>,
    pub(super) waiting: AtomicUsize,
    /// Wakes the announcement task after a restart or a change of the entry instances.
    pub(super) changed: Notify,
    pub(super) shed: AtomicU64,
    pub(super) announcements_accepted: AtomicU64,
    pub(super) announcements_failed: AtomicU64,
    run_state: Mutex<RunState>,
    faults: Mutex<FaultPlan>,
    entries: Mutex<Vec<SocketAddr>>,
    random: Mutex<SmallRng>,
}

/// State of the current incarnation and the counters of requests after a drain, under one lock.
#[derive(Debug)]
struct RunState {
    incarnation: Incarnation,
    state: BackendState,
    /// Sequence number of the last announcement of this incarnation.
    sequence: u64,
    /// Requests run by this incarnation.
    requests: u64,
    up: bool,
    /// Delay until the restart after the last crash; `None` means no restart.
    restart_after_ms: Option<u64>,
    /// Cancelled by a crash; ends the listener and the connections of this incarnation.
    shutdown: CancellationToken,
    arrived_after_drain: u64,
    last_arrival_after_drain_us: Option<u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(super) fn new(settings: BackendSettings, address: SocketAddr) -> Self {
        let run_state = RunState {
            incarnation: settings.incarnation,
            state: BackendState::Serving,
            sequence: 0,
            requests: 0,
            up: true,
            restart_after_ms: None,
            shutdown: CancellationToken::new(),
            arrived_after_drain: 0,
            last_arrival_after_drain_us: None,
        };
        Self {
            address,
            execution_log: Arc::new(ExecutionLog::new(settings.max_recorded_executions)),
            slots: Arc::new(Semaphore::new(settings.slots as usize)),
            signals: SignalLog::default(),
            waiting: AtomicUsize::new(0),
            changed: Notify::new(),
            shed: AtomicU64::new(0),
            announcements_accepted: AtomicU64::new(0),
            announcements_failed: AtomicU64::new(0),
            run_state: Mutex::new(run_state),
            faults: Mutex::new(settings.faults.clone()),
            entries: Mutex::new(settings.entries.clone()),
            random: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
            settings,
        }
    }

    pub(super) fn faults(&self) -> FaultPlan {
        lock(&self.faults).clone()
    }

    pub(super) fn set_faults(&self, plan: FaultPlan) {
        *lock(&self.faults) = plan;
    }

    pub(super) fn entries(&self) -> Vec<SocketAddr> {
        lock(&self.entries).clone()
    }

    pub(super) fn set_entries(&self, entries: Vec<SocketAddr>) {
        *lock(&self.entries) = entries;
        self.changed.notify_one();
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        lock(&self.run_state).incarnation
    }

    pub(super) fn is_up(&self) -> bool {
        lock(&self.run_state).up
    }

    /// Advances the announced state. It never returns to an earlier state within an incarnation.
    pub(super) fn advance_state(&self, state: BackendState) {
        let mut run_state = lock(&self.run_state);
        run_state.state = run_state.state.max(state);
    }

    /// Returns whether new requests are accepted. If not, counts the arrival as one after the drain.
    pub(super) fn accepts_work(&self) -> bool {
        let mut run_state = lock(&self.run_state);
        if run_state.state == BackendState::Serving {
            return true;
        }
        run_state.arrived_after_drain += 1;
        run_state.last_arrival_after_drain_us = Some(now_us());
        false
    }

    /// Marks the server as up and returns a token that a crash or the cancellation of `parent` cancels.
    pub(super) fn begin_incarnation(&self, parent: &CancellationToken) -> CancellationToken {
        let mut run_state = lock(&self.run_state);
        run_state.shutdown = parent.child_token();
        run_state.up = true;
        self.changed.notify_one();
        run_state.shutdown.clone()
    }

    /// Ends the current incarnation. The next one starts after `restart_after_ms` milliseconds, if given.
    pub(super) fn crash(&self, restart_after_ms: Option<u64>) {
        let mut run_state = lock(&self.run_state);
        run_state.up = false;
        run_state.restart_after_ms = restart_after_ms;
        run_state.shutdown.cancel();
    }

    /// Ends an incarnation after a delay as by a crash, unless another one runs by then.
    pub(super) fn end_later(
        self: &Arc<Self>,
        incarnation: Incarnation,
        delay: Duration,
        restart_after_ms: Option<u64>,
    ) {
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            if shared.incarnation() == incarnation {
                shared.crash(restart_after_ms);
            }
        });
    }

    /// Returns the delay between the last crash and the restart, or `None` if there is no restart.
    pub(super) fn restart_delay(&self) -> Option<Duration> {
        let delay_ms = lock(&self.run_state).restart_after_ms?;
        Some(Duration::from_millis(delay_ms))
    }

    /// Increments the incarnation and resets its state.
    pub(super) fn increment_incarnation(&self) {
        let mut run_state = lock(&self.run_state);
        run_state.incarnation = Incarnation(run_state.incarnation.0 + 1);
        run_state.state = BackendState::Serving;
        run_state.sequence = 0;
        run_state.requests = 0;
    }

    /// Builds an announcement of the current state with the next sequence number.
    pub(super) fn next_announcement(&self) -> Announcement {
        let mut run_state = lock(&self.run_state);
        run_state.sequence += 1;
        Announcement {
            service: self.settings.service.clone(),
            backend_server: self.settings.backend_server.clone(),
            incarnation: run_state.incarnation,
            sequence: run_state.sequence,
            address: self.settings.announced_address.unwrap_or(self.address),
            availability_zone: self.settings.availability_zone.clone(),
            slots: self.settings.slots,
            state: run_state.state,
        }
    }

    /// Samples the service time of the next request, with the faults of the plan.
    pub(super) fn sample_service_time(&self, plan: &FaultPlan) -> Duration {
        let settings = &self.settings;
        let spread = settings.service_time_spread.clamp(0.0, 1.0);
        let deviation: f64 = lock(&self.random).random_range(-1.0..=1.0);
        let mut time_ms = settings.service_time_ms.max(0.0) * (1.0 + spread * deviation);
        if self.next_request_is_cold() {
            time_ms *= settings.cold_service_time_factor.max(1.0);
        }
        if plan.slow_factor > 0.0 {
            time_ms *= plan.slow_factor;
        }
        let extra = Duration::from_millis(plan.extra_delay_ms);
        Duration::from_secs_f64(time_ms / 1_000.0) + extra
    }

    /// Returns `true` with the probability `share`.
    pub(super) fn sample_event(&self, share: f64) -> bool {
        share > 0.0 && lock(&self.random).random::<f64>() < share
    }

    /// Counts a request and returns whether it is one of the slow requests at the start of the incarnation.
    fn next_request_is_cold(&self) -> bool {
        let mut run_state = lock(&self.run_state);
        run_state.requests += 1;
        run_state.requests <= self.settings.cold_requests_per_incarnation
    }

    pub(super) fn status(&self) -> BackendStatus {
        let run_state = lock(&self.run_state);
        let slots = self.settings.slots as usize;
        BackendStatus {
            incarnation: run_state.incarnation,
            state: run_state.state,
            up: run_state.up,
            in_flight: slots.saturating_sub(self.slots.available_permits()),
            waiting: self.waiting.load(Ordering::Relaxed),
            started: self.execution_log.started(),
            shed: self.shed.load(Ordering::Relaxed),
            arrived_after_drain: run_state.arrived_after_drain,
            last_arrival_after_drain_us: run_state.last_arrival_after_drain_us,
            announcements_accepted: self.announcements_accepted.load(Ordering::Relaxed),
            announcements_failed: self.announcements_failed.load(Ordering::Relaxed),
        }
    }
}
