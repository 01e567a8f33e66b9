//! Refused requests in the journal, one event a second for each kind, so that an operator can ask why
//! a request was refused without the journal filling up under overload.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use radishpaddle_kernel::Journal;
use radishpaddle_model::ResultCode;
use serde_json::json;

use crate::metrics::RequestLabels;

/// Shortest time between two events of one kind.
const PERIOD: Duration = Duration::from_secs(1);

/// Kinds that are remembered; beyond that the oldest period is forgotten.
const MAX_KINDS: usize = 4_096;

/// Counts refusals between two events.
pub struct RefusalLog {
    journal: Journal,
    kinds: Mutex<HashMap<Kind, Count>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Kind {
    service: Box<str>,
    organisation: Box<str>,
    route: Box<str>,
    code: ResultCode,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    recorded_at: Duration,
    since_recorded: u64,
}

impl RefusalLog {
    /// Log that writes to a journal.
    #[must_use]
    pub fn new(journal: Journal) -> Self {
        Self {
            journal,
            kinds: Mutex::default(),
        }
    }

    /// Notes a refusal; `request_id` stands for those that are counted with it.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    pub fn note(
        &self,
        labels: RequestLabels<'_>,
        code: ResultCode,
        request_id: &str,
        now: Duration,
    ) {
        let kind = Kind {
            service: labels.service.into(),
            organisation: labels.organisation.into(),
            route: labels.route.into(),
            code,
        };
        let mut kinds = self.kinds.lock().expect("lock is not poisoned");
        if kinds.len() >= MAX_KINDS {
            kinds.retain(|_, count| now < count.recorded_at + PERIOD);
        }
        if let Some(count) = kinds.get_mut(&kind)
            && now < count.recorded_at + PERIOD
        {
            count.since_recorded += 1;
            return;
        }
        let count = Count {
            recorded_at: now,
            since_recorded: 0,
        };
        let earlier = kinds.insert(kind, count);
        drop(kinds);
        let more = earlier.map_or(0, |earlier| earlier.since_recorded);
        let detail = json!({
            "code": code.number(),
            "name": code.name(),
            "outcome": code.outcome(),
            "route": labels.route,
            "request_id": request_id,
            "more_since_the_last_event": more,
        });
        let subject = (!labels.organisation.is_empty()).then_some(labels.organisation);
        let service = (!labels.service.is_empty()).then_some(labels.service);
        self.journal.record("refused", service, subject, detail);
    }
}
