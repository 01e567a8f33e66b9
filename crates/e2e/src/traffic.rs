//! Callers that send mixed requests while a test disturbs the fleet.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use hyper::Method;
use radishpaddle_model::OrganisationId;
use radishpaddle_testkit::caller::{Caller, CallerSettings, Operation};
use radishpaddle_testkit::history::Recorder;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::plan::{HOST, SERVICE};

/// Number of the next operation, unique in the process so that several runs may share a recorder.
static NUMBERS: AtomicU64 = AtomicU64::new(1);

/// Callers in the background. Stop them before the history is read.
pub struct Traffic {
    recorder: Recorder,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// What the callers of one organisation do.
#[derive(Debug, Clone)]
pub struct TrafficPlan {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Its key.
    pub key: String,
    /// Callers at the same time.
    pub callers: usize,
    /// Pause of a caller between two operations.
    pub pause: Duration,
    /// Every n-th operation is an action; 0 for none.
    pub action_every: u64,
    /// Attempts of one operation.
    pub max_attempts: u32,
}

impl Traffic {
    /// No callers yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            recorder: Recorder::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// No callers yet; they write to a recorder that others use as well.
    #[must_use]
    pub fn recording(recorder: Recorder) -> Self {
        Self {
            recorder,
            ..Self::new()
        }
    }

    /// Starts the callers of one organisation.
    ///
    /// # Errors
    ///
    /// Never fails for the service that is built in.
    pub fn start(&self, seeds: &[SocketAddr], plan: &TrafficPlan) -> Result<()> {
        let settings = CallerSettings {
            max_attempts: plan.max_attempts,
            keep_alive_ms: 900,
            ..CallerSettings::new(seeds.to_vec())
                .with_key(plan.organisation.clone(), plan.key.clone())
        };
        for _ in 0..plan.callers {
            let caller = Caller::new(settings.clone(), Some(self.recorder.clone()));
            let (plan, stop) = (plan.clone(), self.stop.clone());
            let service = SERVICE.parse()?;
            self.tasks.spawn(async move {
                while !stop.is_cancelled() {
                    let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
                    let action = plan.action_every > 0 && number.is_multiple_of(plan.action_every);
                    let id = format!("{}-{number}", plan.organisation);
                    let operation = operation(&service, id, action);
                    caller.perform(&operation).await;
                    tokio::time::sleep(plan.pause).await;
                }
            });
        }
        Ok(())
    }

    /// What the callers were told so far.
    #[must_use]
    pub const fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Lets every caller finish its operation.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Default for Traffic {
    fn default() -> Self {
        Self::new()
    }
}

/// A lookup, or an action with an idempotency key.
#[must_use]
pub fn operation(service: &radishpaddle_model::ServiceId, id: String, action: bool) -> Operation {
    Operation {
        service: service.clone(),
        host: HOST.to_owned(),
        method: if action { Method::POST } else { Method::GET },
        path: if action {
            "/holds".to_owned()
        } else {
            format!("/lookup/{id}")
        },
        body: if action {
            Bytes::from(format!("{{\"hold\":\"{id}\"}}"))
        } else {
            Bytes::new()
        },
        open: false,
        idempotent: !action,
        idempotency_key: action.then(|| id.clone()),
        deadline_ms: 3_000,
        id,
    }
}
