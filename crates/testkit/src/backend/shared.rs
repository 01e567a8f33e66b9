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

use super::record::Recorder;
use super::{BackendSettings, FaultPlan};
use crate::clock::now_us;

/// State and counts of a sample backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendStatus {
    /// Incarnation that runs now.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: BackendState,
    /// Whether it accepts connections; `false` after a crash.
    pub up: bool,
    /// Requests that hold a slot.
    pub in_flight: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Executions that were started, over all incarnations.
    pub started: u64,
    /// Requests that were refused with `X-Shed: 1` while serving.
    pub shed: u64,
    /// Requests that arrived after the drain; they were refused.
    pub arrived_after_drain: u64,
    /// When the last request arrived after the drain, in microseconds since the Unix epoch.
    pub last_arrival_after_drain_us: Option<u64>,
    /// Announcements that an entry instance accepted.
    pub announcements_accepted: u64,
    /// Announcements that failed or were refused.
    pub announcements_failed: u64,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: BackendSettings,
    pub(super) address: SocketAddr,
    pub(super) recorder: Arc<Recorder>,
    pub(super) slots: Arc<Semaphore>,
    pub(super) waiting: AtomicUsize,
    /// Wakes the announcing task on a change of state.
    pub(super) changed: Notify,
    pub(super) shed: AtomicU64,
    pub(super) announcements_accepted: AtomicU64,
    pub(super) announcements_failed: AtomicU64,
    life: Mutex<Life>,
    faults: Mutex<FaultPlan>,
    entries: Mutex<Vec<SocketAddr>>,
    random: Mutex<SmallRng>,
}

/// What a restart replaces.
#[derive(Debug)]
struct Life {
    incarnation: Incarnation,
    state: BackendState,
    sequence: u64,
    requests: u64,
    up: bool,
    restart_after_ms: Option<u64>,
    end: CancellationToken,
    arrived_after_drain: u64,
    last_arrival_after_drain_us: Option<u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(super) fn new(settings: BackendSettings, address: SocketAddr) -> Self {
        let life = Life {
            incarnation: settings.incarnation,
            state: BackendState::Serving,
            sequence: 0,
            requests: 0,
            up: true,
            restart_after_ms: None,
            end: CancellationToken::new(),
            arrived_after_drain: 0,
            last_arrival_after_drain_us: None,
        };
        Self {
            address,
            recorder: Arc::new(Recorder::new(settings.record_limit)),
            slots: Arc::new(Semaphore::new(settings.slots as usize)),
            waiting: AtomicUsize::new(0),
            changed: Notify::new(),
            shed: AtomicU64::new(0),
            announcements_accepted: AtomicU64::new(0),
            announcements_failed: AtomicU64::new(0),
            life: Mutex::new(life),
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
        lock(&self.life).incarnation
    }

    pub(super) fn is_up(&self) -> bool {
        lock(&self.life).up
    }

    /// Moves the state forward; it never moves back within an incarnation.
    pub(super) fn advance(&self, state: BackendState) {
        let mut life = lock(&self.life);
        life.state = life.state.max(state);
    }

    /// Whether new work is accepted. Counts the arrival when it is not.
    pub(super) fn accepts_work(&self) -> bool {
        let mut life = lock(&self.life);
        if life.state == BackendState::Serving {
            return true;
        }
        life.arrived_after_drain += 1;
        life.last_arrival_after_drain_us = Some(now_us());
        false
    }

    /// Starts a life under `parent` and returns the token that ends it.
    pub(super) fn begin_life(&self, parent: &CancellationToken) -> CancellationToken {
        let mut life = lock(&self.life);
        life.end = parent.child_token();
        life.up = true;
        self.changed.notify_one();
        life.end.clone()
    }

    pub(super) fn crash(&self, restart_after_ms: Option<u64>) {
        let mut life = lock(&self.life);
        life.up = false;
        life.restart_after_ms = restart_after_ms;
        life.end.cancel();
    }

    /// Delay until the restart that the last crash asked for.
    pub(super) fn restart_delay(&self) -> Option<Duration> {
        let delay_ms = lock(&self.life).restart_after_ms?;
        Some(Duration::from_millis(delay_ms))
    }

    pub(super) fn next_incarnation(&self) {
        let mut life = lock(&self.life);
        life.incarnation = Incarnation(life.incarnation.0 + 1);
        life.state = BackendState::Serving;
        life.sequence = 0;
        life.requests = 0;
    }

    pub(super) fn next_announcement(&self) -> Announcement {
        let mut life = lock(&self.life);
        life.sequence += 1;
        Announcement {
            service: self.settings.service.clone(),
            backend_server: self.settings.backend_server.clone(),
            incarnation: life.incarnation,
            sequence: life.sequence,
            address: self.settings.announced_address.unwrap_or(self.address),
            availability_zone: self.settings.availability_zone.clone(),
            slots: self.settings.slots,
            state: life.state,
        }
    }

    /// Draws the service time of the next request.
    pub(super) fn service_time(&self, plan: &FaultPlan) -> Duration {
        let settings = &self.settings;
        let spread = settings.service_time_spread.clamp(0.0, 1.0);
        let draw: f64 = lock(&self.random).random_range(-1.0..=1.0);
        let mut time_ms = settings.service_time_ms.max(0.0) * (1.0 + spread * draw);
        if self.is_cold() {
            time_ms *= settings.cold_factor.max(1.0);
        }
        if plan.slow_factor > 0.0 {
            time_ms *= plan.slow_factor;
        }
        let extra = Duration::from_millis(plan.extra_delay_ms);
        Duration::from_secs_f64(time_ms / 1_000.0) + extra
    }

    /// `true` with the probability `share`.
    pub(super) fn draw(&self, share: f64) -> bool {
        share > 0.0 && lock(&self.random).random::<f64>() < share
    }

    fn is_cold(&self) -> bool {
        let mut life = lock(&self.life);
        life.requests += 1;
        life.requests <= self.settings.cold_requests
    }

    pub(super) fn status(&self) -> BackendStatus {
        let life = lock(&self.life);
        let slots = self.settings.slots as usize;
        BackendStatus {
            incarnation: life.incarnation,
            state: life.state,
            up: life.up,
            in_flight: slots.saturating_sub(self.slots.available_permits()),
            waiting: self.waiting.load(Ordering::Relaxed),
            started: self.recorder.started(),
            shed: self.shed.load(Ordering::Relaxed),
            arrived_after_drain: life.arrived_after_drain,
            last_arrival_after_drain_us: life.last_arrival_after_drain_us,
            announcements_accepted: self.announcements_accepted.load(Ordering::Relaxed),
            announcements_failed: self.announcements_failed.load(Ordering::Relaxed),
        }
    }
}
