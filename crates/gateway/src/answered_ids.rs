//! Ids of the requests whose answers a connection has carried. A faulty server may send late copies of these answers.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hasher as _};

/// Maximum number of ids that are kept. A server handles one request at a time on a connection, so copies of an answer come
/// soon after it.
const MAX_IDS: usize = 16;

/// Hashes of the newest ids, oldest first. Two ids with the same hash cost a new connection.
#[derive(Debug, Default)]
pub struct AnsweredIds(VecDeque<u64>);

impl AnsweredIds {
    /// Adds an id, and drops the oldest one when there are enough.
    pub fn record(&mut self, id: &[u8]) {
        if self.0.len() == MAX_IDS {
            self.0.pop_front();
        }
        self.0.push_back(hash_of(id));
    }

    /// Whether there is no id, so that the connection is new.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the id is among the newest ones.
    #[must_use]
    pub fn contains(&self, id: &[u8]) -> bool {
        self.0.contains(&hash_of(id))
    }
}

fn hash_of(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(id);
    hasher.finish()
}
