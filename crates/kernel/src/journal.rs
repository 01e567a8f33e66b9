//! Event journal: the decisions of the process, with the numbers that led to them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use radishpaddle_model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::incarnation::unix_ms;

/// One decision or observation, kept for operators.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// Sequence number in the journal of the process, from 1.
    pub sequence: u64,
    /// Wall clock time in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Instance that recorded the event.
    pub instance: InstanceId,
    /// Kind of event, such as `ejected` or `refused`.
    pub kind: Arc<str>,
    /// Service that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    /// Backend server, organisation, key or instance that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subject: Option<Arc<str>>,
    /// Numbers that led to the decision.
    pub detail: serde_json::Value,
}

/// In-memory journal of the newest events of one process. Clones share the events.
#[derive(Clone)]
pub struct Journal {
    instance: InstanceId,
    capacity: usize,
    events: Arc<Mutex<EventBuffer>>,
}

#[derive(Default)]
struct EventBuffer {
    newest: VecDeque<Event>,
    last_sequence: u64,
}

impl Journal {
    /// Creates an empty journal that keeps the newest `capacity` events.
    #[must_use]
    pub fn new(instance: InstanceId, capacity: usize) -> Self {
        Self {
            instance,
            capacity,
            events: Arc::default(),
        }
    }

    /// Records an event; evicts the oldest one if the journal is full.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    pub fn record(
        &self,
        kind: &str,
        service: Option<&str>,
        subject: Option<&str>,
        detail: serde_json::Value,
    ) {
        let mut events = self.events.lock().expect("lock is not poisoned");
        events.last_sequence += 1;
        let event = Event {
            sequence: events.last_sequence,
            at_unix_ms: unix_ms(),
            instance: self.instance.clone(),
            kind: kind.into(),
            service: service.map(Into::into),
            subject: subject.map(Into::into),
            detail,
        };
        if events.newest.len() == self.capacity {
            events.newest.pop_front();
        }
        events.newest.push_back(event);
    }

    /// Returns the stored events after a sequence number, oldest first.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    #[must_use]
    pub fn since(&self, sequence: u64) -> Vec<Event> {
        let events = self.events.lock().expect("lock is not poisoned");
        events
            .newest
            .iter()
            .filter(|event| event.sequence > sequence)
            .cloned()
            .collect()
    }
}
