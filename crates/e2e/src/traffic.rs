//! Background callers that send lookups and actions while a test injects faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use hyper::Method;
use radishpaddle_model::OrganisationId;
use radishpaddle_testkit::caller::{Caller, CallerSettings, Operation};
use radishpaddle_testkit::history::AttemptRecorder;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::plan::{HOST, SERVICE};

/// Number of the next operation. It is shared by the whole process so that operation ids stay unique if
/// several [`Traffic`] objects share a recorder.
static NEXT_OPERATION_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A set of background callers. Stop them before the recorded history is read.
pub struct Traffic {
    recorder: AttemptRecorder,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// Load that the callers of one organisation generate.
#[derive(Debug, Clone)]
pub struct TrafficPlan {
    /// Organisation that sends the requests.
    pub organisation: OrganisationId,
    /// API key of the organisation.
    pub key: String,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Pause of each caller between two operations.
    pub pause: Duration,
    /// Makes every n-th operation an action. With 0, all operations are lookups.
    pub action_every: u64,
    /// Maximum number of attempts per operation.
    pub max_attempts: u32,
}

impl Traffic {
    /// Creates a set without callers that has a recorder of its own.
    #[must_use]
    pub fn new() -> Self {
        Self {
            recorder: AttemptRecorder::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Creates a set without callers that records to an existing recorder.
    #[must_use]
    pub fn with_recorder(recorder: AttemptRecorder) -> Self {
        Self {
            recorder,
            ..Self::new()
        }
    }

    /// Starts the callers of one organisation, which discover the entry instances from the seed addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the built-in service name is invalid.
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
                    let number = NEXT_OPERATION_NUMBER.fetch_add(1, Ordering::Relaxed);
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

    /// Returns the recorder of the attempts and their outcomes.
    #[must_use]
    pub const fn recorder(&self) -> &AttemptRecorder {
        &self.recorder
    }

    /// Stops all callers after their current operation, and waits for them.
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

/// Creates an idempotent lookup or, if `action` is set, an action with an idempotency key. The deadline
/// is 3 s.
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
