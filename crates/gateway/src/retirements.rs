//! Drains and departures of backend servers that the coordinators acknowledged.

use std::collections::HashMap;
use std::sync::Arc;

use radishpaddle_model::{Retirement, ServerPresence};

/// Newest retirement of each backend server.
#[derive(Debug, Default)]
pub(crate) struct Retirements {
    by_name: HashMap<Arc<str>, Retirement>,
    /// Index of the replicated log up to which the newest list reaches.
    index: u64,
}

impl Retirements {
    /// Applies the retirements up to an index of the replicated log. A list with the same or a higher index replaces the
    /// previous one, because coordinators remove old retirements; an older list is merged, and the newest retirement
    /// of each backend server counts.
    pub(crate) fn apply(&mut self, retirements: Vec<Retirement>, index: u64) {
        if index >= self.index {
            self.index = index;
            self.by_name.clear();
        }
        for retirement in retirements {
            let rank = |known: &Retirement| (known.started_at_ms, known.state);
            let known = self.by_name.get(&retirement.id);
            if known.is_none_or(|known| rank(known) < rank(&retirement)) {
                self.by_name.insert(Arc::clone(&retirement.id), retirement);
            }
        }
    }

    /// Whether the announced incarnation of a backend server is retired.
    pub(crate) fn cover(&self, presence: &ServerPresence) -> bool {
        self.cover_start(&presence.id, presence.started_at_ms)
    }

    /// Whether this start of a backend server is retired.
    pub(crate) fn cover_start(&self, id: &str, started_at_ms: u64) -> bool {
        let retired = self.by_name.get(id);
        retired.is_some_and(|retired| retired.started_at_ms >= started_at_ms)
    }
}
