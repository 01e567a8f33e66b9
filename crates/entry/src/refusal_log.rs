//! Records refused requests in the journal, at most one event per second for each combination of
//! service, organisation, route and result code. Operators can look up why a request was refused,
//! and overload does not fill the journal.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use hyper::header::RETRY_AFTER;
use radishpaddle_kernel::Journal;
use radishpaddle_model::ResultCode;
use serde_json::json;

use crate::caller_response::CallerResponse;
use crate::metrics::RequestLabels;

/// Minimum time between two events of one kind.
const MIN_EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of tracked kinds from which those without an event in the last [`MIN_EVENT_INTERVAL`] are
/// removed.
const PRUNING_THRESHOLD: usize = 4_096;

/// Rate-limited log of refusals.
pub struct RefusalLog {
    journal: Journal,
    kinds: Mutex<HashMap<RefusalKind, RefusalCount>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RefusalKind {
    service: Box<str>,
    organisation: Box<str>,
    route: Box<str>,
    code: ResultCode,
}

#[derive(Debug, Clone, Copy)]
struct RefusalCount {
    recorded_at: Duration,
    suppressed: u64,
}

impl RefusalLog {
    /// Creates a log that writes to `journal`.
    #[must_use]
    pub fn new(journal: Journal) -> Self {
        Self {
            journal,
            kinds: Mutex::default(),
        }
    }

    /// Records a refusal, or only counts it if the last event of its kind is too recent. The next
    /// event of the kind carries that count.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    pub fn record(
        &self,
        labels: RequestLabels<'_>,
        refusal: &CallerResponse,
        request_id: &str,
        now: Duration,
    ) {
        let code = refusal.code;
        let kind = RefusalKind {
            service: labels.service.into(),
            organisation: labels.organisation.into(),
            route: labels.route.into(),
            code,
        };
        let mut kinds = self.kinds.lock().expect("lock is not poisoned");
        if kinds.len() >= PRUNING_THRESHOLD {
            kinds.retain(|_, count| now < count.recorded_at + MIN_EVENT_INTERVAL);
        }
        if let Some(count) = kinds.get_mut(&kind)
            && now < count.recorded_at + MIN_EVENT_INTERVAL
        {
            count.suppressed += 1;
            return;
        }
        let count = RefusalCount {
            recorded_at: now,
            suppressed: 0,
        };
        let earlier = kinds.insert(kind, count);
        drop(kinds);
        let suppressed = earlier.map_or(0, |earlier| earlier.suppressed);
        let detail = json!({
            "code": code.number(),
            "name": code.name(),
            "outcome": code.outcome(),
            "route": labels.route,
            "request_id": request_id,
            "retry_after_s": retry_after_s(refusal),
            "more_since_the_last_event": suppressed,
        });
        let subject = (!labels.organisation.is_empty()).then_some(labels.organisation);
        let service = (!labels.service.is_empty()).then_some(labels.service);
        self.journal.record("refused", service, subject, detail);
    }
}

fn retry_after_s(refusal: &CallerResponse) -> Option<u64> {
    let value = refusal.headers.get(RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok()
}
